package fastcgi

import (
	"bytes"
	"maps"
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// testingT is what peer needs of a test, be it Go's or rapid's.
type testingT interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// testGateway stands on both sides of a session: it is its handler, and it reads what the session writes.
type testGateway struct {
	t         testingT
	session   gateway.Session
	reader    fake.ResponseReader
	received  map[gateway.StreamID]gateway.Request // isComplete over, not answered
	aborted   []gateway.StreamID
	reasons   []gateway.RejectReason
	responses []fake.Response
	err       error
}

var testLimits = Limits{OpenRequests: 4, ParamBytes: 1000, BodyBytes: 100, TotalBytes: 5000}

func newTestGateway(t testingT) *testGateway {
	p := &testGateway{t: t, received: map[gateway.StreamID]gateway.Request{}}
	p.session = NewProtocol(testLimits)(p, p)
	return p
}

// Write implements front.Output.
func (p *testGateway) Write(b []byte) {
	answers, err := p.reader.Feed(b)
	if err != nil {
		p.t.Fatal(err)
	}
	p.responses = append(p.responses, answers...)
}

func (p *testGateway) RequestReceived(_ gateway.Session, id gateway.StreamID, r gateway.Request) {
	p.received[id] = r
}
func (p *testGateway) RequestAborted(_ gateway.Session, id gateway.StreamID) {
	p.aborted = append(p.aborted, id)
}
func (p *testGateway) RequestRejected(f gateway.RejectReason) { p.reasons = append(p.reasons, f) }

// Flawed answers as a server would.
func (p *testGateway) RequestInvalid(s gateway.Session, id gateway.StreamID, f gateway.RejectReason) {
	p.reasons = append(p.reasons, f)
	s.Respond(id, gateway.Response{Status: map[gateway.RejectReason]int{gateway.TooLarge: 413, gateway.Malformed: 400}[f], Overloaded: f == gateway.TooManyRequests})
}

// feed sends bytes to the session.
func (p *testGateway) feed(parts ...[]byte) {
	for _, b := range parts {
		if p.err = p.session.Feed(b); p.err != nil {
			return
		}
	}
}

// respond answers a request and returns what the gateway read.
func (p *testGateway) respond(id gateway.StreamID, a gateway.Response) fake.Response {
	p.t.Helper()
	n := len(p.responses)
	p.session.Respond(id, a)
	delete(p.received, id)
	if len(p.responses) != n+1 {
		p.t.Fatalf("%d answers to one request", len(p.responses)-n)
	}
	return p.responses[n]
}

func lookup(body string) fake.Request {
	return fake.Request{Method: "POST", Path: "/v1/part-lookup", Query: "a=1",
		Headers: map[string]string{"Request-Id": "9b1f03aa5c7e2d41", "Sent-By": "4"}, Body: []byte(body)}
}

// TestRequestAndResponse sends one request whole, in single bytes, and with its parameters in several records.
func TestRequestAndResponse(t *testing.T) {
	r := lookup("body bytes\x00\xff")
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
		p := newTestGateway(t)
		p.feed(parts...)
		got, ok := p.received[5]
		if !ok || p.err != nil {
			t.Fatalf("%s: not handed over, error %v", name, p.err)
		}
		want := map[string]string{"request-id": "9b1f03aa5c7e2d41", "sent-by": "4"}
		if got.Method != "POST" || got.Path != r.Path || got.Query != "a=1" || !maps.Equal(got.Headers, want) ||
			!bytes.Equal(got.Body, r.Body) {
			t.Errorf("%s: %+v", name, got)
		}
		a := p.respond(5, gateway.Response{Status: 200, Headers: []gateway.Field{{Name: "Server-Hint", Value: "0.5"}}, Body: []byte("result\r\n\r\n")})
		if a.ID != 5 || a.Status != 200 || a.Header.Get("Server-Hint") != "0.5" || string(a.Body) != "result\r\n\r\n" {
			t.Errorf("%s: answer %+v", name, a)
		}
		if p.session.OpenRequests() != 0 || p.session.ShouldClose() {
			t.Errorf("%s: %d open, finished %t", name, p.session.OpenRequests(), p.session.ShouldClose())
		}
	}
}

// TestInterleaved opens several requests at once, answers them out of order and uses an id again.
func TestInterleaved(t *testing.T) {
	p := newTestGateway(t)
	a, b := lookup("first").Encode(1), lookup("second").Encode(2)
	params := len(a) - 8 - (8 + len("first") + 1) // where the body's record begins
	p.feed(a[:16], b[:16], a[16:params], b[16:], a[params:])
	if string(p.received[1].Body) != "first" || string(p.received[2].Body) != "second" {
		t.Fatalf("handed over: %v", p.received)
	}
	if got := p.respond(2, gateway.Response{Status: 503}); got.ID != 2 || got.Status != 503 {
		t.Errorf("answer %+v", got)
	}
	p.feed(lookup("again").Encode(2))
	if string(p.received[2].Body) != "again" {
		t.Errorf("the id was not free again: %v", p.received)
	}
	p.respond(1, gateway.Response{Status: 200})
	p.respond(2, gateway.Response{Status: 200})
	p.session.Respond(2, gateway.Response{Status: 500})
	if len(p.responses) != 3 {
		t.Errorf("%d answers to 3 requests", len(p.responses))
	}
}

// TestTooMany turns away what is over the limit of open requests by the protocol's own status.
func TestTooMany(t *testing.T) {
	p := newTestGateway(t)
	for id := range uint16(6) {
		p.feed(lookup("").Encode(id + 1))
	}
	if len(p.received) != 4 || len(p.responses) != 2 || p.responses[0].ProtocolStatus != statusOverloaded || p.responses[0].Status != 0 {
		t.Errorf("%d handed over, answers %+v", len(p.received), p.responses)
	}
	if p.err != nil || p.reasons[0] != gateway.TooManyRequests {
		t.Errorf("error %v, flaws %v", p.err, p.reasons)
	}
}

// TestInvalidRequests answers requests that can't be handed over, and goes on with the connection.
func TestInvalidRequests(t *testing.T) {
	cut := fake.EncodeBeginRequest(1, 1, true)
	cut = append(cut, fake.EncodeRecord(fake.Params, 1, []byte{5, 5, 'a'}, 0)...)
	cut = append(cut, fake.EncodeRecord(fake.Params, 1, nil, 0)...)
	cut = append(cut, fake.EncodeRecord(fake.Stdin, 1, nil, 0)...)
	noParams := append(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.Stdin, 1, nil, 0)...)
	manyParams := lookup("")
	manyParams.Headers["Once-Key"] = strings.Repeat("k", 2000)
	for name, c := range map[string]struct {
		records []byte
		status  int
		flaw    gateway.RejectReason
	}{
		"cut pairs":           {cut, 400, gateway.Malformed},
		"parameters left out": {noParams, 400, gateway.Malformed},
		"long parameters":     {manyParams.Encode(1), 413, gateway.TooLarge},
		"long body":           {lookup(strings.Repeat("b", 101)).Encode(1), 413, gateway.TooLarge},
	} {
		p := newTestGateway(t)
		p.feed(c.records)
		if p.err != nil || len(p.responses) != 1 || p.responses[0].Status != c.status || len(p.reasons) != 1 || p.reasons[0] != c.flaw {
			t.Errorf("%s: error %v, answers %+v, flaws %v", name, p.err, p.responses, p.reasons)
		}
		p.feed(lookup("next").Encode(1))
		if string(p.received[1].Body) != "next" {
			t.Errorf("%s: the connection did not go on", name)
		}
	}
}

// TestProtocolErrors finds streams after which nothing can be understood.
func TestProtocolErrors(t *testing.T) {
	begin := fake.EncodeBeginRequest(3, 1, true)
	for name, parts := range map[string][][]byte{
		"id in use":   {begin, begin},
		"short begin": {fake.EncodeRecord(fake.BeginRequest, 1, []byte{0, 1}, 0)},
		"not FastCGI": {[]byte("GET / HTTP/1.1\r\n\r\n")},
		"cut values":  {fake.EncodeRecord(fake.GetValues, 0, []byte{9, 9}, 0)},
	} {
		p := newTestGateway(t)
		p.feed(parts...)
		if p.err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}

// TestAbort covers requests that are still coming and requests that were handed over: each gets one end.
func TestAbort(t *testing.T) {
	p := newTestGateway(t)
	p.feed(fake.EncodeBeginRequest(1, 1, true), fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	if len(p.responses) != 1 || p.responses[0].ID != 1 || p.session.OpenRequests() != 0 || len(p.aborted) != 0 {
		t.Fatalf("answers %+v, told %v", p.responses, p.aborted)
	}
	p.feed(fake.EncodeRecord(fake.Params, 1, []byte("late"), 0), fake.EncodeRecord(fake.AbortRequest, 1, nil, 0))
	p.feed(lookup("").Encode(2), fake.EncodeRecord(fake.AbortRequest, 2, nil, 0))
	if len(p.responses) != 1 || len(p.aborted) != 1 || p.aborted[0] != 2 {
		t.Fatalf("answers %+v, told %v", p.responses, p.aborted)
	}
	if a := p.respond(2, gateway.Response{Status: 500}); a.ID != 2 {
		t.Errorf("answer %+v", a)
	}
}

// TestManagement answers queries about the application, and records and roles that are not known.
func TestManagement(t *testing.T) {
	p := newTestGateway(t)
	query := append(fake.EncodePair("FCGI_MPXS_CONNS", "", false), fake.EncodePair("FCGI_MAX_REQS", "", false)...)
	p.feed(fake.EncodeRecord(fake.GetValues, 0, append(query, fake.EncodePair("OTHER", "", false)...), 2))
	want := append(fake.EncodePair("FCGI_MPXS_CONNS", "1", false), fake.EncodePair("FCGI_MAX_REQS", "4", false)...)
	if len(p.responses) != 1 || p.responses[0].RecordType != fake.GetValuesResult || !bytes.Equal(p.responses[0].Content, want) {
		t.Errorf("values %+v", p.responses)
	}
	p.feed(fake.EncodeRecord(77, 0, []byte("?"), 0))
	if a := p.responses[len(p.responses)-1]; a.RecordType != fake.UnknownType || a.Content[0] != 77 {
		t.Errorf("unknown type: %+v", a)
	}
	p.feed(fake.EncodeBeginRequest(1, 2, true), fake.EncodeRecord(fake.Stdin, 1, nil, 0))
	if a := p.responses[len(p.responses)-1]; a.ID != 1 || a.ProtocolStatus != statusUnknownRole || p.reasons[0] != gateway.UnsupportedRole {
		t.Errorf("unknown role: %+v, flaws %v", a, p.reasons)
	}
	if p.err != nil {
		t.Error(p.err)
	}
}

// TestMemory has more come in than all sessions together may hold, and finds room again after answers and
// after connections that ended.
func TestMemory(t *testing.T) {
	protocol := NewProtocol(Limits{OpenRequests: 4, ParamBytes: 1000, BodyBytes: 100, TotalBytes: 600})
	first, second := newTestGateway(t), newTestGateway(t)
	first.session, second.session = protocol(first, first), protocol(second, second)
	first.feed(lookup(strings.Repeat("b", 100)).Encode(1), lookup(strings.Repeat("b", 100)).Encode(2))
	second.feed(lookup(strings.Repeat("b", 100)).Encode(1), lookup(strings.Repeat("b", 100)).Encode(2))
	if len(first.received) != 2 || len(second.responses) != 2 || second.responses[0].ProtocolStatus != statusOverloaded || second.reasons[0] != gateway.TooManyRequests {
		t.Fatalf("handed over %d and %d, answers %+v", len(first.received), len(second.received), second.responses)
	}
	first.respond(1, gateway.Response{Status: 200})
	first.session.Close()
	second.feed(lookup(strings.Repeat("b", 100)).Encode(1), lookup(strings.Repeat("b", 100)).Encode(2))
	if len(second.received) != 2 {
		t.Errorf("%d handed over after there was room again", len(second.received))
	}
}

// TestConnectionNotKept ends the connection after the answer to a request that did not ask to keep it.
func TestConnectionNotKept(t *testing.T) {
	p := newTestGateway(t)
	p.feed(lookup("kept").Encode(1))
	last := lookup("last").Encode(2)
	last[8+2] = 0 // the flags of BEGIN_REQUEST
	p.feed(last)
	p.respond(2, gateway.Response{Status: 200})
	if p.session.ShouldClose() {
		t.Error("finished while a request is open")
	}
	p.feed(lookup("too late").Encode(3))
	p.respond(1, gateway.Response{Status: 200})
	if !p.session.ShouldClose() || len(p.received) != 0 {
		t.Errorf("finished %t, handed over %v", p.session.ShouldClose(), p.received)
	}
}
