package server

import (
	"fmt"
	"testing"

	"tillerusher/admission"
	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestCallRequested serves a site whose requests call a downstream service. The platform does not say how such a call
// is made, so a run that wants one is abandoned: its request is answered at once, rejected only where it has no
// effect, and the end of the run is awaited. Requests that make no call are served as at any site.
func TestCallRequested(t *testing.T) {
	for _, below := range []admission.Dependency{admission.DependencyTier, admission.DependencyShared} {
		t.Run(fmt.Sprint(below), func(t *testing.T) {
			site := testSite(t)
			site.Admission.Downstream = below
			s, it := startServerAt(t, site)
			g := servertest.Dial(t, s.cfg.Listen.String())
			g.Write(fake.NewLookup("calls").Encode(1), fake.NewReserve(1, "calls").Encode(2))
			for _, r := range it.WaitRuns(2) {
				it.AwaitCall(r.ID, []byte("the call"))
			}
			if a := g.WaitResponse(1); a.Status != statusUnavailable || a.Header.Get("Final-Refusal") != "1" || a.Header.Get("Back-Off-Ms") == "" {
				t.Errorf("a lookup at its call: %+v", a)
			}
			if a := g.WaitResponse(2); a.Status != statusInternalError {
				t.Errorf("a reserve at its call: %+v", a)
			}
			for _, r := range it.StartedRuns() {
				it.EndRun(r.ID, "STOPPED", nil)
			}
			g.Write(fake.NewReserve(1, "calls").Encode(3))
			if a := g.WaitResponse(3); a.Status != statusInternalError || len(it.StartedRuns()) != 2 {
				t.Errorf("a reserve that may have run, again: %+v, runs %v", a, it.StartedRuns())
			}
			g.Write(fake.NewLookup("calls nothing").Encode(4))
			it.EndRun(it.WaitRuns(3)[2].ID, "OK", []byte("x"))
			if a := g.WaitResponse(4); a.Status != 200 {
				t.Errorf("a lookup without a call: %+v", a)
			}
			onLoop(s, func() {
				if s.counters.calls != 2 || len(s.attempts.byID) != 0 || s.backend.OpenRuns() != 0 {
					t.Errorf("%d calls, %d attempts, %d runs; want 2, 0, 0", s.counters.calls, len(s.attempts.byID), s.backend.OpenRuns())
				}
			})
		})
	}
}
