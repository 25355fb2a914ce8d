// Package storm starts a real daemon with the project's own stand-ins on loopback and drives a bounded, mixed load at
// it: first tries at an open rate, further tries, repeats of what was served, a lost link, a reload and a drain.
// Latency counts from the moment a request was meant to be sent, so a server that stands still cannot hide it.
package loadtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerusher/internal/arrival"
)

// Config is what a storm is.
type Config struct {
	Daemon           string         // the daemon's program
	Args             []string       // arguments of it
	Requests         int            // first tries
	Rate             float64        // first tries a second
	Arrival          arrival.Config // when first tries come, at the rate above; a kind of "" is Poisson
	Gateways         int            // connections, of 32 open requests at the most
	IdempotentShare  float64        // part of the first tries that are of the keyed class
	RepeatShare      float64        // part of the served keyed requests that come again
	MaxAttempts      int            // of one request, the first included
	Seed             uint64         // of all that is drawn
	InterpreterCores int            // of the interpreter
	MeanWork         time.Duration  // mean time of a core that a run takes
	DrainRequests    int            // first tries that come in the drain
	CutLink          bool           // the interpreter's link is cut three times
	Reload           bool           // SIGHUP comes half way
	Restart          bool           // the daemon is killed half way, and started again
	RemoveStateDir   string         // directory that is removed while it is down; "" is none
	PinnedCore       int            // core that the daemon is kept on; -1 is any
	MemoryMB         int
	Progress         func(done, of int) // called after each first try that was sent
}

// Defaults are a storm of half a minute that asks for half as much again as the interpreter can do.
func Defaults() Config {
	return Config{Requests: 20000, Rate: 800, Gateways: 32, IdempotentShare: 0.3, RepeatShare: 0.1, MaxAttempts: 3, Seed: 1, InterpreterCores: 2,
		MeanWork: 4 * time.Millisecond, CutLink: true, Reload: true, PinnedCore: -1, MemoryMB: 64, DrainRequests: 20}
}

// Validate names the first value that makes no sense.
func (c Config) Validate() error {
	switch {
	case c.Requests < 1 || c.Requests > 10_000_000:
		return fmt.Errorf("storm: %d requests, want 1 to 10,000,000", c.Requests)
	case !(c.Rate > 0) || c.Rate > 1e6:
		return fmt.Errorf("storm: a rate of %v, want more than 0 and at most 1,000,000 a second", c.Rate)
	case c.Arrival.Kind != "" && c.arrivals().Validate() != nil:
		return fmt.Errorf("storm: %w", c.arrivals().Validate())
	case c.Gateways < 1 || c.Gateways > 256:
		return fmt.Errorf("storm: %d gateways, want 1 to 256", c.Gateways)
	case c.IdempotentShare < 0 || c.IdempotentShare > 1 || c.RepeatShare < 0 || c.RepeatShare > 1:
		return fmt.Errorf("storm: parts of %v and %v, want 0 to 1", c.IdempotentShare, c.RepeatShare)
	case c.DrainRequests < 0 || c.MaxAttempts < 1 || c.InterpreterCores < 1 || c.MeanWork < 0 || c.MemoryMB < 16:
		return fmt.Errorf("storm: %d tries, %d cores, %v of work and %d MB, want at least 1, 1, 0 and 16", c.MaxAttempts, c.InterpreterCores,
			c.MeanWork, c.MemoryMB)
	}
	return nil
}

// arrivals is the process by which first tries come.
func (c Config) arrivals() *arrival.Config {
	a := c.Arrival
	if a.Kind == "" {
		a.Kind = arrival.Poisson
	}
	a.Rate = c.Rate
	return &a
}

// ArrivalTimes are the times at which the first tries of a storm of a seed come, counted from its start.
func ArrivalTimes(c arrival.Config, seed uint64, n int) ([]time.Duration, error) {
	p, err := arrival.New(c, arrivalStream(seed))
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	list := make([]time.Duration, 0, n)
	for range n {
		at, more := p.Next()
		if !more {
			break
		}
		list = append(list, at)
	}
	return list, nil
}

// arrivalStream is the source of chance for arrivals.
func arrivalStream(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
