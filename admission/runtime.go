// What is learned of how long runs take. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// learnWeight is the weight of one run in the learned run time of its class.
	learnWeight = 1.0 / 12
	// wastedRuns is after how many runs in a row that serve nobody a class gives way to the others.
	wastedRuns = 30
	// staleAims is how many of the longest aims after it was learned last the time of a run or call begins to
	// halve, once in each further aim. Sooner a slow server is tried too often.
	staleAims = 4
)

// runTime is the learned core time of a class in seconds, that of all classes where it is not known.
func (in *Instance) runTime(class int) float64 {
	if run := in.classes[class].run; run > 0 {
		return run
	}
	sum, n := 0.0, 0
	for _, c := range in.classes {
		if c.run > 0 {
			sum, n = sum+c.run, n+1
		}
	}
	return sum / float64(max(n, 1))
}

// meanRun is the core time of a run in seconds, in the mean of those lately begun; 0 = not known.
func (in *Instance) meanRun() float64 {
	sum, runs := 0.0, 0.0
	for class := range in.classes {
		started := in.classes[class].started.rate(in.now, in.lambda)
		sum += started * in.runTime(class)
		runs += started
	}
	if runs == 0 {
		return in.runTime(0)
	}
	return sum / runs
}

// learn updates the run time of a class.
func (in *Instance) learn(class int, seconds, wall float64) {
	c := &in.classes[class]
	known := in.expectedWall(class)
	c.runs++
	c.learnedAt, c.wasted = in.now, 0
	part := max(learnWeight, 1/float64(c.runs))
	c.run, c.wall = c.run+(seconds-c.run)*part, known+(wall-known)*part
}

// learnTimeout updates the wall time of a class by a run that still went on when its answer was due.
func (in *Instance) learnTimeout(r *request) {
	c := &in.classes[r.class]
	known, took := in.expectedWall(r.class), (in.now - r.began).Seconds()
	c.wall = known + max(took-known, 0)*learnWeight
	c.learnedAt = in.now
}

// fruitless tells whether the latest runs of the request's class served nobody; it is tried after a while.
func (in *Instance) fruitless(r *request) bool {
	c := &in.classes[r.class]
	return c.wasted >= wastedRuns && in.now-c.wastedAt < staleAims*in.longestAim
}

// ownTime is how long a run of the request is expected to take.
func (in *Instance) ownTime(r *request) time.Duration {
	return seconds(in.expectedWall(r.class))
}

// expectedWall is the learned wall time of a class in seconds. What was learned long ago counts less and
// less: a class that was slow once would else be turned away for good, as nothing of it is run any more.
func (in *Instance) expectedWall(class int) float64 {
	c := &in.classes[class]
	return in.faded(c.wall, c.learnedAt)
}

// faded is what a learned figure still counts for by the time since it was learned.
func (in *Instance) faded(learned float64, at time.Duration) float64 {
	stale := in.now - at - staleAims*in.longestAim
	if stale <= 0 {
		return learned
	}
	return learned * math.Exp2(-stale.Seconds()/in.longestAim.Seconds())
}
