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

// Draw is a short day with faults and incidents that a seed draws.
func Draw(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0xda7))
	s := Defaults()
	s.Name = "drawn"
	s.Length = time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
	s.Servers, s.Gateways, s.Tries = 1+rng.IntN(2), 1+rng.IntN(3), 1+rng.IntN(4)
	s.Rate = 50 + 500*rng.Float64()
	s.Keyed, s.Heeds = rng.Float64(), float64(rng.IntN(2))
	s.Work = time.Duration(1+rng.IntN(20)) * time.Millisecond
	s.Net = simnet.Net{Delay: time.Duration(rng.IntN(500)) * time.Microsecond, Jitter: time.Duration(rng.IntN(2000)) * time.Microsecond,
		Partial: rng.Float64() * 0.5, Lost: rng.Float64() * 0.1, Doubled: rng.Float64() * 0.1}
	s.Repeats, s.Hedges, s.Aborts = rng.Float64()*0.5, rng.Float64()*0.2, rng.Float64()*0.05
	if rng.IntN(3) == 0 {
		s.Files = 340 + rng.IntN(30)
	}
	kinds := []Kind{Death, Deploy, Slow, Jump, Partition, Reload, Standing, Trickle, Resets, Garbage, Cut, Cut, Flood}
	for range 1 + rng.IntN(6) {
		s.Incidents = append(s.Incidents, Incident{Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(rng.Int64N(int64(s.Length))),
			For: time.Duration(rng.Int64N(int64(1500 * time.Millisecond))), Server: rng.IntN(s.Servers + 1), Times: 0.5 + 4*rng.Float64()})
	}
	return &s
}

// Broken tells whether a day broke a rule.
func (r *Report) Broken() bool { return r.BreachesN > 0 || r.Unanswered > 0 }

// Finding is a seed whose day broke a rule.
type Finding struct {
	Seed   uint64  `json:"seed"`
	Report *Report `json:"report"`
}

// Hunted is what a hunt saw.
type Hunted struct {
	Seeds    int           `json:"seeds"`
	Requests int           `json:"requests"`
	Tries    int           `json:"tries"`
	Runs     int           `json:"runs"`
	Served   int           `json:"served"`
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Lost     int           `json:"lost"`
	World    simnet.Counts `json:"world"`
	Found    []Finding     `json:"found"`
}

// Hunt plays days that seeds draw, from one seed on, until so many were played, the context ends, or so many broke a rule.
func Hunt(ctx context.Context, first uint64, seeds, most, parallel int, progress func(done, of int)) (*Hunted, error) {
	h := &Hunted{}
	var mu sync.Mutex
	var failed error
	next := 0
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if next >= seeds || len(h.Found) >= most || failed != nil || ctx.Err() != nil {
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
				r, err := Run(Draw(seed), seed)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					h.add(seed, r)
				}
				if progress != nil {
					progress(h.Seeds, seeds)
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	slices.SortFunc(h.Found, func(a, b Finding) int { return cmp.Compare(a.Seed, b.Seed) })
	return h, failed
}

// add takes in a day.
func (h *Hunted) add(seed uint64, r *Report) {
	h.Seeds++
	h.Requests, h.Tries, h.Runs = h.Requests+r.Requests, h.Tries+r.Tries, h.Runs+r.Runs
	h.Served, h.Refused, h.Failed, h.Lost = h.Served+r.Served, h.Refused+r.Refused, h.Failed+r.Failed, h.Lost+r.Lost
	h.World.Add(r.World)
	if r.Broken() {
		h.Found = append(h.Found, Finding{seed, r})
	}
}

// Shrink is the smallest scenario that it finds which still breaks a rule with the seed: without incidents that it takes
// nothing from, with fewer servers and gateways, less load, and a network without faults, as far as that goes.
func Shrink(s *Scenario, seed uint64) (*Scenario, error) {
	breaks := func(c *Scenario) (bool, error) {
		r, err := Run(c, seed)
		return err == nil && r.Broken(), err
	}
	small := *s
	for again := true; again; {
		again = false
		for _, step := range steps(&small) {
			ok, err := breaks(step)
			if err != nil {
				return nil, err
			}
			if ok {
				small, again = *step, true
				break
			}
		}
	}
	return &small, nil
}

// steps are the scenarios that are a little smaller than one.
func steps(s *Scenario) (list []*Scenario) {
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
	if s.Tries > 1 {
		with(func(c *Scenario) { c.Tries-- })
	}
	if s.Net.Partial+s.Net.Lost+s.Net.Doubled > 0 {
		with(func(c *Scenario) { c.Net.Partial, c.Net.Lost, c.Net.Doubled = 0, 0, 0 })
	}
	if s.Rate > 2 {
		with(func(c *Scenario) { c.Rate /= 2 })
	}
	if s.Length > 2*time.Second {
		with(func(c *Scenario) { c.Length -= time.Second })
	}
	return list
}
