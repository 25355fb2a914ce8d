package server

import (
	"cmp"
	"time"
)

// The pace at which connections are looked at.
const (
	idleScanLeast = 10 * time.Millisecond
	idleScanMost  = 250 * time.Millisecond
)

const (
	// unfinishedMost is how long a connection may take until its first request is whole, and any later one: a
	// caller that is silent or stops half way is owed an end within 3 s. Gateways write a request at once, so
	// only one whose machine stands still comes near it.
	unfinishedMost = 2500 * time.Millisecond
	// stuckAfter is how long a connection may take none of what is to be sent on it.
	stuckAfter = 30 * time.Second
	// freshFor is how long a new connection that has sent nothing is neither idle nor in the way of another.
	freshFor = 250 * time.Millisecond
	// restFor is how long a connection that served its gateway must rest before it may make room for another.
	restFor = 50 * time.Millisecond
)

// owed tells whether requests of the connection are owed an answer.
func (g *gatewayConn) owed() bool { return len(g.tries)+len(g.smokes) > 0 }

// resting tells whether nothing is under way on the connection: no request is open, and none has come in part. A gateway
// may write slowly.
func (g *gatewayConn) resting() bool { return g.session.Open() == 0 && !g.session.Unfinished() }

// overdue tells whether a connection has to go, as it has not sent a whole request in time.
func (g *gatewayConn) overdue(now time.Time) bool {
	return !g.conn.Closing() && !g.since.IsZero() && now.Sub(g.since) >= unfinishedMost && !g.owed()
}

// rest is how long a connection may carry nothing: one that is closed right after the accept would only be made
// again.
func (g *gatewayConn) rest(idle time.Duration) time.Duration {
	if g.sound == 0 {
		return max(idle, freshFor)
	}
	return idle
}

// closeIdle ends connections that are overdue or carried nothing for the time the module set, and looks again
// later. Bytes may be on their way at that very moment: a close over them would reset the connection, and take with it
// answers that the gateway has not read yet. So this side ends first, and what still comes is read and thrown away: a
// gateway whose request crosses the end makes it again.
func (s *Server) closeIdle() {
	now := s.loop.Now()
	for g := range s.connections() {
		switch {
		case g.conn.Stuck(stuckAfter):
			s.count.unfinished++
			g.close() // what it is sent goes nowhere
		case g.overdue(now):
			s.count.unfinished++
			g.finish()
		case s.idle > 0 && !g.conn.Closing() && g.resting() && g.conn.Quiet(g.rest(s.idle)):
			s.count.idleClosed++
			g.finish()
		}
	}
	s.scanIdle()
}

// scanIdle sets the time of the next look.
func (s *Server) scanIdle() {
	pace := idleScanMost
	if s.idle > 0 {
		pace = min(max(s.idle/4, idleScanLeast), idleScanMost)
	}
	s.idleScan = s.loop.After(pace, s.closeIdle)
}

// makeRoom closes a connection for a new one and tells whether it could. Callers that connect in their hundreds
// and stay silent, or ask once and stay, must not keep gateways out. First goes one that has ended on this side,
// then one that never sent a whole request, then the one that has rested longest. Those that never sent one make
// room for each other, however new, where they are half of all: gateways may need the other half. One for which bytes
// wait unread stays as long as there is another: it may be a gateway whose request has just come.
func (s *Server) makeRoom() bool {
	var victim, oldest, unread *gatewayConn
	best, silent := 0, 0
	now := s.loop.Now()
	for g := range s.connections() { // of two alike the older one is taken
		rank := 0
		switch {
		case g.conn.Closing():
			rank = 3
		case g.sound == 0:
			silent++
			if oldest == nil || g.since.Before(oldest.since) {
				if g.conn.Waiting() {
					unread = cmp.Or(unread, g)
					continue
				}
				oldest = g
			}
			if now.Sub(g.since) >= freshFor {
				rank = 2
			}
		case g.resting() && now.Sub(g.conn.Active()) >= restFor:
			rank = 1
		}
		if (rank > best || rank == best && rank > 0 && g.conn.Active().Before(victim.conn.Active())) &&
			(rank == 3 || !g.conn.Waiting()) {
			victim, best = g, rank
		}
	}
	if best < 2 && 2*silent >= s.gateways.Len() {
		victim = cmp.Or(oldest, unread)
	} else if victim == nil || best == 1 && !victim.conn.Quiet(restFor) {
		return false
	}
	s.count.madeRoom++
	victim.close()
	return true
}
