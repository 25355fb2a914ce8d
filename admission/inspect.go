// What an Instance knows, for operators who ask why it decided as it did. Nothing here decides.

package admission

import "time"

// Reason is why a request was turned away, where the decision is made by itself.
type Reason uint8

// The reasons. On arrival: from AfterGrace to WaitTooLong; in the queue: Due, Stalled, and from NoTimeLeft on.
const (
	Admitted      Reason = iota // it was not
	AfterGrace                  // it arrived later than the grace of a drain
	Stalled                     // the work stands still
	NoMemory                    // no memory is left to hold it or to keep its key
	Due                         // its answer is due
	OverThreshold               // its tenant's rate is over the threshold while the cores are full and work is held
	WaitTooLong                 // the predicted wait misses its aim while the cores are full and work is held
	NoTimeLeft                  // a run begun now would end after it is due
	WorthNothing                // a late answer of its class earns nothing
	LateWhileFull               // a run begun now would be late, and others wait for full cores

	reasonCount = int(LateWhileFull) + 1
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

// Insight is what an Instance knows at a moment. Times are of its clock; durations are in nanoseconds in JSON.
type Insight struct {
	Now      time.Duration  `json:"now"`
	Held     int            `json:"held"`
	Running  int            `json:"running"`
	AtCall   int            `json:"at_call"`
	Limit    float64        `json:"limit"`     // running requests wanted
	Crowd    float64        `json:"crowd"`     // most running requests that are allowed, by what the server survives
	MemoryKB float64        `json:"memory_kb"` // needed now
	MostKB   float64        `json:"most_kb"`   // that may be needed
	Keys     int            `json:"keys"`
	Busy     float64        `json:"busy"`     // the core gauge
	Runnable float64        `json:"runnable"` // what wants a core; negative = not told
	Full     bool           `json:"full"`     // the cores read full
	Pressed  bool           `json:"pressed"`  // full, and work is held
	Stalled  bool           `json:"stalled"`
	Draining bool           `json:"draining"`
	Stormy   bool           `json:"stormy"`  // most arrivals are tries made again, or arrivals lie unread
	Retries  float64        `json:"retries"` // part of the latest arrivals
	Unread   time.Duration  `json:"unread"`  // that arrivals lately waited to be read
	Half     time.Duration  `json:"half"`    // in which an arrival halves in the estimates
	Weight   float64        `json:"weight"`  // part of the usual traffic that is wanted
	Classes  []ClassInsight `json:"classes"`
}

// ClassInsight is what was learned of a class.
type ClassInsight struct {
	CoreTime time.Duration `json:"core_time"` // of a run; 0 = not known
	Wall     time.Duration `json:"wall"`      // from the start of a run to its end
	Runs     int           `json:"runs"`      // learned from
	Within   int           `json:"within"`    // held, of tenants within their slices
	Over     int           `json:"over"`      // held, of tenants over them

	Starved    bool                `json:"starved"`    // a smaller part of its requests is run than of the others
	Rejections [reasonCount]uint64 `json:"rejections"` // requests turned away since the start, by Reason
}

// Inspect returns what the Instance knows.
func (in *Instance) Inspect() Insight {
	i := Insight{Now: in.now, Held: len(in.queue), Running: in.onCores, AtCall: in.atCall, Limit: in.concurrencyLimit, Crowd: in.maxConcurrency(),
		MemoryKB: in.memory(), MostKB: in.set.MemoryKB * memoryMargin, Keys: in.keyCount, Busy: in.busy, Runnable: in.runnable,
		Full: in.full(), Pressed: in.overloaded(), Stalled: in.stalled, Draining: in.draining, Stormy: in.retryStorm(),
		Retries: in.retries, Unread: seconds(in.readDelay), Half: in.longestAim, Weight: in.weight}
	for _, c := range in.classes {
		i.Classes = append(i.Classes, ClassInsight{CoreTime: seconds(c.run), Wall: seconds(c.wall), Runs: c.runs, Within: c.held[0], Over: c.held[1],
			Starved: c.starved, Rejections: c.rejections})
	}
	return i
}

// Weighing is how an arrival looks to an Instance.
type Weighing struct {
	Reason    Reason        `json:"reason"`
	Repeats   bool          `json:"repeats"`    // it is answered by what becomes of the one it repeats
	N         float64       `json:"n"`          // EARRRL's N of its tenant or caller, with it counted
	T         time.Duration `json:"t"`          // and T, when that was counted last before it
	Rate      float64       `json:"rate"`       // arrivals a second, with it counted
	Threshold float64       `json:"threshold"`  // of the rate at a full aim of predicted wait; 0 = none
	Excess    float64       `json:"excess"`     // rate over threshold
	Wait      time.Duration `json:"wait"`       // predicted
	Spare     time.Duration `json:"spare"`      // longest wait after which it would meet its aim
	Useful    time.Duration `json:"useful"`     // when an answer stops earning its full worth
	Due       time.Duration `json:"due"`        // when its answer must be out
	StayAway  time.Duration `json:"stay_away"`  // the advice of a refusal
	HeldAhead []RequestID   `json:"held_ahead"` // in the queue before it
	OnCores   []RequestID   `json:"on_cores"`   // running
}

// Weigh tells how an arrival would look now. It leaves the Instance as it is.
func (in *Instance) Weigh(now time.Duration, q Request) Weighing {
	c, err := in.clone()
	if err != nil || c.byID[q.ID] != nil {
		return Weighing{}
	}
	c.tick(now)
	user := c.user(q)
	w := Weighing{T: c.senders[user].last, HeldAhead: c.order(), OnCores: c.inState(running)}
	r := c.read(q)
	w.N, w.Rate = c.senders[user].n, c.senders[user].rate(c.now, c.lambda)
	w.Excess = r.excess
	if r.excess > 0 {
		w.Threshold = w.Rate / r.excess
	}
	w.Wait, w.Spare, w.Useful, w.Due = seconds(c.predictedWait(r)), seconds(c.slack(r)), r.useful, r.due
	if w.Repeats = c.repeated(r, q); !w.Repeats {
		w.Reason = c.rejection(r)
	}
	w.StayAway = c.backOff(r)
	return w
}

// Judgement is how a request that was taken in looks to an Instance.
type Judgement struct {
	Reason    Reason        `json:"reason"` // why it would be given up now
	Phase     string        `json:"phase"`
	Arrived   time.Duration `json:"arrived"`
	Useful    time.Duration `json:"useful"`
	Due       time.Duration `json:"due"`
	OwnTime   time.Duration `json:"own_time"` // that a run of it is expected to take
	Excess    float64       `json:"excess"`   // of its tenant when it arrived
	HeldAhead []RequestID   `json:"held_ahead"`
	OnCores   []RequestID   `json:"on_cores"`
}

// phases are the words for where a request is.
var phases = [...]string{held: "held", follows: "waits for the held one that it repeats",
	echoing: "waits for the answer of the one that it repeats", running: "running", asking: "waits for a decision on its call",
	calling: "its call is out", ended: "answered while its work goes on", over: "over"}

// Judge tells how a known request looks now, and false for one that is not known. It leaves the Instance as it is.
func (in *Instance) Judge(now time.Duration, id RequestID) (Judgement, bool) {
	c, err := in.clone()
	if err != nil || c.byID[id] == nil {
		return Judgement{}, false
	}
	c.tick(now)
	r := c.byID[id]
	j := Judgement{Phase: phases[r.state], Arrived: r.arrived, Useful: r.useful, Due: r.due, OwnTime: c.ownTime(r),
		Excess: r.excess, OnCores: c.inState(running)}
	switch {
	case c.stalled:
		j.Reason = Stalled
	case r.due <= c.now+c.margin():
		j.Reason = Due
	case r.state == held:
		j.Reason = c.uselessReason(r)
	}
	for _, ahead := range c.order() {
		if ahead == id {
			break
		}
		j.HeldAhead = append(j.HeldAhead, ahead)
	}
	return j, true
}

// Queue is the held requests in the order in which they would be run now, and those that run.
func (in *Instance) Queue() (held, onCores []RequestID) { return in.order(), in.inState(running) }

// clone returns an Instance in the same state whose actions nobody hears of.
func (in *Instance) clone() (*Instance, error) { return Restore(in.Snapshot(nil), NoActions{}) }

// order is the held requests in the order in which they would be run now. It leaves the queue as it is.
func (in *Instance) order() []RequestID {
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
func (in *Instance) inState(s state) []RequestID {
	var ids []RequestID
	for _, r := range in.all {
		if r.state == s {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// NoActions takes actions and does nothing, for hosts that leave out some or all of them.
type NoActions struct{}

// Run implements Actions.
func (NoActions) Run(RequestID) {}

// Refuse implements Actions.
func (NoActions) Refuse(RequestID, time.Duration, bool) {}

// Fail implements Actions.
func (NoActions) Fail(RequestID) {}

// Call implements Actions.
func (NoActions) Call(RequestID, time.Duration) {}

// Skip implements Actions.
func (NoActions) Skip(RequestID) {}

// Halt implements Actions.
func (NoActions) Halt(RequestID) {}

// Keep implements Actions.
func (NoActions) Keep(RequestID, time.Duration) {}

// Forget implements Actions.
func (NoActions) Forget(RequestID) {}

// Reuse implements Actions.
func (NoActions) Reuse(RequestID) {}

// Say implements Actions.
func (NoActions) Say(float64) {}

// Health implements Actions.
func (NoActions) Health(bool, bool) {}

// CloseIdle implements Actions.
func (NoActions) CloseIdle(time.Duration) {}

// After implements Actions.
func (NoActions) After(time.Duration, uint32) {}

// Log implements Actions.
func (NoActions) Log(string) {}
