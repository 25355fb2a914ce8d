package server

import (
	"container/list"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/gateway"
)

// gatewayConn is a connection of a gateway, with its open requests.
type gatewayConn struct {
	server   *Server
	element  *list.Element // in connTable
	conn     *eventloop.Conn
	session  gateway.Session
	attempts map[gateway.StreamID]*attempt // unanswered
	// healthChecks are the deep health checks that wait for the backend.
	healthChecks map[gateway.StreamID]bool
	// incompleteSince is when a request that is still incomplete began. Until the first valid request, it is the time of
	// the accept. Zero means that no request is incomplete.
	incompleteSince time.Time
	validRequests   uint64 // complete requests with valid fields
}

// accept implements the loop's callback for a new connection. If the table is full and no connection can be evicted, it
// returns nil, which closes the new connection.
func (s *Server) accept(conn *eventloop.Conn) eventloop.ConnHandler {
	if !s.conns.ensureCapacity() {
		return nil
	}
	newConn := &gatewayConn{
		server:          s,
		conn:            conn,
		attempts:        map[gateway.StreamID]*attempt{},
		healthChecks:    map[gateway.StreamID]bool{},
		incompleteSince: s.loop.Now(),
	}
	newConn.session = s.conns.protocol(conn, newConn)
	s.conns.add(newConn)
	return newConn
}

// acceptError counts and logs a connection that could not be accepted.
func (s *Server) acceptError(err error) {
	s.conns.counters.acceptErrors++
	s.log.Warn("accept failed", zap.Error(err))
}

// Connected implements eventloop.ConnHandler. It is never called, because the server does not dial gateways.
func (g *gatewayConn) Connected(*eventloop.Conn) {}

// Data implements eventloop.ConnHandler.
func (g *gatewayConn) Data(_ *eventloop.Conn, data []byte) {
	validBefore := g.validRequests
	if err := g.session.Feed(data); err != nil {
		g.endInput(err)
		return
	}
	switch {
	case g.isBetweenRequests():
		g.incompleteSince = time.Time{}
	case g.incompleteSince.IsZero() || g.validRequests != validBefore:
		g.incompleteSince = g.server.loop.Now()
	}
	g.closeIfFinished()
}

// endInput stops reading a connection whose input is invalid. The requests that were read before are still answered, and
// then the connection is closed.
func (g *gatewayConn) endInput(err error) {
	counters := &g.server.conns.counters
	counters.protocolErrors++
	if isPowerOfTwo(counters.protocolErrors) { // limits the log
		g.server.log.Warn("invalid input from a gateway connection", zap.Error(err), zap.Int("open_requests", g.session.OpenRequests()),
			zap.Uint64("so_far", counters.protocolErrors))
	}
	g.conn.StopReading()
	g.closeIfFinished()
}

// closeAfterFlush cancels the open requests of a connection, and half-closes the connection once its queued answers are
// sent. No more requests are read from it.
func (g *gatewayConn) closeAfterFlush() {
	g.abandonRequests()
	g.conn.CloseAfterFlush()
}

// close closes a connection immediately.
func (g *gatewayConn) close() {
	g.conn.Close()
	g.remove()
}

// closeIfFinished closes a connection once its answer is sent, if the gateway did not ask to keep it open.
func (g *gatewayConn) closeIfFinished() {
	if g.session.ShouldClose() {
		g.conn.CloseAfterFlush()
	}
}

// Closed implements eventloop.ConnHandler.
func (g *gatewayConn) Closed(*eventloop.Conn, error) { g.remove() }

// remove removes a closed connection from the table and cancels its open requests.
func (g *gatewayConn) remove() {
	g.server.conns.remove(g)
	g.abandonRequests()
}

// abandonRequests cancels the open requests of a connection, whose answers can no longer be sent.
func (g *gatewayConn) abandonRequests() {
	server := g.server
	g.session.Close()
	for _, attempt := range sortedByArrival(g.attempts) {
		if attempt.isAnswered {
			continue // the module answered it when an earlier iteration called Cancel
		}
		server.counters.requestsLost++
		attempt.isAnswered = true
		server.module.events.Cancel(server.eventTime(), attempt.id)
		server.removeIfDone(attempt)
	}
	clear(g.attempts)
	clear(g.healthChecks)
}

// RequestReceived implements gateway.Handler.
func (g *gatewayConn) RequestReceived(_ gateway.Session, stream gateway.StreamID, r gateway.Request) {
	g.server.handleRequest(g, stream, r)
}

// RequestAborted implements gateway.Handler. The gateway no longer wants an answer, but the protocol requires a response
// that ends the request.
func (g *gatewayConn) RequestAborted(_ gateway.Session, stream gateway.StreamID) {
	server := g.server
	server.counters.aborted++
	if g.healthChecks[stream] {
		delete(g.healthChecks, stream)
		g.respond(stream, gateway.Response{Status: statusInternalError})
		return
	}
	attempt := g.attempts[stream]
	if attempt == nil {
		return
	}
	server.answerFailed(attempt)
	server.module.events.Cancel(server.eventTime(), attempt.id)
	server.removeIfDone(attempt)
}

// RequestInvalid implements gateway.Handler. The answer is never a rejection, which to the caller means that nothing ran:
// the idempotency key of an invalid request is unknown, so the request may be a retry of one that has run.
func (g *gatewayConn) RequestInvalid(_ gateway.Session, stream gateway.StreamID, reason gateway.RejectReason) {
	g.RequestRejected(reason)
	status := statusBadRequest
	switch reason {
	case gateway.TooLarge:
		status = statusTooLarge
	case gateway.OutOfMemory:
		status = statusInternalError
	}
	g.respond(stream, gateway.Response{Status: status})
	if g.isBetweenRequests() { // another connection's input may have ended the last incomplete request
		g.incompleteSince = time.Time{}
	}
}

// RequestRejected implements gateway.Handler.
func (g *gatewayConn) RequestRejected(reason gateway.RejectReason) {
	counts := &g.server.counters
	switch reason {
	case gateway.TooLarge:
		counts.tooLarge++
	case gateway.TooManyRequests:
		counts.tooMany++
	case gateway.UnsupportedRole:
		counts.badRole++
	case gateway.OutOfMemory:
		counts.incompleteEnded++
	default:
		counts.malformed++
	}
}

// respond sends an answer. It adds the advertised load, which callers read.
func (g *gatewayConn) respond(stream gateway.StreamID, r gateway.Response) {
	if load := g.server.load.advertised; load != "" && !r.Overloaded {
		r.Headers = append(r.Headers, gateway.Field{Name: "Server-Hint", Value: load})
	}
	g.session.Respond(stream, r)
	g.closeIfFinished()
}

// hasOpenRequests reports whether the connection has unanswered requests.
func (g *gatewayConn) hasOpenRequests() bool { return len(g.attempts)+len(g.healthChecks) > 0 }

// isBetweenRequests reports whether the connection has sent a valid request and no part of a next one.
func (g *gatewayConn) isBetweenRequests() bool {
	return g.validRequests > 0 && !g.session.HasPartialInput()
}

// isIdle reports whether the connection has no open request and no partially received one, since gateways may write
// slowly.
func (g *gatewayConn) isIdle() bool {
	return g.session.OpenRequests() == 0 && !g.session.HasPartialInput()
}

// isAwaitingRequest reports whether the connection only waits for the rest of a request, the first or a later one, and for no
// answer.
func (g *gatewayConn) isAwaitingRequest() bool {
	return !g.conn.IsClosing() && !g.incompleteSince.IsZero() && !g.hasOpenRequests()
}

// isOverdue reports whether a connection has not sent a complete request in time and waits for no answer.
func (g *gatewayConn) isOverdue(now time.Time) bool {
	return g.isAwaitingRequest() && now.Sub(g.incompleteSince) >= requestTimeout
}

// idleAllowance returns how long this connection may be idle, given the idle timeout of all. A new connection gets at
// least newConnGrace: if it were closed right after accept, the gateway would only open another one.
func (g *gatewayConn) idleAllowance(idle time.Duration) time.Duration {
	if g.validRequests == 0 {
		return max(idle, newConnGrace)
	}
	return idle
}
