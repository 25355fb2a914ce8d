package router

import (
	"testing"

	"tillerusher/internal/servertest"
)

// TestIncompleteRequestsDoNotRejectRanRequest guards against the rejection of a retry whose request a member has run, when
// clients that halt in the middle of their requests hold all memory for requests. A large body must still be forwarded.
func TestIncompleteRequestsDoNotRejectRanRequest(t *testing.T) {
	member := startMember(t, "a")
	r, g := startRouter(t, parseRoutes(t, twoMemberRoutes, member, startMember(t, "b")))
	booking := newRequest("/book", "w").WithHeader("Once-Key", "k1")
	g.Write(booking.Encode(1))
	first := g.WaitResponse(1)
	if first.Status != 200 {
		t.Fatalf("response to the first attempt %+v, want status 200", first)
	}
	servertest.FillRequestMemory(t, listenAddr(r), func() uint64 {
		onLoop(r, func() {}) // the router reads in this round what was written before
		return counter(t, r, "incomplete_ended")
	})
	g.Write(booking.WithHeader("Attempt-Again", "1").Encode(2))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != string(first.Body) {
		t.Errorf("response to the retry %+v, want status 200 and body %q", a, first.Body)
	}
	large := newRequest("/large", string(make([]byte, 300<<10)))
	g.Write(large.Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 {
		t.Errorf("response to a large request %+v, want status 200", a)
	}
}

// TestOpenRequestsAnsweredAfterProtocolError guards against the loss of a request that a member runs, because the input of
// its connection became invalid after it.
func TestOpenRequestsAnsweredAfterProtocolError(t *testing.T) {
	member := startMember(t, "a")
	received, proceed := make(chan bool, 1), make(chan bool)
	member.OnRequest(func(map[string]string) {
		received <- true
		<-proceed
	})
	r, g := startRouter(t, parseRoutes(t, `(class web (aim 1s) (deadline 30s)) (pool app (member @A))
(server (listen 0.0.0.0:0) (location prefix / (pool app) (class web)))`, member))
	g.Write(newRequest("/x", "w").Encode(1))
	<-received
	g.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	servertest.WaitFor(t, "the protocol error", func() bool { return counter(t, r, "protocol_errors") == 1 })
	close(proceed)
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("response to the open request %+v, want status 200", a)
	}
	g.WaitClosed()
}
