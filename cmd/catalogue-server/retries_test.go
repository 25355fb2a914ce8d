package main

import (
	"strconv"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestRetries sends two attempts of one request together, and a third after the request was served. The request must run
// once, and all attempts must get the result of that run.
func TestRetries(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	first, second := fake.NewReserve(7, "x"), fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1")
	g.Write(append(first.Encode(1), second.Encode(2)...))
	server.EndRun(server.WaitRuns(1)[0].ID, "OK", []byte("done"))
	for id := range uint16(2) {
		if a := g.WaitResponse(id + 1); a.Status != 200 || string(a.Body) != "done" {
			t.Errorf("response %+v, want status 200 and body done", a)
		}
	}
	other := servertest.Dial(t, server.Addr)
	other.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(1))
	if a := other.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("response to the third attempt %+v, want status 200 and body done", a)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v, want 1", runs)
	}
	server.WaitCounter("replayed", 2)
}

// TestRejectionFreesKey checks that a retry runs if its request was rejected while queued, because its deadline was near. The
// request never ran, so the retry counts as a new request.
func TestRejectionFreesKey(t *testing.T) {
	server := startServer(t, func(interpreter *servertest.Interpreter) { interpreter.SetUtilization(1) })
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1), fake.NewLookup("").Encode(2)) // one per core
	runs := server.WaitRuns(2)
	server.WaitGaugeReading() // an older reading would still show free capacity on the cores
	queued := fake.NewReserve(7, "x").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5900*time.Millisecond).UnixMilli(), 10))
	g.Write(queued.Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
		t.Fatalf("response %+v, want status 503 with Back-Off-Ms", a)
	}
	g.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(4))
	for _, run := range runs {
		server.EndRun(run.ID, "OK", nil)
	}
	server.EndRun(server.WaitRuns(3)[2].ID, "OK", []byte("new"))
	if a := g.WaitResponse(4); a.Status != 200 || string(a.Body) != "new" {
		t.Errorf("response to the retry %+v, want status 200 and body new", a)
	}
}

// TestFailedRun checks that a request whose run failed gets status 500, and that a retry of it gets the same and never runs.
func TestFailedRun(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewReserve(7, "x").Encode(1))
	server.EndRun(server.WaitRuns(1)[0].ID, "ERROR", nil)
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("response %+v, want status 500", a)
	}
	g.Write(fake.NewReserve(7, "x").Encode(2))
	if a := g.WaitResponse(2); a.Status != 500 || a.ProtocolStatus != 0 {
		t.Errorf("response to the second attempt %+v, want status 500", a)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v, want 1", runs)
	}
}

// TestCallerLost closes a connection while its request runs. The run must continue, and a retry must get the result of that
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
		t.Errorf("response %+v, want status 200 and body kept", a)
	}
	if runs := server.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v, want 1", runs)
	}
}

// TestReusedIDOrKeyRejected sends requests that reuse the ID of a served request, its key with another body, and the ID of a
// rejected request. All must be rejected as invalid: none gets a stored result, and none counts as a retry.
func TestReusedIDOrKeyRejected(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	r := fake.NewReserve(1, "x")
	g.Write(r.Encode(1))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("response %+v, want status 200", a)
	}
	other := fake.NewReserve(1, "y")
	expired := fake.NewLookup("").WithHeader("Received-At", strconv.FormatInt(time.Now().Add(-5*time.Second).UnixMilli(), 10))
	g.Write(expired.Encode(1))
	if a := g.WaitResponse(1); a.Status != 503 {
		t.Errorf("response to a request after its deadline %+v, want status 503", a)
	}
	for name, r := range map[string]fake.Request{"reused ID": r, "reused key with another body": other, "ID of a rejected request": expired} {
		g.Write(r.Encode(1))
		if a := g.WaitResponse(1); a.Status != 400 {
			t.Errorf("%s: response %+v, want status 400", name, a)
		}
	}
	server.WaitCounter("replayed", 0)
	server.WaitCounter("requests", 5)
}

// TestRejectedRunFreesKey has the interpreter reject the run of a request that no gateway can have sent, and whose key belongs
// to another request. Nothing ran, so the key is free and the other request must be served.
func TestRejectedRunFreesKey(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	rejected := fake.NewReserve(1, "x")
	server.RejectRun(rejected.ID())
	g.Write(rejected.Encode(1))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("response to the rejected request %+v, want status 500", a)
	}
	g.Write(fake.NewReserve(1, "y").Encode(2))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "[y]" {
		t.Errorf("response %+v, want status 200 and body [y]", a)
	}
}
