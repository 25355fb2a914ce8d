package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// The figures of the rules that the module is not told.
const (
	answerSlack = 80 * ms
	crowdOver   = 2 * time.Second
)

// phase is where the host has a request.
type phase uint8

const (
	inHold phase = iota
	atWork
	atCall
	outCall
	awaiting // reuse
	finished
)

// hosted is the host's own record of one request.
type hosted struct {
	q        Request
	arrived  time.Duration
	due      time.Duration
	phase    phase
	answered bool
	gone     bool
	ran      bool
	root     RequestID // keyed: the first try of the same request
	unproven bool      // a call of it may have had its effect
}

// host is the other side of a random test: it carries out actions, checks the four rules from outside and
// makes up legal events. It models no server: what ends when is drawn at random.
type host struct {
	t      *testing.T
	set    Settings
	in     *Instance
	rng    *rand.Rand
	now    time.Duration
	wake   []time.Duration
	all    map[RequestID]*hosted
	order  []RequestID
	keys   map[RequestID]time.Duration // entries of the table
	ranAt  map[RequestID]time.Duration // arrival of the try that ran, by root
	notice time.Duration
	stop   time.Duration
	window []float64 // running requests at the latest steps, for the fourth rule
	debt   float64
	counts map[string]int
}

func (h *host) get(id RequestID, action string) *hosted {
	h.counts[action]++
	r := h.all[id]
	if r == nil {
		h.t.Fatalf("%v: %s of unknown request %d", h.now, action, id)
	}
	return r
}

func (h *host) run(id RequestID) {
	r := h.get(id, "run")
	if r.phase != inHold || r.answered || r.gone {
		h.t.Fatalf("%v: run of %d, which is over or not held", h.now, id)
	}
	class := h.set.Classes[r.q.Class]
	if class.Effect == IdempotentByKey {
		at, ran := h.ranAt[r.root]
		if ran && r.arrived < at+class.KeyWindow {
			h.t.Fatalf("%v: %d runs a second time within its window", h.now, id)
		}
		if _, kept := h.keys[id]; !kept {
			h.t.Fatalf("%v: %d runs without its key", h.now, id)
		}
		h.ranAt[r.root] = r.arrived
	}
	if class.Effect != Safe && r.ran {
		h.t.Fatalf("%v: %d with an effect runs again", h.now, id)
	}
	if h.stop > 0 && r.arrived > h.notice+h.set.DrainGracePeriod {
		h.t.Fatalf("%v: %d arrived after the grace and runs", h.now, id)
	}
	r.phase, r.ran = atWork, true
}

func (h *host) answer(id RequestID, refused bool) {
	r := h.get(id, "answer")
	if r.answered {
		h.t.Fatalf("%v: second answer to %d", h.now, id)
	}
	if _, ran := h.ranAt[r.root]; refused && h.set.Classes[r.q.Class].Effect != Safe && (r.ran || ran && r.phase != inHold) {
		h.t.Fatalf("%v: %d ran and is turned away", h.now, id)
	}
	r.answered = true
	if r.phase == inHold || r.phase == awaiting {
		r.phase = finished
	}
}

func (h *host) call(id RequestID, timeout time.Duration) {
	r := h.get(id, "call")
	if r.phase != atCall {
		return
	}
	if r.unproven && h.set.Classes[r.q.Class].Effect != Safe {
		h.t.Fatalf("%v: call of %d repeated though it may have had its effect", h.now, id)
	}
	if timeout <= 0 {
		h.t.Fatalf("%v: call of %d without a time-out", h.now, id)
	}
	r.phase = outCall
}

func (h *host) skip(id RequestID) {
	r := h.get(id, "skip")
	if h.set.Classes[r.q.Class].SkippedCallWeight == 0 {
		h.t.Fatalf("%v: skip of %d is not allowed", h.now, id)
	}
	if r.phase == atCall {
		r.phase = atWork
	}
}

func (h *host) halt(id RequestID) {
	r := h.get(id, "halt")
	if h.set.StopMode == StopNone {
		h.t.Fatalf("%v: halt of %d is not allowed", h.now, id)
	}
	if r.phase == atWork && (r.answered || r.gone) && h.rng.Intn(4) > 0 { // else the cores stand still
		r.phase = finished
		h.later(func() { h.in.RunFinished(h.now, id, Cancelled) })
	}
}

func (h *host) keep(id RequestID, lifetime time.Duration) {
	h.get(id, "keep")
	h.keys[id] = h.now + lifetime
}

func (h *host) forget(id RequestID) {
	r := h.get(id, "forget")
	if r.ran {
		h.t.Fatalf("%v: the key of %d, which ran, is erased", h.now, id)
	}
	delete(h.keys, id)
}

func (h *host) reuse(id RequestID) {
	r := h.get(id, "reuse")
	if r.q.RetryOf == 0 || r.phase != inHold {
		h.t.Fatalf("%v: reuse of %d is not allowed", h.now, id)
	}
	r.phase = awaiting
}

var pending []func()

// later keeps an event for the next batch.
func (h *host) later(event func()) { pending = append(pending, event) }

// check compares the needs with the limits after the actions of a batch.
func (h *host) check(step time.Duration) {
	memory, crowd, calls := 0.0, 0.0, 0.0
	for _, id := range h.order {
		r := h.all[id]
		switch r.phase {
		case inHold, awaiting:
			memory += r.q.SizeKB
		case atWork:
			crowd++
			memory += r.q.SizeKB * h.set.RunningMemoryFactor
		case atCall, outCall:
			memory += r.q.SizeKB * h.set.RunningMemoryFactor
			if r.phase == outCall {
				calls++
			}
		}
		if !r.answered && !r.gone && r.phase != finished && h.now > r.due+answerSlack {
			h.t.Fatalf("%v: %d was due at %v (phase %d)", h.now, id, r.due, r.phase)
		}
	}
	for id, until := range h.keys {
		if until < h.now {
			delete(h.keys, id)
		}
	}
	memory += float64(len(h.keys)) * h.set.KeyKB
	if memory > h.set.MemoryKB {
		h.t.Fatalf("%v: %.0f KB needed of %.0f", h.now, memory, h.set.MemoryKB)
	}
	h.window = append(h.window, crowd)
	if n := int(crowdOver / step); len(h.window) > n {
		h.window = h.window[len(h.window)-n:]
		sum := 0.0
		for _, c := range h.window {
			sum += c
		}
		share := 1.0
		if h.set.WarmingUp {
			share = min(1, h.set.InitialCapacity+(1-h.set.InitialCapacity)*float64(h.now)/float64(h.set.WarmUpTime))
		}
		if limit := float64(h.set.Cores) * (1 + (h.set.MaxConcurrencyFactor-1)*share); sum/float64(n) > limit {
			h.t.Fatalf("%v: %.1f on the cores on the mean, %.1f survive", h.now, sum/float64(n), limit)
		}
	}
	if h.set.Downstream == DependencyShared {
		h.debt += (calls - max(h.set.FairCallShare, 0)) * step.Seconds()
		h.debt = max(h.debt, 0)
		if h.debt > h.set.CallAveragingTime.Seconds()*max(1, h.set.FairCallShare) {
			h.t.Fatalf("%v: calls in hand run far over this server's part", h.now)
		}
	}
}

// arrive makes up one request, at times a further try of an earlier keyed one.
func (h *host) arrive(id RequestID) {
	q := Request{ID: id, Class: h.rng.Intn(len(h.set.Classes)), Tenant: h.rng.Intn(3), Caller: h.rng.Intn(4),
		SizeKB: 10 + 50*h.rng.Float64(), RemainingTime: time.Duration(50+h.rng.Intn(6000)) * ms, IsRetry: h.rng.Intn(4) == 0,
		QueueingDelay: time.Duration(h.rng.Intn(40)) * ms}
	if h.rng.Intn(50) == 0 {
		q.Tenant, q.RemainingTime, q.SizeKB = -1, 0, 0
	}
	r := &hosted{arrived: h.now - q.QueueingDelay, root: id}
	if h.set.Classes[q.Class].Effect == IdempotentByKey && h.rng.Intn(2) == 0 {
		for tries := 0; tries < 30 && len(h.order) > 0; tries++ {
			old := h.order[h.rng.Intn(len(h.order))]
			o := h.all[old]
			if o.q.Class != q.Class {
				continue
			}
			until, kept := h.keys[old]
			if kept && r.arrived < until && (o.ran || o.phase == inHold) {
				q.RetryOf, r.root = old, o.root
				break
			}
		}
	}
	r.q = q
	r.due = h.now + q.RemainingTime
	if q.RemainingTime == 0 {
		r.due = max(r.arrived+h.set.Classes[q.Class].Deadline, h.now)
	}
	h.all[id] = r
	h.order = append(h.order, id)
	h.in.Request(h.now, q)
}

// step makes up what happens to one request.
func (h *host) step(id RequestID, hung bool) {
	r := h.all[id]
	over := r.answered || r.gone
	switch {
	case r.phase == finished:
		if h.rng.Intn(200) == 0 { // late news of what is over
			h.in.Cancel(h.now, id)
		}
	case !over && h.rng.Intn(400) == 0:
		r.gone = true
		if r.phase == inHold || r.phase == awaiting {
			r.phase = finished
		}
		h.in.Cancel(h.now, id)
	case (r.phase == atCall || r.phase == outCall) && over:
		r.phase = finished
		h.in.RunFinished(h.now, id, Cancelled)
	case r.phase == atWork && !hung && h.rng.Intn(40) == 0:
		if !over && h.set.Downstream != DependencyNone && h.rng.Intn(2) == 0 {
			r.phase = atCall
			h.in.CallRequested(h.now, id)
			return
		}
		r.phase, r.answered = finished, true
		h.in.RunFinished(h.now, id, []Outcome{OK, OK, OK, Failed}[h.rng.Intn(4)])
	case r.phase == outCall && h.rng.Intn(30) == 0:
		o := Outcome(h.rng.Intn(6))
		if o == OK {
			r.phase = atWork
		} else {
			r.phase = atCall
			r.unproven = r.unproven || o == Failed || o == TimedOut || o == Reset
		}
		h.in.CallFinished(h.now, id, o, 20*ms)
	case r.phase == awaiting && h.all[r.q.RetryOf].phase == finished:
		r.phase, r.answered = finished, true
		h.in.RunFinished(h.now, id, OK)
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for _, mode := range []StopMode{StopNone, StopDiscard, StopPause} {
		for _, below := range []Dependency{DependencyNone, DependencyShared, DependencyTier} {
			for seed := int64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprint(mode, below, seed), func(t *testing.T) { randomDay(t, mode, below, seed) })
			}
		}
	}
}

func randomDay(t *testing.T, mode StopMode, below Dependency, seed int64) {
	const tick = 5 * ms
	set := testSettings()
	set.StopMode, set.Downstream, set.WarmingUp, set.FairCallShare, set.CallAveragingTime = mode, below, seed%2 == 1, 0.6, 4*time.Second
	set.MemoryKB, set.KeyKB = []float64{1600, 6000}[seed%2], 10
	h := &host{t: t, set: set, rng: rand.New(rand.NewSource(seed)), all: map[RequestID]*hosted{},
		keys: map[RequestID]time.Duration{}, ranAt: map[RequestID]time.Duration{}, counts: map[string]int{}}
	pending = nil
	var err error
	if h.in, err = New(set, &recorder{host: h}); err != nil {
		t.Fatal(err)
	}
	next := RequestID(1)
	for i := 0; i < 4000; i++ {
		h.now = time.Duration(i) * tick
		hung := i%1500 > 1200
		due := pending
		pending = nil
		for _, event := range due {
			event()
		}
		for j := 0; j < len(h.wake); j++ {
			if h.wake[j] <= h.now {
				h.wake = append(h.wake[:j], h.wake[j+1:]...)
				h.in.Timer(h.now, 0, Gauges{Utilization: h.rng.Float64() + 0.3, Runnable: -1})
				j--
			}
		}
		for n := len(h.order); n > 0; n-- {
			h.step(h.order[n-1], hung)
		}
		for n := h.rng.Intn(3) * h.rng.Intn(2); n > 0; n-- {
			h.arrive(next)
			next++
		}
		if i == 3100 {
			h.notice, h.stop = h.now, h.now+4*time.Second
			h.in.Drain(h.now, 4*time.Second)
		}
		h.in.Settle(h.now)
		h.check(tick)
		if h.stop > 0 && h.now >= h.stop {
			break
		}
		if i%200 == 0 { // forget what is long over
			kept := h.order[:0]
			for _, id := range h.order {
				if _, key := h.keys[id]; key || h.all[id].phase != finished || h.now < h.all[id].due+time.Second {
					kept = append(kept, id)
				}
			}
			h.order = kept
		}
	}
	for _, id := range h.order {
		if r := h.all[id]; !r.answered && !r.gone {
			t.Fatalf("%d read before the stop was not answered", id)
		}
	}
	for _, action := range []string{"run", "answer", "keep", "forget", "reuse"} {
		if h.counts[action] == 0 {
			t.Errorf("no %s in the whole run: it tests too little", action)
		}
	}
	if below != DependencyNone && h.counts["call"] == 0 {
		t.Error("no call in the whole run")
	}
}
