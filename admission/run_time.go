// Estimates of how long runs take. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// learnWeight is the weight of one observation in an estimate.
	learnWeight = 1.0 / 12
	// maxConsecutiveFailures is the number of consecutive runs of a class without a served caller at which
	// the other classes take precedence over the class.
	maxConsecutiveFailures = 30
	// staleObjectives is the age, in longest objectives, above which a learned run or call time halves once
	// in each further objective. With a smaller age a slow server is tried too often.
	staleObjectives = 4
)

// runTimeEstimator estimates how long the runs of one class take, in seconds.
type runTimeEstimator struct {
	coreTime  float64       // core time of a complete run; 0 = not known
	wallTime  float64       // from the start of a run to its end, with calls and waiting for cores
	samples   int           // runs learned from
	learnedAt time.Duration // when an estimate was last updated

	consecutiveFailures int           // latest consecutive runs that served no caller
	lastFailureAt       time.Duration // when the last of them ended
}

// learn updates the estimates with a run that served its caller. The first runs are averaged with equal
// weight.
func (e *runTimeEstimator) learn(now, objective time.Duration, coreTime, wallTime float64) {
	known := e.expectedWallTime(now, objective)
	e.samples++
	e.learnedAt = now
	e.consecutiveFailures = 0
	part := max(learnWeight, 1/float64(e.samples))
	e.coreTime += (coreTime - e.coreTime) * part
	e.wallTime = known + (wallTime-known)*part
}

// learnTimeout updates the wall time with a run that was still in progress at its deadline.
func (e *runTimeEstimator) learnTimeout(now, objective time.Duration, elapsed float64) {
	known := e.expectedWallTime(now, objective)
	e.wallTime = known + max(elapsed-known, 0)*learnWeight
	e.learnedAt = now
}

// countFailure counts a run that served no caller.
func (e *runTimeEstimator) countFailure(now time.Duration) {
	e.consecutiveFailures++
	e.lastFailureAt = now
}

// isFailing reports whether the latest runs served no caller. It reports false again once the last failure
// is staleObjectives old, so that the class is tried again.
func (e *runTimeEstimator) isFailing(now, objective time.Duration) bool {
	return e.consecutiveFailures >= maxConsecutiveFailures && now-e.lastFailureAt < staleObjectives*objective
}

// expectedWallTime returns the learned wall time, which decays with its age. Without the decay a class that
// was slow once would be rejected forever, because none of its requests would run to correct the estimate.
func (e *runTimeEstimator) expectedWallTime(now, objective time.Duration) float64 {
	return decayLearned(e.wallTime, now-e.learnedAt, objective)
}

// decayLearned returns a learned time, reduced by its age. The objective is the longest of all classes.
func decayLearned(learned float64, age, objective time.Duration) float64 {
	stale := age - staleObjectives*objective
	if stale <= 0 {
		return learned
	}
	return learned * math.Exp2(-stale.Seconds()/objective.Seconds())
}

// expectedCoreTime returns the core time of a run of the class in seconds. If it is not known, that is the
// mean of the classes whose core time is known, or 0 if there are none.
func (in *Instance) expectedCoreTime(class int) float64 {
	if coreTime := in.classes[class].runTime.coreTime; coreTime > 0 {
		return coreTime
	}
	sum, known := 0.0, 0
	for i := range in.classes {
		if coreTime := in.classes[i].runTime.coreTime; coreTime > 0 {
			sum += coreTime
			known++
		}
	}
	return sum / float64(max(known, 1))
}

// meanCoreTime returns the mean core time, in seconds, of the recently started runs; 0 = not known.
func (in *Instance) meanCoreTime() float64 {
	sum, runs := 0.0, 0.0
	for i := range in.classes {
		started := in.classes[i].share.started.rate(in.clock.now, in.rates.decay)
		sum += started * in.expectedCoreTime(i)
		runs += started
	}
	if runs == 0 {
		return in.expectedCoreTime(0)
	}
	return sum / runs
}

// isFailing reports whether the latest runs of the request's class served no caller.
func (in *Instance) isFailing(req *request) bool {
	return in.classes[req.class].runTime.isFailing(in.clock.now, in.longestObjective)
}

// expectedRunTime returns how long a run of the request is expected to take from its start to its end.
func (in *Instance) expectedRunTime(req *request) time.Duration {
	return seconds(in.classes[req.class].runTime.expectedWallTime(in.clock.now, in.longestObjective))
}
