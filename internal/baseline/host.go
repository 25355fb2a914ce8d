package baseline

import (
	"slices"
	"time"

	"tillerusher/admission"
)

// policy is what a peer decides by itself.
type policy interface {
	// admit decides on a request that was read.
	admit(r *request) verdict
	// next is the held request that runs next, or nil where none should run now.
	next() *request
	// ended hears of the end of a run.
	ended(r *request, ok bool)
	// look is called ten times a second with the gauges.
	look(g admission.Gauges)
}

// dueToken is that of a timer for one request that is due soon.
const dueToken = 1

// verdict is what becomes of a request that was read.
type verdict uint8

const (
	hold   verdict = iota
	refuse         // it is turned away
)

// request is one that a peer knows of.
type request struct {
	admission.Request
	came    time.Duration // when it reached the machine
	due     time.Duration
	began   time.Duration // when it was run
	running bool
	over    bool
	permit  any // of a policy's own limiter
}

// pollInterval is the time between two readings of the gauges, and margin how long before its due time a request is answered.
const (
	pollInterval = 100 * time.Millisecond
	margin       = 10 * time.Millisecond
	// crowdPart and memoryPart are what is used of what a server survives.
	crowdPart, memoryPart = 0.75, 0.92
	// stayAway is the advice that goes with refusals, where the settings allow any.
	stayAway = 250 * time.Millisecond
)

// base implements admission.Events round a policy.
type base struct {
	set    admission.Settings
	do     admission.Actions
	policy policy

	now, start time.Duration
	begun      bool
	hold       []*request // in the order of reading
	all        map[admission.RequestID]*request
	running    int
	kb         float64
	keys       []kept // soonest to go first
	notice     time.Duration
	stopAt     time.Duration
	draining   bool
}

// kept is a key that is remembered.
type kept struct {
	id    admission.RequestID
	until time.Duration
}

func newBase(s admission.Settings, a admission.Actions) *base {
	return &base{set: s, do: a, all: map[admission.RequestID]*request{}}
}

// tick takes over the time.
func (b *base) tick(now time.Duration) {
	if !b.begun {
		b.begun, b.start = true, now
		b.do.SetHealth(true, true)
		b.do.SetTimer(pollInterval, 0)
	}
	b.now = max(b.now, now)
	i := 0
	for i < len(b.keys) && b.keys[i].until < b.now {
		i++
	}
	b.keys = b.keys[i:]
}

// room tells whether the memory takes so much more.
func (b *base) room(kb float64) bool {
	return b.kb+kb+float64(len(b.keys))*b.set.KeyKB <= memoryPart*b.set.MemoryKB
}

// crowd is how many requests may run, assuming the slowest warm-up that is allowed.
func (b *base) crowd() int {
	share := 1.0
	if b.set.WarmingUp && b.set.WarmUpTime > 0 {
		share = min(1, b.set.InitialCapacity+(1-b.set.InitialCapacity)*float64(b.now-b.start)/float64(b.set.WarmUpTime))
	}
	return max(int(crowdPart*float64(b.set.Cores)*(1+(b.set.MaxConcurrencyFactor-1)*share)), 1)
}

// Request implements admission.Events.
func (b *base) Request(now time.Duration, q admission.Request) {
	b.tick(now)
	class := b.set.Classes[q.Class]
	r := &request{Request: q, came: now - q.QueueingDelay}
	r.due = r.came + class.Deadline
	if b.draining {
		r.due = min(r.due, b.stopAt-margin)
	}
	b.all[q.ID] = r
	b.kb += q.SizeKB
	if r.due <= now { // it lay unread for too long
		b.forget(r)
		b.do.Fail(q.ID)
		return
	}
	if left := r.due - margin - now; left < 2*pollInterval { // sooner than the next look
		b.do.SetTimer(max(left, time.Millisecond), dueToken)
	}
	if q.RetryOf != 0 {
		b.do.ReplayResult(q.ID)
		return
	}
	keyKB := 0.0
	if class.Effect == admission.IdempotentByKey {
		keyKB = b.set.KeyKB
	}
	late := b.draining && r.came > b.notice+b.set.DrainGracePeriod
	if late || !b.room(keyKB) || b.policy.admit(r) == refuse {
		b.turnAway(r)
		return
	}
	if class.Effect == admission.IdempotentByKey {
		until := r.came + class.KeyWindow
		b.do.KeepKey(q.ID, until-now)
		b.keys = append(b.keys, kept{q.ID, until})
	}
	b.hold = append(b.hold, r)
}

// turnAway refuses a request that never ran.
func (b *base) turnAway(r *request) {
	if b.set.Classes[r.Class].Effect == admission.IdempotentByKey {
		if i := slices.IndexFunc(b.keys, func(k kept) bool { return k.id == r.ID }); i >= 0 {
			b.keys = slices.Delete(b.keys, i, i+1)
			b.do.ReleaseKey(r.ID)
		}
	}
	b.forget(r)
	b.do.Reject(r.ID, min(stayAway, b.set.MaxRetryAfter), false)
}

// forget takes a request that is over out of all lists.
func (b *base) forget(r *request) {
	if r.over {
		return
	}
	r.over = true
	if r.running {
		b.running--
		b.kb -= r.SizeKB * b.set.RunningMemoryFactor
	} else {
		b.kb -= r.SizeKB
		if i := slices.Index(b.hold, r); i >= 0 {
			b.hold = slices.Delete(b.hold, i, i+1)
		}
		if r.permit != nil { // it was chosen, and could not be run
			b.policy.ended(r, false)
		}
	}
	delete(b.all, r.ID)
}

// Settle implements admission.Events: it runs what the policy wants to run.
func (b *base) Settle(now time.Duration) {
	b.tick(now)
	for len(b.hold) > 0 && b.running < b.crowd() {
		r := b.policy.next()
		if r == nil || !b.room(r.SizeKB*(b.set.RunningMemoryFactor-1)) {
			return
		}
		b.hold = slices.Delete(b.hold, slices.Index(b.hold, r), slices.Index(b.hold, r)+1)
		if b.draining && r.came > b.notice+b.set.DrainGracePeriod {
			b.turnAway(r)
			continue
		}
		b.kb += r.SizeKB * (b.set.RunningMemoryFactor - 1)
		b.running++
		r.running, r.began = true, b.now
		b.do.Run(r.ID)
	}
}

// Done implements admission.Events.
func (b *base) RunFinished(now time.Duration, id admission.RequestID, o admission.Outcome) {
	b.tick(now)
	r := b.all[id]
	if r == nil {
		return
	}
	ran := r.running
	b.forget(r)
	if ran {
		b.policy.ended(r, o == admission.OK)
	}
}

// Gone implements admission.Events.
func (b *base) Cancel(now time.Duration, id admission.RequestID) {
	b.tick(now)
	if r := b.all[id]; r != nil && !r.running {
		b.forget(r)
	}
}

// Drain implements admission.Events.
func (b *base) Drain(now, left time.Duration) {
	b.tick(now)
	b.draining, b.notice, b.stopAt = true, now, now+left
	for _, r := range b.all { // in any order: each stands by itself
		r.due = min(r.due, b.stopAt-margin)
	}
	b.do.SetHealth(false, true)
}

// Timer implements admission.Events.
func (b *base) Timer(now time.Duration, token uint32, g admission.Gauges) {
	b.tick(now)
	if token != dueToken {
		b.policy.look(g)
		b.do.SetTimer(pollInterval, 0)
	}
	var due []*request
	for _, r := range b.all {
		if r.due-margin <= b.now+pollInterval {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(x, y *request) int { return int(x.ID) - int(y.ID) })
	for _, r := range due {
		if r.running { // its answer is owed, though its work goes on
			b.do.Fail(r.ID)
			if b.set.StopMode != admission.StopNone && b.set.Classes[r.Class].Effect == admission.Safe {
				b.do.Stop(r.ID)
			}
			r.due = 1 << 62
			continue
		}
		b.forget(r)
		b.do.Fail(r.ID)
	}
}

// Blocked implements admission.Events: nothing is called.
func (b *base) CallRequested(time.Duration, admission.RequestID) {}

// Called implements admission.Events.
func (b *base) CallFinished(time.Duration, admission.RequestID, admission.Outcome, time.Duration) {}

// first is the held request that came first.
func (b *base) first() *request {
	if len(b.hold) == 0 {
		return nil
	}
	return b.hold[0]
}
