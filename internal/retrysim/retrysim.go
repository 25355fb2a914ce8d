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
	Members                int
	RequestRate            float64       // requests a second
	Duration               time.Duration // of it all
	OutageStart, OutageEnd time.Duration // of the outage
	FailureShare           float64       // part of the tries that fail in it
	BudgetShare            float64       // of the budget; 0 is none
	Seed                   uint64
}

// Defaults are a storm of ten seconds in which every member fails 30 % of its tries.
func Defaults() Config {
	return Config{Members: 5, RequestRate: 1000, Duration: 30 * time.Second, OutageStart: 10 * time.Second, OutageEnd: 20 * time.Second, FailureShare: 0.3,
		BudgetShare: 0.15, Seed: 1}
}

// Sample is a stretch of the storm.
type Sample struct {
	EndSeconds  float64 `json:"at"`     // its end, in seconds
	LoadFactor  float64 `json:"load"`   // tries over requests
	ServedShare float64 `json:"served"` // part of the requests
}

// step is the length of a stretch.
const step = 500 * time.Millisecond

// Run plays a storm.
func Run(c Config) ([]Sample, error) {
	cfg := pool.DefaultConfig()
	cfg.Name, cfg.RetryRatio, cfg.MinRetriesPerSecond = "storm", c.BudgetShare, 0
	cfg.EjectionErrorRate, cfg.EjectionLatencyFactor = 0, 0 // all fail alike: nobody stands out
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
	var points []Sample
	requests, tries, served := 0, 0, 0
	end := step
	for now := time.Duration(0); now < c.Duration; now += time.Duration(rng.ExpFloat64() / c.RequestRate * float64(time.Second)) {
		for now >= end {
			n := float64(max(requests, 1))
			points = append(points, Sample{end.Seconds(), float64(tries) / n, float64(served) / n})
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
			if out := now >= c.OutageStart && now < c.OutageEnd; !out || rng.Float64() >= c.FailureShare {
				p.Finish(addr, pool.Succeeded, time.Millisecond, now)
				served++
				break
			}
			p.Finish(addr, pool.Failed, time.Millisecond, now)
			if p.DecideRetry(r, pool.Failure{Condition: pool.ConnectionError}, pool.DefaultRetryOn, now) != pool.Retry {
				break
			}
		}
	}
	return points, nil
}
