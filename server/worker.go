package server

import (
	"time"

	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
	"tillerusher/internal/settings"
)

// worker is what runs requests: the platform's interpreter, or the members of pools. The end of each run is told once,
// by Server.ran.
type worker interface {
	// Apply has a try run.
	Apply(t *try)
	// Withdraw takes back a run that nobody has heard of, and tells whether it could.
	Withdraw(wire string) bool
	// Break stops a run, whose end is told in time.
	Break(wire string)
	// Ready tells whether what is applied goes out at once.
	Ready() bool
	// Runs is how many runs have not ended.
	Runs() int
	// Top asks for the gauges, and Smoke whether work gets done.
	Top(now time.Time, then func(values []float64, ok bool))
	Smoke(now time.Time, then func(ok bool))
	// Counters are the link's own, for the log.
	Counters() []reading
	Close()
}

// interpreterBackend is the worker on this platform.
type interpreterBackend struct {
	*interpreter.Dialer
	told *settings.Told
}

// Apply implements worker.
func (i interpreterBackend) Apply(t *try) { i.Dialer.Apply(t.wire, i.told.Classes[t.class], t.body) }

// Counters implements worker.
func (i interpreterBackend) Counters() []reading {
	l := &i.Count
	return []reading{{"links", l.Links}, {"applied", l.Applied}, {"reapplied", l.Reapplied}, {"breaks", l.Broken},
		{"notices", l.Notices}, {"replayed", l.Replayed}, {"unknown_notices", l.Unknown}, {"unanswered", l.Unanswered}}
}

// Awaits implements interp.Handler. Requests may call what lies below at some sites, but no page says how a server
// makes such a call, so the run can't go on and its request can't be served: it is answered at once. A request without an
// effect is refused, with the wish that no other server be tried, which could not serve it either.
func (s *Server) Awaits(wire string) {
	t := s.byWire[wire]
	if t == nil || t.state != running {
		return
	}
	s.count.calls++
	if t.answered {
		return // its run ends by itself
	}
	if t.once {
		s.answer(t, gateway.Answer{Status: statusFailed})
	} else {
		s.answer(t, refusal(s.told.Module.RetryAfter, true))
	}
	s.module.Gone(s.event(), t.id)
}

// Ended implements interp.Handler.
func (s *Server) Ended(wire string, end interpreter.End, result []byte) {
	s.ran(wire, end, gateway.Answer{Status: statusServed, Body: result})
}
