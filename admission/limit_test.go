package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestConcurrencyLimitStaysWithinBounds(t *testing.T) {
	settings := testSettings()
	settings.WarmingUp = true
	in, rec := newTestInstance(t, settings)
	if n := fillCores(in, rec, 0, 0); n != 2 {
		t.Errorf("%d requests run at the start, want the core count", n)
	}
	for i := 0; i < 100; i++ {
		in.queue.requests = append(in.queue.requests, &request{objectiveDeadline: time.Hour, deadline: time.Hour})
		in.adjustConcurrencyLimit()
	}
	// Warming up at a quarter of the speed: 2 cores x (1 + 5/4) x 0.75.
	if in.limiter.limit > 3.376 {
		t.Errorf("limit %v at the start of the warm-up is over the maximum concurrency", in.limiter.limit)
	}
	in.clock.now = 10 * time.Second
	for i := 0; i < 100; i++ {
		in.adjustConcurrencyLimit()
	}
	if want := 2 * 6 * usableConcurrencyFraction; math.Abs(in.limiter.limit-want) > 1e-9 {
		t.Errorf("limit %v after the warm-up, want %v", in.limiter.limit, want)
	}
	in.limiter.utilization = 1
	for i := 0; i < 100; i++ {
		in.adjustConcurrencyLimit()
	}
	if in.limiter.limit != 2 {
		t.Errorf("limit %v with saturated cores, want the core count", in.limiter.limit)
	}
}

func TestLimitGrowsAndShrinksByPartsOfTheCores(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	in.queue.requests = append(in.queue.requests, &request{})
	in.limiter.limit = 4
	in.adjustConcurrencyLimit()
	grown := in.limiter.limit
	in.limiter.utilization = 1
	in.adjustConcurrencyLimit()
	if grown != 4.25 || in.limiter.limit != 3.25 {
		t.Errorf("limit 4 grows to %v and shrinks to %v, want 4.25 and 3.25", grown, in.limiter.limit)
	}
}

// TestRunnableDecidesSaturation checks that the number of runnable tasks decides if the host reports it. The
// utilization, an average over half a second, shows spare cores even if a whole queue of short runs is late, and
// would raise the limit to a concurrency that slows all runs.
func TestRunnableDecidesSaturation(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	for id := RequestID(1); id <= 10; id++ {
		learnRun(in, 0, 0.1, 0.1)
	}
	n := fillCores(in, rec, 0, 0)
	for i := range 40 {
		in.Request(0, testRequest(RequestID(2000+i), 0))
	}
	in.Settle(0)
	limit := in.limiter.limit
	in.Timer(100*ms, 0, Gauges{Utilization: 0.5, Runnable: float64(n)})
	in.Settle(100 * ms)
	rec.take()
	in.Request(100*ms, testRequest(50, 0))
	if got := strings.Join(rec.take("reject"), ","); !strings.Contains(got, "reject 50 ") || in.limiter.limit != limit {
		t.Errorf("saturated cores: actions %q, limit %v, want a rejection and %v", got, in.limiter.limit, limit)
	}
	in.Timer(200*ms, 0, Gauges{Utilization: 1, Runnable: 1})
	in.Settle(200 * ms)
	in.Request(200*ms, testRequest(51, 0))
	if got := strings.Join(rec.take("reject"), ","); got != "" || in.limiter.limit <= limit {
		t.Errorf("cores with capacity: actions %q, limit %v, want no rejection and a higher limit", got, in.limiter.limit)
	}
}

// TestMissingGaugesKeepPreviousReading checks that gauges that were not read keep the previous readings.
func TestMissingGaugesKeepPreviousReading(t *testing.T) {
	l := concurrencyLimiter{runnable: -1}
	l.setGauges(Gauges{Utilization: 0.5, Runnable: 3})
	l.setGauges(Gauges{Utilization: -1, Runnable: -1})
	if l.utilization != 0.5 || l.runnable != 3 {
		t.Errorf("utilization %v, runnable %v, want 0.5 and 3", l.utilization, l.runnable)
	}
	if l.isSaturated(4) || !l.isSaturated(3) {
		t.Error("three runnable tasks saturate four cores, or do not saturate three cores")
	}
}
