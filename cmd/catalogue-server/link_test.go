package main

import (
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestLinkLost loses the link while a request runs, which ends meanwhile: the notice is read on the next link, and
// nothing runs twice.
func TestLinkLost(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	first := n.WaitRuns(1)[0].ID
	n.RejectLinks(true)
	n.CutLink()
	n.EndRun(first, "OK", []byte("while away"))
	g.Write(fake.NewReserve(2, "y").Encode(2)) // asked for while no link stands
	n.WaitCounter("open_requests", 2)
	n.RejectLinks(false)
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "while away" {
		t.Errorf("answer %+v", a)
	}
	runs := n.WaitRuns(2)
	n.CutLink() // the run goes on and is not begun again
	n.WaitCounter("interpreter_connects", 3)
	n.EndRun(runs[1].ID, "OK", []byte("second"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "second" {
		t.Errorf("answer %+v", a)
	}
	if runs := n.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestNotYetUp has an interpreter that comes up late: health checks fail until then, and nothing is announced.
func TestNotYetUp(t *testing.T) {
	it := servertest.NewInterpreter(t)
	it.MarkDown()
	n := servertest.Start(t, program, it, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewHealthCheck(false).Encode(1), fake.NewLookup("").Encode(2))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("health check %+v", a)
	}
	if a := g.WaitResponse(2); a.Status != 503 {
		t.Errorf("request %+v", a)
	}
	it.MarkUp()
	n.WaitHealthy()
	if got := n.WaitReport(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
}
