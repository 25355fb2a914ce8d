package pool

import "time"

// retryBudget is a token bucket that bounds retries, so that they can't multiply the load of an outage: each first
// attempt adds a part of a token, each retry takes one, and the bucket holds a few. Over any n requests the retries are
// at most n times the ratio, the burst, and what comes by time alone for pools that are seldom used.
//
// A budget over a sliding window, as Finagle's is, let a whole window's retries go in the first second of an outage.
type retryBudget struct {
	ratio        float64 // tokens for each first attempt; 0 is no budget
	minPerSecond float64 // tokens by time alone
	burst        float64 // tokens that the bucket holds
	tokens       float64
	updatedAt    time.Duration
}

// configure takes over new limits. A new budget is full.
func (b *retryBudget) configure(r RetryPolicy) {
	if b.burst == 0 {
		b.tokens = r.RetryBurst
	}
	b.ratio = r.RetryRatio
	b.minPerSecond = r.MinRetriesPerSecond
	b.burst = r.RetryBurst
}

// add puts tokens into the bucket, with those that came by time.
func (b *retryBudget) add(tokens float64, now time.Duration) {
	tokens += b.minPerSecond * max(now-b.updatedAt, 0).Seconds()
	b.updatedAt = max(b.updatedAt, now)
	b.tokens = min(b.tokens+tokens, b.burst)
}

// countFirstAttempt adds what a request's first attempt brings.
func (b *retryBudget) countFirstAttempt(now time.Duration) { b.add(b.ratio, now) }

// take counts a retry if the budget allows it, and reports whether it does.
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
