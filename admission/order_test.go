package admission

import (
	"math"
	"testing"
)

func TestQueueRunsByTimeLeftOverWeight(t *testing.T) {
	s := testSettings()
	s.Classes[0].Weight = 4
	in, rec := newTestInstance(t, s)
	fillCores(in, rec, 0, 0)
	lowWeight, highWeight := testRequest(1, 2), testRequest(2, 0)
	in.Request(0, lowWeight)
	in.Request(500*ms, highWeight) // 2 s / 4 is less than 1.5 s / 1
	in.RunFinished(500*ms, 1000, OK)
	in.Settle(500 * ms)
	expectActions(t, rec, "run", "run 2")
}

// TestStarvedClassGoesFirst rejects most requests of a class with a low weight while a class with a high weight runs:
// the next low-weight request must run before the queued high-weight ones, until the class has its share again.
func TestStarvedClassGoesFirst(t *testing.T) {
	set := twoClassSettings()
	set.Classes[1].Weight = 100
	s := newDriver(t, set)
	in := s.module
	learnRun(in, 0, 0.1, 0.1)
	learnRun(in, 1, 0.1, 0.1)
	for range 10 {
		in.classes[0].share.rejected.count(0, in.rates.decay)
		in.classes[1].share.started.count(0, in.rates.decay)
	}
	s.isSaturated = true
	s.advance(100 * ms)
	var ids []RequestID
	for range 4 { // two run
		ids = append(ids, s.request(1, nil))
	}
	s.recorder.take()
	lowWeight := s.request(0, nil)
	in.RunFinished(s.now, ids[0], OK)
	in.Settle(s.now)
	if got := s.recorder.take("run", "reject"); !hasAction(got, "run", lowWeight) {
		t.Errorf("got %q, want a run of %d", got, lowWeight)
	}
	for range 40 {
		in.classes[0].share.started.count(s.now, in.rates.decay)
	}
	s.request(0, nil)
	in.RunFinished(s.now, ids[1], OK)
	in.Settle(s.now)
	if got := s.recorder.take("run", "reject"); !hasAction(got, "run", ids[2]) {
		t.Errorf("got %q, want a run of %d", got, ids[2])
	}
}

// TestOverQuotaHasNoFairShareClaim checks that requests over the quota do not count for the fair share of their class.
func TestOverQuotaHasNoFairShareClaim(t *testing.T) {
	set := twoClassSettings()
	set.Tenants = []Tenant{{Quota: 300}}
	s := newDriver(t, set)
	if s.module.hasFairShareClaim(&request{quota: overQuota}) || !s.module.hasFairShareClaim(&request{}) {
		t.Error("a tenant over its quota share has a claim, or one within it has none")
	}
	if s := newDriver(t, twoClassSettings()); !s.module.hasFairShareClaim(&request{quota: overQuota}) {
		t.Error("without tenants a request has no claim")
	}
}

// TestNoClassStarvesAtFirst checks that no class counts as starved before the first rejection, or if nothing runs.
func TestNoClassStarvesAtFirst(t *testing.T) {
	s := newDriver(t, twoClassSettings())
	for step, rejected := range []int{0, 5} {
		for range rejected {
			s.module.classes[0].share.rejected.count(0, s.module.rates.decay)
			s.module.classes[1].share.rejected.count(0, s.module.rates.decay)
		}
		s.module.updateStarvation()
		if s.module.classes[0].share.isStarved || s.module.classes[1].share.isStarved {
			t.Errorf("step %d: starved %v and %v", step, s.module.classes[0].share.isStarved, s.module.classes[1].share.isStarved)
		}
	}
	if math.IsNaN(s.module.longestWait()) {
		t.Error("the wait is no number")
	}
}
