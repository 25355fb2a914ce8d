package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestHopelessRequestIsRejectedAtOnce checks that a queued request that can't be useful any more is rejected even if no
// core becomes free.
func TestHopelessRequestIsRejectedAtOnce(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.Request(0, testRequest(100, 0))
	in.limiter.utilization = 1
	useful := in.requests.byID[100].objectiveDeadline
	in.Settle(useful - ms)
	expectActions(t, rec, "reject")
	in.Settle(useful + ms)
	if got := rec.take("reject", "run"); len(got) != 1 || !strings.HasPrefix(got[0], "reject 100 ") {
		t.Errorf("got %q", got)
	}
}

// TestSlowClassIsRunAgain checks that a class whose runs were slow is run again as soon as the cores have room: only a
// run can show that it is fast again. An earlier version rejected such a class forever, on idle cores.
func TestSlowClassIsRunAgain(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.settings.Classes[0].LateWeight = 0
	for range 20 {
		learnRun(in, 0, 0.1, 4) // seconds of the wall: over the objective, within the deadline
	}
	in.limiter.utilization = 0.5
	in.Request(0, testRequest(1, 0))
	in.Settle(0)
	expectActions(t, rec, "run reject", "run 1")
	in.RunFinished(100*ms, 1, OK)
	if wall := in.classes[0].runTime.wallTime; wall >= 4 {
		t.Errorf("a fast run left the expected time at %v s", wall)
	}
	fillCores(in, rec, 100*ms, 0)
	in.limiter.utilization = 1
	in.Request(200*ms, testRequest(2, 0))
	in.Settle(200 * ms)
	if got := rec.take("reject"); len(got) != 1 || !strings.HasPrefix(got[0], "reject 2 ") {
		t.Errorf("on full cores: %q", got)
	}
}

func TestNoRunThatOutlastsItsCaller(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 2, 1, 1)
	hasty := testRequest(1, 2)
	hasty.RemainingTime = 500 * ms
	in.Request(0, hasty)
	in.Settle(0)
	if got := rec.take("run", "reject"); len(got) != 1 || !strings.HasPrefix(got[0], "reject 1 ") {
		t.Errorf("a run of one second for a caller who waits half of it: %q", got)
	}
}

func TestTenantWithinQuotaDoesNotWaitForThoseOver(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 0, 0.2, 0.2)
	fillCores(in, rec, 0, 0)
	for id := RequestID(1); id <= 60; id++ {
		in.Request(0, testRequest(id, 0))
	}
	for _, req := range in.queue.requests { // all that is queued came from a tenant over its quota share
		req.quota = 1
	}
	for class := range in.classes {
		c := &in.classes[class]
		c.queued[0], c.queued[1] = 0, c.queued[0]+c.queued[1]
	}
	in.limiter.utilization = 1
	other := testRequest(100, 0)
	other.Tenant = 1
	in.Request(0, other)
	expectActions(t, rec, "reject")
	in.Request(0, testRequest(101, 0))
	expectActions(t, rec, "reject", "reject 101 1s false")
}

func TestPredictedWaitOverQuotaCountsRunsWithinQuota(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 0, 0.4, 0.4)
	fillCores(in, rec, 0, 0)
	in.Request(0, testRequest(1, 0))
	in.queue.withinQuotaShare = 0
	over := &request{quota: overQuota, objectiveDeadline: time.Hour}
	plain := in.predictedWait(over)
	in.queue.withinQuotaShare = 0.5 // every other run is of a tenant within its quota share
	if got := in.predictedWait(over); plain <= 0 || math.Abs(got-2*plain) > 1e-9 {
		t.Errorf("wait %v, want twice %v", got, plain)
	}
	if got := in.longestWait(); math.Abs(got-2*plain) > 1e-9 {
		t.Errorf("longest wait %v, want twice %v", got, plain)
	}
	if in.queue.withinQuotaShare = 1; in.predictedWait(over) > 4.1*plain {
		t.Errorf("wait %v has no bound", in.predictedWait(over))
	}
}

// TestPredictedWaitLeavesOutLaterRuns queues two seconds of work with a long objective: a request with a short
// objective runs before all of it, and must not be rejected for work behind it.
func TestPredictedWaitLeavesOutLaterRuns(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	for _, class := range []int{0, 1} { // a run of each is known to take 0.2 s
		driver.request(class, nil)
		driver.advance(200 * ms)
		driver.module.RunFinished(driver.now, driver.lastID, OK)
	}
	driver.isSaturated = true
	driver.advance(100 * ms)
	for range 2 + 20 { // two run
		driver.request(1, nil)
	}
	driver.advance(100 * ms)
	driver.recorder.take()
	quick := driver.request(0, nil)
	if hasAction(driver.recorder.take("reject"), "reject", quick) {
		t.Error("a request with a short objective was rejected for work that waits behind it")
	}
}
