package server

import (
	"time"

	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
	"tillerusher/internal/settings"
)

// backend is what runs requests: the platform's interpreter, or the members of pools. The end of each run is told once,
// by Server.ran.
type backend interface {
	// Submit has a try run.
	Submit(t *attempt)
	// Withdraw takes back a run that nobody has heard of, and tells whether it could.
	Withdraw(wire string) bool
	// Break stops a run, whose end is told in time.
	Stop(wire string)
	// Ready tells whether what is applied goes out at once.
	Ready() bool
	// Runs is how many runs have not ended.
	OpenRuns() int
	// QueryGauges asks for the gauges, and Smoke whether work gets done.
	QueryGauges(now time.Time, then func(values []float64, ok bool))
	CheckHealth(now time.Time, then func(ok bool))
	// Counters are the link's own, for the log.
	Counters() []reading
	Close()
}

// interpreterBackend is the worker on this platform.
type interpreterBackend struct {
	*interpreter.Client
	told *settings.Site
}

// Submit implements worker.
func (i interpreterBackend) Submit(t *attempt) {
	i.Client.Submit(t.requestID, i.told.ClassNames[t.class], t.body)
}

// Counters implements worker.
func (i interpreterBackend) Counters() []reading {
	l := &i.Stats
	return []reading{{"links", l.Connects}, {"applied", l.Submitted}, {"reapplied", l.Resubmitted}, {"breaks", l.StopsSent},
		{"notices", l.Notices}, {"replayed", l.DuplicateNotices}, {"unknown_notices", l.UnknownNotices}, {"unanswered", l.UnansweredQueries}}
}

// Awaits implements interp.Handler. Requests may call what lies below at some sites, but no page says how a server
// makes such a call, so the run can't go on and its request can't be served: it is answered at once. A request without an
// effect is refused, with the wish that no other server be tried, which could not serve it either.
func (s *Server) CallRequested(wire string) {
	t := s.byRequestID[wire]
	if t == nil || t.state != runInFlight {
		return
	}
	s.counters.calls++
	if t.isAnswered {
		return // its run ends by itself
	}
	if t.atMostOnce {
		s.answer(t, gateway.Response{Status: statusInternalError})
	} else {
		s.answer(t, rejection(s.told.Admission.MaxRetryAfter, true))
	}
	s.module.Cancel(s.moduleTime(), t.id)
}

// Ended implements interp.Handler.
func (s *Server) RunFinished(wire string, end interpreter.Outcome, result []byte) {
	s.finishRun(wire, end, gateway.Response{Status: statusOK, Body: result})
}
