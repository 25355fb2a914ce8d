// The state of an Instance by its owners. Nothing here decides.

package admission

import "time"

// Instance decides for one server process. Each part of the state has one owner, whose type documents its
// invariants.
type Instance struct {
	settings         Settings
	actions          Actions
	longestObjective time.Duration // the longest latency objective of all classes

	clock    clock
	schedule schedule
	requests requestTable
	use      resourceUse
	classes  []classState // by the settings' index

	queue    requestQueue
	keys     idempotencyKeys
	traffic  trafficMonitor
	rates    rateEstimator
	limiter  concurrencyLimiter
	stall    stallDetector
	calls    downstreamCalls
	drain    drainState
	feedback loadFeedback
}

var _ Events = (*Instance)(nil)

// clock is the time as the host reports it. It never goes back.
type clock struct {
	isStarted bool
	startedAt time.Duration
	now       time.Duration
	core      float64 // core time in seconds of a request that ran whenever any did: the clock of runs
}

// schedule is when something is to be done next.
type schedule struct {
	nextPoll     time.Duration // next use of the gauges
	nextDeadline time.Duration // no request's deadline is earlier
	timerAt      time.Duration // when the timer asked for fires; 0 = none was asked for
}

// requestTable holds the requests that are not finished.
type requestTable struct {
	byID map[RequestID]*request // looked up only: ranging over it would make decisions random
	// byArrival also holds those that finished since the last sweep.
	byArrival []*request
}

// classState is the state of one class.
type classState struct {
	runTime runTimeEstimator
	share   fairShare
	queued  [quotaStatusCount]int // requests of it in the queue
	// callerTimeout is the longest that the caller of a first attempt waited, queueing before the read
	// included.
	callerTimeout time.Duration
	rejections    [reasonCount]uint64 // rejected requests since the start, by Reason
}

// seconds turns seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
