// Downstream calls that requests make while they run. The interface is in interface.go.

package admission

import "time"

const (
	// maxSkippableFailures is how many attempts of a call may fail before the call is skipped, if it can be.
	maxSkippableFailures = 2
	// callRetryInterval is the wait before another attempt of a call for each that failed.
	callRetryInterval = pollInterval / 2
	// callTimeoutDivisor: a call may take at most the time left to the objective divided by it, so that
	// another attempt has time.
	callTimeoutDivisor = 3
	// callTimeoutFactor: a call may always take this many expected call times, if the objective allows it.
	callTimeoutFactor = 4
)

// downstreamCalls knows how long calls take, and keeps this server within its share of a shared dependency.
type downstreamCalls struct {
	callTime  float64       // seconds of a usual call; 0 = not known
	learnedAt time.Duration // when that was learned last
	// debt is the time in seconds by which calls exceeded this server's share, never negative. No call
	// begins while there is debt, so that the mean number in flight stays within the share.
	debt float64
}

// learn updates the call time by a call that succeeded.
func (c *downstreamCalls) learn(now, objective, took time.Duration) {
	if c.callTime == 0 {
		c.callTime = took.Seconds()
	}
	known := c.expectedSeconds(now, objective)
	c.callTime = known + (took.Seconds()-known)*learnWeight
	c.learnedAt = now
}

// expectedSeconds is how long a call is expected to take.
func (c *downstreamCalls) expectedSeconds(now, objective time.Duration) float64 {
	return decayLearned(c.callTime, now-c.learnedAt, objective)
}

// accrueDebt charges the calls in flight over the elapsed time against this server's share of them.
func (c *downstreamCalls) accrueDebt(elapsed time.Duration, inFlight int, share float64) {
	c.debt = max(0, c.debt+elapsed.Seconds()*(float64(inFlight)-share))
}

// addLinger charges the time that the dependency may go on with a call that was abandoned.
func (c *downstreamCalls) addLinger(linger time.Duration) { c.debt += linger.Seconds() }

// CallRequested reports that a running request waits for a decision on a downstream call.
func (in *Instance) CallRequested(now time.Duration, id RequestID) {
	in.advanceClock(now)
	req := in.requests.byID[id]
	if req == nil || req.state != stateRunning {
		return
	}
	in.stall.progressAt = in.clock.core
	req.run.coreTime += in.clock.core - req.run.partStart
	req.call.attemptAt = now
	in.setState(req, stateCallPending)
}

// CallFinished reports the outcome of a downstream call and how long it took.
func (in *Instance) CallFinished(now time.Duration, id RequestID, outcome Outcome, took time.Duration) {
	in.advanceClock(now)
	req := in.requests.byID[id]
	if req == nil || req.state != stateCalling {
		return
	}
	if outcome == OK {
		in.calls.learn(now, in.longestObjective, took)
		in.resume(req)
		return
	}
	if outcome == TimedOut {
		in.calls.addLinger(in.settings.CallLinger)
	}
	in.setState(req, stateCallPending)
	req.call.failures++
	if mayHaveTakenEffect(outcome) && in.settings.Classes[req.class].Effect != Safe {
		in.rejectOrFail(req, DeadlineReached) // a second call could repeat the effect
		return
	}
	req.call.attemptAt = now + time.Duration(req.call.failures)*callRetryInterval
}

// mayHaveTakenEffect tells whether a call that failed with the outcome may have been carried out.
func mayHaveTakenEffect(outcome Outcome) bool {
	switch outcome {
	case Rejected, Unreachable, NotStarted:
		return false
	}
	return true
}

// resume puts a request back on the cores after its call was made or skipped.
func (in *Instance) resume(req *request) {
	req.run.partStart = in.clock.core
	in.setState(req, stateRunning)
}

// expectedCallSeconds is how long a call is expected to take now.
func (in *Instance) expectedCallSeconds() float64 {
	return in.calls.expectedSeconds(in.clock.now, in.longestObjective)
}

// decideCalls decides on the requests that wait for a decision on their call.
func (in *Instance) decideCalls() {
	if in.use.offCore == in.use.callsInFlight {
		return
	}
	for _, req := range in.requests.byArrival {
		if req.state == stateCallPending && req.call.attemptAt <= in.clock.now {
			in.decideCall(req)
		}
	}
}

// decideCall makes the call, skips it or leaves the request to wait.
func (in *Instance) decideCall(req *request) {
	class := in.settings.Classes[req.class]
	restOfRun := seconds(in.expectedCoreTime(req.class) / 2)
	left := req.objectiveDeadline - in.clock.now - restOfRun
	if class.SkippedCallWeight > 0 && in.shouldSkipCall(req, left) {
		in.actions.SkipCall(req.id)
		in.resume(req)
		return
	}
	timeout := req.deadline - in.clock.now
	if class.Effect == Safe && left > 0 {
		// Some calls hang, whatever the cause: enough time is kept for another attempt.
		usual := seconds(callTimeoutFactor * in.expectedCallSeconds())
		timeout = min(left, max(left/callTimeoutDivisor, usual))
	}
	if in.settings.Downstream == DependencyShared {
		if !in.isWithinCallShare() {
			return
		}
		// No call may outlast the time over which the dependency averages.
		share := min(in.settings.FairCallShare, 1)
		timeout = min(timeout, time.Duration(float64(in.settings.CallAveragingTime)*share/2))
	}
	in.actions.Call(req.id, max(timeout, in.settings.Tick))
	in.setState(req, stateCalling)
}

// shouldSkipCall tells whether a call that may be skipped failed too often or has too little time left.
func (in *Instance) shouldSkipCall(req *request, left time.Duration) bool {
	return req.call.failures > maxSkippableFailures || left < seconds(in.expectedCallSeconds()/2)
}

// isWithinCallShare tells whether one more call keeps this server within its share of the calls in flight
// that the shared dependency survives. A share under one call allows one call at a time; the debt that it
// accrues delays the next.
func (in *Instance) isWithinCallShare() bool {
	if in.calls.debt > 0 {
		return false
	}
	inFlight := in.use.callsInFlight
	return inFlight == 0 || float64(inFlight+1) <= in.settings.FairCallShare
}
