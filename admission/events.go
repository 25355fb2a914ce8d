// The start of an Instance and its remaining events. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// pollInterval is the time between two readings of the gauges: a fifth of what they average over.
	pollInterval = 100 * time.Millisecond
	// answerTicks is how many ticks before its due time a request is answered.
	answerTicks = 2
)

// New returns an Instance for the settings, or an error that names a field on which no instance can run.
func New(s Settings, a Actions) (*Instance, error) {
	if err := validate(s); err != nil {
		return nil, err
	}
	in := &Instance{settings: s, actions: a, byID: map[RequestID]*request{}, notStarted: map[RequestID]bool{},
		keys: make([][]*keyEntry, len(s.Classes)), classes: make([]classState, len(s.Classes)),
		concurrencyLimit: float64(s.Cores), runnable: -1, trafficWeight: 1, advertised: -1, isHealthy: true}
	for _, c := range s.Classes {
		in.longestObjective = max(in.longestObjective, c.LatencyObjective)
	}
	for _, t := range s.Tenants {
		in.totalQuota += max(t.Quota, 1e-3)
	}
	// An arrival halves about when its answer is due: a surge shows and ends as the work that it brings
	// does.
	in.decay = math.Ln2 / in.longestObjective.Seconds()
	return in, nil
}

// advanceClock moves the clocks to now.
func (in *Instance) advanceClock(now time.Duration) {
	if !in.isStarted {
		in.isStarted, in.startedAt, in.now = true, now, now
		in.nextPoll = now
		in.actions.SetHealth(true, true)
	}
	if now <= in.now {
		return
	}
	part := float64(min(in.running, 1)*in.settings.Cores) / float64(max(in.running, in.settings.Cores))
	// A timer comes at each poll of the gauges: a longer gap means that the process stood still, and its
	// work with it.
	in.coreClock += min(now-in.now, 2*pollInterval).Seconds() * part
	excess := float64(in.callsInFlight) - in.settings.FairCallShare
	in.callDebt = max(0, in.callDebt+(now-in.now).Seconds()*excess)
	in.now = now
}

// Cancel reports that the caller of a request no longer waits.
func (in *Instance) Cancel(now time.Duration, id RequestID) {
	in.advanceClock(now)
	if r := in.byID[id]; r != nil && r.state != stateAbandoned {
		in.finish(r)
	}
}

// RunFinished reports the end of a run or of a reuse.
func (in *Instance) RunFinished(now time.Duration, id RequestID, o Outcome) {
	in.advanceClock(now)
	r := in.byID[id]
	if r == nil || r.state == stateQueued || r.state == stateFollowing {
		return
	}
	if r.state == stateRunning || r.state == stateAbandoned && o != Cancelled {
		in.progressAt = in.coreClock
	}
	if r.state == stateRunning {
		r.coreTime += in.coreClock - r.partStart
		if o == OK {
			in.learn(r.class, r.coreTime, (now - r.startedAt).Seconds())
			in.longestRun = max(in.longestRun, (now - r.startedAt).Seconds())
			in.completions.count(now, in.decay)
		} else {
			in.countFailure(r)
		}
	}
	if o == Cancelled && r.state != stateAbandoned && r.state != stateReplaying {
		in.actions.Fail(r.id) // stopped, though its answer is still owed
	}
	in.setState(r, stateFinished)
	delete(in.byID, r.id)
}

// answerMargin is how long before its due time a request is answered.
func (in *Instance) answerMargin() time.Duration { return answerTicks * in.settings.Tick }

// Timer reports that the time asked for has passed, with the server's gauges.
func (in *Instance) Timer(now time.Duration, _ uint32, g Gauges) {
	in.advanceClock(now)
	if now >= in.timerAt {
		in.timerAt = 0
	}
	if now < in.nextPoll {
		return
	}
	in.nextPoll = now + pollInterval
	if g.Utilization >= 0 {
		in.utilization, in.runnable = g.Utilization, g.Runnable
	}
	in.countLiveCallers()
	in.adjustConcurrencyLimit()
	in.detectStall()
	in.updateIdleTimeout()
	in.updateFeedback()
}

// Settle acts on what the last group of events left to do.
func (in *Instance) Settle(now time.Duration) {
	in.advanceClock(now)
	in.expireKeys()
	if now+in.answerMargin() >= in.nextDeadline || len(in.byArrival) > 2*len(in.byID)+64 {
		in.sweep() // also where most are over: what follows ranges over all
	}
	in.rejectFromQueue()
	in.startQueued()
	in.decideCalls()
	clear(in.notStarted)
	in.setTimer()
}

// sweep answers all that is due and finds the next due time.
func (in *Instance) sweep() {
	in.nextDeadline = in.now + time.Hour
	kept := in.byArrival[:0]
	all := in.byArrival
	for _, r := range all {
		if r.state != stateFinished && r.state != stateAbandoned && r.deadline <= in.now+in.answerMargin() {
			in.rejectOrFail(r, DeadlineReached)
		}
	}
	for _, r := range all {
		if r.state == stateFinished {
			continue
		}
		kept = append(kept, r)
		if r.state != stateAbandoned {
			in.nextDeadline = min(in.nextDeadline, r.deadline)
		}
	}
	in.byArrival = kept
}

// setTimer asks for one timer, for the earliest thing to do.
func (in *Instance) setTimer() {
	next := min(in.nextPoll, in.nextDeadline-in.answerMargin())
	next = max(next, in.now+in.settings.Tick)
	if in.timerAt != 0 && in.timerAt <= next {
		return
	}
	in.timerAt = next
	in.actions.SetTimer(next-in.now, 0)
}
