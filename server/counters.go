package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
)

// connCounters count gateway connections since the start.
type connCounters struct {
	accepted, acceptErrors uint64
	rejected               uint64 // the table was full, and no connection could be evicted
	evicted                uint64 // to make room for new ones
	idleClosed             uint64
	timeouts               uint64 // of incomplete requests, and of answers that the gateway did not read
	protocolErrors         uint64
}

// counters count requests and runs since the start.
type counters struct {
	requests, retries, aborted uint64
	coalesced                  uint64 // retries that joined an earlier attempt
	requestsLost               uint64 // their connection closed before they were answered
	directAnswers              uint64 // answers that the parser gave, without the module

	malformed, tooLarge, tooMany, badRole, invalid uint64 // invalid requests
	incompleteEnded                                uint64 // incomplete requests that were ended for lack of memory

	served, rejected, failed uint64 // answers
	replayed                 uint64 // answers from the run of another attempt; also counted as served

	runsStarted, runsFinished, runsFailed, runsStopped, runsNotStarted uint64

	calls uint64 // runs that wanted a downstream call, which this server can't make
	// secondRunsPrevented and rejectionsPrevented count decisions of the module that were not carried out: see actions.
	secondRunsPrevented, rejectionsPrevented uint64
	resultsEvicted                           uint64 // stored results evicted to free memory; updated by expireKeys
	reloads                                  uint64 // configurations applied
}

// classCounters count the requests of one class since the start.
type classCounters struct {
	requests, served, rejected, failed uint64
}

// Counter is the value of a counter and its name in the log.
type Counter struct {
	Name  string
	Value uint64
}

// logReason is the reason for which counters are logged.
type logReason string

const (
	reasonSignal logReason = "asked" // a signal asked for them
	reasonExit   logReason = "exit"
)

// logCounters logs all counters and gauges, one line for each kind.
func (s *Server) logCounters(reason logReason) {
	s.logCounterLine("counters", []zap.Field{zap.String("why", string(reason))}, s.Counters())
	s.logClassCounters(reason)
	if s.durable != nil && reason != reasonExit {
		s.logCounterLine("state", nil, s.durable.counters())
	}
	s.logCaptureCounters()
}

// Counters returns the counters of the server and the backend. Only the loop's goroutine may call it.
func (s *Server) Counters() []Counter {
	conns, requests := &s.conns.counters, &s.counters
	return append([]Counter{
		{"connections", uint64(s.conns.len())},
		{"open_requests", uint64(len(s.attempts.byID))},
		{"running", uint64(s.backend.OpenRuns())},
		{"keys", uint64(len(s.keys.entries))},
		{"result_bytes", uint64(s.keys.resultBytes)},
		{"accepted", conns.accepted},
		{"connections_rejected", conns.rejected},
		{"connections_evicted", conns.evicted},
		{"accept_errors", conns.acceptErrors},
		{"idle_closed", conns.idleClosed},
		{"connection_timeouts", conns.timeouts},
		{"protocol_errors", conns.protocolErrors},
		{"requests_lost", requests.requestsLost},
		{"requests", requests.requests},
		{"retries", requests.retries},
		{"coalesced", requests.coalesced},
		{"aborted", requests.aborted},
		{"malformed", requests.malformed},
		{"too_large", requests.tooLarge},
		{"too_many", requests.tooMany},
		{"incomplete_ended", requests.incompleteEnded},
		{"bad_role", requests.badRole},
		{"invalid", requests.invalid},
		{"served", requests.served},
		{"rejected", requests.rejected},
		{"failed", requests.failed},
		{"replayed", requests.replayed},
		{"health_checks", s.health.checks},
		{"health_checks_failed", s.health.failed},
		{"direct_responses", requests.directAnswers},
		{"runs", requests.runsStarted},
		{"runs_finished", requests.runsFinished},
		{"runs_failed", requests.runsFailed},
		{"runs_stopped", requests.runsStopped},
		{"runs_not_started", requests.runsNotStarted},
		{"calls", requests.calls},
		{"second_runs_prevented", requests.secondRunsPrevented},
		{"rejections_prevented", requests.rejectionsPrevented},
		{"results_evicted", requests.resultsEvicted},
		{"load_reports", s.load.reports},
		{"load_report_errors", s.load.errors},
		{"reloads", requests.reloads},
	}, s.backend.Counters()...)
}

// logCounterLine logs counters in one line, after the given fields.
func (s *Server) logCounterLine(msg string, fields []zap.Field, counters []Counter) {
	for _, c := range counters {
		fields = append(fields, zap.Uint64(c.Name, c.Value))
	}
	s.log.Info(msg, fields...)
}

// rejectionNames maps the module's reasons for rejections to their names in the log.
var rejectionNames = map[admission.Reason]string{
	admission.AfterDrainGrace:      "after_drain_grace",
	admission.Stalled:              "stalled",
	admission.OutOfMemory:          "out_of_memory",
	admission.DeadlineReached:      "deadline_reached",
	admission.RateOverThreshold:    "rate_over_threshold",
	admission.PredictedWaitTooLong: "predicted_wait_too_long",
	admission.DeadlineUnreachable:  "deadline_unreachable",
	admission.LateWithoutWeight:    "late_without_weight",
	admission.LateWhileSaturated:   "late_while_saturated",
}

// logClassCounters logs the counters and the module's state of all classes in one line.
func (s *Server) logClassCounters(reason logReason) {
	var inspections []admission.ClassInspection
	if s.module.instance != nil {
		inspections = s.module.instance.Inspect().Classes
	}
	var classes []zap.Field
	for class, name := range s.site.ClassNames {
		c := &s.classCounters[class]
		fields := []zap.Field{
			zap.Uint64("requests", c.requests),
			zap.Uint64("served", c.served),
			zap.Uint64("rejected", c.rejected),
			zap.Uint64("failed", c.failed),
		}
		if inspections != nil {
			fields = append(fields, inspectionFields(&inspections[class])...)
		}
		classes = append(classes, zap.Dict(name, fields...))
	}
	s.log.Info("classes", zap.String("why", string(reason)), zap.Dict("classes", classes...))
}

// inspectionFields returns the module's current state of a class and its rejections by reason since the start.
func inspectionFields(class *admission.ClassInspection) []zap.Field {
	fields := []zap.Field{
		zap.Bool("starved", class.Starved),
		zap.Int("queued", class.QueuedWithinQuota+class.QueuedOverQuota),
		zap.Int("learned_runs", class.Samples),
		zap.Int64("core_ms", class.CoreTime.Round(time.Millisecond).Milliseconds()),
		zap.Int64("wall_ms", class.WallTime.Round(time.Millisecond).Milliseconds()),
	}
	for reason, n := range class.Rejections {
		if n > 0 {
			fields = append(fields, zap.Uint64(rejectionNames[admission.Reason(reason)], n))
		}
	}
	return fields
}
