package server

import (
	"strconv"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestBudget has gateways tell how long they wait: a request is answered when that is over, although its class has an
// hour, and one whose time went by unread is not run. The time counts from Received-At.
func TestBudget(t *testing.T) {
	told := testTold(t)
	told.Module.Deadlines = true
	told.Module.Classes[0].Deadline = time.Hour
	s, it := runAt(t, told)
	g := servertest.Dial(t, s.cfg.Listen.String())
	before := time.Now().Add(-time.Second)
	g.Write(fake.Lookup("late").With("Budget-Ms", "900").With("Received-At", strconv.FormatInt(before.UnixMilli(), 10)).Records(1))
	if a := g.Answer(1); a.Status == 200 || len(it.Applied()) > 0 {
		t.Errorf("a request whose caller had gone: %+v, runs %v", a, it.Applied())
	}
	g.Write(fake.Lookup("short").With("Budget-Ms", "300").Records(2))
	it.WaitApplied(1)
	if a := g.Answer(2); a.Status == 200 {
		t.Errorf("a request that may take 300 ms was answered %+v", a)
	}
	for id, budget := range []string{3: "soon", 4: "-1", 5: "NaN"} {
		if id < 3 {
			continue
		}
		g.Write(fake.Lookup("bad").With("Budget-Ms", budget).Records(uint16(id)))
		if a := g.Answer(uint16(id)); a.Status != statusInvalid {
			t.Errorf("Budget-Ms %s: %+v", budget, a)
		}
	}
}

// TestBudgetUntold has the field mean nothing where the site passes no deadlines.
func TestBudgetUntold(t *testing.T) {
	s, it := run(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(fake.Lookup("x").With("Budget-Ms", "soon").Records(1))
	it.End(it.WaitApplied(1)[0].ID, "OK", nil)
	if a := g.Answer(1); a.Status != 200 {
		t.Errorf("answer %+v", a)
	}
}
