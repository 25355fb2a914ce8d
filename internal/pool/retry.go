package pool

import "time"

// RetryCondition is a bit set of the ways in which an attempt can fail: the conditions of nginx's directive
// fastcgi_next_upstream, and Rejection.
type RetryCondition uint16

// The retry conditions.
const (
	ConnectionError RetryCondition = 1 << iota // the connection could not be established, or it broke
	Timeout                                    // no connection or no response in time
	InvalidHeader                              // the response can't be parsed
	HTTP500
	HTTP503
	HTTP403
	HTTP404
	HTTP429
	NonIdempotent // only in sets: nginx's condition to retry non-idempotent requests, too; DecideRetry ignores it
	Rejection     // the member reported that it did not process the request; always retryable
)

// DefaultRetryOn is nginx's default set of conditions under which a request is retried.
const DefaultRetryOn = ConnectionError | Timeout

// RetryDecision is the decision about a request whose attempt failed.
type RetryDecision uint8

// The retry decisions: Retry, or the reason against a retry.
const (
	Retry             RetryDecision = iota // the request is sent to another member
	NotRetryable                           // the failure is not among the conditions for a retry
	MayHaveRun                             // the request is non-idempotent, and the member may have run it
	AttemptsExhausted                      // the request has had RetryPolicy.MaxAttempts
	RetryTimeExceeded                      // RetryPolicy.RetryTimeout has passed
	BudgetExhausted                        // the pool's retry budget is empty
)

// retryDecisionTexts describe the decisions for operators.
var retryDecisionTexts = [...]string{
	Retry:             "the request is sent to another member",
	NotRetryable:      "the failure is not among the conditions for a retry",
	MayHaveRun:        "the request is non-idempotent and may have run",
	AttemptsExhausted: "the request has no attempts left",
	RetryTimeExceeded: "the request's retry timeout has passed",
	BudgetExhausted:   "the pool's retry budget is exhausted",
}

// String describes the decision for operators.
func (d RetryDecision) String() string { return retryDecisionTexts[d] }

// Failure is a failed attempt.
type Failure struct {
	Condition     RetryCondition
	Sent          bool // any part of the request may have reached the member
	NonIdempotent bool // the request must not run twice
}

// DecideRetry decides whether a request whose attempt failed is sent to another member. If so, it takes the retry from the
// budget. retryOn is the set of conditions under which requests of the route are retried.
//
// A non-idempotent request is never retried after any of it was sent, not even with NonIdempotent in retryOn, because the
// retry could run it twice. The exception is a request that the member rejected.
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

// AvailableRetries returns the number of retries that the budget allows now, which need not be whole.
func (p *Pool) AvailableRetries(now time.Duration) float64 {
	p.budget.add(0, now)
	return p.budget.tokens
}
