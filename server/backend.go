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
	// Withdraw takes back a run that nothing has begun, and returns whether it could. The end of a run that was
	// taken back is not reported.
	Withdraw(requestID string) bool
	// Stop stops a run, whose end is reported in time.
	Stop(requestID string)
	// IsReady returns whether what is asked for now goes out at once.
	IsReady() bool
	// OpenRuns is how many runs have not ended.
	OpenRuns() int
	// QueryGauges asks for the site's gauges, and CheckHealth whether work gets done.
	QueryGauges(now time.Time, then func(values []float64, ok bool))
	CheckHealth(now time.Time, then func(ok bool))
	// Reconfigure takes over what concerns the backend of a configuration that was read again.
	Reconfigure(cfg *Config)
	// Counters are the backend's own, for the log.
	Counters() []Counter
	// Close gives up the backend's connections. It is called only after Connect.
	Close()
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of runs.
const (
	RunSucceeded  RunOutcome = iota // it made a result
	RunAnswered                     // there is an answer for it, but nothing ran
	RunFailed                       // it made no result; what was done is not known
	RunStopped                      // it was stopped before its end
	RunRejected                     // the backend rejected it and nothing ran
	RunNotStarted                   // it was stopped before it began
)
