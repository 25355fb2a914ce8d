package admission

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// recorder keeps the actions as lines and, where a host is attached, carries them out.
type recorder struct {
	lines []string
	host  *randomHost
}

func (r *recorder) add(format string, args ...any) {
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

func (r *recorder) Run(id RequestID) {
	r.add("run %d", id)
	if r.host != nil {
		r.host.run(id)
	}
}

func (r *recorder) Reject(id RequestID, stayAway time.Duration, last bool) {
	r.add("refuse %d %v %v", id, stayAway, last)
	if r.host != nil {
		r.host.answer(id, true)
	}
}

func (r *recorder) Fail(id RequestID) {
	r.add("fail %d", id)
	if r.host != nil {
		r.host.answer(id, false)
	}
}

func (r *recorder) Call(id RequestID, timeout time.Duration) {
	r.add("call %d", id)
	if r.host != nil {
		r.host.call(id, timeout)
	}
}

func (r *recorder) SkipCall(id RequestID) {
	r.add("skip %d", id)
	if r.host != nil {
		r.host.skip(id)
	}
}

func (r *recorder) Stop(id RequestID) {
	r.add("halt %d", id)
	if r.host != nil {
		r.host.halt(id)
	}
}

func (r *recorder) KeepKey(id RequestID, lifetime time.Duration) {
	r.add("keep %d %v", id, lifetime)
	if r.host != nil {
		r.host.keep(id, lifetime)
	}
}

func (r *recorder) ReleaseKey(id RequestID) {
	r.add("forget %d", id)
	if r.host != nil {
		r.host.forget(id)
	}
}

func (r *recorder) ReplayResult(id RequestID) {
	r.add("reuse %d", id)
	if r.host != nil {
		r.host.reuse(id)
	}
}

func (r *recorder) AdvertiseLoad(value float64)             { r.add("say %.3f", value) }
func (r *recorder) SetHealth(good, stored bool)             { r.add("health %v %v", good, stored) }
func (r *recorder) CloseIdleConnections(idle time.Duration) { r.add("idle %v", idle) }
func (r *recorder) SetTimer(wait time.Duration, _ uint32) {
	r.add("after %v", wait)
	if r.host != nil {
		r.host.timers = append(r.host.timers, r.host.now+wait)
	}
}
func (r *recorder) Log(line string) { r.add("log %s", line) }

// take returns the actions since the last take that begin with one of the words.
func (r *recorder) take(words ...string) []string {
	var out []string
	for _, l := range r.lines {
		for _, w := range words {
			if strings.HasPrefix(l, w+" ") {
				out = append(out, l)
			}
		}
	}
	r.lines = nil
	return out
}

func testSettings() Settings {
	return Settings{Servers: 2, Callers: 2, Cores: 2, Tick: 5 * time.Millisecond,
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 1, LateWeight: 0.2, SkippedCallWeight: 0.5},
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 1, Effect: IdempotentByKey, KeyWindow: 10 * time.Second},
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 1, Effect: NonIdempotent},
		},
		Tenants:  []Tenant{{Quota: 4}, {Quota: 4}},
		MemoryKB: 10000, KeyKB: 20, RunningMemoryFactor: 4, MaxConcurrencyFactor: 6, InitialCapacity: 0.25,
		WarmUpTime: 10 * time.Second, DrainGracePeriod: 2 * time.Second,
		StopMode: StopDiscard, Downstream: DependencyTier, Feedback: FeedbackWeight,
		MaxRetryAfter: time.Second, HasDeadlines: true}
}

func newTestInstance(t *testing.T, s Settings) (*Instance, *recorder) {
	t.Helper()
	rec := &recorder{}
	in, err := New(s, rec)
	if err != nil {
		t.Fatal(err)
	}
	in.Settle(0)
	rec.take()
	return in, rec
}

const ms = time.Millisecond

func testRequest(id RequestID, class int) Request {
	return Request{ID: id, Class: class, SizeKB: 30, RemainingTime: 6 * time.Second}
}

func expectActions(t *testing.T, rec *recorder, words string, want ...string) {
	t.Helper()
	got := rec.take(strings.Fields(words)...)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// fillCores runs as many requests of the class as may run, from id 1000 on, and returns their number.
func fillCores(in *Instance, rec *recorder, now time.Duration, class int) int {
	for i := 0; ; i++ {
		in.Request(now, testRequest(RequestID(1000+i), class))
		in.Settle(now)
		if len(rec.take("run")) == 0 {
			in.Cancel(now, RequestID(1000+i))
			in.Settle(now)
			return i
		}
	}
}

func TestEstimateByHand(t *testing.T) {
	var e rateEstimate
	// λ = ln 2, so one second halves: N = 1, then 1 + 1/2, then 1 + 3/8 after two seconds.
	for i, want := range []float64{1, 1.5, 1.375} {
		now := []time.Duration{0, time.Second, 3 * time.Second}[i]
		if r := e.count(now, math.Ln2); math.Abs(e.impulse-want) > 1e-12 || math.Abs(r-want*math.Ln2) > 1e-12 {
			t.Errorf("arrival %d: N %v, r %v, want N %v", i, e.impulse, r, want)
		}
	}
	if r := e.rate(4*time.Second, math.Ln2); math.Abs(r-1.375/2*math.Ln2) > 1e-12 {
		t.Errorf("a second later r is %v", r)
	}
}

func TestThresholdBindsOnlyWhileOverloaded(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.learn(0, 0.05, 0.05)
	in.learn(0, 0.05, 0.05)
	n := fillCores(in, rec, 0, 0)
	for id := RequestID(1); id <= 60; id++ {
		in.Request(10*ms, testRequest(id, 0))
	}
	if got := rec.take("refuse"); len(got) != 0 {
		t.Fatalf("%d running, cores not known to be full, yet %q", n, got)
	}
	in.utilization = 1
	in.Request(20*ms, testRequest(100, 0))
	other := testRequest(101, 0)
	other.Tenant = 1
	in.Request(20*ms, other)
	expectActions(t, rec, "refuse", "refuse 100 1s false") // it is far over its slice
}

// Every refusal tells when to come back. A tenant over its slice hears when its estimate will be back there.
func TestRejectionTellsWhenToRetry(t *testing.T) {
	s := testSettings()
	in, _ := newTestInstance(t, s)
	in.classes[0].coreTime, in.classes[0].queued[0] = 0.5, 2 // half a second of work on each of two cores
	for _, c := range []struct {
		excess float64
		want   time.Duration
	}{{0, 500 * ms}, {1, 500 * ms}, {1.0001, pollInterval}, {1e6, s.MaxRetryAfter}} {
		if got := in.retryAfter(&request{rateRatio: c.excess}); got != c.want {
			t.Errorf("%v times its slice: %v, want %v", c.excess, got, c.want)
		}
	}
	in.classes[0].queued[0] = 0
	if got := in.retryAfter(&request{}); got != pollInterval {
		t.Errorf("with no wait predicted: %v, want the time to the next look", got)
	}
	in.isDraining = true
	if got := in.retryAfter(&request{}); got != s.MaxRetryAfter {
		t.Errorf("while draining: %v, want the longest", got)
	}
	in.isDraining = false
	var e rateEstimate
	now := time.Duration(0)
	for range 40 {
		e.count(now, in.decay)
	}
	const slice = 12
	back := in.retryAfter(&request{rateRatio: e.rate(now, in.decay) / slice})
	if r := e.rate(now+back, in.decay); back >= s.MaxRetryAfter || r > slice*1.001 || r < slice*0.999 {
		t.Errorf("after %v the rate is %v, want %v", back, r, slice)
	}
}

// A held request that can't be useful any more is answered at once, though no core becomes free.
func TestHopelessRequestIsRejectedAtOnce(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.Request(0, testRequest(100, 0))
	in.utilization = 1
	useful := in.byID[100].objectiveDeadline
	in.Settle(useful - ms)
	expectActions(t, rec, "refuse")
	in.Settle(useful + ms)
	if got := rec.take("refuse", "run"); len(got) != 1 || !strings.HasPrefix(got[0], "refuse 100 ") {
		t.Errorf("got %q", got)
	}
}

// A class whose runs were slow for a while is run again as soon as the cores have room: only that shows whether
// it still is. It was turned away for good before, on cores that stood idle.
func TestSlowClassIsRunAgain(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.settings.Classes[0].LateWeight = 0
	for range 20 {
		in.learn(0, 0.1, 4) // seconds of the wall: over the aim, within the deadline
	}
	in.utilization = 0.5
	in.Request(0, testRequest(1, 0))
	in.Settle(0)
	expectActions(t, rec, "run refuse", "run 1")
	in.RunFinished(100*ms, 1, OK)
	if wall := in.classes[0].wallTime; wall >= 4 {
		t.Errorf("a fast run left the expected time at %v s", wall)
	}
	fillCores(in, rec, 100*ms, 0)
	in.utilization = 1
	in.Request(200*ms, testRequest(2, 0))
	in.Settle(200 * ms)
	if got := rec.take("refuse"); len(got) != 1 || !strings.HasPrefix(got[0], "refuse 2 ") {
		t.Errorf("on full cores: %q", got)
	}
}

// A server that can't read what comes asks for less and less of every rank; one that only works asks for half.
func TestBacklogReducesTrafficWeight(t *testing.T) {
	for _, c := range []struct {
		unread, least, most float64
	}{{0, 0.5, 0.5}, {10, 0, 0.1}} {
		s := testSettings()
		s.Feedback = FeedbackLevel
		in, _ := newTestInstance(t, s)
		in.classes[0].coreTime, in.classes[0].queued[0] = 1, 1000
		for range 100 {
			in.utilization, in.readDelay = 1, c.unread
			in.updateFeedback()
		}
		if in.trafficWeight < c.least || in.trafficWeight > c.most {
			t.Errorf("arrivals wait %v s unread: weight %v", c.unread, in.trafficWeight)
		}
	}
}

func TestAdmissionByPredictedWait(t *testing.T) {
	s := testSettings()
	s.Tenants[0].Quota = 1e6
	in, rec := newTestInstance(t, s)
	in.learn(0, 0.5, 0.5)
	in.learn(0, 0.5, 0.5)
	fillCores(in, rec, 0, 0)
	in.utilization = 1
	for id := RequestID(1); id <= 8; id++ {
		in.Request(10*ms, testRequest(id, 0))
	}
	// Each held request adds 0.5 s / 2 cores; 1.5 s are left of the aim after its own 0.5 s.
	expectActions(t, rec, "refuse", "refuse 8 1s false")
	unknown := testRequest(9, 2)
	in.classes[2].samples = 0
	in.Request(10*ms, unknown)
	expectActions(t, rec, "refuse")
}

func TestConcurrencyLimitStaysWithinBounds(t *testing.T) {
	s := testSettings()
	s.WarmingUp = true
	in, rec := newTestInstance(t, s)
	if n := fillCores(in, rec, 0, 0); n != 2 {
		t.Errorf("%d run at the start, want the core count", n)
	}
	for i := 0; i < 100; i++ {
		in.queue = append(in.queue, &request{objectiveDeadline: time.Hour, deadline: time.Hour})
		in.adjustConcurrencyLimit()
	}
	// WarmingUp at a quarter of the speed: 2 cores x (1 + 5/4) x 0.75.
	if in.concurrencyLimit > 3.376 {
		t.Errorf("cold limit %v is over the crowd", in.concurrencyLimit)
	}
	in.now = 10 * time.Second
	for i := 0; i < 100; i++ {
		in.adjustConcurrencyLimit()
	}
	if want := 2 * 6 * concurrencyMargin; math.Abs(in.concurrencyLimit-want) > 1e-9 {
		t.Errorf("warm limit %v, want %v", in.concurrencyLimit, want)
	}
	in.utilization = 1
	for i := 0; i < 100; i++ {
		in.adjustConcurrencyLimit()
	}
	if in.concurrencyLimit != 2 {
		t.Errorf("limit %v with full cores, want the core count", in.concurrencyLimit)
	}
}

func TestAnswersByDeadlineInEveryState(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.Request(0, testRequest(1, 0)) // will run
	in.Request(0, testRequest(2, 1)) // will stand at a call
	in.Settle(0)
	in.CallRequested(10*ms, 2)
	in.Settle(10 * ms)
	expectActions(t, rec, "run call", "run 1", "run 2", "call 2")
	again := testRequest(3, 1)
	again.RetryOf = 2
	in.Request(20*ms, again)
	expectActions(t, rec, "reuse", "reuse 3")
	fillCores(in, rec, 30*ms, 0)
	last := 6*time.Second - in.answerMargin()
	in.Settle(last - ms)
	rec.take()
	in.Settle(last)
	got := strings.Join(rec.take("fail", "halt"), ",")
	for _, want := range []string{"fail 1,halt 1", "fail 2"} {
		if !strings.Contains(got, want) {
			t.Errorf("at the due time: %q, want %q in it", got, want)
		}
	}
	in.Settle(6*time.Second + 20*ms)
	if got := rec.take("fail", "refuse"); len(got) == 0 || got[0] != "fail 3" {
		t.Errorf("after the due time of the repeat: %q", got)
	}
	in.RunFinished(6*time.Second+30*ms, 2, Cancelled)
	in.Settle(6*time.Second + 30*ms)
	expectActions(t, rec, "fail refuse run")
}

func TestIdempotentRequestRunsOnce(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.Request(0, testRequest(1, 1))
	second := testRequest(2, 1)
	second.RetryOf = 1
	in.Request(0, second) // two tries in one batch
	in.Settle(0)
	expectActions(t, rec, "keep run reuse refuse", "keep 1 10.01s", "run 1", "reuse 2")
	in.RunFinished(ms, 1, Failed)
	in.RunFinished(ms, 2, Failed)
	third := testRequest(3, 1)
	third.RetryOf = 1
	in.Request(2*ms, third)
	in.Settle(2 * ms)
	expectActions(t, rec, "keep run reuse refuse", "reuse 3")
}

func TestKeyWindowCountsFromArrival(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	q := testRequest(1, 1)
	q.QueueingDelay = 3 * time.Second
	in.Request(5*time.Second, q)
	expectActions(t, rec, "keep", "keep 1 7.01s")
}

func TestFollowerIsPromotedWhenOriginalNeverRan(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	first := testRequest(1, 1)
	first.RemainingTime = time.Second
	in.Request(0, first)
	second := testRequest(2, 1)
	second.RetryOf = 1
	in.Request(10*ms, second)
	in.Settle(10 * ms)
	expectActions(t, rec, "keep run reuse", "keep 1 10.01s")
	in.Settle(time.Second)
	expectActions(t, rec, "refuse forget keep fail run", "refuse 1 100ms false", "forget 1", "keep 2 9.02s")
	in.RunFinished(time.Second+ms, 1000, OK)
	in.Settle(time.Second + ms)
	expectActions(t, rec, "run", "run 2")
}

func TestFollowerPastDrainGraceIsNotPromoted(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	first, second := testRequest(1, 1), testRequest(2, 1)
	first.RemainingTime, second.RetryOf = 2500*ms, 1
	in.Request(0, first)
	in.Drain(0, 4*time.Second)
	in.Request(2100*ms, second)
	in.Settle(2500 * ms)
	in.RunFinished(2600*ms, 1000, OK)
	in.Settle(2600 * ms)
	expectActions(t, rec, "run refuse", "refuse 1 1s false", "refuse 2 1s false")
}

func TestRetryReadWithTheRejectionCountsAsNew(t *testing.T) {
	s := testSettings()
	in, rec := newTestInstance(t, s)
	in.isStalled = true
	in.Request(0, testRequest(1, 1))
	in.isStalled = false
	second := testRequest(2, 1)
	second.RetryOf = 1
	in.Request(0, second)
	in.Settle(0)
	expectActions(t, rec, "refuse reuse run", "refuse 1 1s false", "run 2")
}

func TestNoMemoryForTheKey(t *testing.T) {
	s := testSettings()
	s.KeyKB = s.MemoryKB
	in, rec := newTestInstance(t, s)
	in.Request(0, testRequest(1, 1))
	in.Request(0, testRequest(2, 0))
	in.Settle(0)
	if got := rec.take("refuse", "run", "keep"); len(got) != 2 || !strings.HasPrefix(got[0], "refuse 1 ") || got[1] != "run 2" {
		t.Errorf("got %q", got)
	}
}

func TestCallWithEffectIsRetriedOnlyIfNotCarriedOut(t *testing.T) {
	for o, repeats := range map[Outcome]bool{Rejected: true, Unreachable: true, NotStarted: true,
		Failed: false, TimedOut: false, Reset: false} {
		for class := 0; class < 3; class++ {
			in, rec := newTestInstance(t, testSettings())
			in.Request(0, testRequest(1, class))
			in.Settle(0)
			in.CallRequested(10*ms, 1)
			in.Settle(10 * ms)
			in.CallFinished(20*ms, 1, o, 10*ms)
			in.Settle(500 * ms)
			want := "[run 1 call 1 call 1]"
			if !repeats && class > 0 {
				want = "[run 1 call 1 fail 1]"
			}
			if got := fmt.Sprint(rec.take("run", "call", "fail", "refuse")); got != want {
				t.Errorf("outcome %d of class %d: %s, want %s", o, class, got, want)
			}
		}
	}
}

func TestDrainGrace(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.Drain(time.Second, 4*time.Second)
	in.Settle(time.Second)
	inside, past := testRequest(1, 0), testRequest(2, 0)
	inside.QueueingDelay, past.QueueingDelay = 10*ms, 9*ms
	in.Request(3*time.Second+10*ms, inside)
	in.Request(3*time.Second+10*ms, past)
	in.Settle(3*time.Second + 10*ms)
	expectActions(t, rec, "run refuse", "refuse 2 1s false", "run 1")
	in.Settle(5*time.Second - ms)
	expectActions(t, rec, "fail", "fail 1")
}

func TestNoRunOfArrivalsAfterDrainGrace(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.Drain(0, 4*time.Second)
	q := testRequest(1, 0)
	in.Request(2*time.Second+ms, q)
	in.RunFinished(2*time.Second+2*ms, 1000, OK)
	in.Settle(2*time.Second + 2*ms)
	expectActions(t, rec, "run refuse", "refuse 1 1s false")
}

func TestStallIsReportedAndEnds(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	now := time.Duration(0)
	for id := RequestID(1); id <= 10; id++ {
		in.Request(now, testRequest(id, 0))
		in.Settle(now)
		now += 100 * ms
		in.RunFinished(now, id, OK)
	}
	n := fillCores(in, rec, now, 0)
	in.Request(now, testRequest(50, 1))
	in.Settle(now)
	rec.take()
	logs := 0
	var all []string
	for i := 0; i < 40; i++ { // a long trouble
		now += 100 * ms
		rec.lines = nil
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
		in.Settle(now)
		for _, l := range rec.lines {
			if strings.HasPrefix(l, "log ") {
				logs++
			}
		}
		all = append(all, rec.lines...)
	}
	rec.lines = all
	if logs != 1 || !in.isStalled {
		t.Errorf("%d running: %d lines logged, stalled %v", n, logs, in.isStalled)
	}
	if got := strings.Join(rec.take("health", "refuse"), ","); !strings.Contains(got, "health false true") || !strings.Contains(got, "refuse 50 ") {
		t.Errorf("actions %q", got)
	}
	in.RunFinished(now, 1000, OK)
	in.Timer(now+100*ms, 0, Gauges{Utilization: 1, Runnable: -1})
	if in.isStalled {
		t.Error("an end of a run did not end the stall")
	}
}

func TestPausedProcessIsNoStall(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	for id := RequestID(1); id <= 10; id++ {
		in.Request(0, testRequest(id, 0))
		in.Settle(0)
		in.learn(0, 0.1, 0.1)
		in.RunFinished(0, id, OK)
	}
	fillCores(in, rec, 0, 0)
	in.Timer(5*time.Second, 0, Gauges{Utilization: 1, Runnable: -1})
	if in.isStalled {
		t.Error("a pause of the whole process was taken for a stall of its work")
	}
}

func TestFirstShortRunIsNoStall(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.RunFinished(10*ms, 1000, OK)
	for now := 100 * ms; now <= 700*ms; now += 100 * ms {
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
	}
	if in.isStalled {
		t.Error("one short run and half a second without an end were taken for a stall")
	}
}

// TestRetryAfterIsAtMostHalfAnObjective has refusals keep callers away no longer than half of the longest aim, however long is
// honoured: in the model all gateways left for five seconds at once, the cores stood idle, and they came back at once.
func TestRetryAfterIsAtMostHalfAnObjective(t *testing.T) {
	s := testSettings()
	s.MaxRetryAfter = time.Minute
	in, _ := newTestInstance(t, s)
	now := time.Duration(0)
	for id := RequestID(1); id < 200; id++ {
		now += time.Millisecond
		in.Request(now, Request{ID: id, SizeKB: 30, RemainingTime: 6 * time.Second, IsRetry: true, QueueingDelay: 600 * ms})
		in.Settle(now)
	}
	r := in.byArrival[len(in.byArrival)-1]
	if !in.isRetryStorm() || in.retryAfter(r) != in.longestObjective/2 {
		t.Errorf("stormy %v, advice %v, want %v", in.isRetryStorm(), in.retryAfter(r), in.longestObjective/2)
	}
	in.isStalled = true
	if in.retryAfter(r) != s.MaxRetryAfter {
		t.Errorf("advice of a server that stands still %v", in.retryAfter(r))
	}
}

// TestIndependentRunsStallAfterTheLongestRun has runs that do not share cores: many long ones are no stall, and
// nothing at all for several times the longest is one.
func TestIndependentRunsStallAfterTheLongestRun(t *testing.T) {
	for _, apart := range []bool{false, true} {
		s := testSettings()
		s.IndependentRuns, s.Cores = apart, 8
		in, rec := newTestInstance(t, s)
		now, id := time.Duration(0), RequestID(0)
		run := func(took time.Duration) {
			id++
			in.Request(now, testRequest(id, 0))
			in.Settle(now)
			now += took
			in.RunFinished(now, id, OK)
			in.Settle(now)
		}
		run(800 * time.Millisecond)
		for range 200 {
			run(5 * time.Millisecond)
		}
		for range s.Cores { // byArrival are long ones now
			id++
			in.Request(now, testRequest(id, 0))
			in.Settle(now)
		}
		glances := func(n int) {
			for range n {
				now += pollInterval
				in.Timer(now, 0, Gauges{Utilization: 1, Runnable: float64(s.Cores)})
				in.Settle(now)
			}
		}
		glances(7)
		if in.isStalled == apart {
			t.Errorf("apart %v: after 0.7 s without an end stalled is %v", apart, in.isStalled)
		}
		glances(25)
		if !in.isStalled {
			t.Errorf("apart %v: after 3.2 s without an end it is no stall", apart)
		}
		rec.take()
	}
}

func TestUnknownRepeatedAndLateEventsDoNothing(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.RunFinished(0, 77, OK)
	in.Cancel(0, 77)
	in.CallRequested(0, 77)
	in.CallFinished(0, 77, OK, ms)
	odd := Request{ID: 1, Class: 99, Tenant: -5, Caller: -1, SizeKB: -3}
	in.Request(0, odd)
	in.Request(0, odd)
	in.Settle(0)
	in.CallFinished(0, 1, OK, ms)
	in.RunFinished(ms, 1, OK)
	in.RunFinished(ms, 1, OK)
	in.Cancel(ms, 1)
	in.Settle(ms)
	expectActions(t, rec, "run refuse fail call", "run 1")
	if in.running != 0 || in.queuedKB != 0 || in.runningKB != 0 || in.offCore != 0 {
		t.Errorf("left over: %+v", in)
	}
}

func TestSettingsOnWhichNothingCanRun(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Cores": func(s *Settings) { s.Cores = 0 }, "Servers": func(s *Settings) { s.Servers = 0 },
		"Classes": func(s *Settings) { s.Classes = nil }, "Tick": func(s *Settings) { s.Tick = 0 },
		"MemoryKB": func(s *Settings) { s.MemoryKB = math.NaN() }, "RunFactor": func(s *Settings) { s.RunningMemoryFactor = -1 },
		"CrowdFactor":      func(s *Settings) { s.MaxConcurrencyFactor = math.Inf(1) },
		"Classes[1]":       func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Tenants[0].Quota": func(s *Settings) { s.Tenants[0].Quota = -1 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func TestRetryStormForbidsRetries(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.isStalled = true
	for id := RequestID(1); id <= 20; id++ {
		q := testRequest(id, 0)
		q.IsRetry = true
		in.Request(0, q)
	}
	in.isStalled = false
	in.isDraining = true
	in.noticedAt = -time.Hour
	rec.take()
	in.Request(0, testRequest(50, 0))
	expectActions(t, rec, "refuse", "refuse 50 1s true")
	for id := RequestID(60); id <= 80; id++ {
		in.Request(0, testRequest(id, 0))
	}
	if got := rec.take("refuse"); got[len(got)-1] != "refuse 80 1s false" {
		t.Errorf("after the storm: %q", got[len(got)-1])
	}
}

func TestUnreadBacklogIsARetryStorm(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.isStalled = true
	for id := RequestID(1); id <= 20; id++ {
		q := testRequest(id, 0)
		q.QueueingDelay = time.Second
		in.Request(time.Second, q)
	}
	in.isStalled, in.isDraining, in.noticedAt = false, true, -time.Hour
	rec.take()
	in.Request(time.Second, testRequest(50, 0))
	expectActions(t, rec, "refuse", "refuse 50 1s true")
}

func TestCreditLeavesOutTheUnread(t *testing.T) {
	s := testSettings()
	s.Feedback = FeedbackCredit
	in, rec := newTestInstance(t, s)
	for i := 1; i <= 200; i++ {
		q := testRequest(RequestID(i), 0)
		q.QueueingDelay = 2 * time.Second
		in.Request(time.Duration(i)*50*ms, q)
		in.Settle(time.Duration(i) * 50 * ms)
		in.RunFinished(time.Duration(i)*50*ms+ms, q.ID, OK)
	}
	in.classes[0].coreTime = 1
	rec.take()
	in.Timer(10100*ms, 0, Gauges{Utilization: 1, Runnable: -1})
	expectActions(t, rec, "say", "say 0.000")
}

func TestQueueRunsByTimeLeftOverWeight(t *testing.T) {
	s := testSettings()
	s.Classes[0].Weight = 4
	in, rec := newTestInstance(t, s)
	fillCores(in, rec, 0, 0)
	cheap, dear := testRequest(1, 2), testRequest(2, 0)
	in.Request(0, cheap)
	in.Request(500*ms, dear) // 2 s / 4 is less than 1.5 s / 1
	in.RunFinished(500*ms, 1000, OK)
	in.Settle(500 * ms)
	expectActions(t, rec, "run", "run 2")
}

func TestTenantsOverTheirSharesAreRejected(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.learn(0, 1, 1)
	for id := RequestID(1); id <= 120; id++ {
		q := testRequest(id, 0)
		q.Tenant = int(id) % 2 // both tenants send far over their slices
		in.Request(0, q)
	}
	in.utilization = 1
	in.Request(0, testRequest(200, 0))
	expectActions(t, rec, "refuse", "refuse 200 1s false")
}

func TestNoRunThatOutlastsItsCaller(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.learn(2, 1, 1)
	hasty := testRequest(1, 2)
	hasty.RemainingTime = 500 * ms
	in.Request(0, hasty)
	in.Settle(0)
	if got := rec.take("run", "refuse"); len(got) != 1 || !strings.HasPrefix(got[0], "refuse 1 ") {
		t.Errorf("a run of one second for a caller who waits half of it: %q", got)
	}
}

func TestTenantWithinQuotaDoesNotWaitForThoseOver(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.learn(0, 0.2, 0.2)
	fillCores(in, rec, 0, 0)
	for id := RequestID(1); id <= 60; id++ {
		in.Request(0, testRequest(id, 0))
	}
	for _, r := range in.queue { // byArrival that is held came from a tenant over its slice
		r.quota = 1
	}
	for class := range in.classes {
		c := &in.classes[class]
		c.queued[0], c.queued[1] = 0, c.queued[0]+c.queued[1]
	}
	in.utilization = 1
	other := testRequest(100, 0)
	other.Tenant = 1
	in.Request(0, other)
	expectActions(t, rec, "refuse")
	in.Request(0, testRequest(101, 0))
	expectActions(t, rec, "refuse", "refuse 101 1s false")
}

func TestWithoutTenantsQuotaShareIsPerCaller(t *testing.T) {
	s := testSettings()
	s.Tenants = nil
	in, _ := newTestInstance(t, s)
	for i := 0; i < 40; i++ { // two live callers, and eight ended runs for their forty arrivals
		q := testRequest(RequestID(i+1), 0)
		q.Caller = i % 2
		in.measureRateRatio(q)
		if i < 8 {
			in.completions.count(0, in.decay)
		}
	}
	in.liveCallers = 2
	if slice := in.quotaShare(0, 0); math.Abs(slice-8*in.decay/2) > 1e-9 {
		t.Errorf("slice %v, want half the rate of ended runs %v", slice, 8*in.decay/2)
	}
	// The 21st arrival of caller 0 at one instant: r = 21λ. Of a slice of 4λ the rate has a mean of 5λ and a deviation of √2·λ.
	if e := in.measureRateRatio(testRequest(99, 0)); math.Abs(e-21/(5+2*math.Sqrt2)) > 1e-9 {
		t.Errorf("excess %v", e)
	}
}

func TestReadsOfOneResourceShareAResult(t *testing.T) {
	s := testSettings()
	s.ResultFreshness = time.Second
	in, rec := newTestInstance(t, s)
	first, second := testRequest(1, 0), testRequest(2, 0)
	first.ResourceID, second.ResourceID, second.RetryOf = 7, 7, 1
	in.Request(0, first)
	in.Settle(0)
	in.Request(ms, second)
	in.Settle(ms)
	expectActions(t, rec, "keep run reuse", "keep 1 7s", "run 1", "reuse 2")
}

// TestAdvertisedLoadWhileDraining has a server that drains be used as ever while its grace lasts, and send callers away
// just before it is over: those that learn late are served, and the others are not crowded sooner than they must be.
func TestAdvertisedLoadWhileDraining(t *testing.T) {
	for feedback, want := range map[Feedback][2][]string{FeedbackNone: {}, FeedbackLevel: {{"say 0.000"}, {"say 1.000"}},
		FeedbackCredit: {{"say 2.000"}, {"say 0.000"}}, FeedbackWeight: {{"say 1.000"}, {"say 0.000"}}} {
		s := testSettings()
		s.Feedback = feedback
		in, rec := newTestInstance(t, s)
		in.learn(0, 1, 1)
		in.Timer(0, 0, Gauges{Utilization: 0.5, Runnable: -1})
		in.Drain(0, 4*time.Second)
		in.Timer(100*ms, 0, Gauges{Utilization: 0.5, Runnable: -1})
		expectActions(t, rec, "say idle", want[0]...)
		in.Timer(s.DrainGracePeriod-100*ms, 0, Gauges{Utilization: 0.5, Runnable: -1})
		expectActions(t, rec, "say idle", append([]string{"idle 10ms"}, want[1]...)...)
	}
}

func TestRetriesDoNotPutEveryTenantOverQuota(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Quota: 1}, {Quota: 1}}
	in, _ := newTestInstance(t, s)
	small, large := 0.0, 0.0
	for i := 0; i < 400; i++ { // ten requests a second where the slices are half of one; the small asks a fifth
		now := time.Duration(i) * 100 * ms
		q := testRequest(RequestID(i+1), 0)
		in.now = now
		if q.Tenant = 1; i%5 == 0 {
			q.Tenant = 0
			small = in.measureRateRatio(q)
			continue
		}
		large = in.measureRateRatio(q)
	}
	if small >= 1 || large <= 1 {
		t.Errorf("excess of the small tenant %v, of the large %v; want under and over 1", small, large)
	}
}

func TestAgeBeforeRetry(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	useful := func(id RequestID, retry bool, budget time.Duration) time.Duration {
		q := testRequest(id, 0)
		q.IsRetry, q.RemainingTime = retry, budget
		in.Request(10*time.Second, q)
		return in.byID[id].objectiveDeadline - 10*time.Second
	}
	// LatencyObjective 2 s, deadline 6 s. Nothing is known of a further try before a first one was seen.
	for i, c := range []struct {
		retry        bool
		budget, want time.Duration
	}{{true, 5 * time.Second, 2 * time.Second}, {false, 3 * time.Second, 2 * time.Second},
		{true, 3 * time.Second, 2 * time.Second}, {true, 5 * time.Second, time.Second},
		{true, 3500 * ms, -500 * ms}, {true, 9 * time.Second, 2 * time.Second}} {
		if got := useful(RequestID(i+1), c.retry, c.budget); got != c.want {
			t.Errorf("try %d: useful for %v, want %v", i, got, c.want)
		}
	}
}

func TestLingeringCallAccruesDebt(t *testing.T) {
	for _, end := range []string{"gone", "due"} {
		s := testSettings()
		s.Downstream, s.FairCallShare, s.CallAveragingTime, s.CallLinger = DependencyShared, 1, 5*time.Second, 200*ms
		in, rec := newTestInstance(t, s)
		first := testRequest(1, 0)
		first.RemainingTime = 500 * ms
		in.Request(0, first)
		in.Request(0, testRequest(2, 0))
		in.Settle(0)
		in.CallRequested(10*ms, 1)
		in.Settle(10 * ms)
		in.CallRequested(20*ms, 2)
		in.Settle(20 * ms)
		expectActions(t, rec, "call", "call 1")
		now := 100 * ms
		if end == "due" {
			now = 490 * ms
		} else {
			in.Cancel(now, 1)
		}
		in.Settle(now)
		expectActions(t, rec, "call")
		in.Settle(now + 150*ms)
		expectActions(t, rec, "call")
		in.Settle(now + 250*ms)
		expectActions(t, rec, "call", "call 2")
	}
}

func TestStallFailsSafeRuns(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	for id := RequestID(1); id <= 10; id++ {
		in.Request(0, testRequest(id, 0))
		in.Settle(0)
		in.learn(0, 0.1, 0.1)
		in.RunFinished(0, id, OK)
	}
	in.Request(0, testRequest(50, 0))
	in.Request(0, testRequest(51, 1))
	in.Settle(0)
	rec.take()
	for now := 100 * ms; !in.isStalled && now < 5*time.Second; now += 100 * ms {
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
		in.Settle(now)
	}
	expectActions(t, rec, "fail refuse", "fail 50")
}

func TestSafeCallLeavesTimeForRetry(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	for id, want := range map[RequestID]time.Duration{1: 2 * time.Second / 3, 2: 6 * time.Second} {
		q := testRequest(id, int(id)-1)
		in.Request(0, q)
		in.Settle(0)
		in.CallRequested(0, id)
		var got time.Duration
		in.actions = callTimeoutRecorder{&recorder{}, &got}
		in.Settle(0)
		if got != want {
			t.Errorf("call of class %d abandoned after %v, want %v", id-1, got, want)
		}
	}
}

// callTimeoutRecorder notes the time after which a call is abandoned.
type callTimeoutRecorder struct {
	*recorder
	timeout *time.Duration
}

func (c callTimeoutRecorder) Call(_ RequestID, timeout time.Duration) { *c.timeout = timeout }

func TestPredictedWaitOverQuotaCountsRunsWithinQuota(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.learn(0, 0.4, 0.4)
	fillCores(in, rec, 0, 0)
	in.Request(0, testRequest(1, 0))
	in.withinQuotaShare = 0
	over := &request{quota: 1, objectiveDeadline: time.Hour}
	plain := in.predictedWait(over)
	in.withinQuotaShare = 0.5 // every other run is of a tenant within its slice
	if got := in.predictedWait(over); plain <= 0 || math.Abs(got-2*plain) > 1e-9 {
		t.Errorf("wait %v, want twice %v", got, plain)
	}
	if got := in.longestWait(); math.Abs(got-2*plain) > 1e-9 {
		t.Errorf("longest wait %v, want twice %v", got, plain)
	}
	if in.withinQuotaShare = 1; in.predictedWait(over) > 4.1*plain {
		t.Errorf("wait %v has no bound", in.predictedWait(over))
	}
}

func TestLimitGrowsAndShrinksByPartsOfTheCores(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	in.queue = append(in.queue, &request{})
	in.concurrencyLimit = 4
	in.adjustConcurrencyLimit()
	grown := in.concurrencyLimit
	in.utilization = 1
	in.adjustConcurrencyLimit()
	if grown != 4.25 || in.concurrencyLimit != 3.25 {
		t.Errorf("limit 4 grows to %v and shrinks to %v", grown, in.concurrencyLimit)
	}
}

func TestWithinQuotaIsNeverRejectedByThreshold(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	for excess, want := range map[float64]bool{0.9: false, 1.1: true} {
		if got := in.isOverThreshold(&request{rateRatio: excess}, 1.5); got != want {
			t.Errorf("excess %v at three quarters of an aim: refused %v", excess, got)
		}
	}
}

func TestIdleConnectionsCloseWhereCallersAreRare(t *testing.T) {
	for _, c := range []struct {
		callers int
		retry   bool
		idle    time.Duration
		want    []string
	}{{300, false, 30 * time.Second, []string{"idle 4s"}}, {300, true, 30 * time.Second, []string{"idle 30s"}},
		{2, false, 30 * time.Second, []string{"idle 30s"}}, {300, false, 0, nil},
		{300, false, time.Second, []string{"idle 1s"}}} {
		s := testSettings()
		s.Callers, s.CallerIdleTimeout = c.callers, c.idle
		in, rec := newTestInstance(t, s)
		for id := RequestID(1); id <= 20; id++ {
			q := testRequest(id, 0)
			q.IsRetry = c.retry
			in.Request(0, q)
		}
		in.nextPoll = 0
		rec.take()
		in.Timer(0, 0, Gauges{Utilization: 0.5, Runnable: -1})
		in.nextPoll = 0
		in.Timer(0, 0, Gauges{Utilization: 0.5, Runnable: -1})
		expectActions(t, rec, "idle", c.want...)
	}
}

// TestRunnableDecidesSaturation goes by what wants a core at this moment: the mean of half a second still reads room when a hold of
// many short runs is late as a whole, and has the limit grow into a crowd that is slower for all.
func TestRunnableDecidesSaturation(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	for id := RequestID(1); id <= 10; id++ {
		in.learn(0, 0.1, 0.1)
	}
	n := fillCores(in, rec, 0, 0)
	for i := range 40 {
		in.Request(0, testRequest(RequestID(2000+i), 0))
	}
	in.Settle(0)
	limit := in.concurrencyLimit
	in.Timer(100*ms, 0, Gauges{Utilization: 0.5, Runnable: float64(n)})
	in.Settle(100 * ms)
	rec.take()
	in.Request(100*ms, testRequest(50, 0))
	if got := strings.Join(rec.take("refuse"), ","); !strings.Contains(got, "refuse 50 ") || in.concurrencyLimit != limit {
		t.Errorf("cores full at this moment: actions %q, limit %v, want a refusal and %v", got, in.concurrencyLimit, limit)
	}
	in.Timer(200*ms, 0, Gauges{Utilization: 1, Runnable: 1})
	in.Settle(200 * ms)
	in.Request(200*ms, testRequest(51, 0))
	if got := strings.Join(rec.take("refuse"), ","); got != "" || in.concurrencyLimit <= limit {
		t.Errorf("cores with room at this moment: actions %q, limit %v", got, in.concurrencyLimit)
	}
}

func TestQueuedRequestsLeaveMemoryToRun(t *testing.T) {
	s := testSettings()
	s.MemoryKB, s.KeyKB, s.RunningMemoryFactor = 4000, 50, 16
	s.Classes[0].Effect, s.Classes[0].KeyWindow = IdempotentByKey, time.Minute
	in, rec := newTestInstance(t, s)
	on, id := map[RequestID]bool{}, RequestID(0)
	for round := range 60 { // each run leaves a key for a minute
		now := time.Duration(round) * 10 * ms
		for on := range on {
			in.RunFinished(now, on, OK)
		}
		clear(on)
		for range 8 {
			id++
			in.Request(now, Request{ID: id, Class: int(id % 2), SizeKB: 50})
		}
		rec.take()
		in.Settle(now)
		for _, line := range rec.lines {
			var ran RequestID
			if n, _ := fmt.Sscanf(line, "run %d", &ran); n == 1 {
				on[ran] = true
			}
		}
		if held, _ := in.Queue(); len(held) > 0 && len(on) == 0 {
			t.Fatalf("round %d: %d are held, none runs, %.0f of %.0f KB are taken", round, len(held), in.memoryKB(), s.MemoryKB)
		}
	}
}
