package fastcgi

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// modelRequest is what the model knows of an open request.
type modelRequest struct {
	body       []byte
	paramsDone bool
	handed     bool
}

// model is the state that a connection should be in, next to the one that it is in.
type model struct {
	*peer
	open    map[uint16]*modelRequest
	answers int // that the gateway should have read
	aborts  int // that the handler should have heard of
}

// send feeds a record in pieces of any size.
func (m *model) send(t *rapid.T, b []byte) {
	for len(b) > 0 {
		n := rapid.IntRange(1, len(b)).Draw(t, "piece")
		m.feed(b[:n])
		if m.err != nil {
			t.Fatal(m.err)
		}
		b = b[n:]
	}
}

// id draws an id, of which a few are in use again and again.
func id(t *rapid.T) uint16 { return rapid.Uint16Range(1, 6).Draw(t, "id") }

// padding draws the padding of a record.
func padding(t *rapid.T) byte { return rapid.SampledFrom([]byte{0, 0, 1, 7, 255}).Draw(t, "padding") }

// TestModel checks random steps of a gateway and a handler against the model.
func TestModel(t *testing.T) {
	list := lookup("").EncodeParams()
	rapid.Check(t, func(t *rapid.T) {
		m := &model{peer: newPeer(t), open: map[uint16]*modelRequest{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := id(t)
				if m.open[id] != nil {
					t.Skip("a second begin breaks the stream")
				}
				role := rapid.SampledFrom([]uint16{1, 1, 1, 3}).Draw(t, "role")
				m.send(t, fake.EncodeBeginRequest(id, role, true))
				if role != 1 || len(m.open) == testLimits.OpenRequests {
					m.answers++
				} else {
					m.open[id] = &modelRequest{}
				}
			},
			"params": func(t *rapid.T) {
				id := id(t)
				cut := rapid.IntRange(1, len(list)-1).Draw(t, "cut")
				m.send(t, fake.EncodeRecord(fake.Params, id, list[:cut], padding(t)))
				m.send(t, fake.EncodeRecord(fake.Params, id, list[cut:], padding(t)))
				m.send(t, fake.EncodeRecord(fake.Params, id, nil, padding(t)))
				if q := m.open[id]; q != nil {
					q.paramsDone = true
				}
			},
			"body": func(t *rapid.T) {
				id, part := id(t), rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "part")
				m.send(t, fake.EncodeRecord(fake.Stdin, id, part, padding(t)))
				if q := m.open[id]; q != nil && !q.handed {
					if q.body = append(q.body, part...); len(q.body) > testLimits.BodyBytes {
						delete(m.open, id) // answered at once
						m.answers++
					}
				}
			},
			"last": func(t *rapid.T) {
				id := id(t)
				m.send(t, fake.EncodeRecord(fake.Stdin, id, nil, padding(t)))
				q := m.open[id]
				switch {
				case q == nil || q.handed:
				case !q.paramsDone:
					delete(m.open, id)
					m.answers++
				default:
					q.handed = true
					if got := m.got[gateway.StreamID(id)]; !bytes.Equal(got.Body, q.body) || got.Headers["sent-by"] != "4" {
						t.Fatalf("handed over %+v, want the body %q", got, q.body)
					}
				}
			},
			"abort": func(t *rapid.T) {
				id := id(t)
				m.send(t, fake.EncodeRecord(fake.AbortRequest, id, nil, padding(t)))
				switch q := m.open[id]; {
				case q == nil:
				case q.handed:
					m.aborts++
				default:
					delete(m.open, id)
					m.answers++
				}
			},
			"answer": func(t *rapid.T) {
				id := id(t)
				m.session.Respond(gateway.StreamID(id), gateway.Response{Status: 200, Body: []byte{byte(id)},
					Overloaded: rapid.Bool().Draw(t, "overloaded")})
				if q := m.open[id]; q != nil && q.handed {
					delete(m.open, id)
					delete(m.got, gateway.StreamID(id))
					m.answers++
				}
			},
			"manage": func(t *rapid.T) {
				kind := rapid.SampledFrom([]byte{fake.GetValues, 50}).Draw(t, "kind")
				m.send(t, fake.EncodeRecord(kind, 0, fake.EncodePair("FCGI_MAX_REQS", "", false), padding(t)))
				m.answers++
			},
			"": func(t *rapid.T) {
				handed := 0
				for _, q := range m.open {
					if q.handed {
						handed++
					}
				}
				if m.session.HasPartialInput() != (handed < len(m.open)) {
					t.Fatalf("unfinished %t, %d of %d handed over", m.session.HasPartialInput(), handed, len(m.open))
				}
				if len(m.peer.answers) != m.answers || m.session.OpenRequests() != len(m.open) || len(m.got) != handed || len(m.aborted) != m.aborts {
					t.Fatalf("%d answers, %d open, %d handed over, %d aborts; want %d, %d, %d, %d", len(m.peer.answers),
						m.session.OpenRequests(), len(m.got), len(m.aborted), m.answers, len(m.open), handed, m.aborts)
				}
			},
		})
	})
}

// FuzzFeed makes sure that no bytes of a gateway panic, and that the split of a stream changes nothing.
func FuzzFeed(f *testing.F) {
	f.Add(lookup("body").Encode(1), 9)
	f.Add(append(fake.EncodeBeginRequest(2, 1, false), fake.EncodeRecord(fake.AbortRequest, 2, nil, 9)...), 17)
	f.Add(fake.EncodeRecord(fake.GetValues, 0, fake.EncodePair("FCGI_MAX_REQS", "", true), 1), 3)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		whole, split := newPeer(t), newPeer(t)
		whole.feed(stream)
		cut = min(max(cut, 0), len(stream))
		split.feed(stream[:cut])
		if split.err == nil {
			split.feed(stream[cut:])
		}
		if (whole.err == nil) != (split.err == nil) || len(whole.answers) != len(split.answers) || len(whole.got) != len(split.got) {
			t.Errorf("whole: %v, %d answers, %d handed over; cut at %d: %v, %d, %d", whole.err, len(whole.answers),
				len(whole.got), cut, split.err, len(split.answers), len(split.got))
		}
	})
}
