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

// encodings returns legal encodings of one request on a stream, by name. They differ in how they split it into records.
func encodings(r fake.Request, id uint16) map[string][]byte {
	params := r.EncodeParams()
	begin := fake.EncodeBeginRequest(id, 1, true)
	record := func(kind byte, content []byte, padding byte) []byte {
		return fake.EncodeRecord(kind, id, content, padding)
	}
	split := func(kind byte, content []byte, size int, padding byte) (b []byte) {
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
	var longLengths []byte // each length in four bytes
	for p := params; len(p) > 0; {
		var n [2]int
		for i := range n {
			if p[0] < 128 {
				n[i], p = int(p[0]), p[1:]
			} else {
				n[i], p = int(binary.BigEndian.Uint32(p)&^(1<<31)), p[4:]
			}
		}
		longLengths = append(longLengths, fake.EncodePair(string(p[:n[0]]), string(p[n[0]:n[0]+n[1]]), true)...)
		p = p[n[0]+n[1]:]
	}
	moreParams := join(params, fake.EncodePair("SERVER_PROTOCOL", "HTTP/1.1", false), fake.EncodePair("HTTP_X_MORE", "", true),
		fake.EncodePair("CONTENT_LENGTH", fmt.Sprint(len(r.Body)), false))
	return map[string][]byte{
		"plain":             r.Encode(id),
		"one-byte records":  join(begin, split(fake.Params, params, 1, 0), split(fake.Stdin, r.Body, 1, 0)),
		"padding of 255":    join(begin, split(fake.Params, params, 100, 255), split(fake.Stdin, r.Body, 3, 255)),
		"padded begin":      join(fake.EncodeRecord(fake.BeginRequest, id, begin[8:], 9), split(fake.Params, params, 7, 1), split(fake.Stdin, r.Body, 2, 2)),
		"four-byte lengths": join(begin, split(fake.Params, longLengths, 500, 0), split(fake.Stdin, r.Body, 500, 0)),
		"more parameters":   join(begin, split(fake.Params, moreParams, 33, 0), split(fake.Stdin, r.Body, 500, 0)),
		"body starts first": join(begin, record(fake.Stdin, r.Body[:3], 0), split(fake.Params, params, 500, 0), split(fake.Stdin, r.Body[3:], 500, 0)),
		"query in between":  join(begin, fake.EncodeRecord(fake.GetValues, 0, fake.EncodePair("FCGI_MAX_REQS", "", false), 0), split(fake.Params, params, 500, 0), split(fake.Stdin, r.Body, 500, 0)),
		"abort of another":  join(begin, fake.EncodeRecord(fake.AbortRequest, id+1000, nil, 0), split(fake.Params, params, 500, 0), split(fake.Stdin, r.Body, 500, 0)),
		"data stream":       join(begin, split(fake.Params, params, 500, 0), split(8, []byte("file"), 500, 0), split(fake.Stdin, r.Body, 500, 0)),
	}
}

// TestFragmentedRequests writes requests in every encoding. Each is cut in two at every byte, with a read of the server
// in between, and one is written byte by byte. All are run with the body as sent, and answered.
func TestFragmentedRequests(t *testing.T) {
	s, it := startServer(t)
	it.FinishImmediately()
	n := uint16(0)
	roundTrip := func(g *servertest.Gateway, encoding string, pieces func(text []byte) [][]byte) {
		t.Helper()
		n++
		body := fmt.Sprintf("body %d", n)
		for i, p := range pieces(encodings(fake.NewLookup(body), n)[encoding]) {
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
				t.Fatalf("%s, request %d: %+v", encoding, n, a)
			}
			return
		}
	}
	for encoding := range encodings(fake.NewLookup("body"), 1) {
		t.Run(strings.ReplaceAll(encoding, " ", "-"), func(t *testing.T) {
			g := servertest.Dial(t, s.cfg.Listen.String())
			encoded := encodings(fake.NewLookup("body 10000"), 10000)[encoding]
			stride := max(len(encoded)/400, 1) // encodings of many records are long and repetitive
			for cut := 1; cut < len(encoded)-40; cut += stride {
				roundTrip(g, encoding, func(b []byte) [][]byte {
					at := min(cut, len(b)-1)
					return [][]byte{b[:at], b[at:]}
				})
			}
			roundTrip(g, encoding, func(b []byte) (pieces [][]byte) {
				for i := range b {
					pieces = append(pieces, b[i:i+1])
				}
				return pieces
			})
		})
	}
}

// TestFragmentedNotices cuts notices of the interpreter in two at every byte, in every form that JSON allows. All are
// understood, and no request is left waiting.
func TestFragmentedNotices(t *testing.T) {
	for form, notice := range map[string]string{
		"plain":          `{"op":"VALUE","seq":%d,"id":"a1","end":"OK","ms":1.5,"body":"eA=="}` + "\n",
		"another order":  `{"body":"eA==","ms":2,"end":"OK","id":"a1","seq":%d,"op":"VALUE"}` + "\n",
		"white space":    " \t{ \"op\" : \"VALUE\" ,\t\"seq\" : %d , \"id\":\"a1\" , \"end\" : \"OK\", \"ms\":1e0,\"body\" : \"eA==\" } \r\n\n\r\n",
		"escapes":        `{"\u006fp":"V\u0041LUE","seq":%d.0,"id":"\u00611","end":"O\u004b","ms":0,"body":"eA\u003d\u003d"}` + "\n",
		"unknown fields": `{"op":"VALUE","more":{"op":"BANNER","of":[1,"}",null]},"seq":%d,"id":"a1","end":"OK","ms":1,"body":"eA==","tag":null,"values":[]}` + "\n",
		"a trace before": `{"op":"TRACE","seq":0,"end":"a remark with \"quotes\" and {braces}"}` + "\n" + `{"op":"VALUE","seq":%d,"id":"a1","end":"OK","ms":1,"body":"eA=="}` + "\n",
	} {
		t.Run(strings.ReplaceAll(form, " ", "-"), func(t *testing.T) {
			for cut := range len(notice) {
				e := &runCounter{}
				link := interpreter.NewLink(e)
				link.Connected(func(p []byte) {}, time.Now())
				feed := func(text string) {
					if err := link.Feed([]byte(text)); err != nil {
						t.Fatalf("cut at %d: %v", cut, err)
					}
				}
				feed(`{"op":"BANNER","end":"WARM","ms":1}` + "\n" + `{"op":"TOPS","tag":"1","values":[0,0,0,0]}` + "\n")
				link.Submit("a1", "part-lookup", []byte("x"))
				text := fmt.Sprintf(notice, 1)
				at := min(cut, len(text))
				feed(text[:at])
				feed(text[at:])
				feed(text) // the same notice number again
				if e.ended != 1 || e.result != "x" {
					t.Fatalf("cut at %d: run ended %d times with %q, want once with x", cut, e.ended, e.result)
				}
			}
		})
	}
}

// runCounter counts the ends of runs and keeps the last result.
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
