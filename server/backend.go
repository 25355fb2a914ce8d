package server

import "time"

// Runner starts the run of one attempt. A RequestParser sets one in each request: the catalogue server's is the same for
// all requests, the router's holds the request's route.
type Runner interface {
	// Run starts the run of a request. The backend reports the end of the run by one call of Server.RunFinished.
	Run(r *Request)
}

// Backend runs requests: in the platform's interpreter, or on the members of pools. Only the loop's goroutine calls its
// methods.
type Backend interface {
	// Connect starts the backend. Server.Run calls it before any other method. The backend calls Server.BackendStarted
	// as soon as it can run requests.
	Connect()
	// Withdraw cancels a run that has not started, and reports whether it did. The end of a withdrawn run is not
	// reported to the server.
	Withdraw(requestID string) bool
	// Stop requests the end of a run. The end is reported by Server.RunFinished like any other.
	Stop(requestID string)
	// IsReady reports whether commands are sent immediately, instead of kept until a link is up.
	IsReady() bool
	// OpenRuns returns the number of runs that have not ended.
	OpenRuns() int
	// QueryGauges queries the site's gauges and passes them to done. ok is false if there is no answer.
	QueryGauges(now time.Time, done func(values []float64, ok bool))
	// CheckHealth checks whether the backend can do work, and passes the outcome to done.
	CheckHealth(now time.Time, done func(ok bool))
	// Reconfigure applies the part of a reloaded configuration that concerns the backend.
	Reconfigure(cfg *Config)
	// Counters returns the backend's own counters for the log.
	Counters() []Counter
	// Close closes the backend's connections. It is called only after Connect.
	Close()
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// The outcomes of runs.
const (
	RunSucceeded  RunOutcome = iota // it has a result
	RunAnswered                     // it has an answer, but nothing ran
	RunFailed                       // it has no result, and may have had an effect
	RunStopped                      // it was stopped before its end
	RunRejected                     // the backend rejected it and nothing ran
	RunNotStarted                   // nothing was started: the run had already ended
)
