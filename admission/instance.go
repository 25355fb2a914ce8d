// The state of an Instance, grouped by owner. This file makes no decisions.

package admission

import "time"

// Instance makes the decisions for one server process. Each part of the state has one owner, whose type documents its
// invariants.
type Instance struct {
	settings         Settings
	actions          Actions
	longestObjective time.Duration // the longest latency objective of all classes

	clock    clock
	schedule schedule
	requests requestTable
	use      resourceUse
	classes  []classState // by index into Settings.Classes

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

// clock is the time that the host reports. It never goes back.
type clock struct {
	isStarted bool
	startedAt time.Duration
	now       time.Duration
	// core is the core clock: the core time, in seconds, that a request would have had so far if it had run all the
	// time during which any request ran.
	core float64
}

// schedule holds the times of the next scheduled work.
type schedule struct {
	nextPoll     time.Duration // next use of the gauges
	nextDeadline time.Duration // no unanswered request has an earlier deadline
	timerAt      time.Duration // when the current timer fires; 0 = no timer is set
}

// requestTable holds the requests that are not finished.
type requestTable struct {
	byID map[RequestID]*request // for lookups only: its random iteration order would make decisions random
	// byArrival also holds the requests that finished since the last sweep.
	byArrival []*request
}

// classState is the state of one class.
type classState struct {
	runTime runTimeEstimator
	share   fairShare
	queued  [quotaStatusCount]int // its requests in the queue, by quota status
	// callerTimeout is the longest time that a caller waits for a first attempt, including the queueing before the
	// read.
	callerTimeout time.Duration
	rejections    [reasonCount]uint64 // since the start, by Reason
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
