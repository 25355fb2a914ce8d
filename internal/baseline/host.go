package baseline

import (
	"slices"
	"time"

	"tillerusher/admission"
)

// policy is the part of a baseline that differs from the others.
type policy interface {
	// admit decides on a request that was read.
	admit(r *request) verdict
	// nextToRun returns the queued request that runs next, or nil if none should run now. The queue is not empty.
	nextToRun() *request
	// runEnded is called when a run ends, and when a request ends that nextToRun has returned but that could not run.
	runEnded(r *request, succeeded bool)
	// poll is called every pollInterval with the gauges.
	poll(g admission.Gauges)
}

// verdict is the decision on a request that was read.
type verdict uint8

const (
	verdictQueue verdict = iota
	verdictReject
)

// Tokens of timers.
const (
	pollToken     = 0
	deadlineToken = 1 // the deadline of one request is near
)

const (
	pollInterval     = 100 * time.Millisecond // between two readings of the gauges
	deadlineMargin   = 10 * time.Millisecond  // by which a response comes before the deadline
	minTimerDelay    = time.Millisecond
	concurrencyShare = 0.75                   // of the concurrency that a server survives, that is used
	memoryShare      = 0.92                   // of the memory, that is used
	retryAfter       = 250 * time.Millisecond // sent with rejections, if the settings allow any
	noDeadline       = 1 << 62                // of a request that was answered while its run goes on
)

// request is a request that the host knows of.
type request struct {
	admission.Request
	arrivedAt time.Duration // at the machine
	deadline  time.Duration
	startedAt time.Duration // of its run
	running   bool
	finished  bool
	permit    any // of a policy's own limiter
}

// host implements admission.Events around a policy.
type host struct {
	settings admission.Settings
	actions  admission.Actions
	policy   policy

	now       time.Duration
	started   bool // the first event was reported, at startedAt
	startedAt time.Duration

	queue    []*request // in the order of reading
	requests map[admission.RequestID]*request
	running  int
	memoryKB float64   // of queued and running requests
	keptKeys []keptKey // by expiry, the next first

	draining  bool
	drainedAt time.Duration // when the drain began
	stopAt    time.Duration // when the process ends
}

// keptKey is an idempotency key that the server remembers.
type keptKey struct {
	id    admission.RequestID
	until time.Duration
}

func newHost(s admission.Settings, a admission.Actions) *host {
	return &host{settings: s, actions: a, requests: map[admission.RequestID]*request{}}
}

// advance sets the time. It never goes back.
func (h *host) advance(now time.Duration) {
	if !h.started {
		h.started, h.startedAt = true, now
		h.actions.SetHealth(true, true)
		h.actions.SetTimer(pollInterval, pollToken)
	}
	h.now = max(h.now, now)
	expired := 0
	for expired < len(h.keptKeys) && h.keptKeys[expired].until < h.now {
		expired++
	}
	h.keptKeys = h.keptKeys[expired:]
}

// hasMemoryFor reports whether there is memory for so much more.
func (h *host) hasMemoryFor(kb float64) bool {
	return h.memoryKB+kb+float64(len(h.keptKeys))*h.settings.KeyKB <= memoryShare*h.settings.MemoryKB
}

// maxRunning is the number of requests that may run. It assumes the slowest warm-up that the settings allow.
func (h *host) maxRunning() int {
	warmUpShare := 1.0
	if s := &h.settings; s.WarmingUp && s.WarmUpTime > 0 {
		warmUpShare = min(1, s.InitialCapacity+(1-s.InitialCapacity)*float64(h.now-h.startedAt)/float64(s.WarmUpTime))
	}
	return max(int(concurrencyShare*float64(h.settings.Cores)*(1+(h.settings.MaxConcurrencyFactor-1)*warmUpShare)), 1)
}

// isKeyed reports whether requests of a class are idempotent by a key.
func (h *host) isKeyed(class int) bool {
	return h.settings.Classes[class].Effect == admission.IdempotentByKey
}

// isAfterGrace reports whether a request arrived after the grace period of a drain.
func (h *host) isAfterGrace(r *request) bool {
	return h.draining && r.arrivedAt > h.drainedAt+h.settings.DrainGracePeriod
}

// Request implements admission.Events.
func (h *host) Request(now time.Duration, arrival admission.Request) {
	h.advance(now)
	req := h.addRequest(now, arrival)
	if req.deadline <= now { // the deadline passed before it was read
		h.remove(req)
		h.actions.Fail(arrival.ID)
		return
	}
	if left := req.deadline - deadlineMargin - now; left < 2*pollInterval { // sooner than poll would see it
		h.actions.SetTimer(max(left, minTimerDelay), deadlineToken)
	}
	if arrival.RetryOf != 0 {
		h.actions.ReplayResult(arrival.ID)
		return
	}
	if h.isAfterGrace(req) || !h.hasMemoryFor(h.keySize(arrival.Class)) || h.policy.admit(req) == verdictReject {
		h.reject(req)
		return
	}
	if h.isKeyed(arrival.Class) {
		h.keepKey(now, req)
	}
	h.queue = append(h.queue, req)
}

// keySize is the memory in KB of the key of a request of a class, 0 if it has none.
func (h *host) keySize(class int) float64 {
	if h.isKeyed(class) {
		return h.settings.KeyKB
	}
	return 0
}

// keepKey remembers the key of a request for the window of its class.
func (h *host) keepKey(now time.Duration, req *request) {
	until := req.arrivedAt + h.settings.Classes[req.Class].KeyWindow
	h.actions.KeepKey(req.ID, until-now)
	h.keptKeys = append(h.keptKeys, keptKey{req.ID, until})
}

// addRequest registers a request with its deadline and memory.
func (h *host) addRequest(now time.Duration, arrival admission.Request) *request {
	req := &request{Request: arrival, arrivedAt: now - arrival.QueueingDelay}
	req.deadline = req.arrivedAt + h.settings.Classes[arrival.Class].Deadline
	if h.draining {
		req.deadline = min(req.deadline, h.stopAt-deadlineMargin)
	}
	h.requests[arrival.ID] = req
	h.memoryKB += arrival.SizeKB
	return req
}

// reject rejects a request that has not run.
func (h *host) reject(req *request) {
	if h.isKeyed(req.Class) {
		if i := slices.IndexFunc(h.keptKeys, func(k keptKey) bool { return k.id == req.ID }); i >= 0 {
			h.keptKeys = slices.Delete(h.keptKeys, i, i+1)
			h.actions.ReleaseKey(req.ID)
		}
	}
	h.remove(req)
	h.actions.Reject(req.ID, min(retryAfter, h.settings.MaxRetryAfter), false)
}

// remove removes a finished request from all lists.
func (h *host) remove(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	delete(h.requests, req.ID)
	if req.running {
		h.running--
		h.memoryKB -= req.SizeKB * h.settings.RunningMemoryFactor
		return
	}
	h.memoryKB -= req.SizeKB
	if i := slices.Index(h.queue, req); i >= 0 {
		h.queue = slices.Delete(h.queue, i, i+1)
	}
	if req.permit != nil { // nextToRun returned it, and it could not run
		h.policy.runEnded(req, false)
	}
}

// Settle implements admission.Events. It starts what the policy wants to run.
func (h *host) Settle(now time.Duration) {
	h.advance(now)
	for len(h.queue) > 0 && h.running < h.maxRunning() {
		r := h.policy.nextToRun()
		if r == nil || !h.hasMemoryFor(r.SizeKB*(h.settings.RunningMemoryFactor-1)) {
			return
		}
		i := slices.Index(h.queue, r)
		h.queue = slices.Delete(h.queue, i, i+1)
		if h.isAfterGrace(r) {
			h.reject(r)
			continue
		}
		h.memoryKB += r.SizeKB * (h.settings.RunningMemoryFactor - 1)
		h.running++
		r.running, r.startedAt = true, h.now
		h.actions.Run(r.ID)
	}
}

// RunFinished implements admission.Events.
func (h *host) RunFinished(now time.Duration, id admission.RequestID, o admission.Outcome) {
	h.advance(now)
	r := h.requests[id]
	if r == nil {
		return
	}
	ran := r.running
	h.remove(r)
	if ran {
		h.policy.runEnded(r, o == admission.OK)
	}
}

// Cancel implements admission.Events.
func (h *host) Cancel(now time.Duration, id admission.RequestID) {
	h.advance(now)
	if r := h.requests[id]; r != nil && !r.running {
		h.remove(r)
	}
}

// Drain implements admission.Events.
func (h *host) Drain(now, left time.Duration) {
	h.advance(now)
	h.draining, h.drainedAt, h.stopAt = true, now, now+left
	for _, r := range h.requests { // the order of the map does not matter
		r.deadline = min(r.deadline, h.stopAt-deadlineMargin)
	}
	h.actions.SetHealth(false, true)
}

// Timer implements admission.Events.
func (h *host) Timer(now time.Duration, token uint32, gauges admission.Gauges) {
	h.advance(now)
	if token != deadlineToken {
		h.policy.poll(gauges)
		h.actions.SetTimer(pollInterval, pollToken)
	}
	for _, r := range h.nearDeadline() {
		if r.running {
			h.failRunning(r)
			continue
		}
		h.remove(r)
		h.actions.Fail(r.ID)
	}
}

// nearDeadline returns the requests that must be answered before the next poll, by ID.
func (h *host) nearDeadline() []*request {
	var near []*request
	for _, r := range h.requests {
		if r.deadline-deadlineMargin <= h.now+pollInterval {
			near = append(near, r)
		}
	}
	slices.SortFunc(near, func(a, b *request) int { return int(a.ID) - int(b.ID) })
	return near
}

// failRunning answers a request whose run goes on, or is stopped if that is safe.
func (h *host) failRunning(r *request) {
	h.actions.Fail(r.ID)
	if h.settings.StopMode != admission.StopNone && h.settings.Classes[r.Class].Effect == admission.Safe {
		h.actions.Stop(r.ID)
	}
	r.deadline = noDeadline
}

// CallRequested implements admission.Events. Downstream calls are not simulated.
func (h *host) CallRequested(time.Duration, admission.RequestID) {}

// CallFinished implements admission.Events.
func (h *host) CallFinished(time.Duration, admission.RequestID, admission.Outcome, time.Duration) {}

// oldest returns the queued request that was read first, or nil.
func (h *host) oldest() *request {
	if len(h.queue) == 0 {
		return nil
	}
	return h.queue[0]
}
