package admission

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// driver drives an Instance by events alone, and ends its runs when the test says so.
type driver struct {
	t           *testing.T
	module      *Instance
	recorder    *recorder
	now         time.Duration
	lastID      RequestID
	isSaturated bool // what the gauges read
}

func newDriver(t *testing.T, s Settings) *driver {
	in, rec := newTestInstance(t, s)
	return &driver{t: t, module: in, recorder: rec}
}

// advance has the clock and the module's timer go on.
func (s *driver) advance(d time.Duration) {
	s.now += d
	g := Gauges{Utilization: 0.5, Runnable: 0}
	if s.isSaturated {
		g = Gauges{Utilization: 1, Runnable: 100}
	}
	s.module.Timer(s.now, 0, g)
	s.module.Settle(s.now)
}

// request has a request of the class come, and returns its number.
func (s *driver) request(class int, change func(*Request)) RequestID {
	s.lastID++
	q := testRequest(s.lastID, class)
	q.RemainingTime = 0
	if change != nil {
		change(&q)
	}
	s.module.Request(s.now, q)
	s.module.Settle(s.now)
	return s.lastID
}

// hasAction tells whether the module has done the word to the request since the last look.
func hasAction(actions []string, word string, id RequestID) bool {
	want := fmt.Sprintf("%s %d", word, id)
	for _, a := range actions {
		if a == want || strings.HasPrefix(a, want+" ") {
			return true
		}
	}
	return false
}

// scanAction reads the word and the request of an action.
func scanAction(t *testing.T, action string) (word string, id RequestID) {
	t.Helper()
	if _, err := fmt.Sscanf(action, "%s %d", &word, &id); err != nil {
		t.Fatalf("%q: %v", action, err)
	}
	return word, id
}

// hasRun is what the module has run since the last look.
func (s *driver) startedRuns() (ids []RequestID) {
	s.t.Helper()
	for _, a := range s.recorder.take("run") {
		_, id := scanAction(s.t, a)
		ids = append(ids, id)
	}
	return ids
}

// twoClassSettings are settings of 300 servers and 150 callers: a class with an aim of 0.6 s and one with an aim of 6 s.
func twoClassSettings() Settings {
	return Settings{Servers: 300, Callers: 150, Cores: 2, Tick: 5 * ms, MemoryKB: 1e6, RunningMemoryFactor: 4, MaxConcurrencyFactor: 8,
		DrainGracePeriod: 2 * time.Second, MaxRetryAfter: time.Second,
		Classes: []Class{{LatencyObjective: 600 * ms, Deadline: 1500 * ms, Weight: 1}, {LatencyObjective: 6 * time.Second, Deadline: 15 * time.Second, Weight: 1}}}
}

// TestPredictedWaitLeavesOutLaterRuns holds two seconds of work whose aim is long: a request with a short aim goes before all of it,
// and is not refused for work that waits behind it.
func TestPredictedWaitLeavesOutLaterRuns(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	for _, class := range []int{0, 1} { // a run of each is known to take 0.2 s
		s.request(class, nil)
		s.advance(200 * ms)
		s.module.RunFinished(s.now, s.lastID, OK)
	}
	s.isSaturated = true
	s.advance(100 * ms)
	for range 2 + 20 { // two run
		s.request(1, nil)
	}
	s.advance(100 * ms)
	s.recorder.take()
	quick := s.request(0, nil)
	if hasAction(s.recorder.take("refuse"), "refuse", quick) {
		t.Error("a request with a short aim was refused for work that waits behind it")
	}
}

// TestSlowClassIsRunAgainOnSaturatedCores has runs of a class take longer than its aim once, and another class keep the cores
// full from then on: the class is run again after a while, so that it can show that it is fast again.
func TestSlowClassIsRunAgainOnSaturatedCores(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	for range 10 {
		id := s.request(0, nil)
		s.advance(1400 * ms)
		s.module.RunFinished(s.now, id, OK)
	}
	s.isSaturated = true
	for range 10 {
		s.request(1, nil)
	}
	s.advance(100 * ms)
	running := s.startedRuns()
	quick, quickRuns := map[RequestID]bool{}, 0
	for range 600 { // a minute, in which a run of the other class ends every 100 ms, and one of this class at once
		s.request(1, nil)
		quick[s.request(0, nil)] = true
		s.advance(100 * ms)
		for _, id := range s.startedRuns() {
			if quick[id] {
				quickRuns++
				s.module.RunFinished(s.now+10*ms, id, OK)
			} else {
				running = append(running, id)
			}
		}
		if len(running) > 0 {
			s.module.RunFinished(s.now+10*ms, running[0], OK)
			running = running[1:]
		}
	}
	if quickRuns < 60 {
		t.Errorf("%d requests of the class were run of the 600 that came in a minute, want a tenth at least", quickRuns)
	}
}

// TestTimedOutRunIsLearnedFrom has runs of a class go on until their answers are due, as on a server that became slow:
// the expected time grows, though no run ends well.
func TestTimedOutRunIsLearnedFrom(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	s.module.learn(0, 0.1, 0.1)
	for range 20 {
		s.request(0, nil)
		s.advance(1500 * ms)
	}
	if own := s.module.expectedRunTime(&request{class: 0}); own < 600*ms {
		t.Errorf("a run is expected to take %v, though 20 went on until they were due after 1.5 s", own)
	}
}

// TestStalledRunsAreNotLearnedFrom has work stand still: what its runs took by then says nothing of the class.
func TestStalledRunsAreNotLearnedFrom(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	for range 10 {
		id := s.request(1, nil)
		s.advance(100 * ms)
		s.module.RunFinished(s.now, id, OK)
	}
	s.isSaturated = true
	s.request(1, nil)
	s.request(1, nil)
	before := s.module.expectedRunTime(&request{class: 1})
	for range 100 {
		s.advance(100 * ms)
		if s.module.isStalled {
			break
		}
	}
	if !s.module.isStalled {
		t.Fatal("nothing stalled: the test shows nothing")
	}
	if after := s.module.expectedRunTime(&request{class: 1}); after > before {
		t.Errorf("a run was expected to take %v, and %v after a stall", before, after)
	}
	if n := s.module.Inspect().Classes[1].Rejections[Stalled]; n != 0 {
		t.Errorf("%d requests were refused for the stall, want none: those that ran were failed", n)
	}
	s.request(1, nil)
	if n := s.module.Inspect().Classes[1].Rejections[Stalled]; n != 1 {
		t.Errorf("%d requests were refused for the stall, want the one that came in it", n)
	}
}

// partOverThreshold is the part of the arrivals of a tenant that read as over its threshold, where so many come in a half-life as its slice
// is, times the factor, by chance.
func partOverThreshold(t *testing.T, perHalfLife, factor float64) float64 {
	t.Helper()
	s := twoClassSettings()
	slice := perHalfLife / s.Classes[1].LatencyObjective.Seconds() // of one tenant at this server, per second
	s.Tenants = []Tenant{{Quota: slice * float64(s.Servers)}, {Quota: 1e9}}
	in, _ := newTestInstance(t, s)
	const arrivals = 4000
	rng, over := rand.New(rand.NewSource(1)), 0
	for range arrivals {
		in.now += time.Duration(rng.ExpFloat64() / (factor * slice) * float64(time.Second))
		if in.measureRateRatio(Request{ID: 1}) > 1 {
			over++
		}
	}
	return float64(over) / arrivals
}

// TestThresholdCoversNoiseOfSmallShares sends a tenant's requests by chance at just the rate of its slice, however small that is beside λ:
// few of them may read as over the threshold.
func TestThresholdCoversNoiseOfSmallShares(t *testing.T) {
	for _, perHalfLife := range []float64{0.01, 0.1, 0.5, 1, 3, 10} {
		if part := partOverThreshold(t, perHalfLife, 1); part > 0.1 {
			t.Errorf("%v arrivals in a half-life: %.3f of them are over the threshold of their own rate, want at most 0.1",
				perHalfLife, part)
		}
	}
}

// TestSingleArrivalIsWithinThreshold has one request come: it is no rate, however small the slice.
func TestSingleArrivalIsWithinThreshold(t *testing.T) {
	for _, quota := range []float64{0, 1e-6, 1, 300} {
		s := twoClassSettings()
		s.Tenants = []Tenant{{Quota: quota}, {Quota: 1e9}}
		in, _ := newTestInstance(t, s)
		if e := in.measureRateRatio(Request{ID: 1}); e > 1 {
			t.Errorf("a quota of %v: a single arrival is %.2f times the threshold", quota, e)
		}
	}
}

// TestThresholdFindsTenantsOverQuota has a tenant send four times its slice: most of its arrivals are over.
func TestThresholdFindsTenantsOverQuota(t *testing.T) {
	for _, perHalfLife := range []float64{3, 10, 100} {
		if part := partOverThreshold(t, perHalfLife, 4); part < 0.9 {
			t.Errorf("%v arrivals in a half-life: %.3f of one that sends four times that are over, want 0.9", perHalfLife, part)
		}
	}
}

// TestThresholdPrefersNoClass judges a tenant over its slice alike whichever class it asks for.
func TestThresholdPrefersNoClass(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	for _, wait := range []float64{0.2, 0.5, 1, 2, 4} {
		short := s.module.isOverThreshold(&request{class: 0, rateRatio: 1.5}, wait)
		long := s.module.isOverThreshold(&request{class: 1, rateRatio: 1.5}, wait)
		if short != long {
			t.Errorf("%v s of wait: with a short aim refused %v, with a long one %v", wait, short, long)
		}
	}
}

// TestStarvedClassGoesFirst turns most requests of a cheap class away while those of a rich one run: the next of the cheap
// class goes before the rich ones that are held, until it has its part again.
func TestStarvedClassGoesFirst(t *testing.T) {
	set := twoClassSettings()
	set.Classes[1].Weight = 100
	s := newDriver(t, set)
	in := s.module
	in.learn(0, 0.1, 0.1)
	in.learn(1, 0.1, 0.1)
	for range 10 {
		in.classes[0].rejected.count(0, in.decay)
		in.classes[1].started.count(0, in.decay)
	}
	s.isSaturated = true
	s.advance(100 * ms)
	var ids []RequestID
	for range 4 { // two run
		ids = append(ids, s.request(1, nil))
	}
	s.recorder.take()
	cheap := s.request(0, nil)
	in.RunFinished(s.now, ids[0], OK)
	in.Settle(s.now)
	if got := s.recorder.take("run", "refuse"); !hasAction(got, "run", cheap) {
		t.Errorf("got %q, want a run of %d", got, cheap)
	}
	for range 40 {
		in.classes[0].started.count(s.now, in.decay)
	}
	s.request(0, nil)
	in.RunFinished(s.now, ids[1], OK)
	in.Settle(s.now)
	if got := s.recorder.take("run", "refuse"); !hasAction(got, "run", ids[2]) {
		t.Errorf("got %q, want a run of %d", got, ids[2])
	}
}

// TestOverQuotaHasNoFairShareClaim counts nothing of a tenant over its slice for its class's fair share.
func TestOverQuotaHasNoFairShareClaim(t *testing.T) {
	set := twoClassSettings()
	set.Tenants = []Tenant{{Quota: 300}}
	s := newDriver(t, set)
	if s.module.hasFairShareClaim(&request{quota: 1}) || !s.module.hasFairShareClaim(&request{}) {
		t.Error("a tenant over its slice has a claim, or one within it has none")
	}
	if s := newDriver(t, twoClassSettings()); !s.module.hasFairShareClaim(&request{quota: 1}) {
		t.Error("without tenants a request has no claim")
	}
}

// TestNoClassStarvesAtFirst finds no class starved before anything was turned away, and none where nothing runs at all.
func TestNoClassStarvesAtFirst(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	for step, rejected := range []int{0, 5} {
		for range rejected {
			s.module.classes[0].rejected.count(0, s.module.decay)
			s.module.classes[1].rejected.count(0, s.module.decay)
		}
		s.module.updateStarvation()
		if s.module.classes[0].isStarved || s.module.classes[1].isStarved {
			t.Errorf("step %d: starved %v and %v", step, s.module.classes[0].isStarved, s.module.classes[1].isStarved)
		}
	}
	if math.IsNaN(s.module.longestWait()) {
		t.Error("the wait is no number")
	}
}

// TestSlowCallsAreMadeAgain has calls of a class whose answers may leave them out take longer than its aim for a while: calls
// are made again later, so that they can show that they are fast again. What is left out is learned from by nobody.
func TestSlowCallsAreMadeAgain(t *testing.T) {
	set := twoClassSettings()
	set.Downstream = DependencyTier
	set.Classes[0].SkippedCallWeight = 0.5
	s := newDriver(t, set)
	call := func(took time.Duration) (called bool) {
		id := s.request(0, nil)
		s.module.CallRequested(s.now, id)
		s.module.Settle(s.now)
		called = hasAction(s.recorder.take("call"), "call", id)
		s.advance(took)
		if called {
			s.module.CallFinished(s.now, id, OK, took)
		}
		s.module.RunFinished(s.now, id, OK)
		return called
	}
	for range 10 {
		if !call(1300 * ms) {
			break
		}
	}
	calls := 0
	for range 600 { // a minute
		if call(50 * ms) {
			calls++
		}
		s.advance(50 * ms)
	}
	if calls < 300 {
		t.Errorf("%d calls were made for 600 requests in the minute after calls were slow, want half at least", calls)
	}
}

// TestCreditDoesNotDependOnTheOrderOfClasses has a class of short runs and one of long runs make up the same traffic, listed one
// way and the other: callers are told the same credit.
func TestCreditDoesNotDependOnTheOrderOfClasses(t *testing.T) {
	credit := func(first, second float64) string {
		set := twoClassSettings()
		set.Feedback = FeedbackCredit
		set.Classes[0] = set.Classes[1]
		s := newDriver(t, set)
		for i, run := range []float64{first, second} {
			s.module.learn(i, run, run)
			id := s.request(i, nil)
			s.advance(ms)
			s.module.RunFinished(s.now, id, Failed)
		}
		s.advance(200 * ms)
		said := s.recorder.take("say")
		return said[len(said)-1]
	}
	if a, b := credit(0.1, 1), credit(1, 0.1); a != b {
		t.Errorf("with the short runs first: %s; with the long ones: %s", a, b)
	}
}

// TestKeysLeaveLargeRequestsRoom keeps keys in most of the memory: a request whose runs need much of what is left is still
// taken in by a server that has nothing else to do.
func TestKeysLeaveLargeRequestsRoom(t *testing.T) {
	set := twoClassSettings()
	set.MemoryKB, set.KeyKB = 10000, 10
	set.Classes[1].Effect, set.Classes[1].KeyWindow = IdempotentByKey, time.Hour
	s := newDriver(t, set)
	for range 600 {
		id := s.request(1, func(q *Request) { q.SizeKB = 1 })
		s.advance(10 * ms)
		s.module.RunFinished(s.now, id, OK)
	}
	if s.module.keyCount < 500 {
		t.Fatalf("%d keys: the test shows nothing", s.module.keyCount)
	}
	s.recorder.take()
	large := s.request(0, func(q *Request) { q.SizeKB = 600 })
	if got := s.recorder.take("run", "refuse"); !hasAction(got, "run", large) {
		t.Errorf("got %q, want a run of %d", got, large)
	}
}

// TestFruitlessClassYieldsCores has all runs of a class end for nothing, as where they come to a call that can't be made,
// and more of the other class come than the cores can do: once that shows, the other class gets the cores. As soon as runs of the
// first end well it is run again.
func TestFruitlessClassYieldsCores(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	runs := [2]int{}
	class := map[RequestID]int{}
	var running []RequestID
	for step := range 1500 { // two and a half minutes; a run ends every 100 ms, and one request of each class comes
		served := step >= 900
		s.isSaturated = len(running) >= 2
		for c := range 2 {
			class[s.request(c, nil)] = c
		}
		s.advance(100 * ms)
		for _, id := range s.startedRuns() {
			running = append(running, id)
			if step >= 300 && step < 900 || step >= 1250 {
				runs[class[id]]++
			}
		}
		if len(running) > 0 {
			id := running[0]
			running = running[1:]
			if class[id] == 0 && !served {
				s.module.Cancel(s.now, id)
				s.module.RunFinished(s.now, id, Cancelled)
			} else {
				s.module.RunFinished(s.now, id, OK)
			}
		}
		if step == 899 {
			if part := float64(runs[0]) / float64(runs[0]+runs[1]); part > 0.1 {
				t.Errorf("the class that is never served has %.2f of the runs, want at most 0.1", part)
			}
			runs = [2]int{}
		}
	}
	if part := float64(runs[0]) / float64(runs[0]+runs[1]); part < 0.2 {
		t.Errorf("the class has %.2f of the runs once they end well, want 0.2 at least", part)
	}
}
