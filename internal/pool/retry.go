package pool

import "time"

// RetryCondition is how a try failed, in nginx's terms (the directive fastcgi_next_upstream).
type RetryCondition uint16

// The conditions.
const (
	ConnectionError RetryCondition = 1 << iota // no connection, or it broke
	Timeout                                    // no connection or no answer in time
	InvalidHeader                              // an answer that makes no sense
	HTTP500
	HTTP503
	HTTP403
	HTTP404
	HTTP429
	NonIdempotent // also requests that must not run twice may go on
	Rejection     // the member said that it did not run it
)

// DefaultRetryOn are the conditions under which a request goes on to another member, by nginx's default.
const DefaultRetryOn = ConnectionError | Timeout

// RetryDecision is what becomes of a request whose try failed.
type RetryDecision uint8

// The verdicts.
const (
	Retry             RetryDecision = iota // it goes to another member
	NotRetryable                           // the failure is its end: the condition does not call for another try
	MayHaveRun                             // it may have run, and must not run twice
	AttemptsExhausted                      // its tries are used up
	RetryTimeExceeded                      // its time for further tries is over
	BudgetExhausted                        // the pool's budget for further tries is used up
)

// retryDecisionTexts say the verdicts.
var retryDecisionTexts = [...]string{"goes to another member", "the failure calls for no further try",
	"it may have run and must not run twice", "its tries are used up", "its time for further tries is over",
	"the budget for further tries is used up"}

// String says the verdict.
func (v RetryDecision) String() string { return retryDecisionTexts[v] }

// Failure is how a try failed.
type Failure struct {
	Condition     RetryCondition
	Sent          bool // any of the request may have reached the member
	NonIdempotent bool // the request must not run twice
}

// DecideRetry decides whether a request whose try failed goes to another member, and takes it from the budget where it does.
// On is the set of conditions under which requests of its route go on.
func (p *Pool) DecideRetry(r *Request, f Failure, on RetryCondition, now time.Duration) RetryDecision {
	switch {
	case f.NonIdempotent && f.Sent && f.Condition != Rejection:
		return MayHaveRun // whatever the route says: a second run would break the rule
	case f.Condition&on == 0 && f.Condition != Rejection:
		return NotRetryable
	case p.cfg.MaxAttempts > 0 && r.Attempts >= p.cfg.MaxAttempts:
		return AttemptsExhausted
	case p.cfg.RetryTimeout > 0 && now-r.FirstAttempt >= p.cfg.RetryTimeout:
		return RetryTimeExceeded
	case !p.budget.take(now):
		return BudgetExhausted
	}
	return Retry
}

// retryBudget is a bucket of tokens: each first try adds a part of one, each further try takes one, and no more than a few
// are kept. So tries made again can't multiply an outage, at its start as little as later: over any n requests they are
// at most the share of n, the tokens kept, and those that come by time alone for pools that are seldom used. A budget
// over a window, as Finagle's is, was tried first: it let a whole window's tries go in the first second of an outage.
type retryBudget struct {
	ratio, minPerSecond, burst float64
	tokens                     float64
	updatedAt                  time.Duration
}

// configure takes over the figures of a configuration.
func (b *retryBudget) configure(c Config) {
	if b.burst == 0 {
		b.tokens = c.RetryBurst // a new pool's bucket is full
	}
	b.ratio, b.minPerSecond, b.burst = c.RetryRatio, c.MinRetriesPerSecond, c.RetryBurst
}

// add puts tokens into the bucket, with those that came by time.
func (b *retryBudget) add(tokens float64, now time.Duration) {
	tokens += b.minPerSecond * max(now-b.updatedAt, 0).Seconds()
	b.updatedAt = max(b.updatedAt, now)
	b.tokens = min(b.tokens+tokens, b.burst)
}

// countFirstAttempt counts a first try.
func (b *retryBudget) countFirstAttempt(now time.Duration) { b.add(b.ratio, now) }

// take counts a further try where the budget allows it.
func (b *retryBudget) take(now time.Duration) bool {
	if b.ratio == 0 {
		return true
	}
	b.add(0, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// AvailableRetries is how many further tries could be made at once now.
func (p *Pool) AvailableRetries(now time.Duration) float64 {
	p.budget.add(0, now)
	return p.budget.tokens
}
