package fastcgi

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/fake"
	"tillerusher/internal/gateway"
)

// newTestGateways returns gateways whose sessions share one memory limit.
func newTestGateways(t testingT, n int, limits Limits) []*testGateway {
	protocol := NewProtocol(limits)
	gateways := make([]*testGateway, n)
	for i := range gateways {
		gateways[i] = newTestGateway(t)
		gateways[i].session = protocol(gateways[i], gateways[i])
	}
	return gateways
}

// TestTotalBytesLimit sends complete requests that use more than their share of Limits.TotalBytes, over two sessions.
// Those above the share must be received and marked, so that the handler can look them up before it rejects them.
// Responses and the end of a connection must free memory for new requests.
func TestTotalBytesLimit(t *testing.T) {
	const body = 100
	gateways := newTestGateways(t, 2, Limits{OpenRequests: 8, ParamBytes: 1000, BodyBytes: body, TotalBytes: 1100}) // share: 825
	first, second := gateways[0], gateways[1]
	encoded := func(id uint16) []byte { return newLookupRequest(strings.Repeat("b", body)).Encode(id) }
	for id := range uint16(8) {
		first.feed(encoded(id + 1))
	}
	second.feed(encoded(1), encoded(2))
	if len(first.received) != 8 || len(first.responses) != 0 {
		t.Fatalf("%d requests received, want 8; responses %+v", len(first.received), first.responses)
	}
	if len(second.received) != 0 || len(second.responses) != 2 || second.responses[0].ProtocolStatus != statusOverloaded ||
		second.reasons[0] != gateway.TooManyRequests {
		t.Fatalf("%d requests received above the share, want 0; responses %+v, reasons %v", len(second.received), second.responses, second.reasons)
	}
	first.respond(1, gateway.Response{Status: 200})
	second.feed(encoded(1))
	if len(second.received) != 1 {
		t.Errorf("%d requests received after a response freed memory, want 1", len(second.received))
	}
	first.session.Close()
	second.feed(encoded(2), encoded(3), encoded(4))
	if len(second.received) != 4 {
		t.Errorf("%d requests received after the end of a connection freed memory, want 4", len(second.received))
	}
}

// TestIncompleteRequestsYieldMemory guards against the rejection of a gateway's request while clients that do not complete
// theirs hold all memory. The largest incomplete request must be ended, without a promise that it never ran.
func TestIncompleteRequestsYieldMemory(t *testing.T) {
	gateways := newTestGateways(t, 3, Limits{OpenRequests: 4, ParamBytes: 1000, BodyBytes: 100, TotalBytes: 2000})
	large, small, g := gateways[0], gateways[1], gateways[2]
	large.feed(fake.EncodeIncomplete(1, 700), fake.EncodeIncomplete(2, 800))
	small.feed(fake.EncodeIncomplete(1, 500))
	g.feed(newLookupRequest("body").Encode(1))
	if string(g.received[1].Body) != "body" {
		t.Errorf("the handler did not receive the request; responses %+v, reasons %v", g.responses, g.reasons)
	}
	if len(large.responses) != 1 || large.responses[0].ID != 2 || large.responses[0].Status != 500 {
		t.Errorf("responses on the connection with the most memory %+v, want one with status 500 to request 2", large.responses)
	}
	if len(small.responses) != 0 {
		t.Errorf("responses on the other connection %+v, want none", small.responses)
	}
	large.feed(fake.EncodeIncomplete(3, 1000))
	if len(large.responses) != 2 || large.responses[1].ID != 3 || large.responses[1].Status != 500 || len(small.responses) != 0 {
		t.Errorf("responses %+v and %+v, want that the connection with the most memory gets no more", large.responses, small.responses)
	}
}

// TestRandomMemory checks the account of memory after random steps of several sessions. A session whose incomplete requests
// use less than an equal share of what complete requests leave must keep them.
func TestRandomMemory(t *testing.T) {
	limits := Limits{OpenRequests: 3, ParamBytes: 400, BodyBytes: 100, TotalBytes: 1600}
	rapid.Check(t, func(t *rapid.T) {
		gateways := newTestGateways(t, 4, limits)
		memory := &gateways[0].session.(*Session).shared.memory
		draw := func(t *rapid.T) (*testGateway, *Session, uint16) {
			g := rapid.SampledFrom(gateways).Draw(t, "gateway")
			return g, g.session.(*Session), rapid.Uint16Range(1, 3).Draw(t, "id")
		}
		share := func() int { return (limits.TotalBytes - memory.completeBytes) / len(gateways) }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				g, s, id := draw(t)
				if s.open[id] == nil {
					g.feed(fake.EncodeBeginRequest(id, 1, true))
				}
			},
			"params": func(t *rapid.T) {
				g, s, id := draw(t)
				n := rapid.IntRange(1, 200).Draw(t, "bytes")
				req := s.open[id]
				isSafe := req != nil && !req.isComplete && req.reservedBytes+n <= limits.ParamBytes && s.incompleteMemory.Bytes()+n <= share()
				g.feed(fake.EncodeRecord(fake.Params, id, make([]byte, n), 0))
				if isSafe && s.open[id] != req {
					t.Fatalf("a session was refused %d bytes, with %d bytes of incomplete requests", n, s.incompleteMemory.Bytes())
				}
			},
			"complete": func(t *rapid.T) {
				g, s, id := draw(t)
				if s.open[id] == nil {
					g.feed(newLookupRequest(strings.Repeat("b", rapid.IntRange(0, 100).Draw(t, "body"))).Encode(id))
				}
			},
			"abort": func(t *rapid.T) {
				g, _, id := draw(t)
				g.feed(fake.EncodeRecord(fake.AbortRequest, id, nil, 0))
			},
			"respond": func(t *rapid.T) {
				g, s, id := draw(t)
				s.Respond(gateway.StreamID(id), gateway.Response{Status: 200})
				delete(g.received, gateway.StreamID(id))
			},
			"": func(t *rapid.T) { checkMemory(t, gateways, memory) },
		})
		for _, g := range gateways {
			g.session.Close()
		}
		if memory.used() != 0 || memory.completeBytes != 0 || memory.incomplete.Owners() != 0 {
			t.Fatalf("after all connections ended: %d bytes used, %d of complete requests, %d sessions with incomplete ones", memory.used(),
				memory.completeBytes, memory.incomplete.Owners())
		}
	})
}

// checkMemory compares the account of memory with the open requests.
func checkMemory(t *rapid.T, gateways []*testGateway, memory *requestMemory) {
	used, complete, reading := 0, 0, 0
	for _, g := range gateways {
		s := g.session.(*Session)
		incomplete := 0
		for _, req := range s.open {
			if req.isComplete {
				complete += req.reservedBytes
			} else {
				incomplete += req.reservedBytes
			}
		}
		if got := s.incompleteMemory.Bytes(); got != incomplete {
			t.Fatalf("the session has %d bytes of incomplete requests in its account, want %d", got, incomplete)
		}
		if incomplete > 0 {
			reading++
		}
		used += incomplete
	}
	used += complete
	if memory.used() != used || memory.completeBytes != complete || memory.incomplete.Owners() != reading || used > memory.limit {
		t.Fatalf("%d bytes used, %d of complete requests, %d sessions with incomplete ones; want %d, %d, %d, and %d bytes at most", memory.used(),
			memory.completeBytes, memory.incomplete.Owners(), used, complete, reading, memory.limit)
	}
}

// TestEndedForMemoryKeepsSession guards against the end of a session after many requests that were ended for lack of memory,
// written one by one or interleaved: the rest of their records must be skipped without an error.
func TestEndedForMemoryKeepsSession(t *testing.T) {
	const open, body = 32, 2000
	g := newTestGateways(t, 1, Limits{OpenRequests: open, ParamBytes: 1000, BodyBytes: body, TotalBytes: 10})[0]
	r := newLookupRequest(strings.Repeat("b", body))
	for id := range uint16(2 * open) {
		g.feed(r.Encode(id + 1))
	}
	for id := range uint16(open) {
		g.feed(r.Encode(id + 1)[:16])
	}
	for id := range uint16(open) {
		g.feed(r.Encode(id + 1)[16:])
	}
	if g.err != nil || len(g.responses) != 3*open {
		t.Errorf("%d responses, error %v; want %d responses and no error", len(g.responses), g.err, 3*open)
	}
	endless := fake.EncodeRecord(fake.Stdin, 1, make([]byte, maxContent), 0)
	for range 2*open + 1 {
		g.feed(endless)
		if g.err != nil {
			return
		}
	}
	t.Error("an endless body after the requests was accepted")
}
