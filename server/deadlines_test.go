package server

import (
	"strconv"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestRequestDeadlines checks requests whose gateway sends how long it waits. A request is answered when that time is
// over, although the deadline of its class is an hour. A request whose time was over before it was read is not run. The
// time counts from Received-At.
func TestRequestDeadlines(t *testing.T) {
	site := testSite(t)
	site.Admission.HasDeadlines = true
	site.Admission.Classes[0].Deadline = time.Hour
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	before := time.Now().Add(-time.Second)
	g.Write(fake.NewLookup("late").WithHeader("Budget-Ms", "900").WithHeader("Received-At", strconv.FormatInt(before.UnixMilli(), 10)).Encode(1))
	if a := g.WaitResponse(1); a.Status == 200 || len(it.StartedRuns()) > 0 {
		t.Errorf("request whose time was over when it was read: %+v, runs %v; want an error and no run", a, it.StartedRuns())
	}
	g.Write(fake.NewLookup("short").WithHeader("Budget-Ms", "300").Encode(2))
	it.WaitRuns(1)
	if a := g.WaitResponse(2); a.Status == 200 {
		t.Errorf("request with a budget of 300 ms and an endless run: %+v, want an error", a)
	}
	for id, budget := range []string{3: "soon", 4: "-1", 5: "NaN"} {
		if id < 3 {
			continue
		}
		g.Write(fake.NewLookup("bad").WithHeader("Budget-Ms", budget).Encode(uint16(id)))
		if a := g.WaitResponse(uint16(id)); a.Status != statusBadRequest {
			t.Errorf("Budget-Ms %s: %+v, want status 400", budget, a)
		}
	}
}

// TestRequestDeadlinesOff checks that a site without request deadlines ignores the field.
func TestRequestDeadlinesOff(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(fake.NewLookup("x").WithHeader("Budget-Ms", "soon").Encode(1))
	it.EndRun(it.WaitRuns(1)[0].ID, "OK", nil)
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer %+v, want status 200", a)
	}
}
