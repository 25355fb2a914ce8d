// Creation of an Instance, and the events that no other file handles. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// pollInterval is the interval at which the gauges are used: a fifth of the time over which they
	// average.
	pollInterval = 100 * time.Millisecond
	// answerMarginTicks is how many ticks before its deadline a request without an answer is rejected or
	// failed.
	answerMarginTicks = 2
	// maxSweepInterval is the longest interval between two sweeps.
	maxSweepInterval = time.Hour
	// finishedSlack is how many more finished than unfinished requests the list may hold before it is
	// swept. The bound exists because decisions iterate over the list.
	finishedSlack = 64
	// minQuota is the lower bound of a tenant's quota in requests per second, so that no threshold is 0.
	minQuota = 1e-3
)

// New returns an Instance with the settings, or a *SettingError that names the first invalid field.
func New(settings Settings, actions Actions) (*Instance, error) {
	if err := validate(settings); err != nil {
		return nil, err
	}
	in := &Instance{
		settings: settings,
		actions:  actions,
		requests: requestTable{byID: map[RequestID]*request{}},
		classes:  make([]classState, len(settings.Classes)),
		keys: idempotencyKeys{
			byClass:    make([][]*keyEntry, len(settings.Classes)),
			notStarted: map[RequestID]bool{},
		},
		limiter:  concurrencyLimiter{runnable: -1, limit: float64(settings.Cores)},
		feedback: loadFeedback{trafficWeight: 1, advertised: -1, isHealthy: true},
	}
	for _, class := range settings.Classes {
		in.longestObjective = max(in.longestObjective, class.LatencyObjective)
	}
	for _, tenant := range settings.Tenants {
		in.rates.totalQuota += max(tenant.Quota, minQuota)
	}
	// The half-life is the longest objective. The weight of an arrival then halves at about the time when
	// its answer is due, so that the rate follows the work of a surge.
	in.rates.decay = math.Ln2 / in.longestObjective.Seconds()
	return in, nil
}

// advanceClock advances the clocks to now. The first event starts the clocks and sets the server healthy.
func (in *Instance) advanceClock(now time.Duration) {
	if !in.clock.isStarted {
		in.clock.isStarted = true
		in.clock.startedAt = now
		in.clock.now = now
		in.schedule.nextPoll = now
		in.actions.SetHealth(true, true)
	}
	if now <= in.clock.now {
		return
	}
	elapsed := now - in.clock.now
	// A timer fires at each poll of the gauges. A longer gap means that the whole process, with its runs,
	// was paused.
	in.clock.core += min(elapsed, 2*pollInterval).Seconds() * in.coreShare()
	in.calls.accrueDebt(elapsed, in.use.callsInFlight, in.settings.FairCallShare)
	in.clock.now = now
}

// coreShare returns the fraction of a core that each running request gets; 0 if none runs.
func (in *Instance) coreShare() float64 {
	if in.use.running == 0 {
		return 0
	}
	return float64(in.settings.Cores) / float64(max(in.use.running, in.settings.Cores))
}

// Cancel reports that the caller of a request no longer waits.
func (in *Instance) Cancel(now time.Duration, id RequestID) {
	in.advanceClock(now)
	req := in.requests.byID[id]
	if req != nil && req.state != stateAbandoned {
		in.finish(req)
	}
}

// RunFinished reports the end of a run or of a replay.
func (in *Instance) RunFinished(now time.Duration, id RequestID, outcome Outcome) {
	in.advanceClock(now)
	req := in.requests.byID[id]
	if req == nil || req.state == stateQueued || req.state == stateFollowing {
		return
	}
	if req.state == stateRunning || req.state == stateAbandoned && outcome != Cancelled {
		in.stall.progressAt = in.clock.core
	}
	if req.state == stateRunning {
		in.learnFromRun(now, req, outcome)
	}
	if outcome == Cancelled && req.state != stateAbandoned && req.state != stateReplaying {
		in.actions.Fail(req.id) // the run was stopped before the request was answered
	}
	in.remove(req)
}

// learnFromRun updates the estimates with a run that ended.
func (in *Instance) learnFromRun(now time.Duration, req *request, outcome Outcome) {
	req.run.coreTime += in.clock.core - req.run.segmentStart
	estimator := &in.classes[req.class].runTime
	if outcome != OK {
		estimator.countFailure(in.clock.now)
		return
	}
	wallTime := (now - req.run.startedAt).Seconds()
	estimator.learn(in.clock.now, in.longestObjective, req.run.coreTime, wallTime)
	in.stall.longestRun = max(in.stall.longestRun, wallTime)
	in.rates.completions.count(now, in.rates.decay)
}

// answerMargin returns how long before its deadline a request without an answer is rejected or failed.
func (in *Instance) answerMargin() time.Duration { return answerMarginTicks * in.settings.Tick }

// Timer reports that the time of SetTimer has passed, with the server's gauges. The gauges are used at most
// once per pollInterval.
func (in *Instance) Timer(now time.Duration, _ uint32, gauges Gauges) {
	in.advanceClock(now)
	if now >= in.schedule.timerAt {
		in.schedule.timerAt = 0
	}
	if now < in.schedule.nextPoll {
		return
	}
	in.schedule.nextPoll = now + pollInterval
	in.limiter.setGauges(gauges)
	in.countLiveCallers()
	in.adjustConcurrencyLimit()
	in.detectStall()
	in.updateIdleTimeout()
	in.updateFeedback()
}

// Settle ends a group of simultaneous events. It answers requests whose deadline is near, rejects and runs
// queued requests, decides on pending calls and sets the timer.
func (in *Instance) Settle(now time.Duration) {
	in.advanceClock(now)
	in.keys.expire(in.clock.now, in.settings.Tick)
	isDeadlineNear := now+in.answerMargin() >= in.schedule.nextDeadline
	isListStale := len(in.requests.byArrival) > 2*len(in.requests.byID)+finishedSlack
	if isDeadlineNear || isListStale {
		in.sweep()
	}
	in.rejectFromQueue()
	in.startQueued()
	in.decideCalls()
	clear(in.keys.notStarted)
	in.setTimer()
}

// sweep answers all requests whose deadline is within the answer margin, removes finished requests from the
// list and finds the next deadline.
func (in *Instance) sweep() {
	in.schedule.nextDeadline = in.clock.now + maxSweepInterval
	all := in.requests.byArrival
	for _, r := range all {
		isUnanswered := r.state != stateFinished && r.state != stateAbandoned
		if isUnanswered && r.deadline <= in.clock.now+in.answerMargin() {
			in.rejectOrFail(r, DeadlineReached)
		}
	}
	kept := all[:0]
	for _, r := range all {
		if r.state == stateFinished {
			continue
		}
		kept = append(kept, r)
		if r.state != stateAbandoned {
			in.schedule.nextDeadline = min(in.schedule.nextDeadline, r.deadline)
		}
	}
	in.requests.byArrival = kept
}

// setTimer sets one timer for the next poll or the next deadline, whichever is earlier, unless a timer that
// fires no later is already set.
func (in *Instance) setTimer() {
	next := min(in.schedule.nextPoll, in.schedule.nextDeadline-in.answerMargin())
	next = max(next, in.clock.now+in.settings.Tick)
	if in.schedule.timerAt != 0 && in.schedule.timerAt <= next {
		return
	}
	in.schedule.timerAt = next
	in.actions.SetTimer(next-in.clock.now, 0)
}
