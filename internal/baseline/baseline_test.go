package baseline

import (
	"slices"
	"testing"
	"time"

	"tillerusher/admission"
)

// TestGradient checks that the library's limiter uses the virtual clock: with four cores that all runs share, its limit settles
// near the number of cores, whatever the wall clock says, and no permit is lost.
func TestGradient(t *testing.T) {
	settings := admission.Settings{Cores: 4, MaxConcurrencyFactor: 1000, MemoryKB: 1e9, RunningMemoryFactor: 1,
		Classes: []admission.Class{{LatencyObjective: time.Second, Deadline: time.Hour}}}
	events, err := Gradient(settings, admission.NoActions{})
	if err != nil {
		t.Fatal(err)
	}
	h := events.(*host)
	g := h.policy.(*gradient)
	now, id, limits := time.Duration(0), admission.RequestID(0), map[int]int{}
	var runs []admission.RequestID // one of them ends after each 10 ms of core time
	for range 40_000 {
		for len(h.queue) < 4 {
			id++
			h.Request(now, admission.Request{ID: id, SizeKB: 1})
		}
		h.Settle(now)
		runs = runs[:0]
		for _, r := range h.requests {
			if r.running {
				runs = append(runs, r.ID)
			}
		}
		slices.Sort(runs)
		now += 10 * time.Millisecond / time.Duration(min(len(runs), 4))
		h.RunFinished(now, runs[0], admission.OK)
		limits[g.limiter.Limit()]++
	}
	limit := g.limiter.Limit()
	t.Logf("the limit is %d after %v", limit, now)
	if len(limits) < 3 || limit < 4 || limit > 40 {
		t.Errorf("the limit is %d, and took %d values", limit, len(limits))
	}
	for _, id := range runs[1:] {
		h.RunFinished(now, id, admission.OK)
	}
	for _, r := range h.requests {
		h.Cancel(now, r.ID)
	}
	if n := g.limiter.Inflight(); n != 0 {
		t.Errorf("%d permits are not handed back", n)
	}
}

// TestSetPrivateFieldErrors checks that a missing field of the library is an error: without it the limiter would silently use
// the wall clock.
func TestSetPrivateFieldErrors(t *testing.T) {
	if setPrivateField(&struct{ a int }{}, "b", 1) == nil || setPrivateField(&struct{ a int }{}, "a", "text") == nil {
		t.Error("a field that is not there can be set")
	}
}
