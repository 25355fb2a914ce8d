package server

import "time"

// Runner starts the run of one attempt. A RequestParser puts one into each request: the catalogue server's is the same
// for all, the router's holds the request's route.
type Runner interface {
	// Run starts the run of a request, whose end the backend reports by Server.RunFinished, once.
	Run(r *Request)
}

// Backend is where requests run: the platform's interpreter, or the members of pools. All methods are called by the
// loop's goroutine.
type Backend interface {
	// Connect starts the backend; Server.Run calls it first of all. The backend calls Server.BackendStarted once it
	// can run requests.
	Connect()
	// Withdraw cancels a run that has not begun, and returns whether it could. The end of a withdrawn run is not
	// reported.
	Withdraw(requestID string) bool
	// Stop asks for the end of a run, which is reported by Server.RunFinished as any other.
	Stop(requestID string)
	// IsReady returns whether a command is sent at once, not kept until a link is up.
	IsReady() bool
	// OpenRuns is how many runs have not ended.
	OpenRuns() int
	// QueryGauges asks for the site's gauges.
	QueryGauges(now time.Time, then func(values []float64, ok bool))
	// CheckHealth asks whether the backend can do work.
	CheckHealth(now time.Time, then func(ok bool))
	// Reconfigure applies the backend's part of a reloaded configuration.
	Reconfigure(cfg *Config)
	// Counters returns the backend's own counters, for the log.
	Counters() []Counter
	// Close closes the backend's connections. It is called only after Connect.
	Close()
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of runs.
const (
	RunSucceeded  RunOutcome = iota // it has a result
	RunAnswered                     // there is an answer for it, but nothing ran
	RunFailed                       // it has no result, and may have had an effect
	RunStopped                      // it was stopped before its end
	RunRejected                     // the backend rejected it and nothing ran
	RunNotStarted                   // it was stopped before it began
)
