package server

import (
	"cmp"
	"time"
)

// The pace at which connections are looked at.
const (
	minIdleScan = 10 * time.Millisecond
	maxIdleScan = 250 * time.Millisecond
)

const (
	// requestTimeout is how long a connection may take until its first request is whole, and any later one: a
	// caller that is silent or stops half way is owed an end within 3 s. Gateways write a request at once, so
	// only one whose machine stands still comes near it.
	requestTimeout = 2500 * time.Millisecond
	// sendTimeout is how long a connection may take none of what is to be sent on it.
	sendTimeout = 30 * time.Second
	// newConnGrace is how long a new connection that has sent nothing is neither idle nor in the way of another.
	newConnGrace = 250 * time.Millisecond
	// minIdleBeforeEviction is how long a connection that served its gateway must rest before it may make room for another.
	minIdleBeforeEviction = 50 * time.Millisecond
)

// hasOpenRequests tells whether requests of the connection are owed an answer.
func (g *gatewayConn) hasOpenRequests() bool { return len(g.attempts)+len(g.healthChecks) > 0 }

// isIdle tells whether nothing is under way on the connection: no request is open, and none has come in part. A gateway
// may write slowly.
func (g *gatewayConn) isIdle() bool {
	return g.session.OpenRequests() == 0 && !g.session.HasPartialInput()
}

// isOverdue tells whether a connection has to go, as it has not sent a whole request in time.
func (g *gatewayConn) isOverdue(now time.Time) bool {
	return !g.conn.IsClosing() && !g.incompleteSince.IsZero() && now.Sub(g.incompleteSince) >= requestTimeout && !g.hasOpenRequests()
}

// idleAllowance is how long a connection may carry nothing: one that is closed right after the accept would only be made
// again.
func (g *gatewayConn) idleAllowance(idle time.Duration) time.Duration {
	if g.validRequests == 0 {
		return max(idle, newConnGrace)
	}
	return idle
}

// closeIdleConns ends connections that are overdue or carried nothing for the time the module set, and looks again
// later. Bytes may be on their way at that very moment: a close over them would reset the connection, and take with it
// answers that the gateway has not read yet. So this side ends first, and what still comes is read and thrown away: a
// gateway whose request crosses the end makes it again.
func (s *Server) closeIdleConns() {
	now := s.loop.Now()
	for g := range s.connections() {
		switch {
		case g.conn.IsWriteStalled(sendTimeout):
			s.counters.requestTimeouts++
			g.close() // what it is sent goes nowhere
		case g.isOverdue(now):
			s.counters.requestTimeouts++
			g.closeAfterSend()
		case s.idleTimeout > 0 && !g.conn.IsClosing() && g.isIdle() && g.conn.IsIdle(g.idleAllowance(s.idleTimeout)):
			s.counters.idleClosed++
			g.closeAfterSend()
		}
	}
	s.scheduleIdleScan()
}

// scheduleIdleScan sets the time of the next look.
func (s *Server) scheduleIdleScan() {
	pace := maxIdleScan
	if s.idleTimeout > 0 {
		pace = min(max(s.idleTimeout/4, minIdleScan), maxIdleScan)
	}
	s.idleScanTimer = s.loop.AfterFunc(pace, s.closeIdleConns)
}

// evictConn closes a connection for a new one and tells whether it could. Callers that connect in their hundreds
// and stay silent, or ask once and stay, must not keep gateways out. First goes one that has ended on this side,
// then one that never sent a whole request, then the one that has rested longest. Those that never sent one make
// room for each other, however new, where they are half of all: gateways may need the other half. One for which bytes
// wait unread stays as long as there is another: it may be a gateway whose request has just come.
func (s *Server) evictConn() bool {
	var victim, oldest, unread *gatewayConn
	best, silent := 0, 0
	now := s.loop.Now()
	for g := range s.connections() { // values two alike the older one is taken
		rank := 0
		switch {
		case g.conn.IsClosing():
			rank = 3
		case g.validRequests == 0:
			silent++
			if oldest == nil || g.incompleteSince.Before(oldest.incompleteSince) {
				if g.conn.HasPendingInput() {
					unread = cmp.Or(unread, g)
					continue
				}
				oldest = g
			}
			if now.Sub(g.incompleteSince) >= newConnGrace {
				rank = 2
			}
		case g.isIdle() && now.Sub(g.conn.LastActivity()) >= minIdleBeforeEviction:
			rank = 1
		}
		if (rank > best || rank == best && rank > 0 && g.conn.LastActivity().Before(victim.conn.LastActivity())) &&
			(rank == 3 || !g.conn.HasPendingInput()) {
			victim, best = g, rank
		}
	}
	if best < 2 && 2*silent >= s.conns.Len() {
		victim = cmp.Or(oldest, unread)
	} else if victim == nil || best == 1 && !victim.conn.IsIdle(minIdleBeforeEviction) {
		return false
	}
	s.counters.connsEvicted++
	victim.close()
	return true
}
