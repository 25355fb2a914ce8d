package main

import (
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestLinkLost breaks the link to the interpreter while a request runs, and the run ends while there is no link. The notice
// must be read on the next link, and no request may run twice.
func TestLinkLost(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	first := server.WaitRuns(1)[0].ID
	server.RejectLinks(true)
	server.CutLink()
	server.EndRun(first, "OK", []byte("ended without a link"))
	g.Write(fake.NewReserve(2, "y").Encode(2)) // sent while there is no link
	server.WaitCounter("open_requests", 2)
	server.RejectLinks(false)
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "ended without a link" {
		t.Errorf("response %+v, want status 200 and body ended without a link", a)
	}
	runs := server.WaitRuns(2)
	server.CutLink() // the run continues and is not started again
	server.WaitCounter("interpreter_connects", 3)
	server.EndRun(runs[1].ID, "OK", []byte("second"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "second" {
		t.Errorf("response %+v, want status 200 and body second", a)
	}
	if runs := server.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v, want 2", runs)
	}
}

// TestNotYetUp starts a server before its interpreter is up. Until then health checks and requests must get status 503, and
// no load report may be sent.
func TestNotYetUp(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	interpreter.MarkDown()
	server := servertest.Start(t, serverCommand, interpreter, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewHealthCheck(false).Encode(1), fake.NewLookup("").Encode(2))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("response to the health check %+v, want status 503", a)
	}
	if a := g.WaitResponse(2); a.Status != 503 {
		t.Errorf("response to the request %+v, want status 503", a)
	}
	interpreter.MarkUp()
	server.WaitHealthy()
	if got := server.WaitReport(); got != "announce n3 true" {
		t.Errorf("first report %q, want announce n3 true", got)
	}
}
