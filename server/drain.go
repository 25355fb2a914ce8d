package server

import (
	"time"

	"go.uber.org/zap"
)

const (
	// drainPollInterval is the time between two looks at whether a draining server can end.
	drainPollInterval = 10 * time.Millisecond
	// stopMargin is how long before it would be killed a server ends at the latest, or a part of the stop time where
	// that is more.
	stopMargin        = 100 * time.Millisecond
	stopMarginDivisor = 32
)

// drain starts the graceful shutdown. Arrivals are still taken in for the grace period in which they may run; then the
// listener closes, idle connections are closed, and the server ends when none is left.
func (s *Server) drain() {
	if s.isDraining {
		return
	}
	s.isDraining = true
	s.log.Info("draining", zap.Duration("stop_ms", s.cfg.StopTimeout), zap.Int("open_requests", len(s.attempts.byID)))
	s.Annotate("SIGTERM: %d open, %v until the end", len(s.attempts.byID), s.cfg.StopTimeout)
	s.load.send(false)
	margin := max(stopMargin, s.cfg.StopTimeout/stopMarginDivisor)
	if s.module.events == nil { // nothing was taken in
		s.stopListening()
		s.conns.closeAfterFlush()
	} else {
		s.module.events.Drain(s.eventTime(), s.cfg.StopTimeout)
		s.loop.AfterFunc(min(s.site.Admission.DrainGracePeriod, s.cfg.StopTimeout-2*margin), s.stopListening)
	}
	s.loop.AfterFunc(s.cfg.StopTimeout-margin, s.stopNow)
}

// stopListening closes the listener: what comes now would not be run, and a caller that is not let in knows that
// nothing ran. The loop ends once the connections are gone.
func (s *Server) stopListening() {
	s.listener.Close()
	s.stopWhenIdle()
}

// stopWhenIdle ends the loop when no connection is left.
func (s *Server) stopWhenIdle() {
	if s.conns.len() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.AfterFunc(drainPollInterval, s.stopWhenIdle)
}

// stopNow answers whatever is left, which the module should not have let come to this, and ends the loop once all is
// sent and the gateways have ended the connections, too: a process that exits over unread bytes resets them.
func (s *Server) stopNow() {
	for _, a := range inArrivalOrder(s.attempts.byID) {
		s.answerFailed(a)
	}
	s.conns.closeAfterFlush()
	s.loop.AfterFunc(stopMargin/2, s.loop.Stop)
}
