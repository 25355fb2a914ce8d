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
	in := &Instance{set: s, do: a, byID: map[RequestID]*request{}, unrun: map[RequestID]bool{},
		keys: make([][]*key, len(s.Classes)), classes: make([]classStats, len(s.Classes)),
		concurrencyLimit: float64(s.Cores), runnable: -1, weight: 1, advertised: -1, healthy: true}
	for _, c := range s.Classes {
		in.longestAim = max(in.longestAim, c.LatencyObjective)
	}
	for _, t := range s.Tenants {
		in.quotas += max(t.Quota, 1e-3)
	}
	// An arrival halves about when its answer is due: a surge shows and ends as the work that it brings
	// does.
	in.lambda = math.Ln2 / in.longestAim.Seconds()
	return in, nil
}

// tick moves the clocks to now.
func (in *Instance) tick(now time.Duration) {
	if !in.begun {
		in.begun, in.start, in.now = true, now, now
		in.nextPoll = now
		in.do.SetHealth(true, true)
	}
	if now <= in.now {
		return
	}
	part := float64(min(in.onCores, 1)*in.set.Cores) / float64(max(in.onCores, in.set.Cores))
	// A timer comes at each poll of the gauges: a longer gap means that the process stood still, and its
	// work with it.
	in.coreClock += min(now-in.now, 2*pollInterval).Seconds() * part
	in.callDebt = max(0, in.callDebt+(now-in.now).Seconds()*(float64(in.inHand)-in.set.FairCallShare))
	in.now = now
}

// Cancel reports that the caller of a request no longer waits.
func (in *Instance) Cancel(now time.Duration, id RequestID) {
	in.tick(now)
	if r := in.byID[id]; r != nil && r.state != ended {
		in.finish(r)
	}
}

// RunFinished reports the end of a run or of a reuse.
func (in *Instance) RunFinished(now time.Duration, id RequestID, o Outcome) {
	in.tick(now)
	r := in.byID[id]
	if r == nil || r.state == held || r.state == follows {
		return
	}
	if r.state == running || r.state == ended && o != Cancelled {
		in.progress = in.coreClock
	}
	if r.state == running {
		r.coreTime += in.coreClock - r.partStart
		if o == OK {
			in.learn(r.class, r.coreTime, (now - r.began).Seconds())
			in.longest = max(in.longest, (now - r.began).Seconds())
			in.completions.count(now, in.lambda)
		} else {
			in.countWasted(r)
		}
	}
	if o == Cancelled && r.state != ended && r.state != echoing {
		in.do.Fail(r.id) // stopped, though its answer is still owed
	}
	in.setState(r, over)
	delete(in.byID, r.id)
}

// margin is how long before its due time a request is answered.
func (in *Instance) margin() time.Duration { return answerTicks * in.set.Tick }

// Timer reports that the time asked for has passed, with the server's gauges.
func (in *Instance) Timer(now time.Duration, _ uint32, g Gauges) {
	in.tick(now)
	if now >= in.wakeAt {
		in.wakeAt = 0
	}
	if now < in.nextPoll {
		return
	}
	in.nextPoll = now + pollInterval
	if g.Utilization >= 0 {
		in.busy, in.runnable = g.Utilization, g.Runnable
	}
	in.countCallers()
	in.adjustLimit()
	in.watchStall()
	in.updateIdleTimeout()
	in.updateFeedback()
}

// Settle acts on what the last group of events left to do.
func (in *Instance) Settle(now time.Duration) {
	in.tick(now)
	in.expireKeys()
	if now+in.margin() >= in.nextDue || len(in.all) > 2*len(in.byID)+64 {
		in.sweep() // also where most are over: what follows ranges over all
	}
	in.rejectUseless()
	in.startQueued()
	in.placeCalls()
	clear(in.unrun)
	in.setTimer()
}

// sweep answers all that is due and finds the next due time.
func (in *Instance) sweep() {
	in.nextDue = in.now + time.Hour
	kept := in.all[:0]
	all := in.all
	for _, r := range all {
		if r.state != over && r.state != ended && r.due <= in.now+in.margin() {
			in.answer(r, DeadlineReached)
		}
	}
	for _, r := range all {
		if r.state == over {
			continue
		}
		kept = append(kept, r)
		if r.state != ended {
			in.nextDue = min(in.nextDue, r.due)
		}
	}
	in.all = kept
}

// setTimer asks for one timer, for the earliest thing to do.
func (in *Instance) setTimer() {
	next := min(in.nextPoll, in.nextDue-in.margin())
	next = max(next, in.now+in.set.Tick)
	if in.wakeAt != 0 && in.wakeAt <= next {
		return
	}
	in.wakeAt = next
	in.do.SetTimer(next-in.now, 0)
}
