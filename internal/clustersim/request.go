package clustersim

import (
	"time"

	"tillerusher/admission"
)

// request is a request of a client, with its first attempt and all retries that its gateway makes.
type request struct {
	number     uint64
	class      int
	tenant     int
	resourceID uint64
	key        uint64  // of a class that is idempotent by key, otherwise 0
	work       float64 // seconds on a core of speed 1
	sizeKB     float64
	priority   float64 // 0 to 1, by class weight and chance; compared with advertised load
	weight     float64 // earned by a response within the objective
	createdAt  time.Duration
	isResend   bool // sent again by a client that was served; only checks that nothing runs twice
	gateway    *gateway
	requestProgress
}

// requestProgress is a gateway's state of a request.
type requestProgress struct {
	attemptedServers []int // in order
	attempts         int
	openAttempts     int
	stickyServer     int // the only server that may have run the request and may get a retry, or -1
	finished         bool
	deadlineEvent    *event // the end of the client's wait
	retryEvent       *event // when the next attempt starts
}

// attempt is one transmission of a request to a server.
type attempt struct {
	number       uint64 // over the whole run
	request      *request
	server       *server
	generation   int // of the server's process when the attempt was sent
	isRetry      bool
	sentAt       time.Duration
	resultKnown  bool   // to the gateway
	timeoutEvent *event // when the gateway sends another attempt meanwhile
	attemptHandling
}

// attemptHandling is a server's state of an attempt.
type attemptHandling struct {
	id           admission.RequestID
	arrivedAt    time.Duration
	readAt       time.Duration
	state        attemptState
	job          *job
	answered     bool
	succeeded    bool             // it ran to its end
	original     *attempt         // that this one repeats
	followers    []*attempt       // repeats that wait for the end of this one
	rejectReason admission.Reason // for which the module would reject it when it is read
}

// rejectReasonText is the reason of a rejection, as far as it is known.
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
	stateFollowing // waiting for the end of the attempt that it repeats
	stateEnded
)

// outcome is how an attempt, or a request that wasn't served, ended.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
	outcomeConnectionLost // the server died
	outcomeUnreachable    // the server took no connection, so nothing ran
	outcomeTimedOut       // no response within the time that the client waits
	outcomeCount
)

// outcomeNames are the keys of outcomes in results.
var outcomeNames = [outcomeCount]string{"served", "refused", "failed", "connection lost", "not reached", "no answer in time"}

// String returns the outcome's key in results.
func (o outcome) String() string { return outcomeNames[o] }
