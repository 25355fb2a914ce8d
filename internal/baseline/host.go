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
	// nextToRun is the held request that runs next, or nil where none should run now.
	nextToRun() *request
	// runEnded hears of the end of a run.
	runEnded(r *request, ok bool)
	// poll is called ten times a second with the gauges.
	poll(g admission.Gauges)
}

// deadlineToken is that of a timer for one request that is due soon.
const deadlineToken = 1

// verdict is what becomes of a request that was read.
type verdict uint8

const (
	verdictQueue  verdict = iota
	verdictReject         // it is turned away
)

// request is one that a peer knows of.
type request struct {
	admission.Request
	arrivedAt time.Duration // when it reached the machine
	deadline  time.Duration
	startedAt time.Duration // when it was run
	running   bool
	finished  bool
	permit    any // of a policy's own limiter
}

// pollInterval is the time between two readings of the gauges, and margin how long before its due time a request is answered.
const (
	pollInterval   = 100 * time.Millisecond
	deadlineMargin = 10 * time.Millisecond
	// concurrencyShare and memoryShare are what is used of what a server survives.
	concurrencyShare, memoryShare = 0.75, 0.92
	// retryAfter is the advice that goes with refusals, where the settings allow any.
	retryAfter = 250 * time.Millisecond
)

// host implements admission.Events round a policy.
type host struct {
	settings admission.Settings
	actions  admission.Actions
	policy   policy

	now, startedAt time.Duration
	started        bool
	queue          []*request // in the order of reading
	requests       map[admission.RequestID]*request
	running        int
	memoryKB       float64
	keys           []keptKey // soonest to go first
	drainedAt      time.Duration
	stopAt         time.Duration
	draining       bool
}

// keptKey is a key that is remembered.
type keptKey struct {
	id    admission.RequestID
	until time.Duration
}

func newHost(s admission.Settings, a admission.Actions) *host {
	return &host{settings: s, actions: a, requests: map[admission.RequestID]*request{}}
}

// advance takes over the time.
func (b *host) advance(now time.Duration) {
	if !b.started {
		b.started, b.startedAt = true, now
		b.actions.SetHealth(true, true)
		b.actions.SetTimer(pollInterval, 0)
	}
	b.now = max(b.now, now)
	i := 0
	for i < len(b.keys) && b.keys[i].until < b.now {
		i++
	}
	b.keys = b.keys[i:]
}

// hasMemoryFor tells whether the memory takes so much more.
func (b *host) hasMemoryFor(kb float64) bool {
	return b.memoryKB+kb+float64(len(b.keys))*b.settings.KeyKB <= memoryShare*b.settings.MemoryKB
}

// maxRunning is how many requests may run, assuming the slowest warm-up that is allowed.
func (b *host) maxRunning() int {
	share := 1.0
	if b.settings.WarmingUp && b.settings.WarmUpTime > 0 {
		share = min(1, b.settings.InitialCapacity+(1-b.settings.InitialCapacity)*float64(b.now-b.startedAt)/float64(b.settings.WarmUpTime))
	}
	return max(int(concurrencyShare*float64(b.settings.Cores)*(1+(b.settings.MaxConcurrencyFactor-1)*share)), 1)
}

// Request implements admission.Events.
func (b *host) Request(now time.Duration, q admission.Request) {
	b.advance(now)
	class := b.settings.Classes[q.Class]
	r := &request{Request: q, arrivedAt: now - q.QueueingDelay}
	r.deadline = r.arrivedAt + class.Deadline
	if b.draining {
		r.deadline = min(r.deadline, b.stopAt-deadlineMargin)
	}
	b.requests[q.ID] = r
	b.memoryKB += q.SizeKB
	if r.deadline <= now { // it lay unread for too long
		b.remove(r)
		b.actions.Fail(q.ID)
		return
	}
	if left := r.deadline - deadlineMargin - now; left < 2*pollInterval { // sooner than the next look
		b.actions.SetTimer(max(left, time.Millisecond), deadlineToken)
	}
	if q.RetryOf != 0 {
		b.actions.ReplayResult(q.ID)
		return
	}
	keyKB := 0.0
	if class.Effect == admission.IdempotentByKey {
		keyKB = b.settings.KeyKB
	}
	late := b.draining && r.arrivedAt > b.drainedAt+b.settings.DrainGracePeriod
	if late || !b.hasMemoryFor(keyKB) || b.policy.admit(r) == verdictReject {
		b.reject(r)
		return
	}
	if class.Effect == admission.IdempotentByKey {
		until := r.arrivedAt + class.KeyWindow
		b.actions.KeepKey(q.ID, until-now)
		b.keys = append(b.keys, keptKey{q.ID, until})
	}
	b.queue = append(b.queue, r)
}

// reject refuses a request that never ran.
func (b *host) reject(r *request) {
	if b.settings.Classes[r.Class].Effect == admission.IdempotentByKey {
		if i := slices.IndexFunc(b.keys, func(k keptKey) bool { return k.id == r.ID }); i >= 0 {
			b.keys = slices.Delete(b.keys, i, i+1)
			b.actions.ReleaseKey(r.ID)
		}
	}
	b.remove(r)
	b.actions.Reject(r.ID, min(retryAfter, b.settings.MaxRetryAfter), false)
}

// remove takes a request that is over out of all lists.
func (b *host) remove(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	if r.running {
		b.running--
		b.memoryKB -= r.SizeKB * b.settings.RunningMemoryFactor
	} else {
		b.memoryKB -= r.SizeKB
		if i := slices.Index(b.queue, r); i >= 0 {
			b.queue = slices.Delete(b.queue, i, i+1)
		}
		if r.permit != nil { // it was chosen, and could not be run
			b.policy.runEnded(r, false)
		}
	}
	delete(b.requests, r.ID)
}

// Settle implements admission.Events: it runs what the policy wants to run.
func (b *host) Settle(now time.Duration) {
	b.advance(now)
	for len(b.queue) > 0 && b.running < b.maxRunning() {
		r := b.policy.nextToRun()
		if r == nil || !b.hasMemoryFor(r.SizeKB*(b.settings.RunningMemoryFactor-1)) {
			return
		}
		b.queue = slices.Delete(b.queue, slices.Index(b.queue, r), slices.Index(b.queue, r)+1)
		if b.draining && r.arrivedAt > b.drainedAt+b.settings.DrainGracePeriod {
			b.reject(r)
			continue
		}
		b.memoryKB += r.SizeKB * (b.settings.RunningMemoryFactor - 1)
		b.running++
		r.running, r.startedAt = true, b.now
		b.actions.Run(r.ID)
	}
}

// Done implements admission.Events.
func (b *host) RunFinished(now time.Duration, id admission.RequestID, o admission.Outcome) {
	b.advance(now)
	r := b.requests[id]
	if r == nil {
		return
	}
	ran := r.running
	b.remove(r)
	if ran {
		b.policy.runEnded(r, o == admission.OK)
	}
}

// Gone implements admission.Events.
func (b *host) Cancel(now time.Duration, id admission.RequestID) {
	b.advance(now)
	if r := b.requests[id]; r != nil && !r.running {
		b.remove(r)
	}
}

// Drain implements admission.Events.
func (b *host) Drain(now, left time.Duration) {
	b.advance(now)
	b.draining, b.drainedAt, b.stopAt = true, now, now+left
	for _, r := range b.requests { // in any order: each stands by itself
		r.deadline = min(r.deadline, b.stopAt-deadlineMargin)
	}
	b.actions.SetHealth(false, true)
}

// Timer implements admission.Events.
func (b *host) Timer(now time.Duration, token uint32, g admission.Gauges) {
	b.advance(now)
	if token != deadlineToken {
		b.policy.poll(g)
		b.actions.SetTimer(pollInterval, 0)
	}
	var due []*request
	for _, r := range b.requests {
		if r.deadline-deadlineMargin <= b.now+pollInterval {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(x, y *request) int { return int(x.ID) - int(y.ID) })
	for _, r := range due {
		if r.running { // its answer is owed, though its work goes on
			b.actions.Fail(r.ID)
			if b.settings.StopMode != admission.StopNone && b.settings.Classes[r.Class].Effect == admission.Safe {
				b.actions.Stop(r.ID)
			}
			r.deadline = 1 << 62
			continue
		}
		b.remove(r)
		b.actions.Fail(r.ID)
	}
}

// Blocked implements admission.Events: nothing is called.
func (b *host) CallRequested(time.Duration, admission.RequestID) {}

// Called implements admission.Events.
func (b *host) CallFinished(time.Duration, admission.RequestID, admission.Outcome, time.Duration) {}

// oldest is the held request that came first.
func (b *host) oldest() *request {
	if len(b.queue) == 0 {
		return nil
	}
	return b.queue[0]
}
