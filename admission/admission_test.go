package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestThresholdAppliesOnlyWhileOverloaded(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 0, 0.05, 0.05)
	learnRun(in, 0, 0.05, 0.05)
	n := fillCores(in, rec, 0, 0)
	for id := RequestID(1); id <= 60; id++ {
		in.Request(10*ms, testRequest(id, 0))
	}
	if got := rec.take("reject"); len(got) != 0 {
		t.Fatalf("%d running on cores that are not saturated: got %q, want no rejection", n, got)
	}
	in.limiter.utilization = 1
	in.Request(20*ms, testRequest(100, 0))
	other := testRequest(101, 0)
	other.Tenant = 1
	in.Request(20*ms, other)
	expectActions(t, rec, "reject", "reject 100 1s false") // it is far over its quota share
}

// TestRetryAfterOfRejections checks the Retry-After of rejections. For a tenant over its threshold it is the time in
// which its rate estimate decays to the threshold.
func TestRetryAfterOfRejections(t *testing.T) {
	settings := testSettings()
	in, _ := newTestInstance(t, settings)
	in.classes[0].runTime.coreTime, in.classes[0].queued[0] = 0.5, 2 // half a second of work on each of two cores
	for _, c := range []struct {
		rateRatio float64
		want      time.Duration
	}{{0, 500 * ms}, {1, 500 * ms}, {1.0001, pollInterval}, {1e6, settings.MaxRetryAfter}} {
		if got := in.retryAfter(&request{rateRatio: c.rateRatio}); got != c.want {
			t.Errorf("rate ratio %v: Retry-After %v, want %v", c.rateRatio, got, c.want)
		}
	}
	in.classes[0].queued[0] = 0
	if got := in.retryAfter(&request{}); got != pollInterval {
		t.Errorf("predicted wait 0: Retry-After %v, want the poll interval", got)
	}
	in.drain.isDraining = true
	if got := in.retryAfter(&request{}); got != settings.MaxRetryAfter {
		t.Errorf("while draining: Retry-After %v, want MaxRetryAfter", got)
	}
	in.drain.isDraining = false
	var e rateEstimate
	now := time.Duration(0)
	for range 40 {
		e.count(now, in.rates.decay)
	}
	const threshold = 12
	delay := in.retryAfter(&request{rateRatio: e.rate(now, in.rates.decay) / threshold})
	if r := e.rate(now+delay, in.rates.decay); delay >= settings.MaxRetryAfter || r > threshold*1.001 || r < threshold*0.999 {
		t.Errorf("after the Retry-After of %v the rate is %v, want %v", delay, r, threshold)
	}
}

func TestAdmissionByPredictedWait(t *testing.T) {
	settings := testSettings()
	settings.Tenants[0].Quota = 1e6
	in, rec := newTestInstance(t, settings)
	learnRun(in, 0, 0.5, 0.5)
	learnRun(in, 0, 0.5, 0.5)
	fillCores(in, rec, 0, 0)
	in.limiter.utilization = 1
	for id := RequestID(1); id <= 8; id++ {
		in.Request(10*ms, testRequest(id, 0))
	}
	// Each queued request adds 0.5 s / 2 cores; 1.5 s of the objective are left after the request's own run of 0.5 s.
	expectActions(t, rec, "reject", "reject 8 1s false")
	unknown := testRequest(9, 2)
	in.classes[2].runTime.samples = 0
	in.Request(10*ms, unknown)
	expectActions(t, rec, "reject")
}

// TestRetryAfterIsAtMostHalfAnObjective checks that the Retry-After in a retry storm is half of the longest
// objective, even if callers follow a longer one. In a simulation with a longer one, all gateways stayed away for
// five seconds, the cores were idle, and then all gateways returned at the same time.
func TestRetryAfterIsAtMostHalfAnObjective(t *testing.T) {
	settings := testSettings()
	settings.MaxRetryAfter = time.Minute
	in, _ := newTestInstance(t, settings)
	now := time.Duration(0)
	for id := RequestID(1); id < 200; id++ {
		now += time.Millisecond
		in.Request(now, Request{ID: id, SizeKB: 30, RemainingTime: 6 * time.Second, IsRetry: true, QueueingDelay: 600 * ms})
		in.Settle(now)
	}
	r := in.requests.byArrival[len(in.requests.byArrival)-1]
	if !in.isRetryStorm() || in.retryAfter(r) != in.longestObjective/2 {
		t.Errorf("retry storm %v, Retry-After %v, want %v", in.isRetryStorm(), in.retryAfter(r), in.longestObjective/2)
	}
	in.stall.isStalled = true
	if in.retryAfter(r) != settings.MaxRetryAfter {
		t.Errorf("while stalled: Retry-After %v, want MaxRetryAfter", in.retryAfter(r))
	}
}

func TestTenantsOverQuotaSharesAreRejected(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 0, 1, 1)
	for id := RequestID(1); id <= 120; id++ {
		arrival := testRequest(id, 0)
		arrival.Tenant = int(id) % 2 // both tenants send far over their quota shares
		in.Request(0, arrival)
	}
	in.limiter.utilization = 1
	in.Request(0, testRequest(200, 0))
	expectActions(t, rec, "reject", "reject 200 1s false")
}

func TestAgeBeforeRetry(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	objective := func(id RequestID, retry bool, budget time.Duration) time.Duration {
		arrival := testRequest(id, 0)
		arrival.IsRetry, arrival.RemainingTime = retry, budget
		in.Request(10*time.Second, arrival)
		return in.requests.byID[id].objectiveDeadline - 10*time.Second
	}
	// Objective 2 s, deadline 6 s. The age of a retry is not known until a first attempt has been read.
	for i, c := range []struct {
		retry        bool
		budget, want time.Duration
	}{{true, 5 * time.Second, 2 * time.Second}, {false, 3 * time.Second, 2 * time.Second},
		{true, 3 * time.Second, 2 * time.Second}, {true, 5 * time.Second, time.Second},
		{true, 3500 * ms, -500 * ms}, {true, 9 * time.Second, 2 * time.Second}} {
		if got := objective(RequestID(i+1), c.retry, c.budget); got != c.want {
			t.Errorf("attempt %d: %v left until the objective, want %v", i, got, c.want)
		}
	}
}

func TestWithinQuotaIsNeverRejectedByThreshold(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	for rateRatio, want := range map[float64]bool{0.9: false, 1.1: true} {
		if got := in.isOverThreshold(&request{rateRatio: rateRatio}, 1.5); got != want {
			t.Errorf("rate ratio %v, wait of three quarters of an objective: over the threshold %v, want %v", rateRatio, got, want)
		}
	}
}

// TestThresholdDoesNotDependOnClass checks that the threshold of a tenant over its quota share is the same for all
// classes.
func TestThresholdDoesNotDependOnClass(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	for _, wait := range []float64{0.2, 0.5, 1, 2, 4} {
		short := driver.module.isOverThreshold(&request{class: 0, rateRatio: 1.5}, wait)
		long := driver.module.isOverThreshold(&request{class: 1, rateRatio: 1.5}, wait)
		if short != long {
			t.Errorf("predicted wait %v s: over the threshold %v with a short objective, %v with a long one", wait, short, long)
		}
	}
}

func TestQueuedRequestsLeaveMemoryToRun(t *testing.T) {
	settings := testSettings()
	settings.MemoryKB, settings.KeyKB, settings.RunningMemoryFactor = 4000, 50, 16
	settings.Classes[0].Effect, settings.Classes[0].KeyWindow = IdempotentByKey, time.Minute
	in, rec := newTestInstance(t, settings)
	running, id := map[RequestID]bool{}, RequestID(0)
	for round := range 60 { // each run leaves a key for a minute
		now := time.Duration(round) * 10 * ms
		for runningID := range running {
			in.RunFinished(now, runningID, OK)
		}
		clear(running)
		for range 8 {
			id++
			in.Request(now, Request{ID: id, Class: int(id % 2), SizeKB: 50})
		}
		rec.take()
		in.Settle(now)
		for _, line := range rec.lines {
			var ran RequestID
			if n, _ := fmt.Sscanf(line, "run %d", &ran); n == 1 {
				running[ran] = true
			}
		}
		if queued, _ := in.Queue(); len(queued) > 0 && len(running) == 0 {
			t.Fatalf("round %d: %d requests are queued and none runs; %.0f of %.0f KB are in use",
				round, len(queued), in.memoryKB(), settings.MemoryKB)
		}
	}
}

// TestKeysLeaveMemoryForLargeRequest checks that an idle server admits a request whose run needs much of the memory
// that keys leave, although the keys take most of the memory.
func TestKeysLeaveMemoryForLargeRequest(t *testing.T) {
	settings := twoClassSettings()
	settings.MemoryKB, settings.KeyKB = 10000, 10
	settings.Classes[1].Effect, settings.Classes[1].KeyWindow = IdempotentByKey, time.Hour
	driver := newDriver(t, settings)
	for range 600 {
		id := driver.request(1, func(arrival *Request) { arrival.SizeKB = 1 })
		driver.advance(10 * ms)
		driver.module.RunFinished(driver.now, id, OK)
	}
	if driver.module.keys.count < 500 {
		t.Fatalf("%d keys, want at least 500: otherwise the keys do not take most of the memory", driver.module.keys.count)
	}
	driver.recorder.take()
	large := driver.request(0, func(arrival *Request) { arrival.SizeKB = 600 })
	if got := driver.recorder.take("run", "reject"); !hasAction(got, "run", large) {
		t.Errorf("got %q, want a run of %d", got, large)
	}
}
