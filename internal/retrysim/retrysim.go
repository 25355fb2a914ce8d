// Package retrysim simulates a retry storm in virtual time, with the decisions of a real pool and without sockets. It shows
// the effect of a retry budget: with a budget the load on the members stays near the offered load, and without one retries
// multiply it.
package retrysim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerusher/internal/pool"
)

// Config is the configuration of a simulated outage, in which all members fail a share of their attempts.
type Config struct {
	Members                int
	RequestRate            float64       // requests per second
	Duration               time.Duration // length of the simulation
	OutageStart, OutageEnd time.Duration // since the start of the simulation
	FailureShare           float64       // share of the attempts that fail during the outage
	BudgetShare            float64       // retries per first attempt that the budget allows; 0 is no budget
	Seed                   uint64
}

// DefaultConfig returns the configuration of an outage of ten seconds, in which every member fails 30 % of its attempts.
func DefaultConfig() Config {
	return Config{
		Members:      5,
		RequestRate:  1000,
		Duration:     30 * time.Second,
		OutageStart:  10 * time.Second,
		OutageEnd:    20 * time.Second,
		FailureShare: 0.3,
		BudgetShare:  0.15,
		Seed:         1,
	}
}

// Sample is the load and the served share of one interval of the simulation.
type Sample struct {
	EndSeconds  float64 `json:"at"`     // end of the interval
	LoadFactor  float64 `json:"load"`   // attempts per request
	ServedShare float64 `json:"served"` // share of the requests that were served
}

const (
	sampleInterval  = 500 * time.Millisecond
	attemptDuration = time.Millisecond // duration of each attempt that is reported to the pool
)

// simulation is the state of a simulation.
type simulation struct {
	config Config
	rng    *rand.Rand
	pool   *pool.Pool

	requests, attempts, served int // in the current interval
}

// Run runs a simulation and returns a sample of each complete interval. An interval is complete when a request arrives
// after its end, so the last one is left out.
func Run(config Config) ([]Sample, error) {
	sim := &simulation{config: config, rng: rand.New(rand.NewPCG(config.Seed, 0))}
	members, err := pool.New(poolConfig(config), sim.rng, 0)
	if err != nil {
		return nil, err
	}
	sim.pool = members
	var samples []Sample
	intervalEnd := sampleInterval
	for now := time.Duration(0); now < config.Duration; now += sim.nextInterarrivalTime() {
		for now >= intervalEnd {
			samples = append(samples, sim.takeSample(intervalEnd))
			intervalEnd += sampleInterval
		}
		sim.simulateRequest(now)
	}
	return samples, nil
}

// poolConfig returns the configuration of a pool that ejects no member: all members fail at the same rate, so none is an
// outlier.
func poolConfig(c Config) pool.Config {
	config := pool.DefaultConfig()
	config.Name = "storm"
	config.RetryRatio = c.BudgetShare
	config.MinRetriesPerSecond = 0
	config.EjectionErrorRate = 0
	config.EjectionLatencyFactor = 0
	for i := range c.Members {
		member := pool.DefaultMember(fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1))
		member.MaxFails = 0
		config.Members = append(config.Members, member)
	}
	return config
}

// nextInterarrivalTime draws the time until the next request from an exponential distribution.
func (s *simulation) nextInterarrivalTime() time.Duration {
	return time.Duration(s.rng.ExpFloat64() / s.config.RequestRate * float64(time.Second))
}

// takeSample returns the sample of the interval that ends at end, and resets the counters for the next interval.
func (s *simulation) takeSample(end time.Duration) Sample {
	requests := float64(max(s.requests, 1))
	sample := Sample{end.Seconds(), float64(s.attempts) / requests, float64(s.served) / requests}
	s.requests = 0
	s.attempts = 0
	s.served = 0
	return sample
}

// simulateRequest makes attempts for one request until one succeeds or the pool refuses another. Attempts take no virtual
// time.
func (s *simulation) simulateRequest(now time.Duration) {
	s.requests++
	request := &pool.Request{}
	for {
		addr, ok := s.pool.Pick(request, now)
		if !ok {
			return
		}
		s.attempts++
		isOutage := now >= s.config.OutageStart && now < s.config.OutageEnd
		if !isOutage || s.rng.Float64() >= s.config.FailureShare {
			s.pool.Finish(addr, pool.Succeeded, attemptDuration, now)
			s.served++
			return
		}
		s.pool.Finish(addr, pool.Failed, attemptDuration, now)
		if s.pool.DecideRetry(request, pool.Failure{Condition: pool.ConnectionError}, pool.DefaultRetryOn, now) != pool.Retry {
			return
		}
	}
}
