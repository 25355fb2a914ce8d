package admission

import (
	"math/rand"
	"testing"
	"time"
)

// Limits of the rules that the module's settings do not contain.
const (
	answerSlack              = 80 * ms
	concurrencyAveragingTime = 2 * time.Second
)

// hostPhase is the host's state of a request.
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
	mayHaveTakenEffect bool      // a call of it may have had its effect
}

// randomHost is the host in random tests: it carries out actions, checks the four rules independently of the module
// and generates legal events. It simulates no server: when something ends is drawn at random.
type randomHost struct {
	t              *testing.T
	settings       Settings
	module         *Instance
	rng            *rand.Rand
	now            time.Duration
	timers         []time.Duration
	requests       map[RequestID]*hostedRequest
	arrivals       []RequestID
	keys           map[RequestID]time.Duration // entries of the table
	ranArrivals    map[RequestID]time.Duration // arrival of the attempt that ran, by the first attempt
	drainNoticeAt  time.Duration
	stopAt         time.Duration
	runningSamples []float64 // running requests at the latest steps, for the fourth rule
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

// run starts a request, and checks that it may run.
func (h *randomHost) run(id RequestID) {
	req := h.count(id, "run")
	if req.phase != hostQueued || req.isAnswered || req.isCancelled {
		h.t.Fatalf("%v: run of %d, which is finished or not queued", h.now, id)
	}
	class := h.settings.Classes[req.request.Class]
	if class.Effect == IdempotentByKey {
		at, ran := h.ranArrivals[req.firstAttempt]
		if ran && req.arrivedAt < at+class.KeyWindow {
			h.t.Fatalf("%v: %d runs a second time within its window", h.now, id)
		}
		if _, kept := h.keys[id]; !kept {
			h.t.Fatalf("%v: %d runs without its key", h.now, id)
		}
		h.ranArrivals[req.firstAttempt] = req.arrivedAt
	}
	if class.Effect != Safe && req.hasRun {
		h.t.Fatalf("%v: %d with an effect runs again", h.now, id)
	}
	if h.stopAt > 0 && req.arrivedAt > h.drainNoticeAt+h.settings.DrainGracePeriod {
		h.t.Fatalf("%v: %d arrived after the grace and runs", h.now, id)
	}
	req.phase, req.hasRun = hostRunning, true
}

// answer records the final answer, and checks that it is the only one, and that a rejected request never ran.
func (h *randomHost) answer(id RequestID, isRejected bool) {
	req := h.count(id, "answer")
	if req.isAnswered {
		h.t.Fatalf("%v: second answer to %d", h.now, id)
	}
	hasEffect := h.settings.Classes[req.request.Class].Effect != Safe
	_, ran := h.ranArrivals[req.firstAttempt]
	if isRejected && hasEffect && (req.hasRun || ran && req.phase != hostQueued) {
		h.t.Fatalf("%v: %d ran and is rejected", h.now, id)
	}
	req.isAnswered = true
	if req.phase == hostQueued || req.phase == hostReplaying {
		req.phase = hostFinished
	}
}

// call makes a downstream call, and checks that it may be made.
func (h *randomHost) call(id RequestID, timeout time.Duration) {
	req := h.count(id, "call")
	if req.phase != hostCallPending {
		return
	}
	if req.mayHaveTakenEffect && h.settings.Classes[req.request.Class].Effect != Safe {
		h.t.Fatalf("%v: call of %d repeated though it may have had its effect", h.now, id)
	}
	if timeout <= 0 {
		h.t.Fatalf("%v: call of %d without a time-out", h.now, id)
	}
	req.phase = hostCalling
}

// skipCall lets a run go on without its call.
func (h *randomHost) skipCall(id RequestID) {
	req := h.count(id, "skip-call")
	if h.settings.Classes[req.request.Class].SkippedCallWeight == 0 {
		h.t.Fatalf("%v: skip-call of %d is not allowed", h.now, id)
	}
	if req.phase == hostCallPending {
		req.phase = hostRunning
	}
}

// stop ends a run in most cases.
func (h *randomHost) stop(id RequestID) {
	req := h.count(id, "stop")
	if h.settings.StopMode == StopNone {
		h.t.Fatalf("%v: stop of %d is not allowed", h.now, id)
	}
	isUnneeded := req.isAnswered || req.isCancelled
	// Otherwise the stop has no effect, as on hung cores.
	if req.phase == hostRunning && isUnneeded && h.rng.Intn(4) > 0 {
		req.phase = hostFinished
		h.later(func() { h.module.RunFinished(h.now, id, Cancelled) })
	}
}

// keepKey remembers a key.
func (h *randomHost) keepKey(id RequestID, lifetime time.Duration) {
	h.count(id, "keep-key")
	h.keys[id] = h.now + lifetime
}

// releaseKey removes a key, which must not be that of a request that ran.
func (h *randomHost) releaseKey(id RequestID) {
	req := h.count(id, "release-key")
	if req.hasRun {
		h.t.Fatalf("%v: the key of %d, which ran, is erased", h.now, id)
	}
	delete(h.keys, id)
}

// replayResult has a request wait for the result of the one that it repeats.
func (h *randomHost) replayResult(id RequestID) {
	req := h.count(id, "replay")
	if req.request.RetryOf == 0 || req.phase != hostQueued {
		h.t.Fatalf("%v: replay of %d is not allowed", h.now, id)
	}
	req.phase = hostReplaying
}

// later keeps an event for the next batch.
func (h *randomHost) later(event func()) { h.pending = append(h.pending, event) }

// checkLimits compares the needs with the limits after the actions of a batch.
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
			h.t.Fatalf("%v: %d was due at %v (phase %d)", h.now, id, req.deadline, req.phase)
		}
	}
	h.checkMemory(memory)
	h.checkConcurrency(running, step)
	h.checkCalls(calls, step)
}

// checkMemory drops expired keys and compares the memory of requests and keys with the server's.
func (h *randomHost) checkMemory(memory float64) {
	for id, until := range h.keys {
		if until < h.now {
			delete(h.keys, id)
		}
	}
	memory += float64(len(h.keys)) * h.settings.KeyKB
	if memory > h.settings.MemoryKB {
		h.t.Fatalf("%v: %.0f KB needed of %.0f", h.now, memory, h.settings.MemoryKB)
	}
}

// checkConcurrency compares the mean of the running requests with what the server survives.
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
		h.t.Fatalf("%v: %.1f on the cores on the mean, %.1f survive", h.now, mean, limit)
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
		h.t.Fatalf("%v: calls in hand run far over this server's part", h.now)
	}
}
