package server

import (
	"time"

	"go.uber.org/zap"
)

const (
	// drainPollInterval is the interval at which a draining server checks whether it can stop.
	drainPollInterval = 10 * time.Millisecond
	// stopMargin is the time between the latest stop of a draining server and the end of the stop timeout, when the
	// platform kills the process. The stop timeout divided by stopMarginDivisor is used instead if it is longer.
	stopMargin        = 100 * time.Millisecond
	stopMarginDivisor = 32
)

// drain starts the graceful shutdown. For the drain grace period, the server still accepts requests, which may run. Then
// it closes the listener, and stops once no connection is left. The module has idle connections closed.
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

// stopListening closes the listener. A request that arrives later would not be run, and a refused connection shows the
// caller that nothing ran. The loop stops once all connections are closed.
func (s *Server) stopListening() {
	s.listener.Close()
	s.stopWhenIdle()
}

// stopWhenIdle stops the loop once no connection is left.
func (s *Server) stopWhenIdle() {
	if s.conns.len() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.AfterFunc(drainPollInterval, s.stopWhenIdle)
}

// stopNow fails the remaining attempts, of which there should be none, and half-closes the connections. The loop runs
// for half of stopMargin longer, so that answers are sent and the gateways close their side, too: if the process exits
// with unread bytes in a socket, the kernel resets the connection.
func (s *Server) stopNow() {
	for _, a := range sortedByArrival(s.attempts.byID) {
		s.answerFailed(a)
	}
	s.conns.closeAfterFlush()
	s.loop.AfterFunc(stopMargin/2, s.loop.Stop)
}
