package server

import (
	"fmt"
	"testing"

	"tillerusher/admission"
	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestCallRequested checks a site whose requests call a downstream service. The platform does not specify how such a call
// is made, so a run that wants one is abandoned: its request is answered immediately, with a rejection only if it has no
// effect, and the server waits for the end of the run. Requests that make no call are served as at any site.
func TestCallRequested(t *testing.T) {
	for _, dependency := range []admission.Dependency{admission.DependencyTier, admission.DependencyShared} {
		t.Run(fmt.Sprint(dependency), func(t *testing.T) {
			site := testSite(t)
			site.Admission.Downstream = dependency
			s, it := startServerAt(t, site)
			g := servertest.Dial(t, s.cfg.Listen.String())
			g.Write(fake.NewLookup("calls").Encode(1), fake.NewReserve(1, "calls").Encode(2))
			for _, r := range it.WaitRuns(2) {
				it.AwaitCall(r.ID, []byte("the call"))
			}
			if a := g.WaitResponse(1); a.Status != statusUnavailable || a.Header.Get("Final-Refusal") != "1" || a.Header.Get("Back-Off-Ms") == "" {
				t.Errorf("lookup whose run wants a call: %+v, want a final rejection", a)
			}
			if a := g.WaitResponse(2); a.Status != statusInternalError {
				t.Errorf("reserve whose run wants a call: %+v, want status 500", a)
			}
			for _, r := range it.StartedRuns() {
				it.EndRun(r.ID, "STOPPED", nil)
			}
			g.Write(fake.NewReserve(1, "calls").Encode(3))
			if a := g.WaitResponse(3); a.Status != statusInternalError || len(it.StartedRuns()) != 2 {
				t.Errorf("retry of a reserve that may have run: %+v, runs %v; want status 500 and 2 runs", a, it.StartedRuns())
			}
			g.Write(fake.NewLookup("calls nothing").Encode(4))
			it.EndRun(it.WaitRuns(3)[2].ID, "OK", []byte("x"))
			if a := g.WaitResponse(4); a.Status != 200 {
				t.Errorf("lookup whose run makes no call: %+v, want status 200", a)
			}
			onLoop(s, func() {
				if s.counters.calls != 2 || len(s.attempts.byID) != 0 || s.backend.OpenRuns() != 0 {
					t.Errorf("%d calls, %d attempts, %d runs; want 2, 0, 0", s.counters.calls, len(s.attempts.byID), s.backend.OpenRuns())
				}
			})
		})
	}
}
