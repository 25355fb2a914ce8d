// Inspection of an Instance, for operators who ask why it decided as it did. Nothing here decides or changes
// the Instance.

package admission

import (
	"slices"
	"time"
)

// Inspection is the state of an Instance at a time. Times are of its clock; durations are in nanoseconds in
// JSON.
type Inspection struct {
	Now              time.Duration     `json:"now"`
	Queued           int               `json:"held"`
	Running          int               `json:"running"`
	Calling          int               `json:"at_call"`
	ConcurrencyLimit float64           `json:"limit"`     // running requests wanted
	MaxConcurrency   float64           `json:"crowd"`     // running requests that the server survives, less a margin
	MemoryKB         float64           `json:"memory_kb"` // in use
	MaxMemoryKB      float64           `json:"most_kb"`   // that may be in use
	Keys             int               `json:"keys"`
	Utilization      float64           `json:"busy"`     // of the cores, 0 to 1
	Runnable         float64           `json:"runnable"` // what wants a core; negative = not known
	Saturated        bool              `json:"full"`     // all cores are busy
	Overloaded       bool              `json:"pressed"`  // saturated, and requests are queued
	Stalled          bool              `json:"stalled"`
	Draining         bool              `json:"draining"`
	RetryStorm       bool              `json:"stormy"`  // most arrivals are retries, or arrivals wait to be read
	RetryShare       float64           `json:"retries"` // part of the latest arrivals
	ReadDelay        time.Duration     `json:"unread"`  // that arrivals lately waited to be read
	HalfLife         time.Duration     `json:"half"`    // in which an arrival halves in the rate estimates
	TrafficWeight    float64           `json:"weight"`  // part of the usual traffic that is wanted
	Classes          []ClassInspection `json:"classes"`
}

// ClassInspection is the state of a class.
type ClassInspection struct {
	CoreTime          time.Duration `json:"core_time"` // of a run; 0 = not known
	WallTime          time.Duration `json:"wall"`      // from the start of a run to its end
	Samples           int           `json:"runs"`      // runs learned from
	QueuedWithinQuota int           `json:"within"`    // queued, of tenants within their quota shares
	QueuedOverQuota   int           `json:"over"`      // queued, of tenants over them

	Starved    bool                `json:"starved"`    // a smaller part of its requests is run than of the others
	Rejections [reasonCount]uint64 `json:"rejections"` // rejected requests since the start, by Reason
}

// Inspect returns the state of the Instance.
func (in *Instance) Inspect() Inspection {
	inspection := Inspection{
		Now:              in.clock.now,
		Queued:           in.queue.len(),
		Running:          in.use.running,
		Calling:          in.use.offCore,
		ConcurrencyLimit: in.limiter.limit,
		MaxConcurrency:   in.maxConcurrency(),
		MemoryKB:         in.memoryKB(),
		MaxMemoryKB:      in.settings.MemoryKB * usableMemory,
		Keys:             in.keys.count,
		Utilization:      in.limiter.utilization,
		Runnable:         in.limiter.runnable,
		Saturated:        in.isSaturated(),
		Overloaded:       in.isOverloaded(),
		Stalled:          in.stall.isStalled,
		Draining:         in.drain.isDraining,
		RetryStorm:       in.isRetryStorm(),
		RetryShare:       in.traffic.retryShare,
		ReadDelay:        seconds(in.traffic.readDelay),
		HalfLife:         in.longestObjective,
		TrafficWeight:    in.feedback.trafficWeight,
	}
	for i := range in.classes {
		inspection.Classes = append(inspection.Classes, in.classes[i].inspect())
	}
	return inspection
}

// inspect returns the state of the class.
func (c *classState) inspect() ClassInspection {
	return ClassInspection{
		CoreTime:          seconds(c.runTime.coreTime),
		WallTime:          seconds(c.runTime.wallTime),
		Samples:           c.runTime.samples,
		QueuedWithinQuota: c.queued[withinQuota],
		QueuedOverQuota:   c.queued[overQuota],
		Starved:           c.share.isStarved,
		Rejections:        c.rejections,
	}
}

// AdmissionCheck is how an Instance would decide on an arrival, and by what.
type AdmissionCheck struct {
	Reason            Reason        `json:"reason"`
	Coalesced         bool          `json:"repeats"`    // it is answered by the result of the one that it repeats
	ImpulseSize       float64       `json:"n"`          // EARRRL's N of its tenant or caller, with it counted
	LastArrival       time.Duration `json:"t"`          // EARRRL's T, when its sender's previous arrival was counted
	Rate              float64       `json:"rate"`       // arrivals a second, with it counted
	Threshold         float64       `json:"threshold"`  // of the rate at a full objective of predicted wait; 0 = none
	RateRatio         float64       `json:"excess"`     // rate over threshold
	PredictedWait     time.Duration `json:"wait"`       // in the queue
	Slack             time.Duration `json:"spare"`      // longest wait after which it would meet its objective
	ObjectiveDeadline time.Duration `json:"useful"`     // when an answer stops earning the full weight
	Deadline          time.Duration `json:"due"`        // when its answer must be out
	RetryAfter        time.Duration `json:"stay_away"`  // the advice of a rejection
	QueuedAhead       []RequestID   `json:"held_ahead"` // in the queue before it
	Running           []RequestID   `json:"on_cores"`   // on the cores
}

// CheckAdmission returns how the Instance would decide on an arrival now, without any effect on it. An ID that
// is in use gives the zero value.
func (in *Instance) CheckAdmission(now time.Duration, arrival Request) AdmissionCheck {
	trial, err := in.clone()
	if err != nil || trial.requests.byID[arrival.ID] != nil {
		return AdmissionCheck{}
	}
	trial.advanceClock(now)
	sender := trial.rates.senderIndex(arrival, len(trial.settings.Tenants))
	check := AdmissionCheck{
		LastArrival: trial.rates.senders[sender].updatedAt,
		QueuedAhead: trial.runOrder(),
		Running:     trial.inState(stateRunning),
	}
	req := trial.register(arrival)
	check.ImpulseSize = trial.rates.senders[sender].impulse
	check.Rate = trial.rates.senders[sender].rate(trial.clock.now, trial.rates.decay)
	check.RateRatio = req.rateRatio
	if req.rateRatio > 0 {
		check.Threshold = check.Rate / req.rateRatio
	}
	check.PredictedWait = seconds(trial.predictedWait(req))
	check.Slack = seconds(trial.slack(req))
	check.ObjectiveDeadline = req.objectiveDeadline
	check.Deadline = req.deadline
	check.Coalesced = trial.isCoalesced(req, arrival)
	if !check.Coalesced {
		check.Reason = trial.checkArrival(req)
	}
	check.RetryAfter = trial.retryAfter(req)
	return check
}

// QueueDecision is how an Instance would decide now on a request that it knows.
type QueueDecision struct {
	Reason            Reason        `json:"reason"` // why it would be rejected or failed now
	Phase             string        `json:"phase"`
	Arrived           time.Duration `json:"arrived"`
	ObjectiveDeadline time.Duration `json:"useful"`
	Deadline          time.Duration `json:"due"`
	ExpectedRunTime   time.Duration `json:"own_time"`
	RateRatio         float64       `json:"excess"` // of its tenant when it arrived
	QueuedAhead       []RequestID   `json:"held_ahead"`
	Running           []RequestID   `json:"on_cores"`
}

// InspectRequest returns how the Instance would decide now on a request that it knows; false for one that it
// does not.
func (in *Instance) InspectRequest(now time.Duration, id RequestID) (QueueDecision, bool) {
	trial, err := in.clone()
	if err != nil || trial.requests.byID[id] == nil {
		return QueueDecision{}, false
	}
	trial.advanceClock(now)
	req := trial.requests.byID[id]
	decision := QueueDecision{
		Reason:            trial.presentReason(req),
		Phase:             req.state.String(),
		Arrived:           req.arrivedAt,
		ObjectiveDeadline: req.objectiveDeadline,
		Deadline:          req.deadline,
		ExpectedRunTime:   trial.expectedRunTime(req),
		RateRatio:         req.rateRatio,
		Running:           trial.inState(stateRunning),
	}
	for _, ahead := range trial.runOrder() {
		if ahead == id {
			break
		}
		decision.QueuedAhead = append(decision.QueuedAhead, ahead)
	}
	return decision, true
}

// presentReason returns why a known request would be rejected or failed now, or Admitted.
func (in *Instance) presentReason(req *request) Reason {
	switch {
	case in.stall.isStalled:
		return Stalled
	case req.deadline <= in.clock.now+in.answerMargin():
		return DeadlineReached
	case req.state == stateQueued:
		return in.checkQueued(req)
	}
	return Admitted
}

// Queue returns the queued requests in the order in which they would be run now, and the running ones.
func (in *Instance) Queue() (queued, running []RequestID) {
	return in.runOrder(), in.inState(stateRunning)
}

// clone returns an Instance in the same state whose actions have no effect.
func (in *Instance) clone() (*Instance, error) { return Restore(in.Snapshot(nil), NoActions{}) }

// runOrder returns the queued requests in the order in which they would be run now.
func (in *Instance) runOrder() []RequestID {
	original := in.queue.requests
	in.queue.requests = slices.Clone(original)
	var ids []RequestID
	for in.queue.len() > 0 {
		next := in.nextToRun()
		ids = append(ids, next.id)
		in.queue.remove(next)
	}
	in.queue.requests = original
	return ids
}

// inState returns the requests in a state in the order of arrival.
func (in *Instance) inState(state requestState) []RequestID {
	var ids []RequestID
	for _, req := range in.requests.byArrival {
		if req.state == state {
			ids = append(ids, req.id)
		}
	}
	return ids
}
