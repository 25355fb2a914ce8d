// Calls that requests make while they run. The interface is in interface.go.

package admission

import "time"

// CallRequested reports that a running request waits for a decision on a call.
func (in *Instance) CallRequested(now time.Duration, id RequestID) {
	in.advanceClock(now)
	r := in.byID[id]
	if r == nil || r.state != stateRunning {
		return
	}
	in.progressAt = in.coreClock
	r.coreTime += in.coreClock - r.partStart
	r.nextCallAt = now
	in.setState(r, stateCallPending)
}

// CallFinished reports the outcome of a call.
func (in *Instance) CallFinished(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	in.advanceClock(now)
	r := in.byID[id]
	if r == nil || r.state != stateCalling {
		return
	}
	if o == OK {
		if in.callTime == 0 {
			in.callTime = took.Seconds()
		}
		known := in.expectedCall()
		in.callTime, in.callLearnedAt = known+(took.Seconds()-known)*learnWeight, now
		r.partStart = in.coreClock
		in.setState(r, stateRunning)
		return
	}
	if o == TimedOut {
		in.callDebt += in.settings.CallLinger.Seconds()
	}
	in.setState(r, stateCallPending)
	r.callFailures++
	if o != Rejected && o != Unreachable && o != NotStarted && in.settings.Classes[r.class].Effect != Safe {
		in.rejectOrFail(r, DeadlineReached) // the call may have had its effect: never a second one
		return
	}
	r.nextCallAt = now + time.Duration(r.callFailures)*pollInterval/2
}

// expectedCall is how long a call takes in seconds.
func (in *Instance) expectedCall() float64 { return in.decayLearned(in.callTime, in.callLearnedAt) }

// decideCalls decides on the requests that stand at a call.
func (in *Instance) decideCalls() {
	if in.offCore == in.callsInFlight {
		return
	}
	for _, r := range in.byArrival {
		if r.state == stateCallPending && r.nextCallAt <= in.now {
			in.decideCall(r)
		}
	}
}

// decideCall makes the call, skips it or leaves the request to wait.
func (in *Instance) decideCall(r *request) {
	c := in.settings.Classes[r.class]
	rest := seconds(in.expectedCoreTime(r.class) / 2)
	left := r.objectiveDeadline - in.now - rest
	if c.SkippedCallWeight > 0 && (r.callFailures > 2 || left < seconds(in.expectedCall()/2)) {
		in.actions.SkipCall(r.id)
		r.partStart = in.coreClock
		in.setState(r, stateRunning)
		return
	}
	timeout := r.deadline - in.now
	if c.Effect == Safe && left > 0 {
		// Some calls hang, whatever the cause: enough time is kept to make another.
		timeout = min(left, max(left/3, seconds(4*in.expectedCall())))
	}
	if in.settings.Downstream == DependencyShared {
		// All servers' calls in hand must stay under what the dependency survives on the mean: parts under
		// one and calls that linger are paid for between calls; no call may outlast the time of the mean.
		more := float64(in.callsInFlight + 1)
		if in.callsInFlight > 0 && more > in.settings.FairCallShare || in.callDebt > 0 {
			return
		}
		over := float64(in.settings.CallAveragingTime)
		timeout = min(timeout, time.Duration(over*min(in.settings.FairCallShare, 1)/2))
	}
	in.actions.Call(r.id, max(timeout, in.settings.Tick))
	in.setState(r, stateCalling)
}
