package pool

import "time"

// retryBudget is a token bucket that limits retries, so that they can't multiply the load during an outage. Each first
// attempt adds a fraction of a token, and each retry takes one token. Over any n requests the number of retries is at most
// n times the ratio, plus the burst, plus the tokens that accrue over time for pools with little traffic.
//
// A budget over a sliding window, as in Finagle, allowed the retries of a whole window in the first second of an outage.
type retryBudget struct {
	ratio        float64 // tokens added by each first attempt; 0 disables the budget
	minPerSecond float64 // tokens added by time, whatever the attempts
	burst        float64 // capacity of the bucket
	tokens       float64
	updatedAt    time.Duration
}

// configure sets the limits. The bucket of a new budget is full.
func (b *retryBudget) configure(r RetryPolicy) {
	if b.burst == 0 {
		b.tokens = r.RetryBurst
	}
	b.ratio = r.RetryRatio
	b.minPerSecond = r.MinRetriesPerSecond
	b.burst = r.RetryBurst
}

// add adds tokens to the bucket, along with the tokens that accrued since the last call.
func (b *retryBudget) add(tokens float64, now time.Duration) {
	tokens += b.minPerSecond * max(now-b.updatedAt, 0).Seconds()
	b.updatedAt = max(b.updatedAt, now)
	b.tokens = min(b.tokens+tokens, b.burst)
}

// countFirstAttempt adds the tokens for a request's first attempt.
func (b *retryBudget) countFirstAttempt(now time.Duration) { b.add(b.ratio, now) }

// take takes a token for a retry, and reports whether the budget allows the retry.
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
