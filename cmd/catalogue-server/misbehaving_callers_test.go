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
	server := startServer(t, finishImmediately)
	gateway := servertest.Dial(t, server.Addr)
	encoded := fake.NewLookup("x").Encode(1)
	gateway.Write(encoded[:40])
	begun := time.Now()
	silent, half, halfSecond := servertest.Dial(t, server.Addr), servertest.Dial(t, server.Addr), servertest.Dial(t, server.Addr)
	half.Write(encoded[:len(encoded)-8])
	halfSecond.Write(fake.NewLookup("").Encode(1))
	if a := halfSecond.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer %+v", a)
	}
	halfSecond.Write(fake.NewLookup("").Encode(2)[:20])
	servertest.WaitFor(t, "a pause", func() bool { return time.Since(begun) > 500*time.Millisecond })
	gateway.Write(encoded[40:])
	if a := gateway.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer to the gateway that paused %+v", a)
	}
	for what, g := range map[string]*servertest.Gateway{"silent": silent, "half a request": half, "half a second request": halfSecond} {
		g.WaitClosed()
		if took := time.Since(begun); took < 2*time.Second {
			t.Errorf("%s: closed after %v, too soon for a gateway that pauses", what, took)
		}
	}
	server.WaitCounter("connection_timeouts", 3)
	gateway.Write(fake.NewLookup("").Encode(2))
	if a := gateway.WaitResponse(2); a.Status != 200 {
		t.Errorf("answer to the gateway %+v", a)
	}
}

// TestEndlessBody sends a body without end at full speed: it is answered at once, the answer arrives, and the connection
// ends without all of the body being read.
func TestEndlessBody(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	r := fake.NewLookup("")
	g.Write(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.Params, 1, r.EncodeParams(), 0), fake.EncodeRecord(fake.Params, 1, nil, 0))
	g.Write(bytes.Repeat(fake.EncodeRecord(fake.Stdin, 1, make([]byte, 65000), 0), 100))
	if a := g.WaitResponse(1); a.Status != 413 {
		t.Errorf("answer %+v", a)
	}
	g.WaitClosed()
	server.WaitCounter("protocol_errors", 1)
}

// TestEviction has hundreds of callers connect and stay silent, or send one request and stay, where descriptors are
// few: gateways still connect and are served, and one that was connected before is not evicted.
func TestEviction(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	server := servertest.Start(t, program, interpreter, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
	})
	server.WaitHealthy()
	resident := servertest.Dial(t, server.Addr)
	// On a loaded machine a run may take long enough to look like a stall: then it is rejected, and sent again.
	serve := func(g *servertest.Gateway) {
		t.Helper()
		servertest.WaitFor(t, "the resident to be served", func() bool {
			g.Write(fake.NewLookup("").Encode(1))
			return g.WaitResponse(1).Status == 200
		})
	}
	for range 10 {
		for range 20 {
			servertest.Dial(t, server.Addr)
		}
		for range 10 { // ask once and stay, those that get in
			g := servertest.Dial(t, server.Addr)
			g.Write(fake.NewLookup("").Encode(1))
			g.TryResponse(1)
		}
		servertest.WaitFor(t, "a newcomer to be served", func() bool {
			g := servertest.Dial(t, server.Addr)
			g.Write(fake.NewLookup("").Encode(1))
			_, err := g.TryResponse(1)
			return err == nil
		})
		serve(resident)
	}
	server.Signal(syscall.SIGUSR1)
	servertest.WaitFor(t, "the counters", func() bool { return server.Counter("connections_evicted") > 0 })
}
