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
		return fmt.Errorf("clustersim: config %s: %w", c.Name, err)
	}
	return nil
}

func (c *Config) validate() error {
	if c.Duration <= 0 || c.Duration > maxDuration {
		return fmt.Errorf("duration %v, want more than 0 and at most 24h", c.Duration)
	}
	if err := c.Servers.validate(); err != nil {
		return err
	}
	switch {
	case len(c.Classes) == 0 || len(c.Gateways) == 0:
		return errors.New("no classes or no gateways, want at least one of each")
	case c.ZipfExponent != 0 && c.ZipfExponent <= 1 || c.ResourceCount < 1:
		return fmt.Errorf("%d resources with a skew of %v, want at least 1 resource and a skew of 0 or above 1",
			c.ResourceCount, c.ZipfExponent)
	case c.NetworkDelay < 0 || c.EndpointListDelay < 0:
		return fmt.Errorf("network delay %v, endpoint list delay %v, want no negative delay", c.NetworkDelay, c.EndpointListDelay)
	}
	if _, ok := c.Servers.Feedback.admissionFeedback(); !ok {
		return fmt.Errorf("unknown feedback %q, want one of %v", c.Servers.Feedback, feedbackKinds())
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
		return fmt.Errorf("%d servers with %d cores each, want 0 to 100,000 servers with at least 1 core", s.Count, s.Cores)
	case !(s.Speed > 0) || s.SpeedCV < 0 || s.ThrashFactor < 0 || s.ReadCost < 0: // the negation rejects a NaN speed too
		return fmt.Errorf("speed %v, coefficient of variation %v, thrash factor %v, read cost %v, want a positive speed and no negative value",
			s.Speed, s.SpeedCV, s.ThrashFactor, s.ReadCost)
	case !s.MemoryConfig.fitsOneRequest():
		return fmt.Errorf("memory %v KB, request sizes %v KB, running memory factor %v, want positive ascending sizes, a factor of at least 1 "+
			"and memory for a running request of the largest size", s.MemoryKB, s.RequestKB, s.RunningMemoryFactor)
	case !(s.InitialCapacity > 0) || s.InitialCapacity > 1, s.MaxConcurrencyFactor < 1 || s.ConcurrencyWindow <= 0,
		s.Tick <= 0 || s.BacklogPerCore < 1:
		return fmt.Errorf("initial capacity %v, want more than 0 and at most 1; maximum concurrency factor %v, want at least 1; "+
			"concurrency window %v and tick %v, want more than 0; backlog of %d requests per core, want at least 1",
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
		return fmt.Errorf("class %s: share %v, mean work %v, coefficient of variation %v, latency objective %v, deadline %v, key window %v, "+
			"want a positive mean work and objective, a deadline no shorter than the objective, no negative value, and with "+
			"IdempotentByKey a positive key window and no NonIdempotent",
			c.Name, c.Share, c.MeanWork, c.CV, c.LatencyObjective, c.Deadline, c.KeyWindow)
	}
	switch c.Distribution {
	case Constant, Exponential, LogNormal:
	case Pareto:
		if c.CV <= 1 {
			return fmt.Errorf("class %s: a Pareto exponent of %v has no mean, want more than 1", c.Name, c.CV)
		}
	default:
		return fmt.Errorf("class %s: unknown distribution %q, want one of %v", c.Name, c.Distribution, Distributions())
	}
	return nil
}

func (g *GatewayConfig) validate(servers int) error {
	switch g.Balancing {
	case RoundRobin, PowerOfTwo, ResourceHash, Random:
	case LeastRequest, LowestLatency, WeightedRandom:
		if n := g.SubsetSize; n == 0 && servers > maxScannedServers || n > maxScannedServers {
			return fmt.Errorf("balancing policy %s scans all servers of a gateway, want a subset of at most %d servers",
				g.Balancing, maxScannedServers)
		}
	default:
		return fmt.Errorf("unknown balancing policy %q, want one of %v", g.Balancing, BalancingPolicies())
	}
	switch g.Retry {
	case RetryNever, RetryUnbounded, RetryBudgeted, RetryOnTimeout, RetryHedged, RetryBackoff:
	default:
		return fmt.Errorf("unknown retry policy %q, want one of %v", g.Retry, RetryPolicies())
	}
	if g.Count < 1 || g.Share < 0 || g.MaxAttempts < 1 || g.RetryBudget < 0 || g.AttemptTimeoutFactor < 0 || g.SubsetSize < 0 {
		return fmt.Errorf("%d gateways, share %v, %d attempts, retry budget %v, attempt timeout factor %v, subset size %d, "+
			"want at least 1 gateway and 1 attempt and no negative value",
			g.Count, g.Share, g.MaxAttempts, g.RetryBudget, g.AttemptTimeoutFactor, g.SubsetSize)
	}
	return nil
}
