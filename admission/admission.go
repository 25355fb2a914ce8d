// Admission of arriving requests, and the answers to those that are not served. The interface is in
// interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// usableMemory is the part of the memory that is used; the rest covers requests that are read before
	// the next decision.
	usableMemory = 0.92
	// runMemoryDivisor: memory for runs is kept free up to what keys leave divided by it.
	runMemoryDivisor = 2
	// thresholdWaitDivisor: a tenant just over its threshold is rejected when the predicted wait is over
	// the longest objective divided by it.
	thresholdWaitDivisor = 2
	// retryAfterDivisor: the retry-after advice is at most the longest objective divided by it.
	retryAfterDivisor = 2
)

// Request decides on an attempt that was read.
func (in *Instance) Request(now time.Duration, arrival Request) {
	in.advanceClock(now)
	if in.requests.byID[arrival.ID] != nil {
		return // the host used an ID twice; the first request keeps its place
	}
	req := in.register(arrival)
	if in.isCoalesced(req, arrival) {
		in.coalesce(req, arrival.RetryOf)
	} else {
		in.admit(req)
	}
	if req.state != stateFinished {
		in.schedule.nextDeadline = min(in.schedule.nextDeadline, req.deadline)
	}
}

// register counts an arrival in the estimates and enters it into the request table.
func (in *Instance) register(arrival Request) *request {
	arrival.Class = min(max(arrival.Class, 0), len(in.settings.Classes)-1)
	in.traffic.countArrival(arrival.IsRetry, arrival.QueueingDelay)
	req := &request{
		id:          arrival.ID,
		class:       arrival.Class,
		isRetry:     arrival.IsRetry,
		isShareable: arrival.ResourceID != 0,
		sizeKB:      max(arrival.SizeKB, 0),
		arrivedAt:   in.clock.now - arrival.QueueingDelay,
	}
	req.deadline = in.requestDeadline(req, arrival)
	req.objectiveDeadline = in.requestObjective(req, arrival)
	req.rateRatio = in.measureRateRatio(arrival)
	if req.rateRatio > 1 {
		req.quota = overQuota
	}
	in.requests.byID[req.id] = req
	in.requests.byArrival = append(in.requests.byArrival, req)
	in.use.add(req, in.settings.RunningMemoryFactor, 1)
	return req
}

// requestDeadline is when the answer must be out: as the request states, or by its class, and before the
// process is stopped.
func (in *Instance) requestDeadline(req *request, arrival Request) time.Duration {
	deadline := req.arrivedAt + in.settings.Classes[req.class].Deadline
	if in.settings.HasDeadlines && arrival.RemainingTime > 0 {
		deadline = in.clock.now + arrival.RemainingTime
	}
	deadline = max(deadline, in.clock.now)
	if in.drain.isDraining {
		deadline = min(deadline, in.drain.stopAt)
	}
	return deadline
}

// requestObjective is when an answer stops earning the full weight, counted from the first attempt.
func (in *Instance) requestObjective(req *request, arrival Request) time.Duration {
	class := in.settings.Classes[req.class]
	objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(arrival.Work))
	objective = min(objective, class.Deadline)
	return min(req.arrivedAt+objective-in.ageBeforeRetry(arrival), req.deadline)
}

// ageBeforeRetry estimates how long before this attempt the first attempt of its request began. A caller
// waits for a first attempt as long as its configured timeout, and for a retry at most until the deadline
// of all attempts. A retry whose caller waits longer than for any first attempt so reveals the time that is
// left, and the deadline less that is the age. 0 = not known.
func (in *Instance) ageBeforeRetry(arrival Request) time.Duration {
	class := &in.classes[arrival.Class]
	wait := arrival.RemainingTime + max(arrival.QueueingDelay, 0)
	if !arrival.IsRetry {
		class.callerTimeout = max(class.callerTimeout, wait)
	}
	if !in.settings.HasDeadlines || class.callerTimeout == 0 {
		return 0
	}
	if wait <= class.callerTimeout+in.settings.Tick {
		return 0
	}
	return max(in.settings.Classes[arrival.Class].Deadline-wait, 0)
}

// isCoalesced tells whether the request is answered by the result of the one that it repeats. A retry of a
// request that was never started is a new request.
func (in *Instance) isCoalesced(req *request, arrival Request) bool {
	if arrival.RetryOf == 0 || in.keys.notStarted[arrival.RetryOf] {
		return false
	}
	return in.settings.Classes[req.class].Effect != NonIdempotent
}

// coalesce joins a retry, or a read whose result may be shared, to its original. If the original was run
// its result is the answer. If it is still queued the request follows it, and takes its place in the queue
// if the original ends without a run.
func (in *Instance) coalesce(req *request, id RequestID) {
	original := in.requests.byID[id]
	for original != nil && original.state == stateFollowing {
		original = original.original
	}
	if original != nil && original.state == stateQueued && in.fitsInMemory(req) {
		req.original = original
		in.setState(req, stateFollowing)
		return
	}
	req.run.hasRun = original == nil || original.state != stateQueued
	switch {
	case in.isPastDrainGrace(req):
		in.rejectOrFail(req, AfterDrainGrace)
	case !req.run.hasRun || !in.fitsInMemory(req):
		in.rejectOrFail(req, OutOfMemory)
	default:
		in.setState(req, stateReplaying)
		in.actions.ReplayResult(req.id)
	}
}

// admit queues the request or rejects it on arrival.
func (in *Instance) admit(req *request) {
	if reason := in.checkArrival(req); reason != Admitted {
		in.rejectOrFail(req, reason)
		return
	}
	in.enqueue(req)
}

// checkArrival returns why the request is rejected on arrival, or Admitted.
func (in *Instance) checkArrival(req *request) Reason {
	switch {
	case in.isPastDrainGrace(req):
		return AfterDrainGrace
	case in.stall.isStalled:
		return Stalled
	case !in.fitsInMemory(req):
		return OutOfMemory
	case req.deadline <= in.clock.now+in.answerMargin():
		return DeadlineReached
	case !in.isOverloaded():
		return Admitted
	}
	wait := in.predictedWait(req)
	switch {
	case in.isOverThreshold(req, wait):
		return RateOverThreshold
	case in.isFailing(req):
		return PredictedWaitTooLong
	case in.classes[req.class].runTime.coreTime > 0 && wait > in.slack(req):
		return PredictedWaitTooLong
	}
	return Admitted
}

// isOverThreshold is EARRRL's test of the rate, with a threshold that rises as the predicted wait falls: a
// tenant just over its quota share is rejected from a wait of half an objective on, one at twice its share
// from a quarter, and one within its share never. The objective is the longest of all classes, so that no
// class is preferred.
func (in *Instance) isOverThreshold(req *request, wait float64) bool {
	return req.rateRatio > 1 && req.rateRatio*wait > in.longestObjective.Seconds()/thresholdWaitDivisor
}

// slack is the longest wait in seconds after which a run would still meet the objective.
func (in *Instance) slack(req *request) float64 {
	return (req.objectiveDeadline - in.clock.now - in.expectedRunTime(req)).Seconds()
}

// fitsInMemory tells whether the memory has room to queue the request and to keep its key. Room for runs is
// reserved: one like the request on each core, or as many as fit into half of what keys leave. If queued
// requests took that room too, none of them could ever run.
func (in *Instance) fitsInMemory(req *request) bool {
	usable := in.settings.MemoryKB * usableMemory
	oneRun := in.settings.RunningMemoryFactor * req.sizeKB
	allCores := float64(in.settings.Cores) * oneRun
	runs := max(oneRun, min(allCores, (usable-in.keysKB())/runMemoryDivisor))
	need := in.memoryKB() + max(0, runs-in.use.runningKB)
	if in.settings.Classes[req.class].Effect == IdempotentByKey {
		need += in.settings.KeyKB
	}
	return need <= usable
}

// rejectOrFail answers a request that is not served: it is rejected, or failed if its work began. A run
// that is still in progress is stopped if it can be.
func (in *Instance) rejectOrFail(req *request, reason Reason) {
	if req.state == stateRunning && !in.stall.isStalled {
		elapsed := (in.clock.now - req.run.startedAt).Seconds()
		in.classes[req.class].runTime.learnTimeout(in.clock.now, in.longestObjective, elapsed)
	}
	if in.mustFail(req) {
		in.actions.Fail(req.id)
	} else {
		in.reject(req, reason)
	}
	in.finish(req)
}

// mustFail tells whether the request must be failed: a rejection promises that it never ran.
func (in *Instance) mustFail(req *request) bool {
	switch req.state {
	case stateRunning, stateCallPending, stateCalling:
		return true
	}
	return req.run.hasRun && in.settings.Classes[req.class].Effect != Safe
}

// reject answers that the request never ran, and counts it.
func (in *Instance) reject(req *request, reason Reason) {
	noRetry := (req.isRetry || in.isRetryStorm()) && !in.stall.isStalled
	in.actions.Reject(req.id, in.retryAfter(req), noRetry)
	class := &in.classes[req.class]
	class.rejections[reason]++
	if in.hasFairShareClaim(req) {
		class.share.rejected.count(in.clock.now, in.rates.decay)
	}
}

// retryAfter is the Retry-After of a rejection. While nothing can be served here it is the longest that is
// honoured. Otherwise it is the predicted wait, or for a tenant over its quota share the time in which its
// rate estimate decays to the share. In a retry storm it is half an objective, which is also the maximum:
// after a longer one all callers leave the cores idle and return at the same time.
func (in *Instance) retryAfter(req *request) time.Duration {
	if in.stall.isStalled || in.drain.isDraining {
		return in.settings.MaxRetryAfter
	}
	longest := min(in.settings.MaxRetryAfter, in.longestObjective/retryAfterDivisor)
	if in.isRetryStorm() {
		return longest
	}
	wait := in.longestWait()
	if req.rateRatio > 1 {
		wait = math.Log(req.rateRatio) / in.rates.decay
	}
	advice := max(seconds(wait), pollInterval) // no decision changes before the next poll
	return min(advice, longest)
}

// finish ends a request that needs no answer any more. Work that goes on keeps it in the table as
// abandoned.
func (in *Instance) finish(req *request) {
	switch req.state {
	case stateRunning, stateCallPending, stateCalling:
		in.abandon(req)
		return
	case stateQueued:
		in.dequeue(req)
		in.releaseKey(req)
	}
	in.remove(req)
}

// abandon marks a run whose result nobody waits for, and stops it if that is possible and leaves no partial
// effect.
func (in *Instance) abandon(req *request) {
	in.classes[req.class].runTime.countFailure(in.clock.now)
	// A request at its call ends by itself, but the dependency may go on with the call.
	if req.state == stateCalling {
		in.calls.addLinger(in.settings.CallLinger)
	}
	canStop := in.settings.StopMode != StopNone && in.settings.Classes[req.class].Effect == Safe
	if req.state == stateRunning && canStop {
		in.actions.Stop(req.id)
	}
	in.setState(req, stateAbandoned)
}

// remove takes a request out of the table; the next sweep takes it out of the list.
func (in *Instance) remove(req *request) {
	in.setState(req, stateFinished)
	delete(in.requests.byID, req.id)
}
