package pool

import (
	"testing"
	"time"
)

// TestDecideRetry checks that a non-idempotent request that may have run is never retried, and that other requests are
// retried within the limits.
func TestDecideRetry(t *testing.T) {
	p := newPool(t, RoundRobin, func(c *Config) { c.MaxAttempts, c.RetryTimeout = 2, time.Second }, 1, 1, 1)
	request := &Request{}
	p.Pick(request, 0)
	for f, want := range map[Failure]RetryDecision{
		{ConnectionError, true, true}:  MayHaveRun,
		{ConnectionError, false, true}: Retry,
		{HTTP500, true, false}:         NotRetryable,
		{Timeout, true, false}:         Retry,
		{Rejection, true, true}:        Retry,
	} {
		if got := p.DecideRetry(request, f, DefaultRetryOn|NonIdempotent, 0); got != want {
			t.Errorf("%+v: %v, want %v", f, got, want)
		}
	}
	if got := p.DecideRetry(request, Failure{Condition: ConnectionError}, DefaultRetryOn, time.Second); got != RetryTimeExceeded {
		t.Errorf("after the retry timeout: %v, want RetryTimeExceeded", got)
	}
	p.Pick(request, 0)
	if got := p.DecideRetry(request, Failure{Condition: ConnectionError}, DefaultRetryOn, 0); got != AttemptsExhausted {
		t.Errorf("after the last attempt: %v, want AttemptsExhausted", got)
	}
}

// TestRetryStorm checks the retry budget during an outage in which every member fails four of five attempts for ten
// seconds: there are at most 1.2 attempts per request with the budget, and at least 2 without it.
func TestRetryStorm(t *testing.T) {
	attemptsPerRequest := func(ratio float64) float64 {
		p := newPool(t, RoundRobin, func(c *Config) { c.RetryRatio, c.MinRetriesPerSecond, c.EjectionErrorRate = ratio, 0, 0 }, 1, 1, 1, 1, 1)
		random, attempts, requests := newRand(3), 0, 0
		for i := range 10_000 {
			now := time.Duration(i) * time.Millisecond
			request := &Request{}
			requests++
			for {
				addr, ok := p.Pick(request, now)
				if !ok {
					break
				}
				attempts++
				if random.Float64() >= 0.8 { // retries fail at the same rate: all members have the outage
					p.Finish(addr, Succeeded, time.Millisecond, now)
					break
				}
				p.Finish(addr, Neutral, time.Millisecond, now)
				if p.DecideRetry(request, Failure{Condition: ConnectionError}, DefaultRetryOn, now) != Retry {
					break
				}
			}
		}
		return float64(attempts) / float64(requests)
	}
	with, without := attemptsPerRequest(0.15), attemptsPerRequest(0)
	t.Logf("attempts per request: %.3f with the budget, %.3f without", with, without)
	if with > 1.2 || without < 2 {
		t.Errorf("attempts per request: %.3f with the budget, want at most 1.2; %.3f without, want at least 2", with, without)
	}
}
