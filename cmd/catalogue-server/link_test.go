package main

import (
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestLinkLost loses the link while a request runs, which ends meanwhile: the notice is read on the next link, and
// nothing runs twice.
func TestLinkLost(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	first := server.WaitRuns(1)[0].ID
	server.RejectLinks(true)
	server.CutLink()
	server.EndRun(first, "OK", []byte("while away"))
	g.Write(fake.NewReserve(2, "y").Encode(2)) // asked for while there is no link
	server.WaitCounter("open_requests", 2)
	server.RejectLinks(false)
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "while away" {
		t.Errorf("answer %+v", a)
	}
	runs := server.WaitRuns(2)
	server.CutLink() // the run goes on and is not begun again
	server.WaitCounter("interpreter_connects", 3)
	server.EndRun(runs[1].ID, "OK", []byte("second"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "second" {
		t.Errorf("answer %+v", a)
	}
	if runs := server.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestNotYetUp has an interpreter that comes up late: health checks fail until then, and nothing is announced.
func TestNotYetUp(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	interpreter.MarkDown()
	server := servertest.Start(t, program, interpreter, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewHealthCheck(false).Encode(1), fake.NewLookup("").Encode(2))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("health check %+v", a)
	}
	if a := g.WaitResponse(2); a.Status != 503 {
		t.Errorf("request %+v", a)
	}
	interpreter.MarkUp()
	server.WaitHealthy()
	if got := server.WaitReport(); got != "announce n3 true" {
		t.Errorf("report %q", got)
	}
}
