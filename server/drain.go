package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/gateway"
)

const (
	// drainPace is the time between two looks at whether a drained server can go.
	drainPace = 10 * time.Millisecond
	// stopMargin is how long before it would be killed a server goes at the latest.
	stopMargin = 100 * time.Millisecond
)

// drain starts the leave. Arrivals are still taken in for the grace in which they may run; then the listener
// closes, idle connections go, and the server stops when none is left.
func (s *Server) drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.log.Info("draining", zap.Duration("stop", s.cfg.Stop), zap.Int("open", len(s.tries)))
	s.remark("SIGTERM: %d open, %v until the end", len(s.tries), s.cfg.Stop)
	s.tell(false)
	margin := max(stopMargin, s.cfg.Stop/32)
	if s.module == nil { // nothing was taken in
		s.leave()
		s.part()
	} else {
		s.module.Drain(s.event(), s.cfg.Stop)
		s.loop.After(min(s.told.Module.DrainGrace, s.cfg.Stop-2*margin), s.leave)
	}
	s.loop.After(s.cfg.Stop-margin, s.stop)
}

// leave stops listening: what comes now would not be run, and a caller that is not let in knows that nothing
// ran. It then waits for the connections to go.
func (s *Server) leave() {
	s.listener.Close()
	s.waitIdle()
}

// waitIdle stops the loop when no connection is left.
func (s *Server) waitIdle() {
	if s.gateways.Len() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.After(drainPace, s.waitIdle)
}

// part ends this side of all connections, once what they are owed is sent.
func (s *Server) part() {
	for g := range s.connections() {
		if !g.conn.Closing() {
			g.finish()
		}
	}
}

// stop answers whatever is left, which the module should not have let come to this, and ends the loop once all
// is sent and the connections have ended on the other side, too: a process that exits over unread bytes resets them.
func (s *Server) stop() {
	for _, t := range sorted(s.tries) {
		s.answer(t, gateway.Answer{Status: statusFailed})
	}
	s.part()
	s.loop.After(stopMargin/2, s.loop.Stop)
}
