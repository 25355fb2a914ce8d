package main

import (
	"bytes"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestIncompleteRequests has callers that are silent or stop half way, next to a gateway that pauses: they are closed
// within 3 s, and it is not.
func TestIncompleteRequests(t *testing.T) {
	n := startServer(t, finishImmediately)
	sound := servertest.Dial(t, n.Addr)
	whole := fake.NewLookup("x").Encode(1)
	sound.Write(whole[:40])
	begun := time.Now()
	silent, half, cut := servertest.Dial(t, n.Addr), servertest.Dial(t, n.Addr), servertest.Dial(t, n.Addr)
	half.Write(whole[:len(whole)-8])
	cut.Write(fake.NewLookup("").Encode(1))
	if a := cut.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer %+v", a)
	}
	cut.Write(fake.NewLookup("").Encode(2)[:20])
	servertest.WaitFor(t, "a pause", func() bool { return time.Since(begun) > 500*time.Millisecond })
	sound.Write(whole[40:])
	if a := sound.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer to the gateway that paused %+v", a)
	}
	for what, g := range map[string]*servertest.Gateway{"silent": silent, "half a request": half, "half a second request": cut} {
		g.WaitClosed()
		if took := time.Since(begun); took < 2*time.Second {
			t.Errorf("%s: closed after %v, too soon for a gateway that pauses", what, took)
		}
	}
	n.WaitCounter("connection_timeouts", 3)
	sound.Write(fake.NewLookup("").Encode(2))
	if a := sound.WaitResponse(2); a.Status != 200 {
		t.Errorf("answer to the gateway %+v", a)
	}
}

// TestEndless sends a body without end at full speed: it is answered at once, the answer arrives, and the connection
// ends without the body being read whole.
func TestEndless(t *testing.T) {
	n := startServer(t, finishImmediately)
	g := servertest.Dial(t, n.Addr)
	r := fake.NewLookup("")
	g.Write(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.Params, 1, r.EncodeParams(), 0), fake.EncodeRecord(fake.Params, 1, nil, 0))
	g.Write(bytes.Repeat(fake.EncodeRecord(fake.Stdin, 1, make([]byte, 65000), 0), 100))
	if a := g.WaitResponse(1); a.Status != 413 {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	n.WaitCounter("protocol_errors", 1)
}

// TestEviction has hundreds of callers connect and stay silent, or send one request and stay, where descriptors are
// few: gateways still connect and are served, and one that was connected before is left alone.
func TestEviction(t *testing.T) {
	it := servertest.NewInterpreter(t)
	it.FinishImmediately()
	n := servertest.Start(t, program, it, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
	})
	n.WaitHealthy()
	resident := servertest.Dial(t, n.Addr)
	// On a loaded machine a run may take long enough to look like a stall: then it is refused, and comes again.
	serve := func(g *servertest.Gateway) {
		t.Helper()
		servertest.WaitFor(t, "the resident to be served", func() bool {
			g.Write(fake.NewLookup("").Encode(1))
			return g.WaitResponse(1).Status == 200
		})
	}
	for range 10 {
		for range 20 {
			servertest.Dial(t, n.Addr)
		}
		for range 10 { // ask once and stay, those that get in
			g := servertest.Dial(t, n.Addr)
			g.Write(fake.NewLookup("").Encode(1))
			g.TryResponse(1)
		}
		servertest.WaitFor(t, "a newcomer to be served", func() bool {
			g := servertest.Dial(t, n.Addr)
			g.Write(fake.NewLookup("").Encode(1))
			_, err := g.TryResponse(1)
			return err == nil
		})
		serve(resident)
	}
	n.Signal(syscall.SIGUSR1)
	servertest.WaitFor(t, "the counters", func() bool { return n.Counter("connections_evicted") > 0 })
}
