package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
)

// gaugeTimeout is how long a Timer event waits for the gauges that are reported with it.
const gaugeTimeout = 20 * time.Millisecond

// moduleState is the decision module and the queue of deferred events. The module must not be called while it acts, so
// events that an action causes are deferred until the module has returned.
type moduleState struct {
	events      admission.Events    // nil until the backend is up
	instance    *admission.Instance // the module itself, without the capture's tap; nil until the backend is up
	needsSettle bool                // events were reported in this round
	deferred    []func()
}

// eventTime returns the time of an event that is about to be reported to the module, and has the module's Settle called
// at the end of this round.
func (s *Server) eventTime() time.Duration {
	s.module.needsSettle = true
	return s.clock.read(s.loop.Now())
}

// deferEvent queues an event that an action caused. It is reported once the module has returned.
func (s *Server) deferEvent(event func()) { s.module.deferred = append(s.module.deferred, event) }

// endRound ends a round of the loop: it calls the module's Settle if events were reported. It reports whether the
// module's actions caused further events, which the next round reports.
func (s *Server) endRound() (hasEvents bool) {
	s.runDeferredEvents()
	if s.module.needsSettle && s.module.events != nil {
		s.module.needsSettle = false
		s.module.events.Settle(s.clock.read(s.loop.Now()))
	}
	return len(s.module.deferred) > 0
}

// runDeferredEvents reports the deferred events to the module, and the events that they cause in turn.
func (s *Server) runDeferredEvents() {
	for len(s.module.deferred) > 0 {
		events := s.module.deferred
		s.module.deferred = nil
		for _, event := range events {
			event()
		}
	}
}

// BackendStarted starts the decision module. Backends call it as soon as they can run requests. An interpreter may come
// up long after this process, and warms up from then on. age is the time since the backend started.
func (s *Server) BackendStarted(isWarmingUp bool, age time.Duration) {
	moduleSettings := s.site.Admission
	moduleSettings.WarmingUp = isWarmingUp
	s.log.Info("interpreter up", zap.Bool("cold", isWarmingUp), zap.Duration("age_ms", age))
	module, err := s.newModule(moduleSettings)
	if err != nil {
		s.log.Error("decision module", zap.Error(err)) // unexpected: New validated the same settings
		return
	}
	s.module.events = module
	s.eventTime()
	s.reportLoad()
}

// timerFired reports to the module that one of its timers has fired, with the current gauges. If the backend does not
// answer in time, the gauges are reported as unknown.
func (s *Server) timerFired(token uint32) {
	isReported := false
	report := func(g admission.Gauges) {
		if !isReported {
			isReported = true
			s.module.events.Timer(s.eventTime(), token, g)
		}
	}
	unknown := admission.Gauges{Utilization: -1, Runnable: -1}
	if !s.backend.IsReady() {
		report(unknown)
		return
	}
	s.loop.AfterFunc(gaugeTimeout, func() { report(unknown) })
	s.backend.QueryGauges(s.loop.Now(), func(values []float64, ok bool) {
		if ok {
			report(s.site.ReadGauges(values))
		} else {
			report(unknown)
		}
	})
}
