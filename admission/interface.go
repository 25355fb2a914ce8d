// Package admission decides, for one server process behind load balancers that it does not control, which
// requests to queue, run, postpone, answer from an earlier run or reject.
//
// The host owns sockets, clocks and work. It creates one Instance for each server process with New, reports
// every event through the Instance's methods in the order in which they happened, each with the time, and
// carries out the Actions in the order in which they are called. After each group of simultaneous events it
// calls Settle once. An Instance is single-threaded: it never blocks, reads no clock and starts no
// goroutine.
//
// All times are durations since a fixed origin that the host chooses.
//
// This file holds the interface only; every decision is in the files that deploy/balancer.toml lists under
// policy.
package admission

import "time"

// RequestID identifies one attempt of one request; the host never uses an ID twice for an Instance.
type RequestID uint32

// Effect says whether a request may be run more than once.
type Effect uint8

// The effects of a class.
const (
	Safe            Effect = iota // may run any number of times
	IdempotentByKey               // must run only once; its key identifies a retry within the class's window
	NonIdempotent                 // must run only once, and a retry cannot be identified
)

// StopMode says what Actions.Stop does to running work.
type StopMode uint8

// The stop modes.
const (
	StopNone    StopMode = iota // running work cannot be stopped
	StopDiscard                 // the work done is lost; the request is queued again
	StopPause                   // the work keeps its progress and memory until it is run again
)

// Dependency says what requests call while they run.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota // nothing is called
	DependencyShared                   // one service for all servers, which fails under too many calls
	DependencyTier                     // a tier of servers that protect themselves
)

// Feedback says how load balancers interpret the value set by Actions.AdvertiseLoad.
type Feedback uint8

// The kinds of feedback.
const (
	FeedbackNone   Feedback = iota // no value may be set
	FeedbackLevel                  // requests ranked below the value are not sent here
	FeedbackCredit                 // largest number of requests that each caller may have outstanding here
	FeedbackWeight                 // probability with which a caller considers this server
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective  time.Duration // an answer within it earns the full weight
	ObjectiveStretch  float64       // the objective grows by this multiple of Request.Work
	Deadline          time.Duration // the caller gives up after this time, counted over all attempts
	Weight            float64       // value of an answer within the objective
	LateWeight        float64       // fraction of Weight that a late answer earns
	Effect            Effect        // whether it may run twice
	KeyWindow         time.Duration // IdempotentByKey: how long after its arrival a request may be retried
	SkippedCallWeight float64       // fraction of Weight that remains when a call is skipped; 0 forbids skipping
}

// Tenant is one customer who shares the fleet.
type Tenant struct {
	Quota float64 // requests per second over the whole fleet that the contract covers
}

// Settings configures an Instance for its lifetime.
type Settings struct {
	Servers         int           // servers of this tier listed at the start
	Callers         int           // load balancers that send to this tier
	Cores           int           // cores of this server
	IndependentRuns bool          // runs do not share the cores: the run time of one does not depend on others
	Tick            time.Duration // shortest time between two groups of events
	Classes         []Class       // kinds of request, by index
	Tenants         []Tenant      // tenants, by index; may be empty

	WarmingUp       bool          // the process has just started and is slow
	InitialCapacity float64       // lower bound of the speed of a process at its start, as a fraction of full speed
	WarmUpTime      time.Duration // longest time until it is at full speed

	MemoryKB             float64       // memory of this server
	KeyKB                float64       // memory of one remembered idempotency key
	RunningMemoryFactor  float64       // memory of a running request as a multiple of the memory of a queued one
	MaxConcurrencyFactor float64       // running requests per core that a warm server survives
	DrainGracePeriod     time.Duration // arrivals later than this after the drain notice must not run

	StopMode              StopMode      // what Actions.Stop does
	Downstream            Dependency    // what requests call while they run
	FairCallShare         float64       // DependencyShared: this server's share of the calls in flight that the service survives
	CallAveragingTime     time.Duration // DependencyShared: time over which the service averages its calls in flight
	AbandonedCallDuration time.Duration // how long the dependency may continue an abandoned call
	Feedback              Feedback      // how callers interpret Actions.AdvertiseLoad
	MaxRetryAfter         time.Duration // longest Retry-After that callers follow; 0 = they follow none
	ResultFreshness       time.Duration // how long the result of a safe read may answer other requests
	HasDeadlines          bool          // requests state how long their callers wait
	CallerIdleTimeout     time.Duration // how long callers keep an idle connection; 0 = not known
}

// Request is one attempt that was read; it gets exactly one final answer. Captures that are printed as text use the
// JSON keys.
type Request struct {
	ID            RequestID
	Class         int           // index into Settings.Classes
	Tenant        int           // index into Settings.Tenants
	Caller        int           // number of the load balancer that sent it
	ResourceID    uint64        `json:"Subject"` // the resource that a safe read requests; 0 = not known
	QueueingDelay time.Duration `json:"Waited"`  // time since it reached the machine
	RemainingTime time.Duration `json:"Budget"`  // how much longer its caller waits, if Settings.HasDeadlines
	IsRetry       bool          `json:"Retry"`   // marked as a retry by its caller
	RetryOf       RequestID     `json:"Repeats"` // an earlier request whose result may answer this one; 0 = none
	SizeKB        float64       // memory while queued
	Work          time.Duration // expected work on a standard core; 0 = not known
}

// Gauges are the server's readings of its own load, which come with each Timer event. A reading that the host does
// not have is negative.
type Gauges struct {
	Utilization float64 `json:"Busy"` // busy fraction of the cores, 0 to 1, over the last half second
	Runnable    float64 // tasks that want a core now: runs, reads, health checks and new connections
}

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes.
const (
	OK          Outcome = iota // it succeeded
	Failed                     // it failed, and may have taken effect
	Rejected                   // a call was rejected and took no effect
	TimedOut                   // a call was abandoned, and may have taken effect
	Unreachable                // a call reached no server
	Reset                      // a call was interrupted, and may have taken effect
	Cancelled                  // the run was stopped, or ended because nobody waits for it
	NotStarted                 // nothing was started: the request was already finished
)

// Events are reported by the host to an Instance, which implements the interface.
type Events interface {
	// Request reports an attempt that was read.
	Request(now time.Duration, request Request)
	// Cancel reports that the caller of a request no longer waits.
	Cancel(now time.Duration, id RequestID)
	// RunFinished reports the end of a run or of a replay.
	RunFinished(now time.Duration, id RequestID, outcome Outcome)
	// CallRequested reports that a running request waits for a decision on a downstream call.
	CallRequested(now time.Duration, id RequestID)
	// CallFinished reports the outcome of a downstream call and how long it took.
	CallFinished(now time.Duration, id RequestID, outcome Outcome, took time.Duration)
	// Drain reports the notice that the process is stopped after timeLeft.
	Drain(now, timeLeft time.Duration)
	// Timer reports that the time of a SetTimer with the token has passed, with the server's gauges.
	Timer(now time.Duration, token uint32, gauges Gauges)
	// Settle ends a group of simultaneous events; the Instance then makes the decisions that they require.
	Settle(now time.Duration)
}

// Actions are called by an Instance and carried out by its host. Each must have taken effect, in the order
// of the calls, before the next event is reported.
type Actions interface {
	// Run starts a queued request or resumes a paused one.
	Run(id RequestID)
	// Reject answers that the request was rejected and never ran, and may be retried after retryAfter. If noRetry is
	// set, the answer also asks the caller not to try another server.
	Reject(id RequestID, retryAfter time.Duration, noRetry bool)
	// Fail answers that the request failed, without stating whether it ran.
	Fail(id RequestID)
	// Call makes the call that the request waits for and abandons it after the timeout.
	Call(id RequestID, timeout time.Duration)
	// SkipCall continues the run without the call.
	SkipCall(id RequestID)
	// Stop stops running work as Settings.StopMode says.
	Stop(id RequestID)
	// KeepKey remembers the request's idempotency key for the lifetime.
	KeepKey(id RequestID, lifetime time.Duration)
	// ReleaseKey removes the idempotency key of the request.
	ReleaseKey(id RequestID)
	// ReplayResult answers the request with the result of the request that it repeats, and waits for the result if it
	// is not known yet.
	ReplayResult(id RequestID)
	// AdvertiseLoad sets the value that callers read with each answer.
	AdvertiseLoad(value float64)
	// SetHealth sets the answer to health checks, and whether health checks are answered from this setting alone.
	SetHealth(healthy, fromStore bool)
	// CloseIdleConnections closes connections that have been idle for the time.
	CloseIdleConnections(idle time.Duration)
	// SetTimer requests one Timer event with the token after wait.
	SetTimer(wait time.Duration, token uint32)
	// Log adds a line to the operators' log.
	Log(line string)
}
