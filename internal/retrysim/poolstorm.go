// Package poolstorm plays a retry storm to the decisions of a pool in virtual time: what a budget for further tries is
// for can be seen without a socket.
package retrysim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tillerusher/internal/pool"
)

// Config is a storm: members fail a part of their tries for a while.
type Config struct {
	Members  int
	Rate     float64       // requests a second
	For      time.Duration // of it all
	From, To time.Duration // of the outage
	Fails    float64       // part of the tries that fail in it
	Share    float64       // of the budget; 0 is none
	Seed     uint64
}

// Defaults are a storm of ten seconds in which every member fails 30 % of its tries.
func Defaults() Config {
	return Config{Members: 5, Rate: 1000, For: 30 * time.Second, From: 10 * time.Second, To: 20 * time.Second, Fails: 0.3,
		Share: 0.15, Seed: 1}
}

// Point is a stretch of the storm.
type Point struct {
	At     float64 `json:"at"`     // its end, in seconds
	Load   float64 `json:"load"`   // tries over requests
	Served float64 `json:"served"` // part of the requests
}

// step is the length of a stretch.
const step = 500 * time.Millisecond

// Run plays a storm.
func Run(c Config) ([]Point, error) {
	cfg := pool.Defaults()
	cfg.Name, cfg.BudgetShare, cfg.BudgetLeast = "storm", c.Share, 0
	cfg.EjectErrors, cfg.EjectFactor = 0, 0 // all fail alike: nobody stands out
	for i := range c.Members {
		m := pool.DefaultMember(fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1))
		m.MaxFails = 0
		cfg.Members = append(cfg.Members, m)
	}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	p, err := pool.New(cfg, rng, 0)
	if err != nil {
		return nil, err
	}
	var points []Point
	requests, tries, served := 0, 0, 0
	end := step
	for now := time.Duration(0); now < c.For; now += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second)) {
		for now >= end {
			n := float64(max(requests, 1))
			points = append(points, Point{end.Seconds(), float64(tries) / n, float64(served) / n})
			requests, tries, served = 0, 0, 0
			end += step
		}
		requests++
		r := &pool.Request{}
		for {
			addr, ok := p.Pick(r, now)
			if !ok {
				break
			}
			tries++
			if out := now >= c.From && now < c.To; !out || rng.Float64() >= c.Fails {
				p.Done(addr, pool.OK, time.Millisecond, now)
				served++
				break
			}
			p.Done(addr, pool.Failed, time.Millisecond, now)
			if p.Next(r, pool.Failure{Condition: pool.Error}, pool.Last, now) != pool.Again {
				break
			}
		}
	}
	return points, nil
}
