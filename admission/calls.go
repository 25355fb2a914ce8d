// Downstream calls that requests make while they run. The interface is in interface.go.

package admission

import "time"

const (
	// maxSkippableFailures is the number of failed attempts up to which a skippable call is retried. A call
	// with more failures is skipped.
	maxSkippableFailures = 2
	// callRetryInterval, multiplied by the number of failed attempts, is the wait before the next attempt
	// of a call.
	callRetryInterval = pollInterval / 2
	// callTimeoutDivisor: a call of a safe request may take at most the time left to the objective divided
	// by this number, so that there is time for another attempt.
	callTimeoutDivisor = 3
	// callTimeoutFactor: a call of a safe request may always take this multiple of the expected call time,
	// if the objective leaves enough time.
	callTimeoutFactor = 4
)

// downstreamCalls estimates how long calls take, and keeps this server within its share of a shared
// dependency.
type downstreamCalls struct {
	callTime  float64       // estimated duration of a call in seconds; 0 = not known
	learnedAt time.Duration // when callTime was last updated
	// debt is the call time in seconds by which calls exceeded this server's share; it is never negative.
	// No call begins while there is debt, so that the mean number of calls in flight stays within the
	// share.
	debt float64
}

// learn updates the estimated call time with a call that succeeded.
func (c *downstreamCalls) learn(now, objective, took time.Duration) {
	if c.callTime == 0 {
		c.callTime = took.Seconds()
	}
	known := c.expectedSeconds(now, objective)
	c.callTime = known + (took.Seconds()-known)*learnWeight
	c.learnedAt = now
}

// expectedSeconds returns the expected duration of a call in seconds.
func (c *downstreamCalls) expectedSeconds(now, objective time.Duration) float64 {
	return decayLearned(c.callTime, now-c.learnedAt, objective)
}

// accrueDebt charges the calls in flight during the elapsed time against this server's share of calls in
// flight.
func (c *downstreamCalls) accrueDebt(elapsed time.Duration, inFlight int, share float64) {
	c.debt = max(0, c.debt+elapsed.Seconds()*(float64(inFlight)-share))
}

// chargeAbandonedCall charges the time for which the dependency may continue an abandoned call.
func (c *downstreamCalls) chargeAbandonedCall(duration time.Duration) { c.debt += duration.Seconds() }

// CallRequested reports that a running request waits for a decision on a downstream call.
func (in *Instance) CallRequested(now time.Duration, id RequestID) {
	in.advanceClock(now)
	req := in.requests.byID[id]
	if req == nil || req.state != stateRunning {
		return
	}
	in.stall.progressAt = in.clock.core
	req.run.coreTime += in.clock.core - req.run.segmentStart
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
		in.calls.chargeAbandonedCall(in.settings.AbandonedCallDuration)
	}
	in.setState(req, stateCallPending)
	req.call.failures++
	if mayHaveTakenEffect(outcome) && in.settings.Classes[req.class].Effect != Safe {
		in.rejectOrFail(req, DeadlineReached) // a second call could repeat the effect
		return
	}
	req.call.attemptAt = now + time.Duration(req.call.failures)*callRetryInterval
}

// mayHaveTakenEffect reports whether a call that failed with the outcome may have been carried out.
func mayHaveTakenEffect(outcome Outcome) bool {
	switch outcome {
	case Rejected, Unreachable, NotStarted:
		return false
	}
	return true
}

// resume returns a request to the cores after its call was made or skipped.
func (in *Instance) resume(req *request) {
	req.run.segmentStart = in.clock.core
	in.setState(req, stateRunning)
}

// expectedCallSeconds returns the expected duration in seconds of a call that is made now.
func (in *Instance) expectedCallSeconds() float64 {
	return in.calls.expectedSeconds(in.clock.now, in.longestObjective)
}

// decideCalls decides on each pending call whose next attempt is due.
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

// decideCall makes the call, skips it or leaves it pending.
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
		// Some calls hang, for any cause: the timeout leaves enough time for another attempt.
		usual := seconds(callTimeoutFactor * in.expectedCallSeconds())
		timeout = min(left, max(left/callTimeoutDivisor, usual))
	}
	if in.settings.Downstream == DependencyShared {
		if !in.isWithinCallShare() {
			return
		}
		// No call may take longer than the time over which the dependency averages its calls.
		share := min(in.settings.FairCallShare, 1)
		timeout = min(timeout, time.Duration(float64(in.settings.CallAveragingTime)*share/2))
	}
	in.actions.Call(req.id, max(timeout, in.settings.Tick))
	in.setState(req, stateCalling)
}

// shouldSkipCall reports whether a call that may be skipped failed too often or has too little time left.
func (in *Instance) shouldSkipCall(req *request, left time.Duration) bool {
	return req.call.failures > maxSkippableFailures || left < seconds(in.expectedCallSeconds()/2)
}

// isWithinCallShare reports whether one more call keeps this server within its share of the calls in flight
// that the shared dependency survives. A share below one call allows one call at a time; the debt that this
// call accrues delays the next.
func (in *Instance) isWithinCallShare() bool {
	if in.calls.debt > 0 {
		return false
	}
	inFlight := in.use.callsInFlight
	return inFlight == 0 || float64(inFlight+1) <= in.settings.FairCallShare
}
