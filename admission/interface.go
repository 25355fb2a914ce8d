// Package tillerusher decides, for one server behind balancers that it does not control, which requests to
// take, run, postpone, answer from an earlier run or turn away.
//
// The host owns sockets, clocks and work. It creates one Instance for each server process with New, reports
// every event through the Instance's methods in the order in which they happened, each with the time, and
// carries out the Actions in the order in which they are called. After each group of simultaneous events it
// calls Settle once. An Instance is single-threaded: it never blocks, reads no clock and starts no goroutine.
//
// All times are durations since an origin of the host's choosing that never moves.
//
// This file holds the interface only; every decision is in the policy files that
// deploy/balancer.toml names.
package admission

import "time"

// RequestID names one try of one request; the host never uses an ID twice for an Instance.
type RequestID uint32

// Effect says what running a request twice would do.
type Effect uint8

// The effects of a class.
const (
	Safe            Effect = iota // may run any number of times
	IdempotentByKey               // may come again within the class's window, and must run once only
	NonIdempotent                 // must run once only, and cannot be recognised when it comes again
)

// StopMode says what Halt does to running work.
type StopMode uint8

// The stop modes.
const (
	StopNone    StopMode = iota // stateRunning work cannot be stopped
	StopDiscard                 // the work done is lost; the request is held again
	StopPause                   // the work keeps its progress and memory until it is run again
)

// Dependency says what requests call while they run.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota // nothing is called
	DependencyShared                   // one service shared by all servers, which falls when it holds too many
	DependencyTier                     // a tier of servers that look after themselves
)

// Feedback says how balancers read the value set by Say.
type Feedback uint8

// The kinds of feedback.
const (
	FeedbackNone   Feedback = iota // no value may be set
	FeedbackLevel                  // requests ranked below the value stay away
	FeedbackCredit                 // most requests that each caller may have outstanding here
	FeedbackWeight                 // probability with which a caller considers this server
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective  time.Duration // an answer within it earns the full worth
	ObjectiveStretch  float64       // the aim grows by this multiple of the request's own work
	Deadline          time.Duration // the caller gives up after it, all tries counted
	Weight            float64       // what an answer on time earns
	LateWeight        float64       // part of Worth that a late answer earns
	Effect            Effect        // whether it may run twice
	KeyWindow         time.Duration // Keyed: how long after arrival it may come again
	SkippedCallWeight float64       // part of the worth left when a call is skipped; 0 forbids skipping
}

// Tenant is one customer who shares the fleet.
type Tenant struct {
	Quota float64 // requests a second over the whole fleet that count in full
}

// Settings is what an Instance is told at its start and what stays true for its life.
type Settings struct {
	Servers         int           // servers of this tier listed at the start
	Callers         int           // balancers that send to this tier
	Cores           int           // cores of this server
	IndependentRuns bool          // samples do not share the cores: how long one takes tells nothing of another
	Tick            time.Duration // shortest time between two groups of events
	Classes         []Class       // what may be asked for, by index
	Tenants         []Tenant      // who may ask, by index; may be empty

	WarmingUp       bool          // the process has just started and is slow
	InitialCapacity float64       // least share of full speed of a process at its start
	WarmUpTime      time.Duration // longestRun time until it is at full speed

	MemoryKB             float64       // memoryKB of this server
	KeyKB                float64       // memoryKB of one remembered key
	RunningMemoryFactor  float64       // memoryKB of a running request over that of a held one
	MaxConcurrencyFactor float64       // stateRunning requests a core that a warm server survives
	DrainGracePeriod     time.Duration // arrivals later than this after the notice must not run

	StopMode          StopMode      // what Halt does
	Downstream        Dependency    // what is called
	FairCallShare     float64       // DependencyShared: this server's part of the calls it survives in hand
	CallAveragingTime time.Duration // DependencyShared: time over which those are averaged
	CallLinger        time.Duration // how long an abandoned call may stay in the dependency's hands
	Feedback          Feedback      // meaning of Say
	MaxRetryAfter     time.Duration // longestRun advice to stay away that is honoured; 0 = none is
	ResultFreshness   time.Duration // how long the answer to a safe read may serve others
	HasDeadlines      bool          // requests state how long their caller waits
	CallerIdleTimeout time.Duration // how long callers keep an idle connection; 0 = not told
}

// Request is one try that was read and is now held; it is owed one final answer.
type Request struct {
	ID            RequestID
	Class         int           // index into Settings.Classes
	Tenant        int           // index into Settings.Tenants
	Caller        int           // number of the balancer that sent it
	ResourceID    uint64        `json:"Subject"` // what a safe read is about; 0 = not told
	QueueingDelay time.Duration `json:"Waited"`  // time since it reached the machine
	RemainingTime time.Duration `json:"Budget"`  // how long its caller still waits, where Settings.Deadlines
	IsRetry       bool          `json:"Retry"`   // marked as a further try
	RetryOf       RequestID     `json:"Repeats"` // an earlier request whose result may answer this one; 0 = none
	SizeKB        float64       // memoryKB while held
	Work          time.Duration // expected work on a standard core; 0 = not told
}

// Gauges are the server's own readings, which come with each Timer. A reading the host lacks is negative.
type Gauges struct {
	Utilization float64 `json:"Busy"` // utilization part of the cores, 0 to 1, over the last half second
	Runnable    float64 // what wants a core now: runs, reading, checks and new connections
}

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes.
const (
	OK          Outcome = iota // it succeeded
	Failed                     // it failed, and may have taken effect
	Rejected                   // a call was turned away unseen
	TimedOut                   // a call was abandoned, and may have taken effect
	Unreachable                // a call reached nothing
	Reset                      // a call was interrupted, and may have taken effect
	Cancelled                  // the run was stopped, or ended because nobody waits
	NotStarted                 // nothing was begun: the request was over
)

// Events is what the host reports to an Instance, which implements it.
type Events interface {
	// Request takes in one try that was read.
	Request(now time.Duration, q Request)
	// Cancel reports that the caller of a request no longer waits.
	Cancel(now time.Duration, id RequestID)
	// RunFinished reports the end of a run or of a reuse.
	RunFinished(now time.Duration, id RequestID, o Outcome)
	// CallRequested reports that a running request waits for a decision on a call.
	CallRequested(now time.Duration, id RequestID)
	// CallFinished reports the outcome of a call.
	CallFinished(now time.Duration, id RequestID, o Outcome, took time.Duration)
	// Drain reports the notice that the process is stopped after the time.
	Drain(now, left time.Duration)
	// Timer reports that the time asked for has passed, with the server's gauges.
	Timer(now time.Duration, token uint32, g Gauges)
	// Settle acts on what the last group of events left to do.
	Settle(now time.Duration)
}

// Actions is what the host does for an Instance. The calls must have taken effect, in order, before the next
// event is reported.
type Actions interface {
	// CoreTime starts a held request or resumes a paused one.
	Run(id RequestID)
	// Reject answers that the request was turned away and never ran, with the time to stay away and whether
	// to try no other server.
	Reject(id RequestID, stayAway time.Duration, last bool)
	// Fail answers that the request failed, without saying whether it ran.
	Fail(id RequestID)
	// Call makes the call that the request waits on and abandons it after the time-out.
	Call(id RequestID, timeout time.Duration)
	// SkipCall goes on without the call.
	SkipCall(id RequestID)
	// Stop stops running work as Settings.StopMode says.
	Stop(id RequestID)
	// KeepKey remembers the request's key for a time.
	KeepKey(id RequestID, lifetime time.Duration)
	// ReleaseKey removes the key of the request.
	ReleaseKey(id RequestID)
	// ReplayResult answers the request with the result of the one it repeats, waiting for it if need be.
	ReplayResult(id RequestID)
	// AdvertiseLoad sets the value that callers read with each answer.
	AdvertiseLoad(value float64)
	// SetHealth sets the answer to health checks, and whether checks are answered from this setting alone.
	SetHealth(good, fromStore bool)
	// CloseIdleConnections closes connections that carried nothing for the time.
	CloseIdleConnections(idle time.Duration)
	// SetTimer asks for one Timer event.
	SetTimer(wait time.Duration, token uint32)
	// Log adds a line to the operators' log.
	Log(line string)
}
