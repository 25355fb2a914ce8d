// What is learned of how long runs take. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// learnWeight is the weight of one run in the learned run time of its class.
	learnWeight = 1.0 / 12
	// maxConsecutiveFailures is after how many runs in a row that serve nobody a class gives way to the
	// others.
	maxConsecutiveFailures = 30
	// staleObjectives is how many of the longest aims after it was learned last the time of a run or call
	// begins to halve, once in each further aim. Sooner a slow server is tried too often.
	staleObjectives = 4
)

// expectedCoreTime is the learned core time of a class in seconds, that of all classes where it is not
// known.
func (in *Instance) expectedCoreTime(class int) float64 {
	if run := in.classes[class].coreTime; run > 0 {
		return run
	}
	sum, n := 0.0, 0
	for _, c := range in.classes {
		if c.coreTime > 0 {
			sum, n = sum+c.coreTime, n+1
		}
	}
	return sum / float64(max(n, 1))
}

// meanCoreTime is the core time of a run in seconds, in the mean of those lately begun; 0 = not known.
func (in *Instance) meanCoreTime() float64 {
	sum, runs := 0.0, 0.0
	for class := range in.classes {
		started := in.classes[class].started.rate(in.now, in.decay)
		sum += started * in.expectedCoreTime(class)
		runs += started
	}
	if runs == 0 {
		return in.expectedCoreTime(0)
	}
	return sum / runs
}

// learn updates the run time of a class.
func (in *Instance) learn(class int, seconds, wall float64) {
	c := &in.classes[class]
	known := in.expectedWallTime(class)
	c.samples++
	c.learnedAt, c.consecutiveFailures = in.now, 0
	part := max(learnWeight, 1/float64(c.samples))
	c.coreTime, c.wallTime = c.coreTime+(seconds-c.coreTime)*part, known+(wall-known)*part
}

// learnTimeout updates the wall time of a class by a run that still went on when its answer was due.
func (in *Instance) learnTimeout(r *request) {
	c := &in.classes[r.class]
	known, took := in.expectedWallTime(r.class), (in.now - r.startedAt).Seconds()
	c.wallTime = known + max(took-known, 0)*learnWeight
	c.learnedAt = in.now
}

// isFailing tells whether the latest runs of the request's class served nobody; it is tried after a while.
func (in *Instance) isFailing(r *request) bool {
	c := &in.classes[r.class]
	since := in.now - c.lastFailureAt
	return c.consecutiveFailures >= maxConsecutiveFailures && since < staleObjectives*in.longestObjective
}

// expectedRunTime is how long a run of the request is expected to take.
func (in *Instance) expectedRunTime(r *request) time.Duration {
	return seconds(in.expectedWallTime(r.class))
}

// expectedWallTime is the learned wall time of a class in seconds. What was learned long ago counts less
// and less: a class that was slow once would else be turned away for good, as nothing of it is run any
// more.
func (in *Instance) expectedWallTime(class int) float64 {
	c := &in.classes[class]
	return in.decayLearned(c.wallTime, c.learnedAt)
}

// decayLearned is what a learned figure still counts for by the time since it was learned.
func (in *Instance) decayLearned(learned float64, at time.Duration) float64 {
	stale := in.now - at - staleObjectives*in.longestObjective
	if stale <= 0 {
		return learned
	}
	return learned * math.Exp2(-stale.Seconds()/in.longestObjective.Seconds())
}
