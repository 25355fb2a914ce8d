package clustersim

import (
	"time"

	"tillerusher/admission"
)

// request is a request of a client. Its gateway sends a first attempt and may send retries.
type request struct {
	number     uint64
	class      int
	tenant     int
	resourceID uint64
	key        uint64  // idempotency key; 0 if the class is not idempotent by key
	work       float64 // seconds on a core of speed 1
	sizeKB     float64
	priority   float64 // 0 to 1, drawn from the band of its class; compared with the advertised load
	weight     float64 // earned in full by a response within the objective
	createdAt  time.Duration
	isResend   bool // sent again by a client that was served; it only checks that nothing runs twice
	gateway    *gateway
	requestProgress
}

// requestProgress is the state of a request at its gateway.
type requestProgress struct {
	attemptedServers []int // indices, in the order of the attempts
	attempts         int
	openAttempts     int
	stickyServer     int // the only server that may get a retry, since it may have run the request; -1 means any
	finished         bool
	deadlineEvent    *event // deadline of the client
	retryEvent       *event // delayed start of the next attempt
}

// attempt is one transmission of a request to a server.
type attempt struct {
	number       uint64 // unique in the run
	request      *request
	server       *server
	generation   int // generation of the server process to which it was sent
	isRetry      bool
	sentAt       time.Duration
	resultKnown  bool   // the gateway has received the result
	timeoutEvent *event // timeout after which the gateway sends another attempt
	attemptHandling
}

// attemptHandling is the state of an attempt at its server.
type attemptHandling struct {
	id           admission.RequestID
	arrivedAt    time.Duration
	readAt       time.Duration
	state        attemptState
	job          *job
	answered     bool
	succeeded    bool             // its run completed successfully
	original     *attempt         // earlier attempt that this one repeats
	followers    []*attempt       // repeats that wait for the outcome of this one
	rejectReason admission.Reason // the module's reason for rejecting it when it was read
}

// rejectReasonText returns the key of a rejection's reason in results. The module's reason is known only for a
// rejection at the time when the attempt was read.
func (a *attempt) rejectReasonText(now time.Duration) string {
	switch {
	case now > a.readAt:
		return "it was held, and its time ran short"
	case a.rejectReason == admission.Admitted:
		return "it was given up right after it was taken in"
	}
	return a.rejectReason.String()
}

// attemptState is the state of an attempt at its server.
type attemptState uint8

const (
	statePending attemptState = iota
	stateQueued
	stateRunning
	stateFollowing // waiting for the outcome of the attempt that it repeats
	stateEnded
)

// outcome is the result of an attempt, or of a request that was not served.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
	outcomeConnectionLost // the server process ended
	outcomeUnreachable    // the server refused the connection, so nothing ran
	outcomeTimedOut       // no response before the client's deadline
	outcomeCount
)

// outcomeNames are the keys of outcomes in results.
var outcomeNames = [outcomeCount]string{"served", "refused", "failed", "connection lost", "not reached", "no answer in time"}

// String returns the outcome's key in results.
func (o outcome) String() string { return outcomeNames[o] }
