package server

import "go.uber.org/zap"

// counters tell what a server took in, sent and answered since its start.
type counters struct {
	accepted, connsRejected, connsEvicted, acceptErrors       uint64 // connections
	idleClosed, requestTimeouts, protocolErrors, requestsLost uint64 // connections that ended, and requests lost with them

	requests, retries, coalesced, aborted          uint64 // taken in
	malformed, tooLarge, tooMany, badRole, invalid uint64 // flawed requests

	served, rejected, failed, replayed uint64 // answers; reused ones are among those served
	healthChecks, healthChecksFailed   uint64 // health checks
	directAnswers                      uint64 // answers that a route has by itself

	runs, runsFinished, runsFailed, runsStopped, runsNotStarted uint64 // runs
	calls                                                       uint64 // runs that came to a call, which nothing can make
	secondRunsPrevented, rejectionsPrevented                    uint64 // decisions that a rule forbids and that were not carried out
	resultsEvicted                                              uint64 // restartFields results given up for memory
	reports, reportErrors                                       uint64 // to the announce service
	reloads                                                     uint64 // configurations taken over
}

// reading is one counter and its name in the log.
type reading struct {
	name  string
	value uint64
}

// logCounters logs the counters, and what there is at this moment, in one line.
func (s *Server) logCounters(why string) {
	c := &s.counters
	s.logReadings("counters", []zap.Field{zap.String("why", why)}, append([]reading{
		{"connections", uint64(s.conns.Len())}, {"open", uint64(len(s.attempts))}, {"running", uint64(s.backend.OpenRuns())},
		{"keys", uint64(len(s.keys.entries))}, {"result_bytes", uint64(s.keys.resultBytes)},
		{"accepted", c.accepted}, {"turned_away", c.connsRejected}, {"made_room", c.connsEvicted},
		{"accept_errors", c.acceptErrors}, {"idle_closed", c.idleClosed}, {"unfinished", c.requestTimeouts},
		{"broken", c.protocolErrors}, {"lost", c.requestsLost}, {"requests", c.requests}, {"retries", c.retries},
		{"repeats", c.coalesced}, {"aborted", c.aborted}, {"malformed", c.malformed}, {"too_large", c.tooLarge},
		{"too_many", c.tooMany}, {"bad_role", c.badRole}, {"invalid", c.invalid}, {"served", c.served},
		{"refused", c.rejected}, {"failed", c.failed}, {"reused", c.replayed}, {"checks", c.healthChecks},
		{"checks_bad", c.healthChecksFailed}, {"direct", c.directAnswers}, {"runs", c.runs}, {"ended", c.runsFinished}, {"errored", c.runsFailed},
		{"stopped", c.runsStopped}, {"moot", c.runsNotStarted}, {"calls", c.calls}, {"ran_twice", c.secondRunsPrevented}, {"refused_ran", c.rejectionsPrevented},
		{"results_dropped", c.resultsEvicted}, {"reports", c.reports}, {"report_errors", c.reportErrors},
		{"reloads", c.reloads}}, s.backend.Counters()...))
	s.logClassCounters(why)
	if s.durable != nil && why != "exit" {
		s.logReadings("state", nil, s.durable.readings())
	}
	s.logCaptureCounters()
}

// logReadings logs counters in one line, behind other fields.
func (s *Server) logReadings(msg string, fields []zap.Field, readings []reading) {
	for _, r := range readings {
		fields = append(fields, zap.Uint64(r.name, r.value))
	}
	s.log.Info(msg, fields...)
}
