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
	Daemon   string         // the daemon's program
	Args     []string       // arguments of it
	Requests int            // first tries
	Rate     float64        // first tries a second
	Arrival  arrival.Config // when first tries come, at the rate above; a kind of "" is Poisson
	Gateways int            // connections, of 32 open requests at the most
	Keyed    float64        // part of the first tries that are of the keyed class
	Repeat   float64        // part of the served keyed requests that come again
	Tries    int            // of one request, the first included
	Seed     uint64         // of all that is drawn
	Cores    int            // of the interpreter
	Work     time.Duration  // mean time of a core that a run takes
	Tail     int            // first tries that come in the drain
	CutLink  bool           // the interpreter's link is cut three times
	Reload   bool           // SIGHUP comes half way
	Restart  bool           // the daemon is killed half way, and started again
	Forget   string         // directory that is removed while it is down; "" is none
	Pin      int            // core that the daemon is kept on; -1 is any
	MemoryMB int
	Progress func(done, of int) // called after each first try that was sent
}

// Defaults are a storm of half a minute that asks for half as much again as the interpreter can do.
func Defaults() Config {
	return Config{Requests: 20000, Rate: 800, Gateways: 32, Keyed: 0.3, Repeat: 0.1, Tries: 3, Seed: 1, Cores: 2,
		Work: 4 * time.Millisecond, CutLink: true, Reload: true, Pin: -1, MemoryMB: 64, Tail: 20}
}

// Check names the first value that makes no sense.
func (c Config) Check() error {
	switch {
	case c.Requests < 1 || c.Requests > 10_000_000:
		return fmt.Errorf("storm: %d requests, want 1 to 10,000,000", c.Requests)
	case !(c.Rate > 0) || c.Rate > 1e6:
		return fmt.Errorf("storm: a rate of %v, want more than 0 and at most 1,000,000 a second", c.Rate)
	case c.Arrival.Kind != "" && c.arrivals().Check() != nil:
		return fmt.Errorf("storm: %w", c.arrivals().Check())
	case c.Gateways < 1 || c.Gateways > 256:
		return fmt.Errorf("storm: %d gateways, want 1 to 256", c.Gateways)
	case c.Keyed < 0 || c.Keyed > 1 || c.Repeat < 0 || c.Repeat > 1:
		return fmt.Errorf("storm: parts of %v and %v, want 0 to 1", c.Keyed, c.Repeat)
	case c.Tail < 0 || c.Tries < 1 || c.Cores < 1 || c.Work < 0 || c.MemoryMB < 16:
		return fmt.Errorf("storm: %d tries, %d cores, %v of work and %d MB, want at least 1, 1, 0 and 16", c.Tries, c.Cores,
			c.Work, c.MemoryMB)
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

// Arrivals are the times at which the first tries of a storm of a seed come, counted from its start.
func Arrivals(c arrival.Config, seed uint64, n int) ([]time.Duration, error) {
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
