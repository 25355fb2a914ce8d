package server

import (
	"time"

	"tillerusher/admission"
)

// gaugeTimeout is how long a timer of the module waits for the gauges that go with it.
const gaugeTimeout = 20 * time.Millisecond

// timerFired ends a timer of the module. The gauges that go with it are read now, since the module acts on what they
// say of the moment; where the interpreter does not tell them soon it goes without.
func (s *Server) timerFired(token uint32) {
	rung := false
	end := func(g admission.Gauges) {
		if !rung {
			rung = true
			s.module.Timer(s.moduleTime(), token, g)
		}
	}
	none := admission.Gauges{Utilization: -1, Runnable: -1}
	if !s.backend.Ready() {
		end(none)
		return
	}
	s.loop.AfterFunc(gaugeTimeout, func() { end(none) })
	s.backend.QueryGauges(s.loop.Now(), func(values []float64, ok bool) {
		if ok {
			end(s.told.ReadGauges(values))
		} else {
			end(none)
		}
	})
}
