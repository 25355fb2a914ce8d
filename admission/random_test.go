package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// arrive generates one request, which is sometimes a retry of an earlier request with a key.
func (h *randomHost) arrive(id RequestID) {
	arrival := Request{ID: id, Class: h.rng.Intn(len(h.settings.Classes)), Tenant: h.rng.Intn(3), Caller: h.rng.Intn(4),
		SizeKB: 10 + 50*h.rng.Float64(), RemainingTime: time.Duration(50+h.rng.Intn(6000)) * ms, IsRetry: h.rng.Intn(4) == 0,
		QueueingDelay: time.Duration(h.rng.Intn(40)) * ms}
	if h.rng.Intn(50) == 0 {
		arrival.Tenant, arrival.RemainingTime, arrival.SizeKB = -1, 0, 0
	}
	req := &hostedRequest{arrivedAt: h.now - arrival.QueueingDelay, firstAttempt: id}
	if h.settings.Classes[arrival.Class].Effect == IdempotentByKey && h.rng.Intn(2) == 0 {
		for attempts := 0; attempts < 30 && len(h.arrivals) > 0; attempts++ {
			originalID := h.arrivals[h.rng.Intn(len(h.arrivals))]
			original := h.requests[originalID]
			if original.request.Class != arrival.Class {
				continue
			}
			expiresAt, isKept := h.keys[originalID]
			if isKept && req.arrivedAt < expiresAt && (original.hasRun || original.phase == hostQueued) {
				arrival.RetryOf, req.firstAttempt = originalID, original.firstAttempt
				break
			}
		}
	}
	req.request = arrival
	req.deadline = h.now + arrival.RemainingTime
	if arrival.RemainingTime == 0 {
		req.deadline = max(req.arrivedAt+h.settings.Classes[arrival.Class].Deadline, h.now)
	}
	h.requests[id] = req
	h.arrivals = append(h.arrivals, id)
	h.module.Request(h.now, arrival)
}

// step generates the next event of one request, if there is one.
func (h *randomHost) step(id RequestID, isHung bool) {
	req := h.requests[id]
	isSettled := req.isAnswered || req.isCancelled
	switch {
	case req.phase == hostFinished:
		if h.rng.Intn(200) == 0 { // a late event of a finished request
			h.module.Cancel(h.now, id)
		}
	case !isSettled && h.rng.Intn(400) == 0:
		req.isCancelled = true
		if req.phase == hostQueued || req.phase == hostReplaying {
			req.phase = hostFinished
		}
		h.module.Cancel(h.now, id)
	case (req.phase == hostCallPending || req.phase == hostCalling) && isSettled:
		req.phase = hostFinished
		h.module.RunFinished(h.now, id, Cancelled)
	case req.phase == hostRunning && !isHung && h.rng.Intn(40) == 0:
		if !isSettled && h.settings.Downstream != DependencyNone && h.rng.Intn(2) == 0 {
			req.phase = hostCallPending
			h.module.CallRequested(h.now, id)
			return
		}
		req.phase, req.isAnswered = hostFinished, true
		h.module.RunFinished(h.now, id, []Outcome{OK, OK, OK, Failed}[h.rng.Intn(4)])
	case req.phase == hostCalling && h.rng.Intn(30) == 0:
		outcome := Outcome(h.rng.Intn(6))
		if outcome == OK {
			req.phase = hostRunning
		} else {
			req.phase = hostCallPending
			req.mayHaveTakenEffect = req.mayHaveTakenEffect || outcome == Failed || outcome == TimedOut || outcome == Reset
		}
		h.module.CallFinished(h.now, id, outcome, 20*ms)
	case req.phase == hostReplaying && h.requests[req.request.RetryOf].phase == hostFinished:
		req.phase, req.isAnswered = hostFinished, true
		h.module.RunFinished(h.now, id, OK)
	}
}

// fireTimers reports the timers that are due.
func (h *randomHost) fireTimers() {
	for i := 0; i < len(h.timers); i++ {
		if h.timers[i] <= h.now {
			h.timers = append(h.timers[:i], h.timers[i+1:]...)
			h.module.Timer(h.now, 0, Gauges{Utilization: h.rng.Float64() + 0.3, Runnable: -1})
			i--
		}
	}
}

// dropFinished removes the requests that finished long ago and have no key.
func (h *randomHost) dropFinished() {
	kept := h.arrivals[:0]
	for _, id := range h.arrivals {
		_, hasKey := h.keys[id]
		req := h.requests[id]
		if hasKey || req.phase != hostFinished || h.now < req.deadline+time.Second {
			kept = append(kept, id)
		}
	}
	h.arrivals = kept
}

// newRandomHost returns a host with an Instance whose settings depend on the seed.
func newRandomHost(t *testing.T, mode StopMode, downstream Dependency, seed int64) *randomHost {
	settings := testSettings()
	settings.StopMode, settings.Downstream = mode, downstream
	settings.FairCallShare, settings.CallAveragingTime = 0.6, 4*time.Second
	settings.WarmingUp = seed%2 == 1
	settings.MemoryKB, settings.KeyKB = []float64{1600, 6000}[seed%2], 10
	h := &randomHost{t: t, settings: settings, rng: rand.New(rand.NewSource(seed)),
		requests: map[RequestID]*hostedRequest{}, keys: map[RequestID]time.Duration{},
		ranArrivals: map[RequestID]time.Duration{}, actionCounts: map[string]int{}}
	var err error
	if h.module, err = New(settings, &recorder{host: h}); err != nil {
		t.Fatal(err)
	}
	return h
}

// TestRandomEventsKeepFourRules reports random legal events with each stop mode and each kind of dependency.
// randomHost checks the rules.
func TestRandomEventsKeepFourRules(t *testing.T) {
	for _, mode := range []StopMode{StopNone, StopDiscard, StopPause} {
		for _, downstream := range []Dependency{DependencyNone, DependencyShared, DependencyTier} {
			for seed := int64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprint(mode, downstream, seed), func(t *testing.T) {
					runRandomEvents(t, mode, downstream, seed)
				})
			}
		}
	}
}

// runRandomEvents runs a server from its start to the end of its drain.
func runRandomEvents(t *testing.T, mode StopMode, downstream Dependency, seed int64) {
	const tick = 5 * ms
	h := newRandomHost(t, mode, downstream, seed)
	next := RequestID(1)
	for i := 0; i < 4000; i++ {
		h.now = time.Duration(i) * tick
		isHung := i%1500 > 1200
		events := h.pending
		h.pending = nil
		for _, event := range events {
			event()
		}
		h.fireTimers()
		for n := len(h.arrivals); n > 0; n-- {
			h.step(h.arrivals[n-1], isHung)
		}
		for n := h.rng.Intn(3) * h.rng.Intn(2); n > 0; n-- {
			h.arrive(next)
			next++
		}
		if i == 3100 {
			h.drainNoticeAt, h.stopAt = h.now, h.now+4*time.Second
			h.module.Drain(h.now, 4*time.Second)
		}
		h.module.Settle(h.now)
		h.checkLimits(tick)
		if h.stopAt > 0 && h.now >= h.stopAt {
			break
		}
		if i%200 == 0 {
			h.dropFinished()
		}
	}
	for _, id := range h.arrivals {
		if req := h.requests[id]; !req.isAnswered && !req.isCancelled {
			t.Fatalf("request %d was read before the stop and is not answered", id)
		}
	}
	for _, action := range []string{"run", "answer", "keep-key", "release-key", "replay"} {
		if h.actionCounts[action] == 0 {
			t.Errorf("no %s action in the whole run, want at least one", action)
		}
	}
	if downstream != DependencyNone && h.actionCounts["call"] == 0 {
		t.Error("no call in the whole run, want at least one")
	}
}
