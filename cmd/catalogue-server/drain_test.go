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
	n := startServer(t, nil)
	n.WaitReport()
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := n.WaitRuns(1)[0].ID
	n.Signal(syscall.SIGTERM)
	servertest.WaitFor(t, "the drain", func() bool { return strings.Contains(n.Log(), `"draining"`) })
	begun := time.Now()
	servertest.WaitFor(t, "the report of the leave", func() bool { return n.WaitReport() == "announce n3 false" })
	servertest.WaitFor(t, "the end of the grace", func() bool { return time.Since(begun) > 400*time.Millisecond })
	g.Write(fake.NewLookup("late").Encode(2))
	if a := g.WaitResponse(2); a.Status != 503 || a.Header.Get("Back-Off-Ms") != "1000" {
		t.Errorf("answer after the grace %+v", a)
	}
	n.EndRun(run, "OK", []byte("in time"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "in time" {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	if status := n.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
	if runs := n.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	if n.Counter("served") != 1 || n.Counter("rejected") != 1 {
		t.Errorf("counters at the exit: %d served, %d refused", n.Counter("served"), n.Counter("rejected"))
	}
}

// TestDrainStuck drains with a run that never ends: its request fails and the process ends.
func TestDrainStuck(t *testing.T) {
	n := startServer(t, nil)
	g := servertest.Dial(t, n.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	n.WaitRuns(1)
	n.Signal(syscall.SIGTERM)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	if status := n.WaitExit(); status != 0 {
		t.Errorf("exit status %d", status)
	}
}
