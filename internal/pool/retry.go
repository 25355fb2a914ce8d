package pool

import "time"

// RetryCondition is how an attempt failed, as a set of bits: nginx's conditions (the directive fastcgi_next_upstream)
// and Rejection.
type RetryCondition uint16

// The conditions.
const (
	ConnectionError RetryCondition = 1 << iota // no connection, or it broke
	Timeout                                    // no connection or no answer in time
	InvalidHeader                              // an answer that can't be read
	HTTP500
	HTTP503
	HTTP403
	HTTP404
	HTTP429
	NonIdempotent // only in sets of conditions: non-idempotent requests may be retried, too
	Rejection     // the member said that it did not process the request; it is always retried
)

// DefaultRetryOn are the conditions under which a request is retried by nginx's default.
const DefaultRetryOn = ConnectionError | Timeout

// RetryDecision is what becomes of a request whose attempt failed.
type RetryDecision uint8

// The decisions: Retry, or why there is no retry.
const (
	Retry             RetryDecision = iota // it goes to another member
	NotRetryable                           // the condition calls for no retry
	MayHaveRun                             // it is non-idempotent, and the member may have run it
	AttemptsExhausted                      // it had RetryPolicy.MaxAttempts
	RetryTimeExceeded                      // RetryPolicy.RetryTimeout is over
	BudgetExhausted                        // the pool's retry budget is empty
)

// retryDecisionTexts describe the decisions for operators.
var retryDecisionTexts = [...]string{
	Retry:             "goes to another member",
	NotRetryable:      "the failure calls for no further try",
	MayHaveRun:        "it may have run and must not run twice",
	AttemptsExhausted: "its tries are used up",
	RetryTimeExceeded: "its time for further tries is over",
	BudgetExhausted:   "the budget for further tries is used up",
}

// String describes the decision for operators.
func (d RetryDecision) String() string { return retryDecisionTexts[d] }

// Failure is a failed attempt.
type Failure struct {
	Condition     RetryCondition
	Sent          bool // any of the request may have reached the member
	NonIdempotent bool // the request must not run twice
}

// DecideRetry decides whether a request whose attempt failed goes to another member, and takes the retry from the budget
// if it does. retryOn is the set of conditions under which requests of the route are retried.
//
// A non-idempotent request of which anything was sent is never retried, not even with NonIdempotent in retryOn: a retry
// could run it twice, unless the member rejected it.
func (p *Pool) DecideRetry(request *Request, failure Failure, retryOn RetryCondition, now time.Duration) RetryDecision {
	isRejected := failure.Condition == Rejection
	switch {
	case failure.NonIdempotent && failure.Sent && !isRejected:
		return MayHaveRun
	case failure.Condition&retryOn == 0 && !isRejected:
		return NotRetryable
	case p.cfg.MaxAttempts > 0 && request.Attempts >= p.cfg.MaxAttempts:
		return AttemptsExhausted
	case p.cfg.RetryTimeout > 0 && now-request.FirstAttempt >= p.cfg.RetryTimeout:
		return RetryTimeExceeded
	case !p.budget.take(now):
		return BudgetExhausted
	}
	return Retry
}

// AvailableRetries returns how many retries the budget allows at once now.
func (p *Pool) AvailableRetries(now time.Duration) float64 {
	p.budget.add(0, now)
	return p.budget.tokens
}
