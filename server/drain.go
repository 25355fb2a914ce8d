package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/front"
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
	if s.module == nil {
		s.loop.Stop() // nothing was taken in
		return
	}
	s.module.Drain(s.event(), s.cfg.Stop)
	margin := max(stopMargin, s.cfg.Stop/32)
	s.loop.After(min(s.told.Module.DrainGrace, s.cfg.Stop-2*margin), s.leave)
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

// stop answers whatever is left, which the module should not have let come to this, and ends the loop once all
// is sent.
func (s *Server) stop() {
	for _, t := range sorted(s.tries) {
		s.answer(t, front.Answer{Status: statusFailed})
	}
	s.loop.After(stopMargin/2, s.loop.Stop)
	s.waitSent()
}

// waitSent stops the loop when nothing waits to be sent.
func (s *Server) waitSent() {
	unsent := 0
	for g := range s.connections() {
		unsent += g.conn.Unsent()
	}
	if unsent == 0 {
		s.loop.Stop()
		return
	}
	s.loop.After(drainPace, s.waitSent)
}
