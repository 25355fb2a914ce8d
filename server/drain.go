package server

import (
	"time"

	"go.uber.org/zap"
)

const (
	// drainPollInterval is the time between two checks of whether a draining server can stop.
	drainPollInterval = 10 * time.Millisecond
	// stopMargin is how long before it would be killed a server ends at the latest, or a part of the stop time where
	// that is more.
	stopMargin        = 100 * time.Millisecond
	stopMarginDivisor = 32
)

// drain starts the graceful shutdown. Requests are still accepted for the drain grace period, in which they may run.
// Then the listener closes, and the server stops when no connection is left: the module has idle ones closed.
func (s *Server) drain() {
	if s.isDraining {
		return
	}
	s.isDraining = true
	s.log.Info("draining", zap.Duration("stop_ms", s.cfg.StopTimeout), zap.Int("open_requests", len(s.attempts.byID)))
	s.Annotate("SIGTERM: %d open, %v until the end", len(s.attempts.byID), s.cfg.StopTimeout)
	s.load.reportDraining()
	margin := max(stopMargin, s.cfg.StopTimeout/stopMarginDivisor)
	if s.module.events == nil { // no request was accepted
		s.stopListening()
		s.conns.closeAfterFlush()
	} else {
		s.module.events.Drain(s.eventTime(), s.cfg.StopTimeout)
		s.loop.AfterFunc(min(s.site.Admission.DrainGracePeriod, s.cfg.StopTimeout-2*margin), s.stopListening)
	}
	s.loop.AfterFunc(s.cfg.StopTimeout-margin, s.stopNow)
}

// stopListening closes the listener: a request that arrives now would not be run, and a caller whose connection is
// refused knows that nothing ran. The loop stops once the connections are gone.
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

// stopNow fails the attempts that are left, of which there should be none, and half-closes the connections. The loop
// runs for a short while more, so that answers are sent and the gateways close their side, too: the kernel resets a
// connection whose process exits with bytes unread.
func (s *Server) stopNow() {
	for _, a := range sortedByArrival(s.attempts.byID) {
		s.answerFailed(a)
	}
	s.conns.closeAfterFlush()
	s.loop.AfterFunc(stopMargin/2, s.loop.Stop)
}
