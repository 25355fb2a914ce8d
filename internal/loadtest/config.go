// Package loadtest starts a real daemon with the project's own fakes on loopback and drives a bounded, mixed load at it:
// first attempts at an open rate, retries, repeats of what was served, a lost link, a reload and a drain. Latency counts
// from the time at which a request was meant to be sent, so a server that stands still cannot hide it.
package loadtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/daemon"
)

// Config is a load test.
type Config struct {
	Daemon string   // the daemon's program
	Args   []string // its arguments

	Requests        int            // number of requests, each of which has a first attempt
	Rate            float64        // first attempts per second
	Arrival         arrival.Config // when first attempts come, at the rate above; a kind of "" is Poisson
	Gateways        int            // connections, of MaxOpenRequests each
	IdempotentShare float64        // share of the requests that have an idempotency key
	RepeatShare     float64        // share of the served requests with a key that are sent again
	MaxAttempts     int            // of one request, the first included
	Seed            uint64         // of all random numbers

	InterpreterCores int
	MeanWork         time.Duration // mean core time of a run

	DrainRequests  int    // requests that come while the daemon drains
	CutLink        bool   // whether the interpreter's link is cut three times
	Reload         bool   // whether SIGHUP comes half way
	Restart        bool   // whether the daemon is killed half way and started again
	RemoveStateDir string // a directory that is removed while the daemon is down; "" is none

	PinnedCore int                // the daemon's only core; -1 is any
	MemoryMB   int                // the daemon's configured memory limit
	Progress   func(done, of int) // called after each first attempt; nil is none
}

// Limits of what Validate accepts.
const (
	maxRequests = 10_000_000
	maxRate     = 1e6
	maxGateways = 256
	minMemoryMB = 16
)

// DefaultConfig returns a load test of half a minute that offers one and a half times the interpreter's capacity.
func DefaultConfig() Config {
	return Config{
		Requests: 20000, Rate: 800, Gateways: 32,
		IdempotentShare: 0.3, RepeatShare: 0.1, MaxAttempts: 3, Seed: 1,
		InterpreterCores: 2, MeanWork: 4 * time.Millisecond,
		DrainRequests: 20, CutLink: true, Reload: true,
		PinnedCore: daemon.AnyCore, MemoryMB: 64,
	}
}

// Validate returns an error for the first value that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Requests < 1 || c.Requests > maxRequests:
		return fmt.Errorf("storm: %d requests, want 1 to 10,000,000", c.Requests)
	case !(c.Rate > 0) || c.Rate > maxRate:
		return fmt.Errorf("storm: a rate of %v, want more than 0 and at most 1,000,000 a second", c.Rate)
	case c.Arrival.Kind != "" && c.arrivals().Validate() != nil:
		return fmt.Errorf("storm: %w", c.arrivals().Validate())
	case c.Gateways < 1 || c.Gateways > maxGateways:
		return fmt.Errorf("storm: %d gateways, want 1 to 256", c.Gateways)
	case c.IdempotentShare < 0 || c.IdempotentShare > 1 || c.RepeatShare < 0 || c.RepeatShare > 1:
		return fmt.Errorf("storm: parts of %v and %v, want 0 to 1", c.IdempotentShare, c.RepeatShare)
	case c.DrainRequests < 0 || c.MaxAttempts < 1 || c.InterpreterCores < 1 || c.MeanWork < 0 || c.MemoryMB < minMemoryMB:
		return fmt.Errorf("storm: %d tries, %d cores, %v of work and %d MB, want at least 1, 1, 0 and 16", c.MaxAttempts,
			c.InterpreterCores, c.MeanWork, c.MemoryMB)
	}
	return nil
}

// arrivals returns the process by which first attempts come.
func (c Config) arrivals() *arrival.Config {
	a := c.Arrival
	if a.Kind == "" {
		a.Kind = arrival.Poisson
	}
	a.Rate = c.Rate
	return &a
}

// ArrivalTimes returns the times of the first n first attempts in a load test with the seed, counted from its start.
func ArrivalTimes(config arrival.Config, seed uint64, n int) ([]time.Duration, error) {
	process, err := arrival.New(config, newArrivalRand(seed))
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	times := make([]time.Duration, 0, n)
	for range n {
		at, more := process.Next()
		if !more {
			break
		}
		times = append(times, at)
	}
	return times, nil
}

// newArrivalRand returns the random numbers of arrivals, which have a stream of their own: what is drawn elsewhere does not
// move them.
func newArrivalRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
