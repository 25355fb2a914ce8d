package fastcgi

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// expectedRequest is the expected state of an open request.
type expectedRequest struct {
	body         []byte
	hasAllParams bool
	isComplete   bool
}

// sessionModel is a session together with its expected state.
type sessionModel struct {
	*testGateway
	open      map[uint16]*expectedRequest
	responses int // number that the gateway should have received
	aborts    int // number that the handler should have received
}

// complete returns the number of complete open requests.
func (m *sessionModel) complete() (n int) {
	for _, request := range m.open {
		if request.isComplete {
			n++
		}
	}
	return n
}

// send feeds a record in pieces of random size.
func (m *sessionModel) send(t *rapid.T, b []byte) {
	for len(b) > 0 {
		n := rapid.IntRange(1, len(b)).Draw(t, "piece")
		m.feed(b[:n])
		if m.err != nil {
			t.Fatal(m.err)
		}
		b = b[n:]
	}
}

// drawID draws a request ID from a small range, so that IDs are reused.
func drawID(t *rapid.T) uint16 { return rapid.Uint16Range(1, 10).Draw(t, "id") }

// drawPadding draws the padding length of a record.
func drawPadding(t *rapid.T) byte {
	return rapid.SampledFrom([]byte{0, 0, 1, 7, 255}).Draw(t, "padding")
}

// TestRandomSessions checks random steps of a gateway and a handler against the model.
func TestRandomSessions(t *testing.T) {
	list := newLookupRequest("").EncodeParams()
	rapid.Check(t, func(t *rapid.T) {
		m := &sessionModel{testGateway: newTestGateway(t), open: map[uint16]*expectedRequest{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := drawID(t)
				if m.open[id] != nil {
					t.Skip("a second BEGIN_REQUEST is a protocol error")
				}
				role := rapid.SampledFrom([]uint16{1, 1, 1, 3}).Draw(t, "role")
				m.send(t, fake.EncodeBeginRequest(id, role, true))
				if role != 1 || len(m.open) == openRequestsFactor*testLimits.OpenRequests {
					m.responses++
				} else {
					m.open[id] = &expectedRequest{}
				}
			},
			"params": func(t *rapid.T) {
				id := drawID(t)
				cut := rapid.IntRange(1, len(list)-1).Draw(t, "cut")
				m.send(t, fake.EncodeRecord(fake.Params, id, list[:cut], drawPadding(t)))
				m.send(t, fake.EncodeRecord(fake.Params, id, list[cut:], drawPadding(t)))
				m.send(t, fake.EncodeRecord(fake.Params, id, nil, drawPadding(t)))
				if request := m.open[id]; request != nil {
					request.hasAllParams = true
				}
			},
			"body": func(t *rapid.T) {
				id, part := drawID(t), rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "part")
				m.send(t, fake.EncodeRecord(fake.Stdin, id, part, drawPadding(t)))
				if request := m.open[id]; request != nil && !request.isComplete {
					if request.body = append(request.body, part...); len(request.body) > testLimits.BodyBytes {
						delete(m.open, id) // rejected immediately
						m.responses++
					}
				}
			},
			"end body": func(t *rapid.T) {
				id := drawID(t)
				m.send(t, fake.EncodeRecord(fake.Stdin, id, nil, drawPadding(t)))
				request := m.open[id]
				switch {
				case request == nil || request.isComplete:
				case !request.hasAllParams, m.complete() == testLimits.OpenRequests:
					delete(m.open, id)
					m.responses++
				default:
					request.isComplete = true
					if got := m.received[gateway.StreamID(id)]; !bytes.Equal(got.Body, request.body) || got.Headers["sent-by"] != "4" {
						t.Fatalf("the handler received %+v, want the body %q", got, request.body)
					}
				}
			},
			"abort": func(t *rapid.T) {
				id := drawID(t)
				m.send(t, fake.EncodeRecord(fake.AbortRequest, id, nil, drawPadding(t)))
				switch request := m.open[id]; {
				case request == nil:
				case request.isComplete:
					m.aborts++
				default:
					delete(m.open, id)
					m.responses++
				}
			},
			"respond": func(t *rapid.T) {
				id := drawID(t)
				m.session.Respond(gateway.StreamID(id), gateway.Response{Status: 200, Body: []byte{byte(id)},
					Overloaded: rapid.Bool().Draw(t, "overloaded")})
				if request := m.open[id]; request != nil && request.isComplete {
					delete(m.open, id)
					delete(m.received, gateway.StreamID(id))
					m.responses++
				}
			},
			"management": func(t *rapid.T) {
				kind := rapid.SampledFrom([]byte{fake.GetValues, 50}).Draw(t, "kind")
				m.send(t, fake.EncodeRecord(kind, 0, fake.EncodePair("FCGI_MAX_REQS", "", false), drawPadding(t)))
				m.responses++
			},
			"": func(t *rapid.T) {
				complete := m.complete()
				if m.session.HasPartialInput() != (complete < len(m.open)) {
					t.Fatalf("HasPartialInput is %t with %d of %d open requests complete", m.session.HasPartialInput(), complete, len(m.open))
				}
				if len(m.testGateway.responses) != m.responses || m.session.OpenRequests() != len(m.open) || len(m.received) != complete || len(m.aborted) != m.aborts {
					t.Fatalf("%d responses, %d open requests, %d received by the handler, %d aborts; want %d, %d, %d, %d", len(m.testGateway.responses),
						m.session.OpenRequests(), len(m.received), len(m.aborted), m.responses, len(m.open), complete, m.aborts)
				}
			},
		})
	})
}

// FuzzFeed checks that a session does not panic for any input, and that splitting the input changes neither whether
// it is an error nor the numbers of responses and requests.
func FuzzFeed(f *testing.F) {
	f.Add(newLookupRequest("body").Encode(1), 9)
	f.Add(append(fake.EncodeBeginRequest(2, 1, false), fake.EncodeRecord(fake.AbortRequest, 2, nil, 9)...), 17)
	f.Add(fake.EncodeRecord(fake.GetValues, 0, fake.EncodePair("FCGI_MAX_REQS", "", true), 1), 3)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		whole, split := newTestGateway(t), newTestGateway(t)
		whole.feed(stream)
		cut = min(max(cut, 0), len(stream))
		split.feed(stream[:cut])
		if split.err == nil {
			split.feed(stream[cut:])
		}
		if (whole.err == nil) != (split.err == nil) || len(whole.responses) != len(split.responses) || len(whole.received) != len(split.received) {
			t.Errorf("unsplit: error %v, %d responses, %d requests received; split at %d: error %v, %d, %d", whole.err, len(whole.responses),
				len(whole.received), cut, split.err, len(split.responses), len(split.received))
		}
	})
}
