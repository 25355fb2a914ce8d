package scenario

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tillerusher/internal/simnet"
)

// Generate is a short day with faults and incidents that a seed draws.
func Generate(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0xda7))
	s := Defaults()
	s.Name = "drawn"
	s.Duration = time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	s.Servers, s.Gateways, s.MaxAttempts = 1+rng.IntN(2), 1+rng.IntN(3), 1+rng.IntN(4)
	s.Rate = 50 + 500*rng.Float64()
	s.IdempotentShare, s.RetryAfterShare = rng.Float64(), float64(rng.IntN(2))
	s.MeanRunTime = time.Duration(1+rng.IntN(20)) * time.Millisecond
	s.Network = simnet.NetworkConfig{Delay: time.Duration(rng.IntN(500)) * time.Microsecond, Jitter: time.Duration(rng.IntN(2000)) * time.Microsecond,
		PartialIO: rng.Float64() * 0.5, DatagramLoss: rng.Float64() * 0.1, DatagramDuplication: rng.Float64() * 0.1}
	s.DuplicateShare, s.HedgeShare, s.AbortShare = rng.Float64()*0.5, rng.Float64()*0.2, rng.Float64()*0.05
	if rng.IntN(3) == 0 {
		s.MaxOpenFiles = 340 + rng.IntN(30)
	}
	kinds := []IncidentKind{Crash, Restart, SlowInterpreter, LoadSpike, Partition, ConfigReload, MachinePause, SlowReaders, ConnectionResets, MalformedInput, LinkLoss, LinkLoss, ConnectionFlood}
	for range 1 + rng.IntN(6) {
		s.Incidents = append(s.Incidents, Incident{Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(rng.Int64N(int64(s.Duration))),
			Duration: time.Duration(rng.Int64N(int64(1500 * time.Millisecond))), Server: rng.IntN(s.Servers + 1), Factor: 0.5 + 4*rng.Float64()})
	}
	return &s
}

// HasViolations tells whether a day broke a rule.
func (r *Report) HasViolations() bool { return r.ViolationCount > 0 || r.Unanswered > 0 }

// Finding is a seed whose day broke a rule.
type Finding struct {
	Seed   uint64  `json:"seed"`
	Report *Report `json:"report"`
}

// Exploration is what a hunt saw.
type Exploration struct {
	Seeds      int          `json:"seeds"`
	Requests   int          `json:"requests"`
	Attempts   int          `json:"tries"`
	Runs       int          `json:"runs"`
	Served     int          `json:"served"`
	Rejected   int          `json:"refused"`
	Failed     int          `json:"failed"`
	Lost       int          `json:"lost"`
	Simulation simnet.Stats `json:"world"`
	Findings   []Finding    `json:"found"`
}

// Explore plays days that seeds draw, from one seed on, until so many were played, the context ends, or so many broke a rule.
func Explore(ctx context.Context, first uint64, seeds, maxFindings, parallel int, progress func(done, of int)) (*Exploration, error) {
	result := &Exploration{}
	var mu sync.Mutex
	var firstErr error
	next := 0
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= seeds || len(result.Findings) >= maxFindings || firstErr != nil || ctx.Err() != nil {
			return 0, false
		}
		next++
		return first + uint64(next-1), true
	}
	var all sync.WaitGroup
	for range parallel {
		all.Add(1)
		go func() {
			defer all.Done()
			for seed, more := take(); more; seed, more = take() {
				r, err := Run(Generate(seed), seed)
				mu.Lock()
				if err != nil {
					firstErr = err
				} else {
					result.add(seed, r)
				}
				if progress != nil {
					progress(result.Seeds, seeds)
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	slices.SortFunc(result.Findings, func(a, b Finding) int { return cmp.Compare(a.Seed, b.Seed) })
	return result, firstErr
}

// add takes in a day.
func (h *Exploration) add(seed uint64, r *Report) {
	h.Seeds++
	h.Requests, h.Attempts, h.Runs = h.Requests+r.Requests, h.Attempts+r.Attempts, h.Runs+r.Runs
	h.Served, h.Rejected, h.Failed, h.Lost = h.Served+r.Served, h.Rejected+r.Rejected, h.Failed+r.Failed, h.Lost+r.Lost
	h.Simulation.Add(r.Simulation)
	if r.HasViolations() {
		h.Findings = append(h.Findings, Finding{seed, r})
	}
}

// Shrink is the smallest scenario that it finds which still breaks a rule with the seed: without incidents that it takes
// nothing from, with fewer servers and gateways, less load, and a network without faults, as far as that goes.
func Shrink(s *Scenario, seed uint64) (*Scenario, error) {
	violates := func(c *Scenario) (bool, error) {
		r, err := Run(c, seed)
		return err == nil && r.HasViolations(), err
	}
	small := *s
	for isSmaller := true; isSmaller; {
		isSmaller = false
		for _, step := range smallerVariants(&small) {
			ok, err := violates(step)
			if err != nil {
				return nil, err
			}
			if ok {
				small, isSmaller = *step, true
				break
			}
		}
	}
	return &small, nil
}

// smallerVariants are the scenarios that are a little smaller than one.
func smallerVariants(s *Scenario) (list []*Scenario) {
	with := func(change func(c *Scenario)) {
		c := *s
		c.Incidents = slices.Clone(s.Incidents)
		change(&c)
		list = append(list, &c)
	}
	for n := range s.Incidents {
		with(func(c *Scenario) { c.Incidents = slices.Delete(c.Incidents, n, n+1) })
	}
	if s.Servers > 1 {
		with(func(c *Scenario) {
			c.Servers = 1
			for n := range c.Incidents {
				c.Incidents[n].Server = min(c.Incidents[n].Server, 1)
			}
		})
	}
	if s.Gateways > 1 {
		with(func(c *Scenario) { c.Gateways = 1 })
	}
	if s.MaxAttempts > 1 {
		with(func(c *Scenario) { c.MaxAttempts-- })
	}
	if s.Network.PartialIO+s.Network.DatagramLoss+s.Network.DatagramDuplication > 0 {
		with(func(c *Scenario) {
			c.Network.PartialIO, c.Network.DatagramLoss, c.Network.DatagramDuplication = 0, 0, 0
		})
	}
	if s.Rate > 2 {
		with(func(c *Scenario) { c.Rate /= 2 })
	}
	if s.Duration > 2*time.Second {
		with(func(c *Scenario) { c.Duration -= time.Second })
	}
	return list
}
