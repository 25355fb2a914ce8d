package server

import (
	"net/url"
	"time"

	"tillerusher/internal/gateway"
)

// healthPath is where health checks arrive.
const healthPath = "/healthz"

// check answers a health check: from the module's setting, or, where the gateway asks whether work gets done
// and the setting alone may not answer, by the outcome of a deep check.
func (s *Server) check(g *gatewayConn, id gateway.Stream, r gateway.Request) {
	s.count.checks++
	g.sound++
	query, _ := url.ParseQuery(r.Query) // what is not understood asks for nothing
	if query.Get("full") != "1" || s.fromStore || !s.healthy {
		s.checked(g, id, s.healthy)
		return
	}
	g.smokes[id] = true
	s.link.Smoke(s.loop.Now(), func(ok bool) {
		if g.smokes[id] {
			delete(g.smokes, id)
			s.checked(g, id, ok && s.healthy)
		}
	})
}

// checked sends the outcome of a health check.
func (s *Server) checked(g *gatewayConn, id gateway.Stream, good bool) {
	status := statusServed
	if !good {
		s.count.checksBad++
		status = statusRefused
	}
	g.answer(id, gateway.Answer{Status: status})
}

const (
	// listedFor is how long after its last report a server leaves the list.
	listedFor = 3 * time.Second
	// announcePace sends many reports in that time: they are datagrams, and where a quarter is lost, three in a
	// row often are.
	announcePace = 250 * time.Millisecond
)

// announce reports that this server takes requests, until it drains.
func (s *Server) announce() {
	if s.draining {
		return
	}
	s.tell(true)
	s.loop.After(announcePace, s.announce)
}

// tell sends one report.
func (s *Server) tell(accepting bool) {
	if s.reporter == nil {
		return
	}
	s.count.reports++
	if err := s.reporter.Report(accepting); err != nil {
		s.count.reportErrors++ // the next report is due soon
	}
}
