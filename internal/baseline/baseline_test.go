package baseline

import (
	"slices"
	"testing"
	"time"

	"tillerusher/admission"
)

// TestGradient checks that the library's limiter uses the virtual clock. All runs share four cores, so the limit must
// change and end near the number of cores, independently of the wall clock. No permit may be leaked.
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
	var runs []admission.RequestID // running requests; one of them ends after each 10 ms of core time
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
	t.Logf("the limit is %d after %v of virtual time", limit, now)
	if len(limits) < 3 || limit < 4 || limit > 40 {
		t.Errorf("the limit is %d, want 4 to 40; it took %d values, want at least 3", limit, len(limits))
	}
	for _, id := range runs[1:] {
		h.RunFinished(now, id, admission.OK)
	}
	for _, r := range h.requests {
		h.Cancel(now, r.ID)
	}
	if n := g.limiter.Inflight(); n != 0 {
		t.Errorf("%d permits are still held after all requests ended, want 0", n)
	}
}

// TestSetPrivateFieldErrors checks that a missing field and a value of the wrong type are errors. Otherwise the limiter
// would silently use the wall clock with a version of the library that has other fields.
func TestSetPrivateFieldErrors(t *testing.T) {
	if setPrivateField(&struct{ a int }{}, "b", 1) == nil || setPrivateField(&struct{ a int }{}, "a", "text") == nil {
		t.Error("no error for a missing field or a value of the wrong type")
	}
}
