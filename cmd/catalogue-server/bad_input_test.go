package main

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestInvalidRequests checks that invalid requests get a response, that a connection is closed only after a protocol
// error, and that invalid requests and protocol errors are counted.
func TestInvalidRequests(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	valid := fake.NewReserve(1, "x")
	for name, c := range map[string]struct {
		request fake.Request
		status  int
	}{
		"no id":                  {valid.WithHeader("Request-Id", ""), 400},
		"short id":               {valid.WithHeader("Request-Id", "9b1f"), 400},
		"no time":                {valid.WithHeader("Received-At", ""), 400},
		"invalid time":           {valid.WithHeader("Received-At", "yesterday"), 400},
		"unknown account":        {valid.WithHeader("Account", "acme"), 400},
		"no key":                 {valid.WithHeader("Once-Key", ""), 400},
		"no footprint":           {valid.WithHeader("Footprint-Kb", ""), 400},
		"zero footprint":         {valid.WithHeader("Footprint-Kb", "0"), 400},
		"huge footprint":         {valid.WithHeader("Footprint-Kb", "2000"), 400},
		"not a number":           {valid.WithHeader("Work-Estimate", "NaN"), 400},
		"rank of 1":              {valid.WithHeader("Priority-Rank", "1"), 400},
		"negative work":          {valid.WithHeader("Work-Estimate", "-12.5"), 400},
		"infinite work":          {valid.WithHeader("Work-Estimate", "Inf"), 400},
		"huge work":              {valid.WithHeader("Work-Estimate", "100000"), 400},
		"work in hex":            {valid.WithHeader("Work-Estimate", "0x1p3"), 400},
		"negative sender":        {valid.WithHeader("Sent-By", "-1"), 400},
		"invalid retry flag":     {valid.WithHeader("Attempt-Again", "yes"), 400},
		"received long ago":      {valid.WithHeader("Received-At", "1"), 400},
		"received in the future": {valid.WithHeader("Received-At", strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10)), 400},
		"unknown class":          {fake.Request{Method: "POST", Path: "/v1/brake-fluid", Headers: valid.Headers}, 400},
		"no class":               {fake.Request{Method: "POST", Path: "/stock-reserve", Headers: valid.Headers}, 400},
		"wrong method":           {fake.Request{Method: "GET", Path: valid.Path, Headers: valid.Headers}, 400},
		"long body":              {fake.NewReserve(1, strings.Repeat("b", 2049)), 413},
	} {
		g.Write(c.request.Encode(1))
		if a := g.WaitResponse(1); a.Status != c.status {
			t.Errorf("%s: response %+v, want status %d", name, a, c.status)
		}
	}
	g.Write(valid.WithHeader("Account", strings.Repeat("a", 3000)).Encode(1))
	if a := g.WaitResponse(1); a.Status != 400 || string(a.Body) != `field Account is "`+strings.Repeat("a", 40)+"\"\n" {
		t.Errorf("the response does not name the field Account: %+v", a)
	}
	broken := servertest.Dial(t, server.Addr)
	broken.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	broken.WaitClosed()
	g.Write(valid.WithHeader("Sent-By", "4294967296").Encode(2)) // a gateway's number has no upper bound
	if a := g.WaitResponse(2); a.Status != 200 {
		t.Errorf("valid request after the invalid ones: response %+v, want status 200", a)
	}
	server.WaitCounter("invalid", 23)
	server.WaitCounter("too_large", 1)
	server.WaitCounter("protocol_errors", 1)
}

// TestTooManyRequests checks that requests over a connection's limit get the response that the protocol defines for this:
// a protocol status and no HTTP status.
func TestTooManyRequests(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	for id := range uint16(33) {
		g.Write(fake.NewLookup("").Encode(id + 1))
	}
	if a := g.WaitResponse(33); a.ProtocolStatus != 2 || a.Status != 0 {
		t.Errorf("response %+v, want protocol status 2 and no status", a)
	}
	server.WaitCounter("too_many", 1)
}

// TestAbort checks that a request that its gateway aborts gets exactly one response.
func TestAbort(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := server.WaitRuns(1)[0].ID
	g.Write(fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("response %+v, want status 500", a)
	}
	server.EndRun(run, "OK", []byte("unwanted"))
	server.WaitCounter("running", 0)
	g.Write(fake.NewHealthCheck(false).Encode(2))
	if a := g.WaitResponse(0); a.ID != 2 {
		t.Errorf("response %+v, want one to request 2", a)
	}
}
