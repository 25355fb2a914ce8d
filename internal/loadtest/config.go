// Package loadtest starts a real daemon with the fakes of package fake on loopback and sends it a bounded, mixed load: first
// attempts at a rate that does not depend on the answers (open loop), retries, repeats of served requests, link losses, a
// reload and a drain. Latency is measured from the time at which a request was due to be sent, so that a stalled server
// cannot hide it.
//
// The package also measures the cost of the capture and of keeping state, and the recovery after a restart.
package loadtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/daemon"
)

// Config configures a load test.
type Config struct {
	Daemon string   // program of the daemon
	Args   []string // arguments of the program

	Requests        int            // number of requests, each of which has a first attempt
	Rate            float64        // first attempts per second
	Arrival         arrival.Config // process of the first attempts; Rate overrides its rate, and the kind "" is Poisson
	Gateways        int            // connections, each with up to MaxOpenRequests open requests
	IdempotentShare float64        // share of the requests that have an idempotency key
	RepeatShare     float64        // share of the served requests with a key that are sent again
	MaxAttempts     int            // of one request, including the first
	Seed            uint64         // seed of all random numbers

	InterpreterCores int
	MeanWork         time.Duration // mean core time of a run

	DrainRequests  int    // requests that are sent while the daemon drains
	CutLink        bool   // whether the interpreter's link is cut after every Requests/4 requests, but not after the last request
	Reload         bool   // whether the daemon is reloaded half way, by SIGHUP
	Restart        bool   // whether the daemon is killed half way and started again
	RemoveStateDir string // directory that is removed while the daemon is down; "" is none

	PinnedCore int                // the only core that the daemon may use, or daemon.AnyCore
	MemoryMB   int                // the daemon's configured memory limit
	Progress   func(done, of int) // called after each first attempt; may be nil
}

// Limits that Validate checks.
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

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Requests < 1 || c.Requests > maxRequests:
		return fmt.Errorf("loadtest: %d requests, want 1 to 10,000,000", c.Requests)
	case !(c.Rate > 0) || c.Rate > maxRate:
		return fmt.Errorf("loadtest: a rate of %v requests/s, want more than 0 and at most 1,000,000", c.Rate)
	case c.Arrival.Kind != "" && c.arrivals().Validate() != nil:
		return fmt.Errorf("loadtest: %w", c.arrivals().Validate())
	case c.Gateways < 1 || c.Gateways > maxGateways:
		return fmt.Errorf("loadtest: %d gateways, want 1 to 256", c.Gateways)
	case c.IdempotentShare < 0 || c.IdempotentShare > 1 || c.RepeatShare < 0 || c.RepeatShare > 1:
		return fmt.Errorf("loadtest: an idempotent share of %v and a repeat share of %v, want 0 to 1", c.IdempotentShare, c.RepeatShare)
	case c.DrainRequests < 0 || c.MaxAttempts < 1 || c.InterpreterCores < 1 || c.MeanWork < 0 || c.MemoryMB < minMemoryMB:
		return fmt.Errorf("loadtest: %d attempts, %d cores, %d MB, mean work %v, %d requests in the drain, "+
			"want at least 1 attempt, 1 core and 16 MB, and no negative value",
			c.MaxAttempts, c.InterpreterCores, c.MemoryMB, c.MeanWork, c.DrainRequests)
	}
	return nil
}

// arrivals returns the configuration of the first attempts' arrival process, with Rate as its rate.
func (c Config) arrivals() *arrival.Config {
	a := c.Arrival
	if a.Kind == "" {
		a.Kind = arrival.Poisson
	}
	a.Rate = c.Rate
	return &a
}

// ArrivalTimes returns the times at which the first n requests of a load test with the seed arrive, measured from its start.
// It returns fewer if the process ends before.
func ArrivalTimes(config arrival.Config, seed uint64, n int) ([]time.Duration, error) {
	process, err := arrival.New(config, newArrivalRand(seed))
	if err != nil {
		return nil, fmt.Errorf("loadtest: %w", err)
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

// newArrivalRand returns the random number generator of the arrivals. It is separate from the load test's other generator, so
// that random numbers drawn for other purposes do not change the arrivals.
func newArrivalRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
