package fastcgi

import (
	"bytes"
	"maps"
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// reporter is what peer needs of a test, be it Go's or rapid's.
type reporter interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// peer stands on both sides of a session: it is its handler, and it reads what the session writes.
type peer struct {
	t       reporter
	session gateway.Session
	reader  fake.Reader
	got     map[gateway.Stream]gateway.Request // handed over, not answered
	aborted []gateway.Stream
	flaws   []gateway.Flaw
	answers []fake.Answer
	err     error
}

var testLimits = Limits{Requests: 4, Params: 1000, Body: 100, Memory: 5000}

func newPeer(t reporter) *peer {
	p := &peer{t: t, got: map[gateway.Stream]gateway.Request{}}
	p.session = New(testLimits)(p, p)
	return p
}

// Write implements front.Output.
func (p *peer) Write(b []byte) {
	answers, err := p.reader.Feed(b)
	if err != nil {
		p.t.Fatal(err)
	}
	p.answers = append(p.answers, answers...)
}

func (p *peer) Request(_ gateway.Session, id gateway.Stream, r gateway.Request) { p.got[id] = r }
func (p *peer) Aborted(_ gateway.Session, id gateway.Stream)                    { p.aborted = append(p.aborted, id) }
func (p *peer) Rejected(f gateway.Flaw)                                         { p.flaws = append(p.flaws, f) }

// Flawed answers as a server would.
func (p *peer) Flawed(s gateway.Session, id gateway.Stream, f gateway.Flaw) {
	p.flaws = append(p.flaws, f)
	s.Answer(id, gateway.Answer{Status: map[gateway.Flaw]int{gateway.TooLarge: 413, gateway.Malformed: 400}[f], Overloaded: f == gateway.TooMany})
}

// feed sends bytes to the session.
func (p *peer) feed(parts ...[]byte) {
	for _, b := range parts {
		if p.err = p.session.Feed(b); p.err != nil {
			return
		}
	}
}

// answer answers a request and returns what the gateway read.
func (p *peer) answer(id gateway.Stream, a gateway.Answer) fake.Answer {
	p.t.Helper()
	n := len(p.answers)
	p.session.Answer(id, a)
	delete(p.got, id)
	if len(p.answers) != n+1 {
		p.t.Fatalf("%d answers to one request", len(p.answers)-n)
	}
	return p.answers[n]
}

func lookup(body string) fake.Request {
	return fake.Request{Method: "POST", Path: "/v1/part-lookup", Query: "a=1",
		Fields: map[string]string{"Request-Id": "9b1f03aa5c7e2d41", "Sent-By": "4"}, Body: []byte(body)}
}

// TestRequestAndAnswer sends one request whole, in single bytes, and with its parameters in several records.
func TestRequestAndAnswer(t *testing.T) {
	r := lookup("body bytes\x00\xff")
	whole := r.Records(5)
	single := make([][]byte, len(whole))
	for i := range whole {
		single[i] = whole[i : i+1]
	}
	list := r.ParamBytes()
	several := [][]byte{fake.BeginRecord(5, 1, true), fake.Record(fake.Params, 5, list[:9], 7),
		fake.Record(fake.Params, 5, list[9:], 0), fake.Record(fake.Params, 5, nil, 0),
		fake.Record(fake.Stdin, 5, r.Body[:4], 0), fake.Record(fake.Stdin, 5, r.Body[4:], 200),
		fake.Record(fake.Stdin, 5, nil, 0)}
	for name, parts := range map[string][][]byte{"whole": {whole}, "single bytes": single, "several records": several} {
		p := newPeer(t)
		p.feed(parts...)
		got, ok := p.got[5]
		if !ok || p.err != nil {
			t.Fatalf("%s: not handed over, error %v", name, p.err)
		}
		want := map[string]string{"request-id": "9b1f03aa5c7e2d41", "sent-by": "4"}
		if got.Method != "POST" || got.Path != r.Path || got.Query != "a=1" || !maps.Equal(got.Fields, want) ||
			!bytes.Equal(got.Body, r.Body) {
			t.Errorf("%s: %+v", name, got)
		}
		a := p.answer(5, gateway.Answer{Status: 200, Fields: []gateway.Field{{Name: "Server-Hint", Value: "0.5"}}, Body: []byte("result\r\n\r\n")})
		if a.ID != 5 || a.Status != 200 || a.Header.Get("Server-Hint") != "0.5" || string(a.Body) != "result\r\n\r\n" {
			t.Errorf("%s: answer %+v", name, a)
		}
		if p.session.Open() != 0 || p.session.Finished() {
			t.Errorf("%s: %d open, finished %t", name, p.session.Open(), p.session.Finished())
		}
	}
}

// TestInterleaved opens several requests at once, answers them out of order and uses an id again.
func TestInterleaved(t *testing.T) {
	p := newPeer(t)
	a, b := lookup("first").Records(1), lookup("second").Records(2)
	params := len(a) - 8 - (8 + len("first") + 1) // where the body's record begins
	p.feed(a[:16], b[:16], a[16:params], b[16:], a[params:])
	if string(p.got[1].Body) != "first" || string(p.got[2].Body) != "second" {
		t.Fatalf("handed over: %v", p.got)
	}
	if got := p.answer(2, gateway.Answer{Status: 503}); got.ID != 2 || got.Status != 503 {
		t.Errorf("answer %+v", got)
	}
	p.feed(lookup("again").Records(2))
	if string(p.got[2].Body) != "again" {
		t.Errorf("the id was not free again: %v", p.got)
	}
	p.answer(1, gateway.Answer{Status: 200})
	p.answer(2, gateway.Answer{Status: 200})
	p.session.Answer(2, gateway.Answer{Status: 500})
	if len(p.answers) != 3 {
		t.Errorf("%d answers to 3 requests", len(p.answers))
	}
}

// TestTooMany turns away what is over the limit of open requests by the protocol's own status.
func TestTooMany(t *testing.T) {
	p := newPeer(t)
	for id := range uint16(6) {
		p.feed(lookup("").Records(id + 1))
	}
	if len(p.got) != 4 || len(p.answers) != 2 || p.answers[0].Protocol != statusOverloaded || p.answers[0].Status != 0 {
		t.Errorf("%d handed over, answers %+v", len(p.got), p.answers)
	}
	if p.err != nil || p.flaws[0] != gateway.TooMany {
		t.Errorf("error %v, flaws %v", p.err, p.flaws)
	}
}

// TestFlawed answers requests that can't be handed over, and goes on with the connection.
func TestFlawed(t *testing.T) {
	cut := fake.BeginRecord(1, 1, true)
	cut = append(cut, fake.Record(fake.Params, 1, []byte{5, 5, 'a'}, 0)...)
	cut = append(cut, fake.Record(fake.Params, 1, nil, 0)...)
	cut = append(cut, fake.Record(fake.Stdin, 1, nil, 0)...)
	noParams := append(fake.BeginRecord(1, 1, true), fake.Record(fake.Stdin, 1, nil, 0)...)
	manyParams := lookup("")
	manyParams.Fields["Once-Key"] = strings.Repeat("k", 2000)
	for name, c := range map[string]struct {
		records []byte
		status  int
		flaw    gateway.Flaw
	}{
		"cut pairs":           {cut, 400, gateway.Malformed},
		"parameters left out": {noParams, 400, gateway.Malformed},
		"long parameters":     {manyParams.Records(1), 413, gateway.TooLarge},
		"long body":           {lookup(strings.Repeat("b", 101)).Records(1), 413, gateway.TooLarge},
	} {
		p := newPeer(t)
		p.feed(c.records)
		if p.err != nil || len(p.answers) != 1 || p.answers[0].Status != c.status || len(p.flaws) != 1 || p.flaws[0] != c.flaw {
			t.Errorf("%s: error %v, answers %+v, flaws %v", name, p.err, p.answers, p.flaws)
		}
		p.feed(lookup("next").Records(1))
		if string(p.got[1].Body) != "next" {
			t.Errorf("%s: the connection did not go on", name)
		}
	}
}

// TestBroken finds streams after which nothing can be understood.
func TestBroken(t *testing.T) {
	begin := fake.BeginRecord(3, 1, true)
	for name, parts := range map[string][][]byte{
		"id in use":   {begin, begin},
		"short begin": {fake.Record(fake.Begin, 1, []byte{0, 1}, 0)},
		"not FastCGI": {[]byte("GET / HTTP/1.1\r\n\r\n")},
		"cut values":  {fake.Record(fake.GetValues, 0, []byte{9, 9}, 0)},
	} {
		p := newPeer(t)
		p.feed(parts...)
		if p.err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}

// TestAbort covers requests that are still coming and requests that were handed over: each gets one end.
func TestAbort(t *testing.T) {
	p := newPeer(t)
	p.feed(fake.BeginRecord(1, 1, true), fake.Record(fake.Abort, 1, nil, 0))
	if len(p.answers) != 1 || p.answers[0].ID != 1 || p.session.Open() != 0 || len(p.aborted) != 0 {
		t.Fatalf("answers %+v, told %v", p.answers, p.aborted)
	}
	p.feed(fake.Record(fake.Params, 1, []byte("late"), 0), fake.Record(fake.Abort, 1, nil, 0))
	p.feed(lookup("").Records(2), fake.Record(fake.Abort, 2, nil, 0))
	if len(p.answers) != 1 || len(p.aborted) != 1 || p.aborted[0] != 2 {
		t.Fatalf("answers %+v, told %v", p.answers, p.aborted)
	}
	if a := p.answer(2, gateway.Answer{Status: 500}); a.ID != 2 {
		t.Errorf("answer %+v", a)
	}
}

// TestManagement answers queries about the application, and records and roles that are not known.
func TestManagement(t *testing.T) {
	p := newPeer(t)
	query := append(fake.Pair("FCGI_MPXS_CONNS", "", false), fake.Pair("FCGI_MAX_REQS", "", false)...)
	p.feed(fake.Record(fake.GetValues, 0, append(query, fake.Pair("OTHER", "", false)...), 2))
	want := append(fake.Pair("FCGI_MPXS_CONNS", "1", false), fake.Pair("FCGI_MAX_REQS", "4", false)...)
	if len(p.answers) != 1 || p.answers[0].Kind != fake.Values || !bytes.Equal(p.answers[0].Content, want) {
		t.Errorf("values %+v", p.answers)
	}
	p.feed(fake.Record(77, 0, []byte("?"), 0))
	if a := p.answers[len(p.answers)-1]; a.Kind != fake.Unknown || a.Content[0] != 77 {
		t.Errorf("unknown type: %+v", a)
	}
	p.feed(fake.BeginRecord(1, 2, true), fake.Record(fake.Stdin, 1, nil, 0))
	if a := p.answers[len(p.answers)-1]; a.ID != 1 || a.Protocol != statusUnknownRole || p.flaws[0] != gateway.BadRole {
		t.Errorf("unknown role: %+v, flaws %v", a, p.flaws)
	}
	if p.err != nil {
		t.Error(p.err)
	}
}

// TestMemory has more come in than all sessions together may hold, and finds room again after answers and
// after connections that ended.
func TestMemory(t *testing.T) {
	protocol := New(Limits{Requests: 4, Params: 1000, Body: 100, Memory: 600})
	first, second := newPeer(t), newPeer(t)
	first.session, second.session = protocol(first, first), protocol(second, second)
	first.feed(lookup(strings.Repeat("b", 100)).Records(1), lookup(strings.Repeat("b", 100)).Records(2))
	second.feed(lookup(strings.Repeat("b", 100)).Records(1), lookup(strings.Repeat("b", 100)).Records(2))
	if len(first.got) != 2 || len(second.answers) != 2 || second.answers[0].Protocol != statusOverloaded || second.flaws[0] != gateway.TooMany {
		t.Fatalf("handed over %d and %d, answers %+v", len(first.got), len(second.got), second.answers)
	}
	first.answer(1, gateway.Answer{Status: 200})
	first.session.Close()
	second.feed(lookup(strings.Repeat("b", 100)).Records(1), lookup(strings.Repeat("b", 100)).Records(2))
	if len(second.got) != 2 {
		t.Errorf("%d handed over after there was room again", len(second.got))
	}
}

// TestNoKeep ends the connection after the answer to a request that did not ask to keep it.
func TestNoKeep(t *testing.T) {
	p := newPeer(t)
	p.feed(lookup("kept").Records(1))
	last := lookup("last").Records(2)
	last[8+2] = 0 // the flags of BEGIN_REQUEST
	p.feed(last)
	p.answer(2, gateway.Answer{Status: 200})
	if p.session.Finished() {
		t.Error("finished while a request is open")
	}
	p.feed(lookup("too late").Records(3))
	p.answer(1, gateway.Answer{Status: 200})
	if !p.session.Finished() || len(p.got) != 0 {
		t.Errorf("finished %t, handed over %v", p.session.Finished(), p.got)
	}
}
