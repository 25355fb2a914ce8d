package clustersim

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Limits on a configuration.
const (
	maxDuration       = 24 * time.Hour
	maxServers        = 100_000
	maxScannedServers = 256 // servers that a gateway may scan for each attempt
)

// Validate returns an error for the first invalid parameter of the configuration.
func (c *Config) Validate() error {
	if err := c.validate(); err != nil {
		return fmt.Errorf("model: world %s: %w", c.Name, err)
	}
	return nil
}

func (c *Config) validate() error {
	if c.Duration <= 0 || c.Duration > maxDuration {
		return fmt.Errorf("it lasts %v, want more than 0 and at most a day", c.Duration)
	}
	if err := c.Servers.validate(); err != nil {
		return err
	}
	switch {
	case len(c.Classes) == 0 || len(c.Gateways) == 0:
		return errors.New("no classes or no gateways")
	case c.Skew != 0 && c.Skew <= 1 || c.ResourceCount < 1:
		return fmt.Errorf("%d subjects of a skew of %v, want at least 1 and a skew over 1 or none", c.ResourceCount, c.Skew)
	case c.NetworkDelay < 0 || c.EndpointListDelay < 0:
		return errors.New("a delay below 0")
	}
	if _, ok := c.Servers.Feedback.admissionFeedback(); !ok {
		return fmt.Errorf("no feedback is called %q", c.Servers.Feedback)
	}
	for i := range c.Classes {
		if err := c.Classes[i].validate(); err != nil {
			return err
		}
	}
	for i := range c.Gateways {
		if err := c.Gateways[i].validate(c.Servers.Count); err != nil {
			return err
		}
	}
	for i := range c.Incidents {
		if err := c.Incidents[i].validate(); err != nil {
			return err
		}
	}
	return c.Arrival.Validate()
}

func (s *ServerConfig) validate() error {
	switch {
	case s.Count < 0 || s.Count > maxServers || s.Cores < 1:
		return fmt.Errorf("%d servers of %d cores, want 0 to 100,000 of at least 1", s.Count, s.Cores)
	case !(s.Speed > 0) || s.SpeedCV < 0 || s.ThrashFactor < 0 || s.ReadCost < 0: // the negation rejects a NaN speed too
		return fmt.Errorf("speed %v with %v, thrash %v, read %v, want a speed over 0 and none below 0",
			s.Speed, s.SpeedCV, s.ThrashFactor, s.ReadCost)
	case !s.MemoryConfig.fitsOneRequest():
		return fmt.Errorf("a memory of %v KB can't run a request of %v KB", s.MemoryKB, s.RequestKB[1]*s.RunningMemoryFactor)
	case !(s.InitialCapacity > 0) || s.InitialCapacity > 1, s.MaxConcurrencyFactor < 1 || s.ConcurrencyWindow <= 0,
		s.Tick <= 0 || s.BacklogPerCore < 1:
		return fmt.Errorf("a cold share of %v, a crowd of %v over %v, a tick of %v or %d unread makes no sense",
			s.InitialCapacity, s.MaxConcurrencyFactor, s.ConcurrencyWindow, s.Tick, s.BacklogPerCore)
	}
	return nil
}

// fitsOneRequest reports whether the sizes are valid and the largest request fits in the memory while it runs.
func (m *MemoryConfig) fitsOneRequest() bool {
	smallest, largest := m.RequestKB[0], m.RequestKB[1]
	isInvalid := smallest <= 0 || largest < smallest || m.RunningMemoryFactor < 1 || m.MemoryKB < largest*m.RunningMemoryFactor
	return !isInvalid
}

func (c *Class) validate() error {
	switch {
	case c.Share < 0 || c.MeanWork <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective,
		c.IdempotentByKey && (c.KeyWindow <= 0 || c.NonIdempotent),
		math.IsNaN(c.CV) || c.CV < 0:
		return fmt.Errorf("class %s: a share, work, aim, deadline, window or spread makes no sense", c.Name)
	}
	switch c.Distribution {
	case Constant, Exponential, LogNormal:
	case Pareto:
		if c.CV <= 1 {
			return fmt.Errorf("class %s: a Pareto exponent of %v has no mean, want more than 1", c.Name, c.CV)
		}
	default:
		return fmt.Errorf("class %s: no distribution is called %q", c.Name, c.Distribution)
	}
	return nil
}

func (g *GatewayConfig) validate(servers int) error {
	switch g.Balancing {
	case RoundRobin, PowerOfTwo, ResourceHash, Random:
	case LeastRequest, LowestLatency, WeightedRandom:
		if n := g.SubsetSize; n == 0 && servers > maxScannedServers || n > maxScannedServers {
			return fmt.Errorf("gateways that choose by %s look at all their servers: want a subset of at most %d", g.Balancing, maxScannedServers)
		}
	default:
		return fmt.Errorf("no choice is called %q", g.Balancing)
	}
	switch g.Retry {
	case RetryNever, RetryUnbounded, RetryBudgeted, RetryOnTimeout, RetryHedged, RetryBackoff:
	default:
		return fmt.Errorf("no way to try again is called %q", g.Retry)
	}
	if g.Count < 1 || g.Share < 0 || g.MaxAttempts < 1 || g.RetryBudget < 0 || g.AttemptTimeoutFactor < 0 || g.SubsetSize < 0 {
		return fmt.Errorf("%d gateways with a share of %v, %d tries, a budget of %v, a wait of %v and a subset of %d make no sense",
			g.Count, g.Share, g.MaxAttempts, g.RetryBudget, g.AttemptTimeoutFactor, g.SubsetSize)
	}
	return nil
}
