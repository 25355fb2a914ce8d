package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// The figures of the rules that the module is not told.
const (
	answerSlack              = 80 * ms
	concurrencyAveragingTime = 2 * time.Second
)

// hostPhase is where the host has a request.
type hostPhase uint8

const (
	hostQueued hostPhase = iota
	hostRunning
	hostCallPending
	hostCalling
	hostReplaying // reuse
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
	firstAttempt       RequestID // keyed: the first try of the same request
	mayHaveTakenEffect bool      // a call of it may have had its effect
}

// randomHost is the other side of a random test: it carries out actions, checks the four rules from outside and
// makes up legal events. It models no server: what ends when is drawn at random.
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
	ranArrivals    map[RequestID]time.Duration // arrival of the try that ran, by root
	drainNoticeAt  time.Duration
	stopAt         time.Duration
	runningSamples []float64 // stateRunning requests at the latest steps, for the fourth rule
	callDebt       float64
	actionCounts   map[string]int
}

func (h *randomHost) count(id RequestID, action string) *hostedRequest {
	h.actionCounts[action]++
	r := h.requests[id]
	if r == nil {
		h.t.Fatalf("%v: %s of unknown request %d", h.now, action, id)
	}
	return r
}

func (h *randomHost) run(id RequestID) {
	r := h.count(id, "run")
	if r.phase != hostQueued || r.isAnswered || r.isCancelled {
		h.t.Fatalf("%v: run of %d, which is over or not held", h.now, id)
	}
	class := h.settings.Classes[r.request.Class]
	if class.Effect == IdempotentByKey {
		at, ran := h.ranArrivals[r.firstAttempt]
		if ran && r.arrivedAt < at+class.KeyWindow {
			h.t.Fatalf("%v: %d runs a second time within its window", h.now, id)
		}
		if _, kept := h.keys[id]; !kept {
			h.t.Fatalf("%v: %d runs without its key", h.now, id)
		}
		h.ranArrivals[r.firstAttempt] = r.arrivedAt
	}
	if class.Effect != Safe && r.hasRun {
		h.t.Fatalf("%v: %d with an effect runs again", h.now, id)
	}
	if h.stopAt > 0 && r.arrivedAt > h.drainNoticeAt+h.settings.DrainGracePeriod {
		h.t.Fatalf("%v: %d arrived after the grace and runs", h.now, id)
	}
	r.phase, r.hasRun = hostRunning, true
}

func (h *randomHost) answer(id RequestID, refused bool) {
	r := h.count(id, "answer")
	if r.isAnswered {
		h.t.Fatalf("%v: second answer to %d", h.now, id)
	}
	if _, ran := h.ranArrivals[r.firstAttempt]; refused && h.settings.Classes[r.request.Class].Effect != Safe && (r.hasRun || ran && r.phase != hostQueued) {
		h.t.Fatalf("%v: %d ran and is turned away", h.now, id)
	}
	r.isAnswered = true
	if r.phase == hostQueued || r.phase == hostReplaying {
		r.phase = hostFinished
	}
}

func (h *randomHost) call(id RequestID, timeout time.Duration) {
	r := h.count(id, "call")
	if r.phase != hostCallPending {
		return
	}
	if r.mayHaveTakenEffect && h.settings.Classes[r.request.Class].Effect != Safe {
		h.t.Fatalf("%v: call of %d repeated though it may have had its effect", h.now, id)
	}
	if timeout <= 0 {
		h.t.Fatalf("%v: call of %d without a time-out", h.now, id)
	}
	r.phase = hostCalling
}

func (h *randomHost) skip(id RequestID) {
	r := h.count(id, "skip")
	if h.settings.Classes[r.request.Class].SkippedCallWeight == 0 {
		h.t.Fatalf("%v: skip of %d is not allowed", h.now, id)
	}
	if r.phase == hostCallPending {
		r.phase = hostRunning
	}
}

func (h *randomHost) halt(id RequestID) {
	r := h.count(id, "halt")
	if h.settings.StopMode == StopNone {
		h.t.Fatalf("%v: halt of %d is not allowed", h.now, id)
	}
	if r.phase == hostRunning && (r.isAnswered || r.isCancelled) && h.rng.Intn(4) > 0 { // else the cores stand still
		r.phase = hostFinished
		h.later(func() { h.module.RunFinished(h.now, id, Cancelled) })
	}
}

func (h *randomHost) keep(id RequestID, lifetime time.Duration) {
	h.count(id, "keep")
	h.keys[id] = h.now + lifetime
}

func (h *randomHost) forget(id RequestID) {
	r := h.count(id, "forget")
	if r.hasRun {
		h.t.Fatalf("%v: the key of %d, which ran, is erased", h.now, id)
	}
	delete(h.keys, id)
}

func (h *randomHost) reuse(id RequestID) {
	r := h.count(id, "reuse")
	if r.request.RetryOf == 0 || r.phase != hostQueued {
		h.t.Fatalf("%v: reuse of %d is not allowed", h.now, id)
	}
	r.phase = hostReplaying
}

var pending []func()

// later keeps an event for the next batch.
func (h *randomHost) later(event func()) { pending = append(pending, event) }

// checkLimits compares the needs with the limits after the actions of a batch.
func (h *randomHost) checkLimits(step time.Duration) {
	memory, running, calls := 0.0, 0.0, 0.0
	for _, id := range h.arrivals {
		r := h.requests[id]
		switch r.phase {
		case hostQueued, hostReplaying:
			memory += r.request.SizeKB
		case hostRunning:
			running++
			memory += r.request.SizeKB * h.settings.RunningMemoryFactor
		case hostCallPending, hostCalling:
			memory += r.request.SizeKB * h.settings.RunningMemoryFactor
			if r.phase == hostCalling {
				calls++
			}
		}
		if !r.isAnswered && !r.isCancelled && r.phase != hostFinished && h.now > r.deadline+answerSlack {
			h.t.Fatalf("%v: %d was due at %v (phase %d)", h.now, id, r.deadline, r.phase)
		}
	}
	for id, until := range h.keys {
		if until < h.now {
			delete(h.keys, id)
		}
	}
	memory += float64(len(h.keys)) * h.settings.KeyKB
	if memory > h.settings.MemoryKB {
		h.t.Fatalf("%v: %.0f KB needed of %.0f", h.now, memory, h.settings.MemoryKB)
	}
	h.runningSamples = append(h.runningSamples, running)
	if n := int(concurrencyAveragingTime / step); len(h.runningSamples) > n {
		h.runningSamples = h.runningSamples[len(h.runningSamples)-n:]
		sum := 0.0
		for _, c := range h.runningSamples {
			sum += c
		}
		share := 1.0
		if h.settings.WarmingUp {
			share = min(1, h.settings.InitialCapacity+(1-h.settings.InitialCapacity)*float64(h.now)/float64(h.settings.WarmUpTime))
		}
		if limit := float64(h.settings.Cores) * (1 + (h.settings.MaxConcurrencyFactor-1)*share); sum/float64(n) > limit {
			h.t.Fatalf("%v: %.1f on the cores on the mean, %.1f survive", h.now, sum/float64(n), limit)
		}
	}
	if h.settings.Downstream == DependencyShared {
		h.callDebt += (calls - max(h.settings.FairCallShare, 0)) * step.Seconds()
		h.callDebt = max(h.callDebt, 0)
		if h.callDebt > h.settings.CallAveragingTime.Seconds()*max(1, h.settings.FairCallShare) {
			h.t.Fatalf("%v: calls in hand run far over this server's part", h.now)
		}
	}
}

// arrive makes up one request, at times a further try of an earlier keyed one.
func (h *randomHost) arrive(id RequestID) {
	q := Request{ID: id, Class: h.rng.Intn(len(h.settings.Classes)), Tenant: h.rng.Intn(3), Caller: h.rng.Intn(4),
		SizeKB: 10 + 50*h.rng.Float64(), RemainingTime: time.Duration(50+h.rng.Intn(6000)) * ms, IsRetry: h.rng.Intn(4) == 0,
		QueueingDelay: time.Duration(h.rng.Intn(40)) * ms}
	if h.rng.Intn(50) == 0 {
		q.Tenant, q.RemainingTime, q.SizeKB = -1, 0, 0
	}
	r := &hostedRequest{arrivedAt: h.now - q.QueueingDelay, firstAttempt: id}
	if h.settings.Classes[q.Class].Effect == IdempotentByKey && h.rng.Intn(2) == 0 {
		for tries := 0; tries < 30 && len(h.arrivals) > 0; tries++ {
			originalID := h.arrivals[h.rng.Intn(len(h.arrivals))]
			original := h.requests[originalID]
			if original.request.Class != q.Class {
				continue
			}
			until, kept := h.keys[originalID]
			if kept && r.arrivedAt < until && (original.hasRun || original.phase == hostQueued) {
				q.RetryOf, r.firstAttempt = originalID, original.firstAttempt
				break
			}
		}
	}
	r.request = q
	r.deadline = h.now + q.RemainingTime
	if q.RemainingTime == 0 {
		r.deadline = max(r.arrivedAt+h.settings.Classes[q.Class].Deadline, h.now)
	}
	h.requests[id] = r
	h.arrivals = append(h.arrivals, id)
	h.module.Request(h.now, q)
}

// step makes up what happens to one request.
func (h *randomHost) step(id RequestID, isHung bool) {
	r := h.requests[id]
	isOver := r.isAnswered || r.isCancelled
	switch {
	case r.phase == hostFinished:
		if h.rng.Intn(200) == 0 { // late news of what is over
			h.module.Cancel(h.now, id)
		}
	case !isOver && h.rng.Intn(400) == 0:
		r.isCancelled = true
		if r.phase == hostQueued || r.phase == hostReplaying {
			r.phase = hostFinished
		}
		h.module.Cancel(h.now, id)
	case (r.phase == hostCallPending || r.phase == hostCalling) && isOver:
		r.phase = hostFinished
		h.module.RunFinished(h.now, id, Cancelled)
	case r.phase == hostRunning && !isHung && h.rng.Intn(40) == 0:
		if !isOver && h.settings.Downstream != DependencyNone && h.rng.Intn(2) == 0 {
			r.phase = hostCallPending
			h.module.CallRequested(h.now, id)
			return
		}
		r.phase, r.isAnswered = hostFinished, true
		h.module.RunFinished(h.now, id, []Outcome{OK, OK, OK, Failed}[h.rng.Intn(4)])
	case r.phase == hostCalling && h.rng.Intn(30) == 0:
		outcome := Outcome(h.rng.Intn(6))
		if outcome == OK {
			r.phase = hostRunning
		} else {
			r.phase = hostCallPending
			r.mayHaveTakenEffect = r.mayHaveTakenEffect || outcome == Failed || outcome == TimedOut || outcome == Reset
		}
		h.module.CallFinished(h.now, id, outcome, 20*ms)
	case r.phase == hostReplaying && h.requests[r.request.RetryOf].phase == hostFinished:
		r.phase, r.isAnswered = hostFinished, true
		h.module.RunFinished(h.now, id, OK)
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for _, mode := range []StopMode{StopNone, StopDiscard, StopPause} {
		for _, below := range []Dependency{DependencyNone, DependencyShared, DependencyTier} {
			for seed := int64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprint(mode, below, seed), func(t *testing.T) { runRandomEvents(t, mode, below, seed) })
			}
		}
	}
}

func runRandomEvents(t *testing.T, mode StopMode, below Dependency, seed int64) {
	const tick = 5 * ms
	settings := testSettings()
	settings.StopMode, settings.Downstream, settings.WarmingUp, settings.FairCallShare, settings.CallAveragingTime = mode, below, seed%2 == 1, 0.6, 4*time.Second
	settings.MemoryKB, settings.KeyKB = []float64{1600, 6000}[seed%2], 10
	h := &randomHost{t: t, settings: settings, rng: rand.New(rand.NewSource(seed)), requests: map[RequestID]*hostedRequest{},
		keys: map[RequestID]time.Duration{}, ranArrivals: map[RequestID]time.Duration{}, actionCounts: map[string]int{}}
	pending = nil
	var err error
	if h.module, err = New(settings, &recorder{host: h}); err != nil {
		t.Fatal(err)
	}
	next := RequestID(1)
	for i := 0; i < 4000; i++ {
		h.now = time.Duration(i) * tick
		isHung := i%1500 > 1200
		events := pending
		pending = nil
		for _, event := range events {
			event()
		}
		for j := 0; j < len(h.timers); j++ {
			if h.timers[j] <= h.now {
				h.timers = append(h.timers[:j], h.timers[j+1:]...)
				h.module.Timer(h.now, 0, Gauges{Utilization: h.rng.Float64() + 0.3, Runnable: -1})
				j--
			}
		}
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
		if i%200 == 0 { // forget what is long over
			kept := h.arrivals[:0]
			for _, id := range h.arrivals {
				if _, key := h.keys[id]; key || h.requests[id].phase != hostFinished || h.now < h.requests[id].deadline+time.Second {
					kept = append(kept, id)
				}
			}
			h.arrivals = kept
		}
	}
	for _, id := range h.arrivals {
		if r := h.requests[id]; !r.isAnswered && !r.isCancelled {
			t.Fatalf("%d read before the stop was not answered", id)
		}
	}
	for _, action := range []string{"run", "answer", "keep", "forget", "reuse"} {
		if h.actionCounts[action] == 0 {
			t.Errorf("no %s in the whole run: it tests too little", action)
		}
	}
	if below != DependencyNone && h.actionCounts["call"] == 0 {
		t.Error("no call in the whole run")
	}
}
