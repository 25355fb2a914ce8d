package main

import (
	"strconv"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestRetries sends two attempts of one request at once and a third after it was served: it runs once, and all are
// answered by that run.
func TestRetries(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	first, second := fake.NewReserve(7, "x"), fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1")
	g.Write(append(first.Encode(1), second.Encode(2)...))
	server.EndRun(server.WaitRuns(1)[0].ID, "OK", []byte("done"))
	for id := range uint16(2) {
		if a := g.WaitResponse(id + 1); a.Status != 200 || string(a.Body) != "done" {
			t.Errorf("answer %+v", a)
		}
	}
	other := servertest.Dial(t, server.Addr)
	other.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(1))
	if a := other.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the later attempt %+v", a)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
	server.WaitCounter("replayed", 2)
}

// TestRejectionFreesKey has a queued request with an idempotency key rejected as its deadline nears: it never ran, so a
// retry counts as new and is run.
func TestRejectionFreesKey(t *testing.T) {
	server := startServer(t, func(interpreter *servertest.Interpreter) { interpreter.SetUtilization(1) })
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewLookup("").Encode(2)) // one a core
	runs := server.WaitRuns(2)
	server.WaitGaugeReading() // by an older reading the cores have room
	waiting := fake.NewReserve(7, "x").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(waiting.Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
		t.Fatalf("answer %+v", a)
	}
	g.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(4))
	for _, run := range runs {
		server.EndRun(run.ID, "OK", nil)
	}
	server.EndRun(server.WaitRuns(3)[2].ID, "OK", []byte("new"))
	if a := g.WaitResponse(4); a.Status != 200 || string(a.Body) != "new" {
		t.Errorf("answer to the retry %+v", a)
	}
}

// TestFailedRun answers a request whose run failed, and never runs a retry of it.
func TestFailedRun(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(7, "x").Encode(1))
	server.EndRun(server.WaitRuns(1)[0].ID, "ERROR", nil)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	g.Write(fake.NewReserve(7, "x").Encode(2))
	if a := g.WaitResponse(2); a.Status != 500 || a.ProtocolStatus != 0 {
		t.Errorf("answer to the second attempt %+v", a)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}

// TestCallerLost closes a connection whose request runs: the run goes on, and a retry gets the result of that
// run.
func TestCallerLost(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	run := server.WaitRuns(1)[0].ID
	g.Close()
	server.WaitCounter("requests_lost", 1)
	server.EndRun(run, "OK", []byte("kept"))
	g = servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(1, "x").Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "kept" {
		t.Errorf("answer %+v", a)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}

// TestReusedIDOrKeyRejected sends a served request again under its ID, and with its key and another body: neither gets
// the result, and copies of a rejected request do not count as retries.
func TestReusedIDOrKeyRejected(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	r := fake.NewReserve(1, "x")
	g.Write(r.Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("answer %+v", a)
	}
	other := fake.NewReserve(1, "y")
	late := fake.NewLookup("").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5*time.Second).UnixMilli(), 10))
	g.Write(late.Encode(1))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("answer to a request whose time is over %+v", a)
	}
	for what, r := range map[string]fake.Request{"its id": r, "its key with another body": other, "an id that was refused": late} {
		g.Write(r.Encode(1))
		if a := g.WaitResponse(1); a.Status != 400 {
			t.Errorf("%s: answer %+v", what, a)
		}
	}
	server.WaitCounter("replayed", 0)
	server.WaitCounter("requests", 5)
}

// TestRejectedRunFreesKey has the interpreter reject a request that no gateway can have sent: nothing ran, so the request
// that its key belongs to is served.
func TestRejectedRunFreesKey(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	stray := fake.NewReserve(1, "x")
	server.RejectRun(stray.ID())
	g.Write(stray.Encode(1))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer to the stray %+v", a)
	}
	g.Write(fake.NewReserve(1, "y").Encode(2))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "[y]" {
		t.Errorf("answer %+v", a)
	}
}
