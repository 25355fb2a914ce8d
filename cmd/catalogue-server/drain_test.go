package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestDrain drains a server with one open request. The open request must be served, a request after the grace period must
// be rejected without a run, and the process must exit by itself, before the platform would kill it.
func TestDrain(t *testing.T) {
	server := startServer(t, nil)
	server.WaitReport()
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := server.WaitRuns(1)[0].ID
	server.Signal(syscall.SIGTERM)
	servertest.WaitFor(t, "the drain to begin", func() bool { return strings.Contains(server.Log(), `"draining"`) })
	drainStart := time.Now()
	servertest.WaitFor(t, "a load report that the server drains", func() bool { return server.WaitReport() == "announce n3 false" })
	servertest.WaitFor(t, "the end of the grace period", func() bool { return time.Since(drainStart) > 400*time.Millisecond })
	g.Write(fake.NewLookup("late").Encode(2))
	if a := g.WaitResponse(2); a.Status != 503 || a.Header.Get("Back-Off-Ms") != "1000" {
		t.Errorf("response after the grace period %+v, want status 503 and Back-Off-Ms 1000", a)
	}
	server.EndRun(run, "OK", []byte("in time"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "in time" {
		t.Errorf("response %+v, want status 200 and body in time", a)
	}
	g.WaitClosed()
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v, want 1", runs)
	}
	if server.Counter("served") != 1 || server.Counter("rejected") != 1 {
		t.Errorf("counters at the exit: %d served, %d rejected, want 1 and 1", server.Counter("served"), server.Counter("rejected"))
	}
}

// TestDrainStuckRun checks that a drain with a run that never ends fails the request and ends the process.
func TestDrainStuckRun(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	server.WaitRuns(1)
	server.Signal(syscall.SIGTERM)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("response %+v, want status 500", a)
	}
	g.WaitClosed()
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d, want 0", status)
	}
}
