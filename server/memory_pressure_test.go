package server

import (
	"testing"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
)

// incompleteEnded returns the number of incomplete requests that a server has ended for lack of memory, after it has read
// everything that was written to it before the call.
func incompleteEnded(s *Server) (n uint64) {
	waitRound(s)
	onLoop(s, func() { n = s.counters.incompleteEnded })
	return n
}

// serveReserve has the first reservation of a server run with the result "done", and returns the connection on which it was
// sent.
func serveReserve(t *testing.T, s *Server, it *servertest.Interpreter) *servertest.Gateway {
	t.Helper()
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(fake.NewReserve(7, "x").Encode(1))
	it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("done"))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Fatalf("answer to the first attempt %+v, want status 200", a)
	}
	return g
}

// TestIncompleteRequestsDoNotRejectRanRequest guards against the rejection of a retry whose request has run, when clients
// that halt in the middle of their requests hold all memory for requests.
func TestIncompleteRequestsDoNotRejectRanRequest(t *testing.T) {
	s, it := startServer(t)
	g := serveReserve(t, s, it)
	servertest.FillRequestMemory(t, s.cfg.Listen.String(), func() uint64 { return incompleteEnded(s) })
	g.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(2))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the retry %+v, want status 200 and body done", a)
	}
	other := servertest.Dial(t, s.cfg.Listen.String())
	other.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(1))
	if a := other.WaitResponse(1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the retry on a new connection %+v, want status 200 and body done", a)
	}
}

// TestRequestOverLimitNotRejectedAfterRun guards against the rejection of a retry whose request has run, when its connection
// has as many open requests as allowed.
func TestRequestOverLimitNotRejectedAfterRun(t *testing.T) {
	s, it := startServer(t)
	g := serveReserve(t, s, it)
	for id := range uint16(MaxOpenRequests) {
		g.Write(fake.NewLookup("").Encode(id + 1))
	}
	it.WaitRuns(1 + MaxOpenRequests)
	g.Write(fake.NewReserve(7, "x").WithHeader("Attempt-Again", "1").Encode(MaxOpenRequests + 1))
	if a := g.WaitResponse(MaxOpenRequests + 1); a.Status != 200 || string(a.Body) != "done" {
		t.Errorf("answer to the retry %+v, want status 200 and body done", a)
	}
	g.Write(fake.NewReserve(8, "x").Encode(MaxOpenRequests + 2))
	if a := g.WaitResponse(MaxOpenRequests + 2); a.ProtocolStatus != 2 {
		t.Errorf("answer to a request that has not run %+v, want the protocol status for overload", a)
	}
}

// TestEndedRequestResetsRequestTimeout guards against the end of a gateway's connection as overdue after its incomplete
// request was ended for lack of memory: the connection waits for no request any more.
func TestEndedRequestResetsRequestTimeout(t *testing.T) {
	const requestMemory = 1 << 20 / requestMemoryDivisor
	it := servertest.NewInterpreter(t)
	it.FinishImmediately()
	s := startServerWithMemory(t, eventloop.Kernel{}, testSite(t), it, 1)
	g := servertest.Dial(t, s.cfg.Listen.String())
	servertest.WaitFor(t, "a healthy server", func() bool { return checkHealth(g, false) == 200 })
	g.Write(fake.EncodeIncomplete(2, MaxParamsBytes))
	waitRound(s)
	const size = MaxParamsBytes / 2
	for range requestMemory / size {
		servertest.Dial(t, s.cfg.Listen.String()).Write(fake.EncodeIncomplete(1, size))
	}
	if a := g.WaitResponse(2); a.Status != statusInternalError {
		t.Errorf("answer to the largest incomplete request %+v, want status 500", a)
	}
	onLoop(s, func() {
		for conn := range s.conns.all() {
			if conn.validRequests > 0 && conn.isOverdue(s.loop.Now().Add(requestTimeout)) {
				t.Error("the connection is overdue, although it has sent only complete and ended requests")
			}
		}
	})
}

// TestIncompleteRequestsYieldConnections guards against the end of new gateway connections without an answer while clients that
// have sent one complete request, and then halt in the middle of the next, hold all connections.
func TestIncompleteRequestsYieldConnections(t *testing.T) {
	s, it := startServer(t)
	it.FinishImmediately()
	for range s.conns.max {
		client := servertest.Dial(t, s.cfg.Listen.String())
		if checkHealth(client, false) != statusOK {
			t.Fatal("the health check of a client failed")
		}
		client.Write(fake.EncodeIncomplete(2, 100))
	}
	waitRound(s)
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(fake.NewLookup("x").Encode(1))
	if a, err := g.TryResponse(1); err != nil || a.Status != statusOK {
		t.Errorf("answer on a new connection %+v, error %v; want status 200", a, err)
	}
}

// TestCrowdDoesNotEvictUnreadConnection guards against the eviction of a gateway's connection before its first request was read,
// when many clients connect faster than the server reads.
func TestCrowdDoesNotEvictUnreadConnection(t *testing.T) {
	s, it := startServer(t)
	it.FinishImmediately()
	const crowd = 5 // times the size of the connection table
	gateways := make([]*servertest.Gateway, crowd)
	blocked, proceed := make(chan bool), make(chan bool)
	s.loop.Post(func() { // all connections wait to be accepted in the same round
		close(blocked)
		<-proceed
	})
	<-blocked
	for i := range gateways {
		for range s.conns.max {
			client := servertest.Dial(t, s.cfg.Listen.String())
			client.Write(fake.EncodeIncomplete(1, MaxParamsBytes), fake.EncodeIncomplete(2, MaxParamsBytes))
		}
		gateways[i] = servertest.Dial(t, s.cfg.Listen.String())
		gateways[i].Write(fake.NewLookup("x").Encode(1))
	}
	close(proceed)
	for i, g := range gateways {
		if a, err := g.TryResponse(1); err != nil || a.Status != statusOK {
			t.Errorf("gateway %d: answer %+v, error %v; want status 200", i, a, err)
		}
	}
}
