// Admission of arriving requests, and the answers to requests that are not served. The interface is in
// interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// usableMemoryFraction is the fraction of the memory that is used. The rest covers requests that are
	// read before the next decision.
	usableMemoryFraction = 0.92
	// runMemoryDivisor: at most the memory that keys leave, divided by this number, is reserved for runs,
	// but always enough for one run.
	runMemoryDivisor = 2
	// thresholdWaitDivisor: a tenant just over its threshold is rejected when the predicted wait exceeds
	// the longest objective divided by this number.
	thresholdWaitDivisor = 2
	// retryAfterDivisor: the Retry-After of a rejection is at most the longest objective divided by this
	// number, unless the server is stalled or draining.
	retryAfterDivisor = 2
)

// Request decides whether to queue, coalesce or reject an attempt that was read.
func (in *Instance) Request(now time.Duration, arrival Request) {
	in.advanceClock(now)
	if in.requests.byID[arrival.ID] != nil {
		return // the host used an ID twice; the first request is kept
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

// register counts an arrival in the estimates and adds it to the request table.
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

// requestDeadline returns the time by which the request must be answered: the deadline that the request
// states, or otherwise the deadline of its class. While draining it is no later than stopAt, which is
// before the process is stopped.
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

// requestObjective returns the time after which an answer no longer earns the full weight. The latency
// objective counts from the first attempt.
func (in *Instance) requestObjective(req *request, arrival Request) time.Duration {
	class := in.settings.Classes[req.class]
	objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(arrival.Work))
	objective = min(objective, class.Deadline)
	return min(req.arrivedAt+objective-in.ageBeforeRetry(arrival), req.deadline)
}

// ageBeforeRetry estimates the time from the start of the request's first attempt to the start of this
// attempt; 0 = not known. A caller waits for a first attempt as long as its configured timeout, and for a
// retry at most until the deadline of all attempts. If a caller waits longer for a retry than for any first
// attempt, its wait is therefore the time left until that deadline, and the age is the deadline less the
// wait.
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

// isCoalesced reports whether the request is answered with the result of the request that it repeats. A
// retry of a request that was never started is a new request, and a non-idempotent request is always a new
// one.
func (in *Instance) isCoalesced(req *request, arrival Request) bool {
	if arrival.RetryOf == 0 || in.keys.notStarted[arrival.RetryOf] {
		return false
	}
	return in.settings.Classes[req.class].Effect != NonIdempotent
}

// coalesce joins a retry, or a read whose result may be shared, to its original. If the original was run,
// its result is the answer. If the original is still queued, the request follows it, and takes its place in
// the queue if the original ends without a run.
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

// checkArrival returns the reason to reject the request on arrival, or Admitted.
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

// isOverThreshold reports whether the tenant's rate is too high for the predicted wait, which is in seconds.
// The shorter the wait, the higher is the rate that EARRRL allows. A tenant just over its threshold is
// rejected if the wait exceeds half an objective, and a tenant at twice its threshold if it exceeds a
// quarter. A tenant within its threshold is never rejected. The objective is the longest of all classes, so
// that no class is favoured.
func (in *Instance) isOverThreshold(req *request, wait float64) bool {
	return req.rateRatio > 1 && req.rateRatio*wait > in.longestObjective.Seconds()/thresholdWaitDivisor
}

// slack returns the longest wait, in seconds, after which a run would still meet the objective.
func (in *Instance) slack(req *request) float64 {
	return (req.objectiveDeadline - in.clock.now - in.expectedRunTime(req)).Seconds()
}

// fitsInMemory reports whether there is enough memory to queue the request and to keep its key. Memory is
// reserved for runs: for one such request on each core, or for as many as fit into half of the memory that
// keys leave. If queued requests took the reserve too, none of them could ever run.
func (in *Instance) fitsInMemory(req *request) bool {
	usable := in.settings.MemoryKB * usableMemoryFraction
	oneRun := in.settings.RunningMemoryFactor * req.sizeKB
	allCores := float64(in.settings.Cores) * oneRun
	runs := max(oneRun, min(allCores, (usable-in.keysKB())/runMemoryDivisor))
	need := in.memoryKB() + max(0, runs-in.use.runningKB)
	if in.settings.Classes[req.class].Effect == IdempotentByKey {
		need += in.settings.KeyKB
	}
	return need <= usable
}

// rejectOrFail answers a request that is not served. It fails the request if its work has begun, and
// rejects it otherwise. A run in progress is stopped if possible.
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

// mustFail reports whether the request must be failed rather than rejected: a rejection promises that the
// request never ran.
func (in *Instance) mustFail(req *request) bool {
	switch req.state {
	case stateRunning, stateCallPending, stateCalling:
		return true
	}
	return req.run.hasRun && in.settings.Classes[req.class].Effect != Safe
}

// reject answers that the request never ran, and counts the rejection.
func (in *Instance) reject(req *request, reason Reason) {
	noRetry := (req.isRetry || in.isRetryStorm()) && !in.stall.isStalled
	in.actions.Reject(req.id, in.retryAfter(req), noRetry)
	class := &in.classes[req.class]
	class.rejections[reason]++
	if in.hasFairShareClaim(req) {
		class.share.rejected.count(in.clock.now, in.rates.decay)
	}
}

// retryAfter returns the Retry-After of a rejection. While the server is stalled or draining it is the
// longest that callers follow. Otherwise it is the predicted wait, or for a tenant over its threshold the
// time in which its rate estimate decays to the threshold. In a retry storm it is half of the longest
// objective, which is also the maximum: after a longer delay all callers would leave the cores idle and
// then return at the same time.
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

// finish ends a request that needs no further answer. If its work continues, the request stays in the table
// as abandoned.
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

// abandon marks a run whose result nobody waits for. It stops the run if that is possible and leaves no
// partial effect.
func (in *Instance) abandon(req *request) {
	in.classes[req.class].runTime.countFailure(in.clock.now)
	// A request in a call ends without a Stop, but the dependency may continue the call.
	if req.state == stateCalling {
		in.calls.chargeAbandonedCall(in.settings.AbandonedCallDuration)
	}
	canStop := in.settings.StopMode != StopNone && in.settings.Classes[req.class].Effect == Safe
	if req.state == stateRunning && canStop {
		in.actions.Stop(req.id)
	}
	in.setState(req, stateAbandoned)
}

// remove marks a request as finished and deletes it from the table by ID. The next sweep removes it from
// the list.
func (in *Instance) remove(req *request) {
	in.setState(req, stateFinished)
	delete(in.requests.byID, req.id)
}
