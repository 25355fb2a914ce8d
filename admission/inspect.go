// What an Instance knows, for operators who ask why it decided as it did. Nothing here decides.

package admission

import "time"

// Reason is why a request was turned away, where the decision is made by itself.
type Reason uint8

// The reasons. On arrival: from AfterDrainGrace to PredictedWaitTooLong; in the queue: Due, Stalled, and from DeadlineUnreachable on.
const (
	Admitted             Reason = iota // it was not
	AfterDrainGrace                    // it arrived later than the grace of a drain
	Stalled                            // the work stands still
	OutOfMemory                        // no memory is left to hold it or to keep its key
	DeadlineReached                    // its answer is due
	RateOverThreshold                  // its tenant's rate is over the threshold while the cores are full and work is held
	PredictedWaitTooLong               // the predicted wait misses its aim while the cores are full and work is held
	DeadlineUnreachable                // a run begun now would end after it is due
	LateWithoutWeight                  // a late answer of its class earns nothing
	LateWhileSaturated                 // a run begun now would be late, and others wait for full cores

	reasonCount = int(LateWhileSaturated) + 1
)

// reasonTexts say the reasons in a sentence's end.
var reasonTexts = [...]string{"it was admitted", "it arrived after the grace of the drain", "the work stood still",
	"no memory was left for it", "its answer was due",
	"its tenant's rate was over the threshold while work was held and the cores were full",
	"the predicted wait missed its aim while work was held and the cores were full",
	"a run begun then would have ended after it was due", "it was past its aim and a late answer earns nothing",
	"a run begun then would have been late while the cores were full"}

// String says the reason.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return "for an unknown reason"
}

// MarshalText writes the reason's sentence.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Inspection is what an Instance knows at a moment. Times are of its clock; durations are in nanoseconds in JSON.
type Inspection struct {
	Now              time.Duration     `json:"now"`
	Queued           int               `json:"held"`
	Running          int               `json:"running"`
	Calling          int               `json:"at_call"`
	ConcurrencyLimit float64           `json:"limit"`     // stateRunning requests wanted
	MaxConcurrency   float64           `json:"crowd"`     // most running requests that are allowed, by what the server survives
	MemoryKB         float64           `json:"memory_kb"` // needed now
	MaxMemoryKB      float64           `json:"most_kb"`   // that may be needed
	Keys             int               `json:"keys"`
	Utilization      float64           `json:"busy"`     // the core gauge
	Runnable         float64           `json:"runnable"` // what wants a core; negative = not told
	Saturated        bool              `json:"full"`     // the cores read full
	Overloaded       bool              `json:"pressed"`  // full, and work is held
	Stalled          bool              `json:"stalled"`
	Draining         bool              `json:"draining"`
	RetryStorm       bool              `json:"stormy"`  // most arrivals are tries made again, or arrivals lie unread
	RetryShare       float64           `json:"retries"` // part of the latest arrivals
	ReadDelay        time.Duration     `json:"unread"`  // that arrivals lately waited to be read
	HalfLife         time.Duration     `json:"half"`    // module which an arrival halves in the estimates
	TrafficWeight    float64           `json:"weight"`  // part of the usual traffic that is wanted
	Classes          []ClassInspection `json:"classes"`
}

// ClassInspection is what was learned of a class.
type ClassInspection struct {
	CoreTime          time.Duration `json:"core_time"` // of a run; 0 = not known
	WallTime          time.Duration `json:"wall"`      // from the start of a run to its end
	Samples           int           `json:"runs"`      // learned from
	QueuedWithinQuota int           `json:"within"`    // held, of tenants within their slices
	QueuedOverQuota   int           `json:"over"`      // held, of tenants over them

	Starved    bool                `json:"starved"`    // a smaller part of its requests is run than of the others
	Rejections [reasonCount]uint64 `json:"rejections"` // requests turned away since the start, by Reason
}

// Inspect returns what the Instance knows.
func (in *Instance) Inspect() Inspection {
	i := Inspection{Now: in.now, Queued: len(in.queue), Running: in.running, Calling: in.offCore, ConcurrencyLimit: in.concurrencyLimit, MaxConcurrency: in.maxConcurrency(),
		MemoryKB: in.memoryKB(), MaxMemoryKB: in.settings.MemoryKB * usableMemory, Keys: in.keyCount, Utilization: in.utilization, Runnable: in.runnable,
		Saturated: in.isSaturated(), Overloaded: in.isOverloaded(), Stalled: in.isStalled, Draining: in.isDraining, RetryStorm: in.isRetryStorm(),
		RetryShare: in.retryShare, ReadDelay: seconds(in.readDelay), HalfLife: in.longestObjective, TrafficWeight: in.trafficWeight}
	for _, c := range in.classes {
		i.Classes = append(i.Classes, ClassInspection{CoreTime: seconds(c.coreTime), WallTime: seconds(c.wallTime), Samples: c.samples, QueuedWithinQuota: c.queued[0], QueuedOverQuota: c.queued[1],
			Starved: c.isStarved, Rejections: c.rejections})
	}
	return i
}

// AdmissionCheck is how an arrival looks to an Instance.
type AdmissionCheck struct {
	Reason            Reason        `json:"reason"`
	Coalesced         bool          `json:"repeats"`    // it is answered by what becomes of the one it repeats
	ImpulseSize       float64       `json:"n"`          // EARRRL's N of its tenant or caller, with it counted
	LastArrival       time.Duration `json:"t"`          // and T, when that was counted last before it
	Rate              float64       `json:"rate"`       // arrivals a second, with it counted
	Threshold         float64       `json:"threshold"`  // of the rate at a full aim of predicted wait; 0 = none
	RateRatio         float64       `json:"excess"`     // rate over threshold
	PredictedWait     time.Duration `json:"wait"`       // predicted
	Slack             time.Duration `json:"spare"`      // longestRun wait after which it would meet its aim
	ObjectiveDeadline time.Duration `json:"useful"`     // when an answer stops earning its full worth
	Deadline          time.Duration `json:"due"`        // when its answer must be out
	RetryAfter        time.Duration `json:"stay_away"`  // the advice of a refusal
	QueuedAhead       []RequestID   `json:"held_ahead"` // module the queue before it
	Running           []RequestID   `json:"on_cores"`   // running
}

// CheckAdmission tells how an arrival would look now. It leaves the Instance as it is.
func (in *Instance) CheckAdmission(now time.Duration, q Request) AdmissionCheck {
	c, err := in.clone()
	if err != nil || c.byID[q.ID] != nil {
		return AdmissionCheck{}
	}
	c.advanceClock(now)
	user := c.senderIndex(q)
	w := AdmissionCheck{LastArrival: c.senders[user].updatedAt, QueuedAhead: c.runOrder(), Running: c.inState(stateRunning)}
	r := c.register(q)
	w.ImpulseSize, w.Rate = c.senders[user].impulse, c.senders[user].rate(c.now, c.decay)
	w.RateRatio = r.rateRatio
	if r.rateRatio > 0 {
		w.Threshold = w.Rate / r.rateRatio
	}
	w.PredictedWait, w.Slack, w.ObjectiveDeadline, w.Deadline = seconds(c.predictedWait(r)), seconds(c.slack(r)), r.objectiveDeadline, r.deadline
	if w.Coalesced = c.isCoalesced(r, q); !w.Coalesced {
		w.Reason = c.checkArrival(r)
	}
	w.RetryAfter = c.retryAfter(r)
	return w
}

// QueueDecision is how a request that was taken in looks to an Instance.
type QueueDecision struct {
	Reason            Reason        `json:"reason"` // why it would be given up now
	Phase             string        `json:"phase"`
	Arrived           time.Duration `json:"arrived"`
	ObjectiveDeadline time.Duration `json:"useful"`
	Deadline          time.Duration `json:"due"`
	ExpectedRunTime   time.Duration `json:"own_time"` // that a run of it is expected to take
	RateRatio         float64       `json:"excess"`   // of its tenant when it arrived
	QueuedAhead       []RequestID   `json:"held_ahead"`
	Running           []RequestID   `json:"on_cores"`
}

// phases are the words for where a request is.
var phases = [...]string{stateQueued: "held", stateFollowing: "waits for the held one that it repeats",
	stateReplaying: "waits for the answer of the one that it repeats", stateRunning: "running", stateCallPending: "waits for a decision on its call",
	stateCalling: "its call is out", stateAbandoned: "answered while its work goes on", stateFinished: "over"}

// InspectRequest tells how a known request looks now, and false for one that is not known. It leaves the Instance as it is.
func (in *Instance) InspectRequest(now time.Duration, id RequestID) (QueueDecision, bool) {
	c, err := in.clone()
	if err != nil || c.byID[id] == nil {
		return QueueDecision{}, false
	}
	c.advanceClock(now)
	r := c.byID[id]
	j := QueueDecision{Phase: phases[r.state], Arrived: r.arrivedAt, ObjectiveDeadline: r.objectiveDeadline, Deadline: r.deadline, ExpectedRunTime: c.expectedRunTime(r),
		RateRatio: r.rateRatio, Running: c.inState(stateRunning)}
	switch {
	case c.isStalled:
		j.Reason = Stalled
	case r.deadline <= c.now+c.answerMargin():
		j.Reason = DeadlineReached
	case r.state == stateQueued:
		j.Reason = c.checkQueued(r)
	}
	for _, ahead := range c.runOrder() {
		if ahead == id {
			break
		}
		j.QueuedAhead = append(j.QueuedAhead, ahead)
	}
	return j, true
}

// Queue is the held requests in the order in which they would be run now, and those that run.
func (in *Instance) Queue() (held, onCores []RequestID) {
	return in.runOrder(), in.inState(stateRunning)
}

// clone returns an Instance in the same state whose actions nobody hears of.
func (in *Instance) clone() (*Instance, error) { return Restore(in.Snapshot(nil), NoActions{}) }

// runOrder is the held requests in the order in which they would be run now. It leaves the queue as it is.
func (in *Instance) runOrder() []RequestID {
	kept := append([]*request(nil), in.queue...)
	var ids []RequestID
	for len(in.queue) > 0 {
		r := in.nextToRun()
		ids = append(ids, r.id)
		for i, h := range in.queue {
			if h == r {
				in.queue = append(in.queue[:i], in.queue[i+1:]...)
				break
			}
		}
	}
	in.queue = kept
	return ids
}

// inState is the requests in a state, in the order of arrival.
func (in *Instance) inState(s requestState) []RequestID {
	var ids []RequestID
	for _, r := range in.byArrival {
		if r.state == s {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// NoActions takes actions and does nothing, for hosts that leave out some or all of them.
type NoActions struct{}

// CoreTime implements Actions.
func (NoActions) Run(RequestID) {}

// Reject implements Actions.
func (NoActions) Reject(RequestID, time.Duration, bool) {}

// Fail implements Actions.
func (NoActions) Fail(RequestID) {}

// Call implements Actions.
func (NoActions) Call(RequestID, time.Duration) {}

// SkipCall implements Actions.
func (NoActions) SkipCall(RequestID) {}

// Stop implements Actions.
func (NoActions) Stop(RequestID) {}

// KeepKey implements Actions.
func (NoActions) KeepKey(RequestID, time.Duration) {}

// ReleaseKey implements Actions.
func (NoActions) ReleaseKey(RequestID) {}

// ReplayResult implements Actions.
func (NoActions) ReplayResult(RequestID) {}

// AdvertiseLoad implements Actions.
func (NoActions) AdvertiseLoad(float64) {}

// SetHealth implements Actions.
func (NoActions) SetHealth(bool, bool) {}

// CloseIdleConnections implements Actions.
func (NoActions) CloseIdleConnections(time.Duration) {}

// SetTimer implements Actions.
func (NoActions) SetTimer(time.Duration, uint32) {}

// Log implements Actions.
func (NoActions) Log(string) {}
