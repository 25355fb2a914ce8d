package server

import (
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/gateway"
	"tillerusher/internal/interpreter"
)

// interpreterBackend runs requests in the platform's interpreter.
type interpreterBackend struct {
	server *Server
	client *interpreter.Client // nil until Connect
}

// Connect implements Backend.
func (b *interpreterBackend) Connect() {
	b.client = interpreter.Dial(b.server.loop, b.server.cfg.Interpreter, b)
}

// Run implements Runner.
func (b *interpreterBackend) Run(r *Request) {
	b.client.Submit(r.RequestID, b.server.site.ClassNames[r.Class], r.Body)
}

// Withdraw implements Backend.
func (b *interpreterBackend) Withdraw(requestID string) bool { return b.client.Withdraw(requestID) }

// Stop implements Backend.
func (b *interpreterBackend) Stop(requestID string) { b.client.Stop(requestID) }

// IsReady implements Backend.
func (b *interpreterBackend) IsReady() bool { return b.client.IsSynced() }

// OpenRuns implements Backend.
func (b *interpreterBackend) OpenRuns() int { return b.client.OpenRuns() }

// QueryGauges implements Backend.
func (b *interpreterBackend) QueryGauges(now time.Time, done func(values []float64, ok bool)) {
	b.client.QueryGauges(now, done)
}

// CheckHealth implements Backend.
func (b *interpreterBackend) CheckHealth(now time.Time, done func(ok bool)) {
	b.client.CheckHealth(now, done)
}

// Reconfigure implements Backend. Open runs continue over a link to the new address.
func (b *interpreterBackend) Reconfigure(cfg *Config) { b.client.Redirect(cfg.Interpreter) }

// Close implements Backend.
func (b *interpreterBackend) Close() { b.client.Close() }

// Counters implements Backend.
func (b *interpreterBackend) Counters() []Counter {
	stats := &b.client.Stats
	return []Counter{
		{"interpreter_connects", stats.Connects},
		{"runs_submitted", stats.Submitted},
		{"runs_resubmitted", stats.Resubmitted},
		{"stops_sent", stats.StopsSent},
		{"notices", stats.Notices},
		{"duplicate_notices", stats.DuplicateNotices},
		{"unknown_notices", stats.UnknownNotices},
		{"unanswered_queries", stats.UnansweredQueries},
	}
}

// InterpreterStarted implements interpreter.Handler.
func (b *interpreterBackend) InterpreterStarted(cold bool, age time.Duration) {
	b.server.BackendStarted(cold, age)
}

// CallRequested implements interpreter.Handler.
func (b *interpreterBackend) CallRequested(requestID string) { b.server.callRequested(requestID) }

// RunFinished implements interpreter.Handler.
func (b *interpreterBackend) RunFinished(requestID string, outcome interpreter.Outcome, result []byte) {
	b.server.RunFinished(requestID, runOutcome(outcome), gateway.Response{Status: statusOK, Body: result})
}

// ReportError implements interpreter.Handler.
func (b *interpreterBackend) ReportError(text string, err error) {
	b.server.log.Warn(text, zap.Error(err))
	b.server.Annotate("%s: %v", text, err)
}

// runOutcome converts the outcome of a run.
func runOutcome(outcome interpreter.Outcome) RunOutcome {
	switch outcome {
	case interpreter.OutcomeOK:
		return RunSucceeded
	case interpreter.OutcomeStopped:
		return RunStopped
	case interpreter.OutcomeRejected:
		return RunRejected
	case interpreter.OutcomeNotStarted:
		return RunNotStarted
	default:
		return RunFailed
	}
}
