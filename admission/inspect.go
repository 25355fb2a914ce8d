// Inspection of an Instance, which shows operators the reasons for its decisions. This file makes no decisions and
// does not change the Instance.

package admission

import (
	"slices"
	"time"
)

// Inspection is the state of an Instance at one point in time. Times are on the Instance's clock; durations are in
// nanoseconds in JSON.
type Inspection struct {
	Now              time.Duration     `json:"now"`
	Queued           int               `json:"held"`
	Running          int               `json:"running"`
	Calling          int               `json:"at_call"`
	ConcurrencyLimit float64           `json:"limit"`     // of running requests
	MaxConcurrency   float64           `json:"crowd"`     // running requests that the server survives, less a margin
	MemoryKB         float64           `json:"memory_kb"` // in use
	MaxMemoryKB      float64           `json:"most_kb"`   // that may be used
	Keys             int               `json:"keys"`
	Utilization      float64           `json:"busy"`     // of the cores, 0 to 1
	Runnable         float64           `json:"runnable"` // tasks that want a core; negative = not known
	Saturated        bool              `json:"full"`     // all cores are busy
	Overloaded       bool              `json:"pressed"`  // saturated, and requests are queued
	Stalled          bool              `json:"stalled"`
	Draining         bool              `json:"draining"`
	RetryStorm       bool              `json:"stormy"`  // most arrivals are retries, or arrivals wait long before they are read
	RetryShare       float64           `json:"retries"` // fraction of the latest arrivals that are retries
	ReadDelay        time.Duration     `json:"unread"`  // average time that the latest arrivals waited before they were read
	HalfLife         time.Duration     `json:"half"`    // in which the weight of an arrival in the rate estimates halves
	TrafficWeight    float64           `json:"weight"`  // wanted fraction of the usual traffic
	Classes          []ClassInspection `json:"classes"`
}

// ClassInspection is the state of one class.
type ClassInspection struct {
	CoreTime          time.Duration `json:"core_time"` // expected core time of a run; 0 = not known
	WallTime          time.Duration `json:"wall"`      // from the start of a run to its end
	Samples           int           `json:"runs"`      // runs learned from
	QueuedWithinQuota int           `json:"within"`    // queued, of tenants within their quota shares
	QueuedOverQuota   int           `json:"over"`      // queued, of tenants over their quota shares

	Starved    bool                `json:"starved"`    // it runs a smaller fraction of its requests than the other classes
	Rejections [reasonCount]uint64 `json:"rejections"` // since the start, by Reason
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
		MaxMemoryKB:      in.settings.MemoryKB * usableMemoryFraction,
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

// AdmissionCheck is the decision that an Instance would make on an arrival, with the values that lead to it.
type AdmissionCheck struct {
	Reason            Reason        `json:"reason"`
	Coalesced         bool          `json:"repeats"`    // it is answered with the result of the request that it repeats
	ImpulseSize       float64       `json:"n"`          // EARRRL's N of its tenant or caller, including this arrival
	LastArrival       time.Duration `json:"t"`          // EARRRL's T, when its sender's previous arrival was counted
	Rate              float64       `json:"rate"`       // arrivals per second of its tenant or caller, including this one
	Threshold         float64       `json:"threshold"`  // of the rate, from a predicted wait of half an objective on; 0 = none
	RateRatio         float64       `json:"excess"`     // rate divided by threshold
	PredictedWait     time.Duration `json:"wait"`       // in the queue
	Slack             time.Duration `json:"spare"`      // longest wait after which it would meet its objective
	ObjectiveDeadline time.Duration `json:"useful"`     // when an answer stops earning the full weight
	Deadline          time.Duration `json:"due"`        // when its answer must be sent
	RetryAfter        time.Duration `json:"stay_away"`  // Retry-After if it is rejected
	QueuedAhead       []RequestID   `json:"held_ahead"` // requests already in the queue, in the order of runs
	Running           []RequestID   `json:"on_cores"`   // requests on the cores
}

// CheckAdmission returns the decision that the Instance would make on an arrival now, without changing the Instance.
// For an ID that is in use it returns the zero value.
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
		Running:     trial.idsInState(stateRunning),
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

// RequestDecision is the decision that an Instance would make now on a request in its table.
type RequestDecision struct {
	Reason            Reason        `json:"reason"` // why it would be rejected or failed now, or Admitted
	Phase             string        `json:"phase"`
	Arrived           time.Duration `json:"arrived"`
	ObjectiveDeadline time.Duration `json:"useful"`
	Deadline          time.Duration `json:"due"`
	ExpectedRunTime   time.Duration `json:"own_time"`
	RateRatio         float64       `json:"excess"` // rate of its tenant divided by the threshold when it arrived
	QueuedAhead       []RequestID   `json:"held_ahead"`
	Running           []RequestID   `json:"on_cores"`
}

// InspectRequest returns the decision that the Instance would make now on a request in its table, and false if the ID
// is unknown.
func (in *Instance) InspectRequest(now time.Duration, id RequestID) (RequestDecision, bool) {
	trial, err := in.clone()
	if err != nil || trial.requests.byID[id] == nil {
		return RequestDecision{}, false
	}
	trial.advanceClock(now)
	req := trial.requests.byID[id]
	decision := RequestDecision{
		Reason:            trial.currentReason(req),
		Phase:             req.state.String(),
		Arrived:           req.arrivedAt,
		ObjectiveDeadline: req.objectiveDeadline,
		Deadline:          req.deadline,
		ExpectedRunTime:   trial.expectedRunTime(req),
		RateRatio:         req.rateRatio,
		Running:           trial.idsInState(stateRunning),
	}
	for _, ahead := range trial.runOrder() {
		if ahead == id {
			break
		}
		decision.QueuedAhead = append(decision.QueuedAhead, ahead)
	}
	return decision, true
}

// currentReason returns why a request in the table would be rejected or failed now, or Admitted.
func (in *Instance) currentReason(req *request) Reason {
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

// Queue returns the queued requests in the order in which they would run now, and the running ones in the order of
// arrival.
func (in *Instance) Queue() (queued, running []RequestID) {
	return in.runOrder(), in.idsInState(stateRunning)
}

// clone returns an Instance in the same state whose actions have no effect.
func (in *Instance) clone() (*Instance, error) { return Restore(in.Snapshot(nil), NoActions{}) }

// runOrder returns the queued requests in the order in which they would run now.
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

// idsInState returns the requests in the state in the order of arrival.
func (in *Instance) idsInState(state requestState) []RequestID {
	var ids []RequestID
	for _, req := range in.requests.byArrival {
		if req.state == state {
			ids = append(ids, req.id)
		}
	}
	return ids
}
