// What an Instance keeps of its requests, classes and tenants. Nothing here decides: the decisions are in the policy files.

package admission

import (
	"math"
	"time"
)

// state is where a request is.
type state uint8

const (
	held    state = iota // waits to be run
	follows              // waits for the held request that it repeats
	echoing              // waits for the answer of the request that it repeats
	running              // on the cores
	asking               // off the cores, waits for a decision on its call
	calling              // off the cores, its call is out
	ended                // answered or gone while its work goes on
	over                 // nothing left of it
)

// request is what is known of one try.
type request struct {
	id        RequestID
	class     int
	state     state
	due       time.Duration // when the answer must be out
	useful    time.Duration // when an answer stops earning its full worth
	arrived   time.Duration
	retry     bool
	subject   bool    // a read of something that others may ask for too
	excess    float64 // its tenant's rate over its threshold when it arrived
	rank      int     // 1 if that was over 1
	sizeKB    float64
	ran       bool     // it was run, or repeats one that was: never refuse it if it has an effect
	keyed     *key     // its entry in the table
	original  *request // follows: the request that it repeats
	coreTime  float64  // seconds of core time of its finished parts
	partStart float64  // running: the core clock at the start of this part
	calls     int      // calls that failed so far
	callAt    time.Duration
	began     time.Duration // when it was run
}

// key is one remembered key.
type key struct {
	until time.Duration
	gone  bool
}

// estimate is the N and T of one tenant.
type estimate struct {
	n    float64
	last time.Duration
}

// classStats is what was learned about a class.
type classStats struct {
	run      float64       // seconds of core time of a whole run, 0 = not known
	runs     int           // runs learned from
	wall     float64       // seconds from the start of a run to its end, calls and crowding included
	held     [2]int        // requests of it in the queue, of tenants within their slice and over it
	patience time.Duration // longest that the caller of a first try waited

	wasted    int           // its latest runs in a row that served nobody
	wastedAt  time.Duration // when the last of them ended
	learnedAt time.Duration // when a run of it was last learned from
	started   estimate      // runs of it
	rejected  estimate      // requests of it that were turned away
	// rejections are how many requests of it were turned away since the start, by the reason.
	rejections [reasonCount]uint64
	starved    bool // a smaller part of its requests is run than of the others
}

// Instance decides for one server process.
type Instance struct {
	set        Settings
	do         Actions
	begun      bool
	start, now time.Duration
	longestAim time.Duration

	byID     map[RequestID]*request // looked up only, never ranged over
	all      []*request             // in order of arrival, those over are removed in sweep
	queue    []*request             // held, in order of arrival
	unrun    map[RequestID]bool     // keyed requests of this batch that never ran
	keys     [][]*key               // per class, in order of keeping
	keyCount int
	heldKB   float64
	runKB    float64

	senders     []estimate // of each tenant, or of each caller where there are no tenants
	completions estimate   // rate of ended runs, the threshold where there are no quotas
	lambda      float64
	quotas      float64       // of all tenants
	liveCallers float64       // callers lately heard of, where there are no tenants
	withinShare float64       // part of the latest runs that were of tenants within their slices
	idleTimeout time.Duration // what was last set for connections; 0 = as the callers do
	retries     float64       // part of the latest arrivals that were marked as further tries
	arrivals    estimate      // rate of all arrivals
	readDelay   float64       // seconds that arrivals lately waited to be read
	classes     []classStats

	onCores          int     // running, with those ended whose work goes on
	atCall           int     // asking or calling
	inHand           int     // calls out
	coreClock        float64 // core time of a request that ran whenever any did, in seconds
	progress         float64 // the core clock at the last end of a run or part
	longest          float64 // seconds of the longest run of late
	busy             float64 // the core gauge
	runnable         float64 // what wants a core at this moment; negative = not told
	concurrencyLimit float64 // running requests wanted

	callTime float64       // seconds of a usual call
	calledAt time.Duration // when that was learned last
	callDebt float64       // DependencyShared: call seconds beyond this server's part

	stalled, draining, healthy bool
	notice, stopAt             time.Duration
	nextPoll, nextDue, wakeAt  time.Duration
	weight, advertised         float64
}

// user is the place of the estimate for the request's tenant. Where there are no tenants it goes by callers,
// whose slice is the rate of ended runs over the live callers.
func (in *Instance) user(q Request) int {
	user := min(max(q.Tenant, 0), len(in.set.Tenants)-1)
	if user < 0 {
		user = min(max(q.Caller, 0), math.MaxUint16)
	}
	for len(in.senders) <= user {
		in.senders = append(in.senders, estimate{})
	}
	return user
}

// countWasted counts a run that served nobody.
func (in *Instance) countWasted(r *request) {
	c := &in.classes[r.class]
	c.wasted++
	c.wastedAt = in.now
}

// countCallers counts the callers that were heard of within about one half-life, where there are no tenants.
func (in *Instance) countCallers() {
	if len(in.set.Tenants) > 0 {
		return
	}
	in.liveCallers = 0
	for i := range in.senders {
		if in.senders[i].rate(in.now, in.lambda) > in.lambda/2 {
			in.liveCallers++
		}
	}
}

// admittedRates are the rate of runs of a class, and that of its requests that were run or turned away.
func (in *Instance) admittedRates(class int) (started, of float64) {
	c := &in.classes[class]
	started = c.started.rate(in.now, in.lambda)
	return started, started + c.rejected.rate(in.now, in.lambda)
}

// memory is what is needed now, in KB.
func (in *Instance) memory() float64 { return in.heldKB + in.runKB + in.keysKB() }

// keysKB is what the remembered keys need.
func (in *Instance) keysKB() float64 { return float64(in.keyCount) * in.set.KeyKB }

// enqueue puts the request into the queue and keeps its key.
func (in *Instance) enqueue(r *request) {
	r.original = nil
	in.setState(r, held)
	in.queue = append(in.queue, r)
	in.classes[r.class].held[r.rank]++
	in.keepKey(r)
}

// dequeue takes the request out of the queue.
func (in *Instance) dequeue(r *request) {
	for i, h := range in.queue {
		if h == r {
			in.queue = append(in.queue[:i], in.queue[i+1:]...)
			in.classes[r.class].held[r.rank]--
			return
		}
	}
}

// setState changes the state and keeps the counts of memory, cores and calls.
func (in *Instance) setState(r *request, to state) {
	in.account(r, -1)
	r.state = to
	in.account(r, 1)
}

// account adds the request's needs to the counts, or takes them off.
func (in *Instance) account(r *request, sign int) {
	switch r.state {
	case held, follows, echoing:
		in.heldKB += float64(sign) * r.sizeKB
	case running, ended:
		in.onCores += sign
		in.runKB += float64(sign) * r.sizeKB * in.set.RunningMemoryFactor
	case asking, calling:
		in.atCall += sign
		in.runKB += float64(sign) * r.sizeKB * in.set.RunningMemoryFactor
		if r.state == calling {
			in.inHand += sign
		}
	}
}

// seconds turns seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
