package server

import (
	"time"

	"tillerusher/admission"
)

// gaugeWait is how long a timer of the module waits for the gauges that go with it.
const gaugeWait = 20 * time.Millisecond

// ring ends a timer of the module. The gauges that go with it are read now, since the module acts on what they
// say of the moment; where the interpreter does not tell them soon it goes without.
func (s *Server) ring(token uint32) {
	rung := false
	end := func(g admission.Gauges) {
		if !rung {
			rung = true
			s.module.Timer(s.event(), token, g)
		}
	}
	none := admission.Gauges{Busy: -1, Runnable: -1}
	if !s.link.Ready() {
		end(none)
		return
	}
	s.loop.After(gaugeWait, func() { end(none) })
	s.link.Top(s.loop.Now(), func(values []float64, ok bool) {
		if ok {
			end(s.told.Read(values))
		} else {
			end(none)
		}
	})
}
