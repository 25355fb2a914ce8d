package admission

import (
	"math"
	"testing"
)

func TestQueueRunsByTimeLeftOverWeight(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Weight = 4
	in, rec := newTestInstance(t, settings)
	fillCores(in, rec, 0, 0)
	lowWeight, highWeight := testRequest(1, 2), testRequest(2, 0)
	in.Request(0, lowWeight)
	in.Request(500*ms, highWeight) // 2 s / 4 is less than 1.5 s / 1
	in.RunFinished(500*ms, 1000, OK)
	in.Settle(500 * ms)
	expectActions(t, rec, "run", "run 2")
}

// TestStarvedClassRunsFirst rejects most requests of a class with a low weight while a class with a high weight runs.
// The next low-weight request must run before the queued high-weight ones, until the class has its fair share again.
func TestStarvedClassRunsFirst(t *testing.T) {
	settings := twoClassSettings()
	settings.Classes[1].Weight = 100
	driver := newDriver(t, settings)
	in := driver.module
	learnRun(in, 0, 0.1, 0.1)
	learnRun(in, 1, 0.1, 0.1)
	for range 10 {
		in.classes[0].share.rejected.count(0, in.rates.decay)
		in.classes[1].share.started.count(0, in.rates.decay)
	}
	driver.isSaturated = true
	driver.advance(100 * ms)
	var ids []RequestID
	for range 4 { // two run
		ids = append(ids, driver.request(1, nil))
	}
	driver.recorder.take()
	lowWeight := driver.request(0, nil)
	in.RunFinished(driver.now, ids[0], OK)
	in.Settle(driver.now)
	if got := driver.recorder.take("run", "reject"); !hasAction(got, "run", lowWeight) {
		t.Errorf("got %q, want a run of %d", got, lowWeight)
	}
	for range 40 {
		in.classes[0].share.started.count(driver.now, in.rates.decay)
	}
	driver.request(0, nil)
	in.RunFinished(driver.now, ids[1], OK)
	in.Settle(driver.now)
	if got := driver.recorder.take("run", "reject"); !hasAction(got, "run", ids[2]) {
		t.Errorf("got %q, want a run of %d", got, ids[2])
	}
}

// TestOverQuotaHasNoFairShareClaim checks that requests over the quota do not count towards the fair share of their
// class.
func TestOverQuotaHasNoFairShareClaim(t *testing.T) {
	settings := twoClassSettings()
	settings.Tenants = []Tenant{{Quota: 300}}
	driver := newDriver(t, settings)
	if driver.module.hasFairShareClaim(&request{quota: overQuota}) || !driver.module.hasFairShareClaim(&request{}) {
		t.Error("a tenant over its quota share has a claim, or a tenant within its share has none")
	}
	if driver := newDriver(t, twoClassSettings()); !driver.module.hasFairShareClaim(&request{quota: overQuota}) {
		t.Error("without tenants a request has no claim")
	}
}

// TestNoClassIsStarvedInitially checks that no class counts as starved before the first rejection, or if no request
// was run.
func TestNoClassIsStarvedInitially(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	for step, rejected := range []int{0, 5} {
		for range rejected {
			driver.module.classes[0].share.rejected.count(0, driver.module.rates.decay)
			driver.module.classes[1].share.rejected.count(0, driver.module.rates.decay)
		}
		driver.module.updateStarvation()
		if driver.module.classes[0].share.isStarved || driver.module.classes[1].share.isStarved {
			t.Errorf("step %d: starved %v and %v, want false for both classes",
				step, driver.module.classes[0].share.isStarved, driver.module.classes[1].share.isStarved)
		}
	}
	if math.IsNaN(driver.module.longestWait()) {
		t.Error("the longest wait is not a number")
	}
}
