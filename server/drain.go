package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/gateway"
)

const (
	// drainPollInterval is the time between two looks at whether a drained server can go.
	drainPollInterval = 10 * time.Millisecond
	// stopMargin is how long before it would be killed a server goes at the latest.
	stopMargin = 100 * time.Millisecond
)

// drain starts the leave. Arrivals are still taken in for the grace in which they may run; then the listener
// closes, idle connections go, and the server stops when none is left.
func (s *Server) drain() {
	if s.isDraining {
		return
	}
	s.isDraining = true
	s.log.Info("draining", zap.Duration("stop", s.cfg.StopTimeout), zap.Int("open", len(s.attempts)))
	s.annotateCapture("SIGTERM: %d open, %v until the end", len(s.attempts), s.cfg.StopTimeout)
	s.sendLoadReport(false)
	margin := max(stopMargin, s.cfg.StopTimeout/32)
	if s.module == nil { // nothing was taken in
		s.stopListening()
		s.closeConnsAfterSend()
	} else {
		s.module.Drain(s.moduleTime(), s.cfg.StopTimeout)
		s.loop.AfterFunc(min(s.told.Admission.DrainGracePeriod, s.cfg.StopTimeout-2*margin), s.stopListening)
	}
	s.loop.AfterFunc(s.cfg.StopTimeout-margin, s.stopNow)
}

// stopListening stops listening: what comes now would not be run, and a caller that is not let in knows that nothing
// ran. It then waits for the connections to go.
func (s *Server) stopListening() {
	s.listener.Close()
	s.stopWhenDrained()
}

// stopWhenDrained stops the loop when no connection is left.
func (s *Server) stopWhenDrained() {
	if s.conns.Len() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.AfterFunc(drainPollInterval, s.stopWhenDrained)
}

// closeConnsAfterSend ends this side of all connections, once what they are owed is sent.
func (s *Server) closeConnsAfterSend() {
	for g := range s.connections() {
		if !g.conn.IsClosing() {
			g.closeAfterSend()
		}
	}
}

// stopNow answers whatever is left, which the module should not have let come to this, and ends the loop once all
// is sent and the connections have ended on the other side, too: a process that exits over unread bytes resets them.
func (s *Server) stopNow() {
	for _, t := range inArrivalOrder(s.attempts) {
		s.answer(t, gateway.Response{Status: statusInternalError})
	}
	s.closeConnsAfterSend()
	s.loop.AfterFunc(stopMargin/2, s.loop.Stop)
}
