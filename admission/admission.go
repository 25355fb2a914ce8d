// Admission and refusal. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

// usableMemory is how much of the memory is used; the rest covers requests read before the next decision.
const usableMemory = 0.92

// isOverThreshold is the design's test of the rate, its threshold stretched by how little wait is
// predicted: a tenant just over the slice is refused from half an aim of wait on, at twice it from a
// quarter, and one within it never by this test. The aim is the longest of all classes, so that it prefers
// none of them.
func (in *Instance) isOverThreshold(r *request, wait float64) bool {
	return r.rateRatio > 1 && r.rateRatio*wait > in.longestObjective.Seconds()/2
}

// Request takes in one try that was read.
func (in *Instance) Request(now time.Duration, q Request) {
	in.advanceClock(now)
	if in.byID[q.ID] != nil {
		return // the host broke its word; the first keeps its place
	}
	r := in.register(q)
	if in.isCoalesced(r, q) {
		in.coalesce(r, q.RetryOf)
	} else {
		in.admit(r)
	}
	if r.state != stateFinished {
		in.nextDeadline = min(in.nextDeadline, r.deadline)
	}
}

// register counts an arrival and keeps what is known of it.
func (in *Instance) register(q Request) *request {
	q.Class = min(max(q.Class, 0), len(in.settings.Classes)-1)
	c := in.settings.Classes[q.Class]
	r := &request{id: q.ID, class: q.Class, isRetry: q.IsRetry, isShareable: q.ResourceID != 0,
		arrivedAt: in.now - q.QueueingDelay, sizeKB: max(q.SizeKB, 0)}
	in.readDelay += (max(q.QueueingDelay, 0).Seconds() - in.readDelay) * learnWeight
	in.retryShare *= 1 - learnWeight
	if q.IsRetry {
		in.retryShare += learnWeight
	}
	r.deadline = r.arrivedAt + c.Deadline
	if in.settings.HasDeadlines && q.RemainingTime > 0 {
		r.deadline = in.now + q.RemainingTime
	}
	r.deadline = max(r.deadline, in.now)
	if in.isDraining {
		r.deadline = min(r.deadline, in.stopAt)
	}
	aim := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(q.Work))
	r.objectiveDeadline = min(r.arrivedAt+min(aim, c.Deadline)-in.ageBeforeRetry(q), r.deadline)
	if r.rateRatio = in.measureRateRatio(q); r.rateRatio > 1 {
		r.quota = 1
	}
	in.byID[r.id] = r
	in.byArrival = append(in.byArrival, r)
	in.queuedKB += r.sizeKB
	return r
}

// isCoalesced tells whether the request is answered by what becomes of the one that it repeats.
func (in *Instance) isCoalesced(r *request, q Request) bool {
	return q.RetryOf != 0 && !in.notStarted[q.RetryOf] && in.settings.Classes[r.class].Effect != NonIdempotent
}

// ageBeforeRetry is how long before this try the first of its request began, as far as that can be told. A
// caller waits for a first try as long as its habit is, and for a further try at most until the deadline of
// all: one that waits longer than any first try tells by that what is left.
func (in *Instance) ageBeforeRetry(q Request) time.Duration {
	s, wait := &in.classes[q.Class], q.RemainingTime+max(q.QueueingDelay, 0)
	if !q.IsRetry {
		s.callerTimeout = max(s.callerTimeout, wait)
	}
	if !in.settings.HasDeadlines || s.callerTimeout == 0 || wait <= s.callerTimeout+in.settings.Tick {
		return 0
	}
	return max(in.settings.Classes[q.Class].Deadline-wait, 0)
}

// coalesce takes in a further try of a request, or of a read whose answer may be shared. One that was run
// is answered by its result; one that is still held is waited for, and its place taken if it is given up.
func (in *Instance) coalesce(r *request, id RequestID) {
	original := in.byID[id]
	for original != nil && original.state == stateFollowing {
		original = original.original
	}
	if original != nil && original.state == stateQueued && in.fitsInMemory(r) {
		r.original = original
		in.setState(r, stateFollowing)
		return
	}
	r.hasRun = original == nil || original.state != stateQueued
	switch {
	case in.isPastDrainGrace(r):
		in.rejectOrFail(r, AfterDrainGrace)
	case !r.hasRun || !in.fitsInMemory(r):
		in.rejectOrFail(r, OutOfMemory)
	default:
		in.setState(r, stateReplaying)
		in.actions.ReplayResult(r.id)
	}
}

// admit holds the request or turns it away on arrival.
func (in *Instance) admit(r *request) {
	if why := in.checkArrival(r); why != Admitted {
		in.rejectOrFail(r, why)
	} else {
		in.enqueue(r)
	}
}

// checkArrival is why the request is turned away on arrival, or that it is not.
func (in *Instance) checkArrival(r *request) Reason {
	switch {
	case in.isPastDrainGrace(r):
		return AfterDrainGrace
	case in.isStalled:
		return Stalled
	case !in.fitsInMemory(r):
		return OutOfMemory
	case r.deadline <= in.now+in.answerMargin():
		return DeadlineReached
	case !in.isOverloaded():
		return Admitted
	}
	wait := in.predictedWait(r)
	switch {
	case in.isOverThreshold(r, wait):
		return RateOverThreshold
	case in.isFailing(r) || in.classes[r.class].coreTime > 0 && wait > in.slack(r):
		return PredictedWaitTooLong
	}
	return Admitted
}

// slack is the longest wait in seconds after which a run would still meet the aim.
func (in *Instance) slack(r *request) float64 {
	return (r.objectiveDeadline - in.now - in.expectedRunTime(r)).Seconds()
}

// fitsInMemory tells whether the memory has room to hold the request, to keep its key, and to run one like
// it on each core, or as many as fit into half of what keys leave: where held requests take that room too,
// none of them can ever be run.
func (in *Instance) fitsInMemory(r *request) bool {
	most := in.settings.MemoryKB * usableMemory
	run := in.settings.RunningMemoryFactor * r.sizeKB
	runs := max(run, min(float64(in.settings.Cores)*run, (most-in.keysKB())/2))
	need := in.memoryKB() + max(0, runs-in.runningKB)
	if in.settings.Classes[r.class].Effect == IdempotentByKey {
		need += in.settings.KeyKB
	}
	return need <= most
}

// rejectOrFail turns the request away, or fails it where it ran and has an effect; work on the cores goes
// on or is stopped.
func (in *Instance) rejectOrFail(r *request, why Reason) {
	if r.state == stateRunning && !in.isStalled {
		in.learnTimeout(r)
	}
	effect := r.hasRun && in.settings.Classes[r.class].Effect != Safe
	if effect || r.state == stateRunning || r.state == stateCalling || r.state == stateCallPending {
		in.actions.Fail(r.id)
	} else {
		in.actions.Reject(r.id, in.retryAfter(r), (r.isRetry || in.isRetryStorm()) && !in.isStalled)
		in.classes[r.class].rejections[why]++
		if in.hasFairShareClaim(r) {
			in.classes[r.class].rejected.count(in.now, in.decay)
		}
	}
	in.finish(r)
}

// retryAfter is the advice that goes with refusals: the longest while nothing can be served here. Else it
// is the predicted wait, or for a tenant over its slice the time in which its estimate decays to it, by λ,
// and the most in a storm: half an aim. Longer advice has all callers leave idle cores and come back at
// once.
func (in *Instance) retryAfter(r *request) time.Duration {
	if in.isStalled || in.isDraining {
		return in.settings.MaxRetryAfter
	}
	most, seconds := min(in.settings.MaxRetryAfter, in.longestObjective/2), in.longestWait()
	if in.isRetryStorm() {
		return most
	} else if r.rateRatio > 1 {
		seconds = math.Log(r.rateRatio) / in.decay
	}
	return min(max(time.Duration(seconds*1e9), pollInterval), most) // no sooner than its next poll
}

// isRetryStorm tells that reading has become the work: most of what arrives is tried again despite
// refusals, or arrivals wait a tenth of an aim unread. Refusals then ask for no further try anywhere. It
// should cover any cause of repeated tries or backlog; it harms where one slow server keeps tries from
// others with room.
func (in *Instance) isRetryStorm() bool {
	return in.retryShare > 0.5 || in.readDelay > 0.1*in.longestObjective.Seconds()
}

// finish forgets a request that needs no answer any more.
func (in *Instance) finish(r *request) {
	switch r.state {
	case stateRunning, stateCallPending, stateCalling:
		in.countFailure(r)
		// One at its call ends there by itself, charged as if it ran until then; its call may linger below.
		if r.state == stateCalling {
			in.callDebt += in.settings.CallLinger.Seconds()
		}
		canStop := in.settings.StopMode != StopNone && in.settings.Classes[r.class].Effect == Safe
		if r.state == stateRunning && canStop {
			in.actions.Stop(r.id)
		}
		in.setState(r, stateAbandoned)
		return
	case stateQueued:
		in.dequeue(r)
		in.releaseKey(r)
	}
	in.setState(r, stateFinished)
	delete(in.byID, r.id)
}
