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
	server  *Server
	place   *list.Element // among the server's connections
	conn    *eventloop.Conn
	session gateway.Session
	tries   map[gateway.Stream]*try
	smokes  map[gateway.Stream]bool // deep health checks under way
	since   time.Time               // when what has not come whole was begun; zero = nothing
	sound   uint64                  // requests that came whole and made sense
}

// accept takes in a new connection, while descriptors are left for everything else.
func (s *Server) accept(c *eventloop.Conn) eventloop.ConnHandler {
	if s.gateways.Len() >= s.cfg.Limits.Sockets-spareSockets && !s.makeRoom() {
		s.count.turnedAway++
		return nil
	}
	s.count.accepted++
	g := &gatewayConn{server: s, conn: c, tries: map[gateway.Stream]*try{}, smokes: map[gateway.Stream]bool{}, since: s.loop.Now()}
	g.session = s.protocol(c, g)
	g.place = s.gateways.PushBack(g)
	return g
}

// connections are those of gateways in the order of accepting: what is done to several of them must not hang on chance, or a
// rehearsal could not be played again. The one that is handed on may end meanwhile.
func (s *Server) connections() iter.Seq[*gatewayConn] {
	return func(yield func(*gatewayConn) bool) {
		for e := s.gateways.Front(); e != nil; {
			g := e.Value.(*gatewayConn)
			if e = e.Next(); !yield(g) {
				return
			}
		}
	}
}

// acceptFailed hears of a connection that could not be accepted.
func (s *Server) acceptFailed(err error) {
	s.count.acceptErrors++
	s.log.Warn("accept failed", zap.Error(err))
}

// Connected implements loop.ConnHandler; gateways dial, not the server.
func (g *gatewayConn) Connected(*eventloop.Conn) {}

// Data implements loop.ConnHandler.
func (g *gatewayConn) Data(_ *eventloop.Conn, p []byte) {
	sound := g.sound
	if g.session.Feed(p) != nil {
		g.server.count.broken++
		g.finish()
		return
	}
	switch {
	case g.sound > 0 && !g.session.Unfinished():
		g.since = time.Time{}
	case g.since.IsZero() || g.sound != sound:
		g.since = g.server.loop.Now()
	}
	g.closeFinished()
}

// finish ends a connection from which nothing can be expected; answers that are on their way still go out.
func (g *gatewayConn) finish() {
	g.giveUp()
	g.conn.CloseSent()
}

// close ends a connection now.
func (g *gatewayConn) close() {
	g.conn.Close()
	g.end()
}

// closeFinished closes a connection that the gateway did not want kept, once its answer is sent.
func (g *gatewayConn) closeFinished() {
	if g.session.Finished() {
		g.conn.CloseSent()
	}
}

// Closed implements loop.ConnHandler.
func (g *gatewayConn) Closed(*eventloop.Conn, error) { g.end() }

// end forgets a connection that is gone.
func (g *gatewayConn) end() {
	g.server.gateways.Remove(g.place)
	g.giveUp()
}

// giveUp forgets the requests of a connection: nobody waits for them any more.
func (g *gatewayConn) giveUp() {
	s := g.server
	g.session.Close()
	for _, t := range sorted(g.tries) {
		if t.answered {
			continue // the end of one before it had the module answer it
		}
		s.count.lost++
		t.answered = true
		now := s.event()
		s.module.Gone(now, t.id)
		s.drop(t)
	}
	clear(g.tries)
	clear(g.smokes)
}

// Request implements front.Handler.
func (g *gatewayConn) Request(_ gateway.Session, id gateway.Stream, r gateway.Request) {
	g.server.request(g, id, r)
}

// Aborted implements front.Handler: the gateway wants no answer, but the protocol owes it an end.
func (g *gatewayConn) Aborted(_ gateway.Session, id gateway.Stream) {
	s := g.server
	s.count.aborted++
	if g.smokes[id] {
		delete(g.smokes, id)
		g.answer(id, gateway.Answer{Status: statusFailed})
		return
	}
	t := g.tries[id]
	if t == nil {
		return
	}
	s.answer(t, gateway.Answer{Status: statusFailed})
	s.module.Gone(s.event(), t.id)
	s.drop(t)
}

// Flawed implements front.Handler.
func (g *gatewayConn) Flawed(_ gateway.Session, id gateway.Stream, f gateway.Flaw) {
	g.Rejected(f)
	a := gateway.Answer{Status: statusInvalid, Overloaded: f == gateway.TooMany}
	if f == gateway.TooLarge {
		a.Status = statusTooLarge
	}
	g.answer(id, a)
}

// Rejected implements front.Handler.
func (g *gatewayConn) Rejected(f gateway.Flaw) {
	c := &g.server.count
	switch f {
	case gateway.TooLarge:
		c.tooLarge++
	case gateway.TooMany:
		c.tooMany++
	case gateway.BadRole:
		c.badRole++
	default:
		c.malformed++
	}
}

// answer sends an answer with the value that callers read.
func (g *gatewayConn) answer(id gateway.Stream, a gateway.Answer) {
	if hint := g.server.hint; hint != "" && !a.Overloaded {
		a.Fields = append(a.Fields, gateway.Field{Name: "Server-Hint", Value: hint})
	}
	g.session.Answer(id, a)
	g.closeFinished()
}
