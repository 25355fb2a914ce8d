package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestUselessQueuedRequestIsRejectedWithoutFreeCore checks that a queued request that can no longer be useful is
// rejected even if no core becomes free.
func TestUselessQueuedRequestIsRejectedWithoutFreeCore(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.Request(0, testRequest(100, 0))
	in.limiter.utilization = 1
	objective := in.requests.byID[100].objectiveDeadline
	in.Settle(objective - ms)
	expectActions(t, rec, "reject")
	in.Settle(objective + ms)
	if got := rec.take("reject", "run"); len(got) != 1 || !strings.HasPrefix(got[0], "reject 100 ") {
		t.Errorf("actions %q, want a rejection of request 100", got)
	}
}

// TestSlowClassIsRunAgain checks that a class whose runs were slow is run again as soon as the cores have capacity:
// only a run can show that the class is fast again. An earlier version rejected such a class forever, on idle cores.
func TestSlowClassIsRunAgain(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.settings.Classes[0].LateWeight = 0
	for range 20 {
		learnRun(in, 0, 0.1, 4) // the wall time exceeds the objective but not the deadline
	}
	in.limiter.utilization = 0.5
	in.Request(0, testRequest(1, 0))
	in.Settle(0)
	expectActions(t, rec, "run reject", "run 1")
	in.RunFinished(100*ms, 1, OK)
	if wall := in.classes[0].runTime.wallTime; wall >= 4 {
		t.Errorf("expected wall time %v s after a fast run, want less than 4 s", wall)
	}
	fillCores(in, rec, 100*ms, 0)
	in.limiter.utilization = 1
	in.Request(200*ms, testRequest(2, 0))
	in.Settle(200 * ms)
	if got := rec.take("reject"); len(got) != 1 || !strings.HasPrefix(got[0], "reject 2 ") {
		t.Errorf("saturated cores: got %q, want a rejection of request 2", got)
	}
}

func TestRunPastDeadlineIsRejected(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 2, 1, 1)
	shortDeadline := testRequest(1, 2)
	shortDeadline.RemainingTime = 500 * ms
	in.Request(0, shortDeadline)
	in.Settle(0)
	if got := rec.take("run", "reject"); len(got) != 1 || !strings.HasPrefix(got[0], "reject 1 ") {
		t.Errorf("run of 1 s for a caller who waits 0.5 s: got %q, want a rejection", got)
	}
}

func TestTenantWithinQuotaDoesNotWaitForTenantsOverQuota(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	learnRun(in, 0, 0.2, 0.2)
	fillCores(in, rec, 0, 0)
	for id := RequestID(1); id <= 60; id++ {
		in.Request(0, testRequest(id, 0))
	}
	for _, req := range in.queue.requests { // all queued requests came from a tenant over its quota share
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
		t.Errorf("wait %v, want at most 4.1 times the wait without runs within quota", in.predictedWait(over))
	}
}

// TestPredictedWaitExcludesLaterRuns queues two seconds of work with a long objective. A request with a short
// objective runs before all of it, and must not be rejected for work behind it.
func TestPredictedWaitExcludesLaterRuns(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	for _, class := range []int{0, 1} { // a run of each class takes 0.2 s
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
