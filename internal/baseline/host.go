package baseline

import (
	"slices"
	"time"

	"tillerusher/admission"
)

// policy makes the decisions in which the baselines differ.
type policy interface {
	// admit decides whether to queue or reject a request that was read.
	admit(r *request) verdict
	// nextToRun returns the queued request to run next, or nil if none should run now. The host calls it only if the queue
	// is not empty.
	nextToRun() *request
	// runEnded is called when a run ends. It is also called, as not succeeded, when a request with a permit ends that
	// nextToRun has returned but that the host could not run.
	runEnded(r *request, succeeded bool)
	// poll is called every pollInterval with the server's gauges.
	poll(g admission.Gauges)
}

// verdict is a policy's decision on a request that was read.
type verdict uint8

const (
	verdictQueue verdict = iota
	verdictReject
)

// Timer tokens.
const (
	pollToken     = 0 // the periodic timer
	deadlineToken = 1 // the deadline of one request is near
)

const (
	pollInterval     = 100 * time.Millisecond // time between two readings of the gauges
	deadlineMargin   = 10 * time.Millisecond  // time by which a response precedes the deadline
	minTimerDelay    = time.Millisecond
	concurrencyShare = 0.75                   // used share of the concurrency that a server survives
	memoryShare      = 0.92                   // used share of the server's memory
	retryAfter       = 250 * time.Millisecond // of rejections, at most Settings.MaxRetryAfter
	noDeadline       = 1 << 62                // deadline of a request that was answered while its run continues
)

// request is a request with its state in the host.
type request struct {
	admission.Request
	arrivedAt time.Duration // when it reached the machine
	deadline  time.Duration
	startedAt time.Duration // when its run started
	running   bool
	finished  bool
	permit    any // from the policy's limiter, if it has one
}

// host implements admission.Events and leaves the decisions of the policy interface to a policy.
type host struct {
	settings admission.Settings
	actions  admission.Actions
	policy   policy

	now       time.Duration
	started   bool          // whether an event was reported
	startedAt time.Duration // time of the first event

	queue    []*request // in the order of reading
	requests map[admission.RequestID]*request
	running  int
	memoryKB float64   // of queued and running requests
	keptKeys []keptKey // in the order of keeping; expired keys are removed from the front

	draining   bool
	drainStart time.Duration // when the drain notice came
	stopAt     time.Duration // when the process ends
}

// keptKey is an idempotency key that the server remembers.
type keptKey struct {
	id    admission.RequestID
	until time.Duration
}

func newHost(s admission.Settings, a admission.Actions) *host {
	return &host{settings: s, actions: a, requests: map[admission.RequestID]*request{}}
}

// advance sets the current time, which never decreases, and forgets expired keys. On the first event it also sets the
// health and starts the periodic timer.
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

// hasMemoryFor reports whether kb more fit into the used share of the memory, with the requests and the kept keys.
func (h *host) hasMemoryFor(kb float64) bool {
	return h.memoryKB+kb+float64(len(h.keptKeys))*h.settings.KeyKB <= memoryShare*h.settings.MemoryKB
}

// maxRunning returns the number of requests that may run concurrently. It assumes the slowest warm-up that the settings
// allow.
func (h *host) maxRunning() int {
	warmUpShare := 1.0
	if s := &h.settings; s.WarmingUp && s.WarmUpTime > 0 {
		warmUpShare = min(1, s.InitialCapacity+(1-s.InitialCapacity)*float64(h.now-h.startedAt)/float64(s.WarmUpTime))
	}
	return max(int(concurrencyShare*float64(h.settings.Cores)*(1+(h.settings.MaxConcurrencyFactor-1)*warmUpShare)), 1)
}

// isKeyed reports whether the requests of a class are idempotent by key.
func (h *host) isKeyed(class int) bool {
	return h.settings.Classes[class].Effect == admission.IdempotentByKey
}

// isAfterGrace reports whether a request arrived after the grace period of a drain. It must not run then.
func (h *host) isAfterGrace(r *request) bool {
	return h.draining && r.arrivedAt > h.drainStart+h.settings.DrainGracePeriod
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
	if left := req.deadline - deadlineMargin - now; left < 2*pollInterval { // the periodic timer could be too late
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

// keySize returns the memory in KB of the idempotency key of a request, or 0 if its class has no keys.
func (h *host) keySize(class int) float64 {
	if h.isKeyed(class) {
		return h.settings.KeyKB
	}
	return 0
}

// keepKey keeps the key of a request for the key window of its class, counted from the request's arrival.
func (h *host) keepKey(now time.Duration, req *request) {
	until := req.arrivedAt + h.settings.Classes[req.Class].KeyWindow
	h.actions.KeepKey(req.ID, until-now)
	h.keptKeys = append(h.keptKeys, keptKey{req.ID, until})
}

// addRequest adds a request to the host, sets its deadline and counts its memory.
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

// reject rejects a request that has not run, and releases its key if it is kept.
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

// remove marks a request as finished, removes it from all lists and releases its memory. It does nothing for a request that
// is finished already.
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
	if req.permit != nil { // nextToRun returned it, but it could not run
		h.policy.runEnded(req, false)
	}
}

// Settle implements admission.Events. It runs the requests that the policy selects, within the limits of concurrency and
// memory.
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
	h.draining, h.drainStart, h.stopAt = true, now, now+left
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

// nearDeadline returns the requests that must be answered before the next poll, in the order of their IDs.
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

// failRunning answers a running request as failed. It stops the run if the settings allow that and the class is safe;
// otherwise the run continues.
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
