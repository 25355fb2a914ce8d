package main

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestInvalidRequests has invalid requests answered, and connections closed only after protocol errors; both are counted.
func TestInvalidRequests(t *testing.T) {
	server := startServer(t, finishImmediately)
	g := servertest.Dial(t, server.Addr)
	good := fake.NewReserve(1, "x")
	for what, c := range map[string]struct {
		r      fake.Request
		status int
	}{
		"no id":           {good.WithHeader("Request-Id", ""), 400},
		"short id":        {good.WithHeader("Request-Id", "9b1f"), 400},
		"no time":         {good.WithHeader("Received-At", ""), 400},
		"strange time":    {good.WithHeader("Received-At", "yesterday"), 400},
		"strange account": {good.WithHeader("Account", "acme"), 400},
		"no key":          {good.WithHeader("Once-Key", ""), 400},
		"no footprint":    {good.WithHeader("Footprint-Kb", ""), 400},
		"zero footprint":  {good.WithHeader("Footprint-Kb", "0"), 400},
		"huge footprint":  {good.WithHeader("Footprint-Kb", "2000"), 400},
		"not a number":    {good.WithHeader("Work-Estimate", "NaN"), 400},
		"rank of 1":       {good.WithHeader("Priority-Rank", "1"), 400},
		"negative work":   {good.WithHeader("Work-Estimate", "-12.5"), 400},
		"endless work":    {good.WithHeader("Work-Estimate", "Inf"), 400},
		"huge work":       {good.WithHeader("Work-Estimate", "100000"), 400},
		"work in hex":     {good.WithHeader("Work-Estimate", "0x1p3"), 400},
		"strange sender":  {good.WithHeader("Sent-By", "-1"), 400},
		"strange mark":    {good.WithHeader("Attempt-Again", "yes"), 400},
		"long ago":        {good.WithHeader("Received-At", "1"), 400},
		"far ahead":       {good.WithHeader("Received-At", strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10)), 400},
		"unknown class":   {fake.Request{Method: "POST", Path: "/v1/brake-fluid", Headers: good.Headers}, 400},
		"no class":        {fake.Request{Method: "POST", Path: "/stock-reserve", Headers: good.Headers}, 400},
		"wrong method":    {fake.Request{Method: "GET", Path: good.Path, Headers: good.Headers}, 400},
		"long body":       {fake.NewReserve(1, strings.Repeat("b", 2049)), 413},
	} {
		g.Write(c.r.Encode(1))
		if a := g.WaitResponse(1); a.Status != c.status {
			t.Errorf("%s: answer %+v, want status %d", what, a, c.status)
		}
	}
	g.Write(good.WithHeader("Account", strings.Repeat("a", 3000)).Encode(1))
	if a := g.WaitResponse(1); a.Status != 400 || string(a.Body) != `field Account is "`+strings.Repeat("a", 40)+"\"\n" {
		t.Errorf("the answer does not name the field: %+v", a)
	}
	broken := servertest.Dial(t, server.Addr)
	broken.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	broken.WaitClosed()
	g.Write(good.WithHeader("Sent-By", "4294967296").Encode(2)) // the number of a gateway has no limit
	if a := g.WaitResponse(2); a.Status != 200 {
		t.Errorf("answer after all that %+v", a)
	}
	server.WaitCounter("invalid", 23)
	server.WaitCounter("too_large", 1)
	server.WaitCounter("protocol_errors", 1)
}

// TestTooManyRequests opens too many requests on a connection: those over its limit get the protocol's own answer.
func TestTooManyRequests(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	for id := range uint16(33) {
		g.Write(fake.NewLookup("").Encode(id + 1))
	}
	if a := g.WaitResponse(33); a.ProtocolStatus != 2 || a.Status != 0 {
		t.Errorf("answer %+v", a)
	}
	server.WaitCounter("too_many", 1)
}

// TestAbort ends a request that its gateway aborted, once.
func TestAbort(t *testing.T) {
	server := startServer(t, nil)
	g := servertest.Dial(t, server.Addr)
	g.Write(fake.NewLookup("").Encode(1))
	run := server.WaitRuns(1)[0].ID
	g.Write(fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("answer %+v", a)
	}
	server.EndRun(run, "OK", []byte("unwanted"))
	server.WaitCounter("running", 0)
	g.Write(fake.NewHealthCheck(false).Encode(2))
	if a := g.WaitResponse(0); a.ID != 2 {
		t.Errorf("second answer %+v", a)
	}
}
