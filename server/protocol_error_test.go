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
	const ended = 100 // their bodies have 200 KB, more than may be skipped at once
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
