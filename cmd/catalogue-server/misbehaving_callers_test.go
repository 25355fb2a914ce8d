package main

import (
	"bytes"
	"syscall"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestIncompleteRequests checks that the connections of callers that stay silent or stop in the middle of a request are
// closed within 3 s, and that the connection of a gateway that only pauses within a request is not.
func TestIncompleteRequests(t *testing.T) {
	server := startServer(t, finishImmediately)
	gateway := servertest.Dial(t, server.Addr)
	encoded := fake.NewLookup("x").Encode(1)
	gateway.Write(encoded[:40])
	start := time.Now()
	silent, half, halfSecond := servertest.Dial(t, server.Addr), servertest.Dial(t, server.Addr), servertest.Dial(t, server.Addr)
	half.Write(encoded[:len(encoded)-8])
	halfSecond.Write(fake.NewLookup("").Encode(1))
	if a := halfSecond.WaitResponse(1); a.Status != 200 {
		t.Errorf("response %+v, want status 200", a)
	}
	halfSecond.Write(fake.NewLookup("").Encode(2)[:20])
	servertest.WaitFor(t, "a pause", func() bool { return time.Since(start) > 500*time.Millisecond })
	gateway.Write(encoded[40:])
	if a := gateway.WaitResponse(1); a.Status != 200 {
		t.Errorf("response to the gateway that paused %+v, want status 200", a)
	}
	for name, g := range map[string]*servertest.Gateway{"silent": silent, "half a request": half, "half a second request": halfSecond} {
		g.WaitClosed()
		if took := time.Since(start); took < 2*time.Second {
			t.Errorf("%s: closed after %v, want at least 2s, as a gateway may pause", name, took)
		}
	}
	server.WaitCounter("connection_timeouts", 3)
	gateway.Write(fake.NewLookup("").Encode(2))
	if a := gateway.WaitResponse(2); a.Status != 200 {
		t.Errorf("second response to the gateway %+v, want status 200", a)
	}
}

// TestEndlessBody sends a body without end at full speed. The server must respond immediately, the response must arrive, and
// the connection must be closed before all of the body is read.
func TestEndlessBody(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	r := fake.NewLookup("")
	g.Write(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.Params, 1, r.EncodeParams(), 0), fake.EncodeRecord(fake.Params, 1, nil, 0))
	g.Write(bytes.Repeat(fake.EncodeRecord(fake.Stdin, 1, make([]byte, 65000), 0), 100))
	if a := g.WaitResponse(1); a.Status != 413 {
		t.Errorf("response %+v, want status 413", a)
	}
	g.WaitClosed()
	server.WaitCounter("protocol_errors", 1)
}

// TestEviction opens hundreds of connections that stay silent or stay open after one request, while descriptors are few.
// Gateways must still be able to connect and be served, and a gateway that was connected before must not be evicted.
func TestEviction(t *testing.T) {
	interpreter := servertest.NewInterpreter(t)
	interpreter.FinishImmediately()
	server := servertest.Start(t, serverCommand, interpreter, func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 64}
	})
	server.WaitHealthy()
	established := servertest.Dial(t, server.Addr)
	// On a loaded machine a run may take so long that the server detects a stall and rejects the request. It is sent again.
	serve := func(g *servertest.Gateway) {
		t.Helper()
		servertest.WaitFor(t, "the established gateway to be served", func() bool {
			g.Write(fake.NewLookup("").Encode(1))
			return g.WaitResponse(1).Status == 200
		})
	}
	for range 10 {
		for range 20 {
			servertest.Dial(t, server.Addr)
		}
		for range 10 { // each accepted caller sends one request and stays connected
			g := servertest.Dial(t, server.Addr)
			g.Write(fake.NewLookup("").Encode(1))
			g.TryResponse(1)
		}
		servertest.WaitFor(t, "a new gateway to get a response", func() bool {
			g := servertest.Dial(t, server.Addr)
			g.Write(fake.NewLookup("").Encode(1))
			_, err := g.TryResponse(1)
			return err == nil
		})
		serve(established)
	}
	server.Signal(syscall.SIGUSR1)
	servertest.WaitFor(t, "an eviction in the counters", func() bool { return server.Counter("connections_evicted") > 0 })
}
