package server

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/interpreter"
	"tillerusher/internal/servertest"
)

// encodings are legal encodings of one request on a stream, each in records of its own.
func encodings(r fake.Request, id uint16) map[string][]byte {
	params := r.EncodeParams()
	begin := fake.EncodeBeginRequest(id, 1, true)
	record := func(kind byte, content []byte, padding byte) []byte {
		return fake.EncodeRecord(kind, id, content, padding)
	}
	chop := func(kind byte, content []byte, size int, padding byte) (b []byte) {
		for len(content) > 0 {
			n := min(size, len(content))
			b = append(b, record(kind, content[:n], padding)...)
			content = content[n:]
		}
		return append(b, record(kind, nil, padding)...)
	}
	join := func(parts ...[]byte) (b []byte) {
		for _, p := range parts {
			b = append(b, p...)
		}
		return b
	}
	var long []byte // each length in four bytes
	for p := params; len(p) > 0; {
		var n [2]int
		for i := range n {
			if p[0] < 128 {
				n[i], p = int(p[0]), p[1:]
			} else {
				n[i], p = int(binary.BigEndian.Uint32(p)&^(1<<31)), p[4:]
			}
		}
		long = append(long, fake.EncodePair(string(p[:n[0]]), string(p[n[0]:n[0]+n[1]]), true)...)
		p = p[n[0]+n[1]:]
	}
	more := join(params, fake.EncodePair("SERVER_PROTOCOL", "HTTP/1.1", false), fake.EncodePair("HTTP_X_MORE", "", true),
		fake.EncodePair("CONTENT_LENGTH", fmt.Sprint(len(r.Body)), false))
	return map[string][]byte{
		"plain":                r.Encode(id),
		"a byte a record":      join(begin, chop(fake.Params, params, 1, 0), chop(fake.Stdin, r.Body, 1, 0)),
		"padding of 255":       join(begin, chop(fake.Params, params, 100, 255), chop(fake.Stdin, r.Body, 3, 255)),
		"padding on the begin": join(fake.EncodeRecord(fake.BeginRequest, id, begin[8:], 9), chop(fake.Params, params, 7, 1), chop(fake.Stdin, r.Body, 2, 2)),
		"long lengths":         join(begin, chop(fake.Params, long, 500, 0), chop(fake.Stdin, r.Body, 500, 0)),
		"more parameters":      join(begin, chop(fake.Params, more, 33, 0), chop(fake.Stdin, r.Body, 500, 0)),
		"the body first":       join(begin, record(fake.Stdin, r.Body[:3], 0), chop(fake.Params, params, 500, 0), chop(fake.Stdin, r.Body[3:], 500, 0)),
		"a question between":   join(begin, fake.EncodeRecord(fake.GetValues, 0, fake.EncodePair("FCGI_MAX_REQS", "", false), 0), chop(fake.Params, params, 500, 0), chop(fake.Stdin, r.Body, 500, 0)),
		"an abort of another":  join(begin, fake.EncodeRecord(fake.AbortRequest, id+1000, nil, 0), chop(fake.Params, params, 500, 0), chop(fake.Stdin, r.Body, 500, 0)),
		"data on the side":     join(begin, chop(fake.Params, params, 500, 0), chop(8, []byte("file"), 500, 0), chop(fake.Stdin, r.Body, 500, 0)),
	}
}

// TestFragmentedRequests writes requests in every encoding, each cut in two at every byte with the server reading in
// between, and one byte by byte: all are run with the body as it was sent, and answered.
func TestFragmentedRequests(t *testing.T) {
	s, it := startServer(t)
	it.FinishImmediately()
	n := uint16(0)
	ask := func(g *servertest.Gateway, what string, pieces func(text []byte) [][]byte) {
		t.Helper()
		n++
		body := fmt.Sprintf("body %d", n)
		for i, p := range pieces(encodings(fake.NewLookup(body), n)[what]) {
			if i > 0 {
				waitRound(s)
			}
			g.Write(p)
		}
		for {
			a := g.WaitResponse(0)
			if a.RecordType == fake.GetValuesResult {
				continue
			}
			if a.ID != n || a.Status != 200 || string(a.Body) != "["+body+"]" {
				t.Fatalf("%s, request %d: %+v", what, n, a)
			}
			return
		}
	}
	for what := range encodings(fake.NewLookup("body"), 1) {
		t.Run(strings.ReplaceAll(what, " ", "-"), func(t *testing.T) {
			g := servertest.Dial(t, s.cfg.Listen.String())
			whole := encodings(fake.NewLookup("body 10000"), 10000)[what]
			stride := max(len(whole)/400, 1) // encodings of many records are long and repetitive
			for cut := 1; cut < len(whole)-40; cut += stride {
				ask(g, what, func(b []byte) [][]byte {
					at := min(cut, len(b)-1)
					return [][]byte{b[:at], b[at:]}
				})
			}
			ask(g, what, func(b []byte) (pieces [][]byte) {
				for i := range b {
					pieces = append(pieces, b[i:i+1])
				}
				return pieces
			})
		})
	}
}

// TestFragmentedNotices cuts the interpreter's notices at every byte, in every form that JSON has for them: all are
// understood, and no request waits.
func TestFragmentedNotices(t *testing.T) {
	for what, notice := range map[string]string{
		"plain":           `{"op":"VALUE","seq":%d,"id":"a1","end":"OK","ms":1.5,"body":"eA=="}` + "\n",
		"another order":   `{"body":"eA==","ms":2,"end":"OK","id":"a1","seq":%d,"op":"VALUE"}` + "\n",
		"white space":     " \t{ \"op\" : \"VALUE\" ,\t\"seq\" : %d , \"id\":\"a1\" , \"end\" : \"OK\", \"ms\":1e0,\"body\" : \"eA==\" } \r\n\n\r\n",
		"escapes":         `{"\u006fp":"V\u0041LUE","seq":%d.0,"id":"\u00611","end":"O\u004b","ms":0,"body":"eA\u003d\u003d"}` + "\n",
		"unknown fields":  `{"op":"VALUE","more":{"op":"BANNER","of":[1,"}",null]},"seq":%d,"id":"a1","end":"OK","ms":1,"body":"eA==","tag":null,"values":[]}` + "\n",
		"a remark before": `{"op":"TRACE","seq":0,"end":"a remark with \"quotes\" and {braces}"}` + "\n" + `{"op":"VALUE","seq":%d,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\n",
	} {
		t.Run(strings.ReplaceAll(what, " ", "-"), func(t *testing.T) {
			for cut := range len(notice) {
				e := &runCounter{}
				link := interpreter.NewLink(e)
				link.Connected(func(p []byte) {}, time.Now())
				say := func(text string) {
					if err := link.Feed([]byte(text)); err != nil {
						t.Fatalf("cut at %d: %v", cut, err)
					}
				}
				say(`{"op":"BANNER","end":"WARM","ms":1}` + "\n" + `{"op":"TOPS","tag":"1","values":[0,0,0,0]}` + "\n")
				link.Submit("a1", "part-lookup", []byte("x"))
				text := fmt.Sprintf(notice, 1)
				at := min(cut, len(text))
				say(text[:at])
				say(text[at:])
				say(text) // twice under one number
				if e.ended != 1 || e.result != "x" {
					t.Fatalf("cut at %d: %d ends, %q", cut, e.ended, e.result)
				}
			}
		})
	}
}

// runCounter counts the ends of runs.
type runCounter struct {
	ended  int
	result string
}

func (e *runCounter) InterpreterStarted(bool, time.Duration) {}
func (e *runCounter) CallRequested(string)                   {}
func (e *runCounter) ReportError(string, error)              {}
func (e *runCounter) RunFinished(_ string, end interpreter.Outcome, result []byte) {
	if e.ended++; end == interpreter.OutcomeOK {
		e.result = string(result)
	}
}
