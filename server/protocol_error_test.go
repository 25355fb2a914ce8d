package server

import (
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// TestEndedRequestsKeepConnection guards against the loss of a running request because many other requests of its connection
// were ended before their last byte: skipping the rest of these must not end the connection.
func TestEndedRequestsKeepConnection(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(fake.NewLookup("runs").Encode(1))
	run := it.WaitRuns(1)[0].ID
	tooLong := fake.NewLookup(strings.Repeat("b", maxBodyBytes)).WithHeader("X", strings.Repeat("x", MaxParamsBytes))
	const ended = 100 // their bodies have 200 KB, more than minSkipAllowance of package fastcgi
	for range ended {
		g.Write(tooLong.Encode(2))
		if a := g.WaitResponse(2); a.Status != statusTooLarge {
			t.Fatalf("answer to a request with long parameters %+v, want status 413", a)
		}
	}
	it.EndRun(run, "OK", []byte("done"))
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the running request %+v, want status 200 and body done", a)
	}
}

// TestOpenRequestsAnsweredAfterProtocolError guards against the loss of requests that were read before the input of their
// connection became invalid. Requests after that are not run.
func TestOpenRequestsAnsweredAfterProtocolError(t *testing.T) {
	for name, invalid := range map[string][]byte{
		"not FastCGI":      []byte("GET / HTTP/1.1\r\n\r\n"),
		"ID in use":        fake.NewLookup("same ID").Encode(1),
		"endless body":     endlessBody(3),
		"skipped contents": fake.EncodeRecord(fake.Stdin, 9, make([]byte, 65000), 0),
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			s, it := startServer(t)
			g := servertest.Dial(t, s.cfg.Listen.String())
			g.Write(fake.NewLookup("runs").Encode(1), fake.NewReserve(7, "runs").Encode(2))
			runs := it.WaitRuns(2)
			for protocolErrors(s) == 0 {
				g.Write(invalid)
				waitRound(s)
			}
			g.Write(fake.NewLookup("too late").Encode(4))
			waitRound(s)
			for _, run := range runs {
				it.EndRun(run.ID, "OK", []byte("done"))
			}
			for range runs {
				a := g.WaitResponse(0)
				if a.ID == 3 { // the request with the endless body
					a = g.WaitResponse(0)
				}
				if a.ID > 2 || a.Status != 200 || string(a.Body) != "done" {
					t.Errorf("answer %+v, want status 200 and body done for request 1 or 2", a)
				}
			}
			g.WaitClosed()
			if runs := it.StartedRuns(); len(runs) != 2 {
				t.Errorf("runs %v, want none of the request after the invalid input", runs)
			}
		})
	}
}

// endlessBody returns the beginning of a request and a part of its body that is over the limit.
func endlessBody(id uint16) []byte {
	b := fake.EncodeBeginRequest(id, 1, true)
	b = append(b, fake.EncodeRecord(fake.Params, id, fake.NewLookup("").EncodeParams(), 0)...)
	b = append(b, fake.EncodeRecord(fake.Params, id, nil, 0)...)
	for range 3 {
		b = append(b, fake.EncodeRecord(fake.Stdin, id, make([]byte, 60000), 0)...)
	}
	return b
}

// protocolErrors returns the number of connections whose input was invalid.
func protocolErrors(s *Server) (n uint64) {
	onLoop(s, func() { n = s.conns.counters.protocolErrors })
	return n
}
