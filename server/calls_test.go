package server

import (
	"fmt"
	"testing"

	"tillerusher/admission"
	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestCallsBelow serves a site whose requests call what lies below. No page says how such a call is made, so a run
// that comes to one is given up: its request is answered at once, refused only where it has no effect, and its end is
// awaited. Requests that make no call are served as ever.
func TestCallsBelow(t *testing.T) {
	for _, below := range []admission.Dependency{admission.DependencyTier, admission.DependencyShared} {
		t.Run(fmt.Sprint(below), func(t *testing.T) {
			told := testTold(t)
			told.Module.Below = below
			s, it := runAt(t, told)
			g := servertest.Dial(t, s.cfg.Listen.String())
			g.Write(fake.Lookup("calls").Records(1), fake.Reserve(1, "calls").Records(2))
			for _, r := range it.WaitApplied(2) {
				it.Await(r.ID, []byte("the call"))
			}
			if a := g.Answer(1); a.Status != statusRefused || a.Header.Get("Final-Refusal") != "1" || a.Header.Get("Back-Off-Ms") == "" {
				t.Errorf("a lookup at its call: %+v", a)
			}
			if a := g.Answer(2); a.Status != statusFailed {
				t.Errorf("a reserve at its call: %+v", a)
			}
			for _, r := range it.Applied() {
				it.End(r.ID, "STOPPED", nil)
			}
			g.Write(fake.Reserve(1, "calls").Records(3))
			if a := g.Answer(3); a.Status != statusFailed || len(it.Applied()) != 2 {
				t.Errorf("a reserve that may have run, again: %+v, runs %v", a, it.Applied())
			}
			g.Write(fake.Lookup("calls nothing").Records(4))
			it.End(it.WaitApplied(3)[2].ID, "OK", []byte("x"))
			if a := g.Answer(4); a.Status != 200 {
				t.Errorf("a lookup without a call: %+v", a)
			}
			do(s, func() {
				if s.count.calls != 2 || len(s.tries) != 0 || s.link.Runs() != 0 {
					t.Errorf("%d calls, %d tries, %d runs; want 2, 0, 0", s.count.calls, len(s.tries), s.link.Runs())
				}
			})
		})
	}
}
