package server

import (
	"container/list"
	"iter"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
)

// gatewayConn is one connection of a gateway.
type gatewayConn struct {
	server          *Server
	element         *list.Element // among the server's connections
	conn            *eventloop.Conn
	session         gateway.Session
	attempts        map[gateway.StreamID]*attempt
	healthChecks    map[gateway.StreamID]bool // deep health checks under way
	incompleteSince time.Time                 // when what has not come whole was begun; zero = nothing
	validRequests   uint64                    // requests that came whole and made sense
}

// accept takes in a new connection, while descriptors are left for everything else.
func (s *Server) accept(c *eventloop.Conn) eventloop.ConnHandler {
	if s.conns.Len() >= s.cfg.Limits.Sockets-reservedSockets && !s.evictConn() {
		s.counters.connsRejected++
		return nil
	}
	s.counters.accepted++
	g := &gatewayConn{server: s, conn: c, attempts: map[gateway.StreamID]*attempt{}, healthChecks: map[gateway.StreamID]bool{}, incompleteSince: s.loop.Now()}
	g.session = s.protocol(c, g)
	g.element = s.conns.PushBack(g)
	return g
}

// connections are those of gateways in the order of accepting: what is done to several of them must not hang on chance, or a
// rehearsal could not be played again. The one that is handed on may end meanwhile.
func (s *Server) connections() iter.Seq[*gatewayConn] {
	return func(yield func(*gatewayConn) bool) {
		for e := s.conns.Front(); e != nil; {
			g := e.Value.(*gatewayConn)
			if e = e.Next(); !yield(g) {
				return
			}
		}
	}
}

// acceptError hears of a connection that could not be accepted.
func (s *Server) acceptError(err error) {
	s.counters.acceptErrors++
	s.log.Warn("accept failed", zap.Error(err))
}

// Connected implements loop.ConnHandler; gateways dial, not the server.
func (g *gatewayConn) Connected(*eventloop.Conn) {}

// Data implements loop.ConnHandler.
func (g *gatewayConn) Data(_ *eventloop.Conn, p []byte) {
	sound := g.validRequests
	if g.session.Feed(p) != nil {
		g.server.counters.protocolErrors++
		g.closeAfterSend()
		return
	}
	switch {
	case g.validRequests > 0 && !g.session.HasPartialInput():
		g.incompleteSince = time.Time{}
	case g.incompleteSince.IsZero() || g.validRequests != sound:
		g.incompleteSince = g.server.loop.Now()
	}
	g.closeIfFinished()
}

// closeAfterSend ends a connection from which nothing can be expected; answers that are on their way still go out.
func (g *gatewayConn) closeAfterSend() {
	g.abandonRequests()
	g.conn.CloseAfterFlush()
}

// close ends a connection now.
func (g *gatewayConn) close() {
	g.conn.Close()
	g.remove()
}

// closeIfFinished closes a connection that the gateway did not want kept, once its answer is sent.
func (g *gatewayConn) closeIfFinished() {
	if g.session.ShouldClose() {
		g.conn.CloseAfterFlush()
	}
}

// Closed implements loop.ConnHandler.
func (g *gatewayConn) Closed(*eventloop.Conn, error) { g.remove() }

// remove forgets a connection that is gone.
func (g *gatewayConn) remove() {
	g.server.conns.Remove(g.element)
	g.abandonRequests()
}

// abandonRequests forgets the requests of a connection: nobody waits for them any more.
func (g *gatewayConn) abandonRequests() {
	s := g.server
	g.session.Close()
	for _, t := range inArrivalOrder(g.attempts) {
		if t.isAnswered {
			continue // the end of one before it had the module answer it
		}
		s.counters.requestsLost++
		t.isAnswered = true
		now := s.moduleTime()
		s.module.Cancel(now, t.id)
		s.forget(t)
	}
	clear(g.attempts)
	clear(g.healthChecks)
}

// Request implements front.Handler.
func (g *gatewayConn) RequestReceived(_ gateway.Session, id gateway.StreamID, r gateway.Request) {
	g.server.handleRequest(g, id, r)
}

// Aborted implements front.Handler: the gateway wants no answer, but the protocol owes it an end.
func (g *gatewayConn) RequestAborted(_ gateway.Session, id gateway.StreamID) {
	s := g.server
	s.counters.aborted++
	if g.healthChecks[id] {
		delete(g.healthChecks, id)
		g.sendAnswer(id, gateway.Response{Status: statusInternalError})
		return
	}
	t := g.attempts[id]
	if t == nil {
		return
	}
	s.answer(t, gateway.Response{Status: statusInternalError})
	s.module.Cancel(s.moduleTime(), t.id)
	s.forget(t)
}

// Flawed implements front.Handler.
func (g *gatewayConn) RequestInvalid(_ gateway.Session, id gateway.StreamID, f gateway.RejectReason) {
	g.RequestRejected(f)
	a := gateway.Response{Status: statusBadRequest, Overloaded: f == gateway.TooManyRequests}
	if f == gateway.TooLarge {
		a.Status = statusTooLarge
	}
	g.sendAnswer(id, a)
}

// Rejected implements front.Handler.
func (g *gatewayConn) RequestRejected(f gateway.RejectReason) {
	c := &g.server.counters
	switch f {
	case gateway.TooLarge:
		c.tooLarge++
	case gateway.TooManyRequests:
		c.tooMany++
	case gateway.UnsupportedRole:
		c.badRole++
	default:
		c.malformed++
	}
}

// sendAnswer sends an answer with the value that callers read.
func (g *gatewayConn) sendAnswer(id gateway.StreamID, a gateway.Response) {
	if hint := g.server.advertisedLoad; hint != "" && !a.Overloaded {
		a.Headers = append(a.Headers, gateway.Field{Name: "Server-Hint", Value: hint})
	}
	g.session.Respond(id, a)
	g.closeIfFinished()
}
