package admission

import (
	"math/rand"
	"testing"
	"time"
)

// Limits of the rules that Settings does not contain.
const (
	answerSlack              = 80 * ms
	concurrencyAveragingTime = 2 * time.Second
)

// hostPhase is the host's view of the state of a request.
type hostPhase uint8

// The phases.
const (
	hostQueued hostPhase = iota
	hostRunning
	hostCallPending
	hostCalling
	hostReplaying
	hostFinished
)

// hostedRequest is the host's own record of one request.
type hostedRequest struct {
	request            Request
	arrivedAt          time.Duration
	deadline           time.Duration
	phase              hostPhase
	isAnswered         bool
	isCancelled        bool
	hasRun             bool
	firstAttempt       RequestID // keyed: the first attempt of the same request
	mayHaveTakenEffect bool      // one of its calls may have taken effect
}

// randomHost is the host in random tests. It carries out actions, checks the four rules independently of the module
// and generates legal events. It does not simulate a server: the times at which runs and calls end are random.
type randomHost struct {
	t              *testing.T
	settings       Settings
	module         *Instance
	rng            *rand.Rand
	now            time.Duration
	timers         []time.Duration
	requests       map[RequestID]*hostedRequest
	arrivals       []RequestID
	keys           map[RequestID]time.Duration // when each kept key expires
	ranArrivals    map[RequestID]time.Duration // arrival of the attempt that ran, by first attempt
	drainNoticeAt  time.Duration
	stopAt         time.Duration
	runningSamples []float64 // running requests at the latest steps, for the fourth rule (checkConcurrency)
	callDebt       float64
	actionCounts   map[string]int
	pending        []func() // events of the next batch
}

// count counts an action and returns its request.
func (h *randomHost) count(id RequestID, action string) *hostedRequest {
	h.actionCounts[action]++
	req := h.requests[id]
	if req == nil {
		h.t.Fatalf("%v: %s of unknown request %d", h.now, action, id)
	}
	return req
}

// run starts a request and checks that it may run.
func (h *randomHost) run(id RequestID) {
	req := h.count(id, "run")
	if req.phase != hostQueued || req.isAnswered || req.isCancelled {
		h.t.Fatalf("%v: run of request %d, which is finished or not queued", h.now, id)
	}
	class := h.settings.Classes[req.request.Class]
	if class.Effect == IdempotentByKey {
		at, ran := h.ranArrivals[req.firstAttempt]
		if ran && req.arrivedAt < at+class.KeyWindow {
			h.t.Fatalf("%v: request %d runs a second time within its key window", h.now, id)
		}
		if _, kept := h.keys[id]; !kept {
			h.t.Fatalf("%v: request %d runs without a kept key", h.now, id)
		}
		h.ranArrivals[req.firstAttempt] = req.arrivedAt
	}
	if class.Effect != Safe && req.hasRun {
		h.t.Fatalf("%v: request %d runs again although its class is not safe", h.now, id)
	}
	if h.stopAt > 0 && req.arrivedAt > h.drainNoticeAt+h.settings.DrainGracePeriod {
		h.t.Fatalf("%v: request %d runs although it arrived after the grace period", h.now, id)
	}
	req.phase, req.hasRun = hostRunning, true
}

// answer records the final answer. It checks that there is only one answer, and that a rejected request never ran.
func (h *randomHost) answer(id RequestID, isRejected bool) {
	req := h.count(id, "answer")
	if req.isAnswered {
		h.t.Fatalf("%v: second answer to request %d", h.now, id)
	}
	hasEffect := h.settings.Classes[req.request.Class].Effect != Safe
	_, ran := h.ranArrivals[req.firstAttempt]
	if isRejected && hasEffect && (req.hasRun || ran && req.phase != hostQueued) {
		h.t.Fatalf("%v: request %d is rejected although it ran", h.now, id)
	}
	req.isAnswered = true
	if req.phase == hostQueued || req.phase == hostReplaying {
		req.phase = hostFinished
	}
}

// call makes a downstream call and checks that it may be made.
func (h *randomHost) call(id RequestID, timeout time.Duration) {
	req := h.count(id, "call")
	if req.phase != hostCallPending {
		return
	}
	if req.mayHaveTakenEffect && h.settings.Classes[req.request.Class].Effect != Safe {
		h.t.Fatalf("%v: call of request %d is repeated although it may have taken effect", h.now, id)
	}
	if timeout <= 0 {
		h.t.Fatalf("%v: call of request %d without a timeout", h.now, id)
	}
	req.phase = hostCalling
}

// skipCall continues a run without its call.
func (h *randomHost) skipCall(id RequestID) {
	req := h.count(id, "skip-call")
	if h.settings.Classes[req.request.Class].SkippedCallWeight == 0 {
		h.t.Fatalf("%v: skip-call of request %d, whose class forbids skipping", h.now, id)
	}
	if req.phase == hostCallPending {
		req.phase = hostRunning
	}
}

// stop ends a run in most cases, if its result is no longer needed.
func (h *randomHost) stop(id RequestID) {
	req := h.count(id, "stop")
	if h.settings.StopMode == StopNone {
		h.t.Fatalf("%v: stop of request %d, but StopMode is StopNone", h.now, id)
	}
	isUnneeded := req.isAnswered || req.isCancelled
	// In the other cases the stop has no effect, as on hung cores.
	if req.phase == hostRunning && isUnneeded && h.rng.Intn(4) > 0 {
		req.phase = hostFinished
		h.deferEvent(func() { h.module.RunFinished(h.now, id, Cancelled) })
	}
}

// keepKey remembers a key.
func (h *randomHost) keepKey(id RequestID, lifetime time.Duration) {
	h.count(id, "keep-key")
	h.keys[id] = h.now + lifetime
}

// releaseKey removes a key and checks that its request never ran.
func (h *randomHost) releaseKey(id RequestID) {
	req := h.count(id, "release-key")
	if req.hasRun {
		h.t.Fatalf("%v: the key of request %d is released although the request ran", h.now, id)
	}
	delete(h.keys, id)
}

// replayResult makes a request wait for the result of the request that it repeats.
func (h *randomHost) replayResult(id RequestID) {
	req := h.count(id, "replay")
	if req.request.RetryOf == 0 || req.phase != hostQueued {
		h.t.Fatalf("%v: replay of request %d, which is no retry or is not queued", h.now, id)
	}
	req.phase = hostReplaying
}

// deferEvent adds an event to the next batch.
func (h *randomHost) deferEvent(event func()) { h.pending = append(h.pending, event) }

// checkLimits checks the deadlines and the resource limits after the actions of a batch.
func (h *randomHost) checkLimits(step time.Duration) {
	memory, running, calls := 0.0, 0.0, 0.0
	for _, id := range h.arrivals {
		req := h.requests[id]
		switch req.phase {
		case hostQueued, hostReplaying:
			memory += req.request.SizeKB
		case hostRunning:
			running++
			memory += req.request.SizeKB * h.settings.RunningMemoryFactor
		case hostCallPending, hostCalling:
			memory += req.request.SizeKB * h.settings.RunningMemoryFactor
			if req.phase == hostCalling {
				calls++
			}
		}
		if !req.isAnswered && !req.isCancelled && req.phase != hostFinished && h.now > req.deadline+answerSlack {
			h.t.Fatalf("%v: request %d is not answered, its deadline was %v (phase %d)", h.now, id, req.deadline, req.phase)
		}
	}
	h.checkMemory(memory)
	h.checkConcurrency(running, step)
	h.checkCalls(calls, step)
}

// checkMemory drops expired keys and compares the memory of requests and keys with the memory of the server.
func (h *randomHost) checkMemory(memory float64) {
	for id, until := range h.keys {
		if until < h.now {
			delete(h.keys, id)
		}
	}
	memory += float64(len(h.keys)) * h.settings.KeyKB
	if memory > h.settings.MemoryKB {
		h.t.Fatalf("%v: %.0f KB in use, want at most %.0f KB", h.now, memory, h.settings.MemoryKB)
	}
}

// checkConcurrency compares the mean number of running requests with the number that the server survives.
func (h *randomHost) checkConcurrency(running float64, step time.Duration) {
	h.runningSamples = append(h.runningSamples, running)
	samples := int(concurrencyAveragingTime / step)
	if len(h.runningSamples) <= samples {
		return
	}
	h.runningSamples = h.runningSamples[len(h.runningSamples)-samples:]
	sum := 0.0
	for _, sample := range h.runningSamples {
		sum += sample
	}
	mean := sum / float64(samples)
	speed := 1.0
	if h.settings.WarmingUp {
		initial := h.settings.InitialCapacity
		speed = min(1, initial+(1-initial)*float64(h.now)/float64(h.settings.WarmUpTime))
	}
	limit := float64(h.settings.Cores) * (1 + (h.settings.MaxConcurrencyFactor-1)*speed)
	if mean > limit {
		h.t.Fatalf("%v: %.1f running requests on average, want at most %.1f", h.now, mean, limit)
	}
}

// checkCalls compares the calls in flight over time with this server's share of a shared dependency.
func (h *randomHost) checkCalls(calls float64, step time.Duration) {
	if h.settings.Downstream != DependencyShared {
		return
	}
	h.callDebt += (calls - max(h.settings.FairCallShare, 0)) * step.Seconds()
	h.callDebt = max(h.callDebt, 0)
	if h.callDebt > h.settings.CallAveragingTime.Seconds()*max(1, h.settings.FairCallShare) {
		h.t.Fatalf("%v: the calls in flight are far over this server's share", h.now)
	}
}
