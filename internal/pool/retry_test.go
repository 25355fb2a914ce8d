package pool

import (
	"testing"
	"time"
)

// TestDecideRetry never retries what may have run and must not run twice, and retries within the limits.
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
		t.Errorf("after the retry timeout: %v", got)
	}
	p.Pick(request, 0)
	if got := p.DecideRetry(request, Failure{Condition: ConnectionError}, DefaultRetryOn, 0); got != AttemptsExhausted {
		t.Errorf("after the last attempt: %v", got)
	}
}

// TestRetryStorm has every member fail four attempts in five for ten seconds: with the budget the attempts stay under 1.2
// times the requests.
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
				if random.Float64() >= 0.8 { // a retry fails as often: the outage is everywhere
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
		t.Errorf("attempts per request: %.3f with the budget, %.3f without", with, without)
	}
}
