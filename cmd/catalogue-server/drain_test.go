package main

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestDrain drains with one open request: it is answered, what arrives after the grace period is not run, and the
// process ends by itself before it would be killed.
func TestDrain(t *testing.T) {
	server := startServer(t, nil)
	server.WaitReport()
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := server.WaitRuns(1)[0].ID
	server.Signal(syscall.SIGTERM)
	servertest.WaitFor(t, "the drain", func() bool { return strings.Contains(server.Log(), `"draining"`) })
	begun := time.Now()
	servertest.WaitFor(t, "the report that it drains", func() bool { return server.WaitReport() == "announce n3 false" })
	servertest.WaitFor(t, "the end of the grace", func() bool { return time.Since(begun) > 400*time.Millisecond })
	g.Write(fake.NewLookup("late").Encode(2))
	if a := g.WaitResponse(2); a.Status != 503 || a.Header.Get("Back-Off-Ms") != "1000" {
		t.Errorf("answer after the grace %+v", a)
	}
	server.EndRun(run, "OK", []byte("in time"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "in time" {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	if server.Counter("served") != 1 || server.Counter("rejected") != 1 {
		t.Errorf("counters at the exit: %d served, %d refused", server.Counter("served"), server.Counter("rejected"))
	}
}

// TestDrainStuck drains with a run that never ends: its request fails and the process ends.
func TestDrainStuck(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	server.WaitRuns(1)
	server.Signal(syscall.SIGTERM)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	if status := server.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
}
