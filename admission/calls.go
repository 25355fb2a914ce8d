// Calls that requests make while they run. The interface is in interface.go.

package admission

import "time"

// CallRequested reports that a running request waits for a decision on a call.
func (in *Instance) CallRequested(now time.Duration, id RequestID) {
	in.tick(now)
	r := in.byID[id]
	if r == nil || r.state != running {
		return
	}
	in.progress = in.coreClock
	r.coreTime += in.coreClock - r.partStart
	r.callAt = now
	in.setState(r, asking)
}

// CallFinished reports the outcome of a call.
func (in *Instance) CallFinished(now time.Duration, id RequestID, o Outcome, took time.Duration) {
	in.tick(now)
	r := in.byID[id]
	if r == nil || r.state != calling {
		return
	}
	if o == OK {
		if in.callTime == 0 {
			in.callTime = took.Seconds()
		}
		known := in.expectedCall()
		in.callTime, in.calledAt = known+(took.Seconds()-known)*learnWeight, now
		r.partStart = in.coreClock
		in.setState(r, running)
		return
	}
	if o == TimedOut {
		in.callDebt += in.set.CallLinger.Seconds()
	}
	in.setState(r, asking)
	r.calls++
	if o != Rejected && o != Unreachable && o != NotStarted && in.set.Classes[r.class].Effect != Safe {
		in.answer(r, DeadlineReached) // the call may have had its effect: never a second one
		return
	}
	r.callAt = now + time.Duration(r.calls)*pollInterval/2
}

// expectedCall is how long a call takes in seconds.
func (in *Instance) expectedCall() float64 { return in.faded(in.callTime, in.calledAt) }

// placeCalls decides on the requests that stand at a call.
func (in *Instance) placeCalls() {
	if in.atCall == in.inHand {
		return
	}
	for _, r := range in.all {
		if r.state == asking && r.callAt <= in.now {
			in.placeCall(r)
		}
	}
}

// placeCall makes the call, skips it or leaves the request to wait.
func (in *Instance) placeCall(r *request) {
	c := in.set.Classes[r.class]
	rest := seconds(in.runTime(r.class) / 2)
	left := r.useful - in.now - rest
	if c.SkippedCallWeight > 0 && (r.calls > 2 || left < seconds(in.expectedCall()/2)) {
		in.do.SkipCall(r.id)
		r.partStart = in.coreClock
		in.setState(r, running)
		return
	}
	timeout := r.due - in.now
	if c.Effect == Safe && left > 0 {
		// Some calls hang, whatever the cause: enough time is kept to make another.
		timeout = min(left, max(left/3, seconds(4*in.expectedCall())))
	}
	if in.set.Downstream == DependencyShared {
		// All servers' calls in hand must stay under what the dependency survives on the mean: parts under
		// one and calls that linger are paid for between calls; no call may outlast the time of the mean.
		if in.inHand > 0 && float64(in.inHand+1) > in.set.FairCallShare || in.callDebt > 0 {
			return
		}
		share := min(in.set.FairCallShare, 1)
		timeout = min(timeout, time.Duration(float64(in.set.CallAveragingTime)*share/2))
	}
	in.do.Call(r.id, max(timeout, in.set.Tick))
	in.setState(r, calling)
}
