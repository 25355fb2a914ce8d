package fastcgi

import (
	"bytes"
	"maps"
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// testingT contains the methods of testing.T and rapid.T that testGateway uses.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// testGateway is both the Handler and the Output of a session. It parses the records that the session writes.
type testGateway struct {
	t         testingT
	session   gateway.Session
	reader    fake.ResponseReader
	received  map[gateway.StreamID]gateway.Request // requests without a response
	aborted   []gateway.StreamID
	reasons   []gateway.RejectReason
	responses []fake.Response
	err       error
}

var testLimits = Limits{OpenRequests: 4, ParamBytes: 1000, BodyBytes: 100, TotalBytes: 5000}

func newTestGateway(t testingT) *testGateway {
	g := &testGateway{t: t, received: map[gateway.StreamID]gateway.Request{}}
	g.session = NewProtocol(testLimits)(g, g)
	return g
}

// Write implements gateway.Output.
func (g *testGateway) Write(b []byte) {
	responses, err := g.reader.Feed(b)
	if err != nil {
		g.t.Fatal(err)
	}
	g.responses = append(g.responses, responses...)
}

// RequestReceived rejects a request that exceeds the limits with the same status as the server.
func (g *testGateway) RequestReceived(s gateway.Session, id gateway.StreamID, r gateway.Request) {
	if r.ExceedsLimits {
		g.reasons = append(g.reasons, gateway.TooManyRequests)
		s.Respond(id, gateway.Response{Overloaded: true})
		return
	}
	g.received[id] = r
}

func (g *testGateway) RequestAborted(_ gateway.Session, id gateway.StreamID) {
	g.aborted = append(g.aborted, id)
}

func (g *testGateway) RequestRejected(reason gateway.RejectReason) {
	g.reasons = append(g.reasons, reason)
}

// RequestInvalid responds with the same status as the server.
func (g *testGateway) RequestInvalid(s gateway.Session, id gateway.StreamID, reason gateway.RejectReason) {
	g.reasons = append(g.reasons, reason)
	status := map[gateway.RejectReason]int{gateway.TooLarge: 413, gateway.Malformed: 400, gateway.OutOfMemory: 500}[reason]
	s.Respond(id, gateway.Response{Status: status})
}

// feed sends bytes to the session until an error occurs.
func (g *testGateway) feed(parts ...[]byte) {
	for _, b := range parts {
		if g.err = g.session.Feed(b); g.err != nil {
			return
		}
	}
}

// respond responds to a request and returns the response that the gateway received.
func (g *testGateway) respond(id gateway.StreamID, response gateway.Response) fake.Response {
	g.t.Helper()
	n := len(g.responses)
	g.session.Respond(id, response)
	delete(g.received, id)
	if len(g.responses) != n+1 {
		g.t.Fatalf("%d responses to one request, want 1", len(g.responses)-n)
	}
	return g.responses[n]
}

// newLookupRequest returns a request to /v1/part-lookup with the given body.
func newLookupRequest(body string) fake.Request {
	return fake.Request{Method: "POST", Path: "/v1/part-lookup", Query: "a=1",
		Headers: map[string]string{"Request-Id": "9b1f03aa5c7e2d41", "Sent-By": "4"}, Body: []byte(body)}
}

// TestRequestAndResponse sends one request in one piece, byte by byte, and with its parameters and body in several records.
func TestRequestAndResponse(t *testing.T) {
	r := newLookupRequest("body bytes\x00\xff")
	whole := r.Encode(5)
	single := make([][]byte, len(whole))
	for i := range whole {
		single[i] = whole[i : i+1]
	}
	list := r.EncodeParams()
	several := [][]byte{fake.EncodeBeginRequest(5, 1, true), fake.EncodeRecord(fake.Params, 5, list[:9], 7),
		fake.EncodeRecord(fake.Params, 5, list[9:], 0), fake.EncodeRecord(fake.Params, 5, nil, 0),
		fake.EncodeRecord(fake.Stdin, 5, r.Body[:4], 0), fake.EncodeRecord(fake.Stdin, 5, r.Body[4:], 200),
		fake.EncodeRecord(fake.Stdin, 5, nil, 0)}
	for name, parts := range map[string][][]byte{"whole": {whole}, "single bytes": single, "several records": several} {
		g := newTestGateway(t)
		g.feed(parts...)
		got, ok := g.received[5]
		if !ok || g.err != nil {
			t.Fatalf("%s: the handler received no request, error %v", name, g.err)
		}
		want := map[string]string{"request-id": "9b1f03aa5c7e2d41", "sent-by": "4"}
		if got.Method != "POST" || got.Path != r.Path || got.Query != "a=1" || !maps.Equal(got.Headers, want) ||
			!bytes.Equal(got.Body, r.Body) {
			t.Errorf("%s: the handler received %+v", name, got)
		}
		a := g.respond(5, gateway.Response{Status: 200, Headers: []gateway.Field{{Name: "Server-Hint", Value: "0.5"}}, Body: []byte("result\r\n\r\n")})
		if a.ID != 5 || a.Status != 200 || a.Header.Get("Server-Hint") != "0.5" || string(a.Body) != "result\r\n\r\n" {
			t.Errorf("%s: response %+v", name, a)
		}
		if g.session.OpenRequests() != 0 || g.session.ShouldClose() {
			t.Errorf("%s: %d open requests, ShouldClose %t; want 0, false", name, g.session.OpenRequests(), g.session.ShouldClose())
		}
	}
}

// TestInterleavedRequests interleaves the records of several requests, responds out of order and reuses an ID.
func TestInterleavedRequests(t *testing.T) {
	g := newTestGateway(t)
	a, b := newLookupRequest("first").Encode(1), newLookupRequest("second").Encode(2)
	params := len(a) - 8 - (8 + len("first") + 1) // offset of the record with the body
	g.feed(a[:16], b[:16], a[16:params], b[16:], a[params:])
	if string(g.received[1].Body) != "first" || string(g.received[2].Body) != "second" {
		t.Fatalf("the handler received %v", g.received)
	}
	if got := g.respond(2, gateway.Response{Status: 503}); got.ID != 2 || got.Status != 503 {
		t.Errorf("response %+v", got)
	}
	g.feed(newLookupRequest("again").Encode(2))
	if string(g.received[2].Body) != "again" {
		t.Errorf("the handler did not receive the request that reuses ID 2: %v", g.received)
	}
	g.respond(1, gateway.Response{Status: 200})
	g.respond(2, gateway.Response{Status: 200})
	g.session.Respond(2, gateway.Response{Status: 500})
	if len(g.responses) != 3 {
		t.Errorf("%d responses to 3 requests", len(g.responses))
	}
}

// TestTooManyOpenRequests checks that complete requests over the limit of open requests are received and marked, so that the
// handler can look them up before it rejects them, and that the number of incomplete ones is limited without a promise that
// they never ran.
func TestTooManyOpenRequests(t *testing.T) {
	g := newTestGateway(t)
	for id := range uint16(6) {
		g.feed(newLookupRequest("").Encode(id + 1))
	}
	if len(g.received) != 4 || len(g.responses) != 2 || g.responses[0].ProtocolStatus != statusOverloaded || g.responses[0].Status != 0 {
		t.Errorf("%d requests received, want 4; responses %+v, want 2 with the status for overload", len(g.received), g.responses)
	}
	if g.err != nil || g.reasons[0] != gateway.TooManyRequests {
		t.Errorf("error %v, reasons %v", g.err, g.reasons)
	}
	for id := range uint16(5) {
		g.feed(fake.EncodeBeginRequest(id+11, 1, true))
	}
	if last := g.responses[len(g.responses)-1]; len(g.responses) != 3 || last.ID != 15 || last.ProtocolStatus != statusComplete || last.Status != 0 {
		t.Errorf("responses %+v, want that the fifth of the incomplete requests failed", g.responses)
	}
	if g.err != nil || len(g.reasons) != 3 || g.reasons[2] != gateway.TooManyRequests {
		t.Errorf("error %v, reasons %v", g.err, g.reasons)
	}
}

// TestInvalidRequests checks that invalid requests are rejected and that the connection remains usable.
func TestInvalidRequests(t *testing.T) {
	cut := fake.EncodeBeginRequest(1, 1, true)
	cut = append(cut, fake.EncodeRecord(fake.Params, 1, []byte{5, 5, 'a'}, 0)...)
	cut = append(cut, fake.EncodeRecord(fake.Params, 1, nil, 0)...)
	cut = append(cut, fake.EncodeRecord(fake.Stdin, 1, nil, 0)...)
	noParams := append(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.Stdin, 1, nil, 0)...)
	manyParams := newLookupRequest("")
	manyParams.Headers["Once-Key"] = strings.Repeat("k", 2000)
	for name, c := range map[string]struct {
		records []byte
		status  int
		reason  gateway.RejectReason
	}{
		"truncated pairs": {cut, 400, gateway.Malformed},
		"no parameters":   {noParams, 400, gateway.Malformed},
		"long parameters": {manyParams.Encode(1), 413, gateway.TooLarge},
		"long body":       {newLookupRequest(strings.Repeat("b", 101)).Encode(1), 413, gateway.TooLarge},
	} {
		g := newTestGateway(t)
		g.feed(c.records)
		if g.err != nil || len(g.responses) != 1 || g.responses[0].Status != c.status || len(g.reasons) != 1 || g.reasons[0] != c.reason {
			t.Errorf("%s: error %v, responses %+v, reasons %v", name, g.err, g.responses, g.reasons)
		}
		g.feed(newLookupRequest("next").Encode(1))
		if string(g.received[1].Body) != "next" {
			t.Errorf("%s: the handler did not receive the next request of the connection", name)
		}
	}
}

// TestProtocolErrors checks that input which violates the protocol is an error of the connection.
func TestProtocolErrors(t *testing.T) {
	begin := fake.EncodeBeginRequest(3, 1, true)
	for name, parts := range map[string][][]byte{
		"id in use":            {begin, begin},
		"short BEGIN_REQUEST":  {fake.EncodeRecord(fake.BeginRequest, 1, []byte{0, 1}, 0)},
		"not FastCGI":          {[]byte("GET / HTTP/1.1\r\n\r\n")},
		"truncated GET_VALUES": {fake.EncodeRecord(fake.GetValues, 0, []byte{9, 9}, 0)},
	} {
		g := newTestGateway(t)
		g.feed(parts...)
		if g.err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// TestAbort aborts an incomplete request and a request that was passed to the handler. Each must be ended exactly once.
func TestAbort(t *testing.T) {
	g := newTestGateway(t)
	g.feed(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	if len(g.responses) != 1 || g.responses[0].ID != 1 || g.session.OpenRequests() != 0 || len(g.aborted) != 0 {
		t.Fatalf("responses %+v, aborted %v", g.responses, g.aborted)
	}
	g.feed(fake.EncodeRecord(fake.Params, 1, []byte("late"), 0), fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	g.feed(newLookupRequest("").Encode(2), fake.EncodeRecord(fake.AbortRequest, 2, nil, 0))
	if len(g.responses) != 1 || len(g.aborted) != 1 || g.aborted[0] != 2 {
		t.Fatalf("responses %+v, aborted %v", g.responses, g.aborted)
	}
	if a := g.respond(2, gateway.Response{Status: 500}); a.ID != 2 {
		t.Errorf("response %+v", a)
	}
}

// TestManagement checks the responses to GET_VALUES, to unknown record types and to unknown roles.
func TestManagement(t *testing.T) {
	g := newTestGateway(t)
	query := append(fake.EncodePair("FCGI_MPXS_CONNS", "", false), fake.EncodePair("FCGI_MAX_REQS", "", false)...)
	g.feed(fake.EncodeRecord(fake.GetValues, 0, append(query, fake.EncodePair("OTHER", "", false)...), 2))
	want := append(fake.EncodePair("FCGI_MPXS_CONNS", "1", false), fake.EncodePair("FCGI_MAX_REQS", "4", false)...)
	if len(g.responses) != 1 || g.responses[0].RecordType != fake.GetValuesResult || !bytes.Equal(g.responses[0].Content, want) {
		t.Errorf("response to GET_VALUES: %+v", g.responses)
	}
	g.feed(fake.EncodeRecord(77, 0, []byte("?"), 0))
	if a := g.responses[len(g.responses)-1]; a.RecordType != fake.UnknownType || a.Content[0] != 77 {
		t.Errorf("response to an unknown type: %+v", a)
	}
	g.feed(fake.EncodeBeginRequest(1, 2, true), fake.EncodeRecord(fake.Stdin, 1, nil, 0))
	if a := g.responses[len(g.responses)-1]; a.ID != 1 || a.ProtocolStatus != statusUnknownRole || g.reasons[0] != gateway.UnsupportedRole {
		t.Errorf("response to an unknown role: %+v, reasons %v", a, g.reasons)
	}
	if g.err != nil {
		t.Error(g.err)
	}
}

// TestConnectionNotKept checks that a request without the keep-connection flag closes the connection once all open
// requests have responses.
func TestConnectionNotKept(t *testing.T) {
	g := newTestGateway(t)
	g.feed(newLookupRequest("kept").Encode(1))
	last := newLookupRequest("last").Encode(2)
	last[8+2] = 0 // the flags byte of BEGIN_REQUEST
	g.feed(last)
	g.respond(2, gateway.Response{Status: 200})
	if g.session.ShouldClose() {
		t.Error("ShouldClose is true while a request is open")
	}
	g.feed(newLookupRequest("too late").Encode(3))
	g.respond(1, gateway.Response{Status: 200})
	if !g.session.ShouldClose() || len(g.received) != 0 {
		t.Errorf("ShouldClose is %t, want true; the handler received %v, want no request", g.session.ShouldClose(), g.received)
	}
}
