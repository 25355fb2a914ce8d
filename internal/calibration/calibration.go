// Package fidelity holds the model against the real daemon: the same small worlds are played over loopback, by a storm with
// its stand-in interpreter, and in virtual time.
package calibration

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/loadtest"
)

// Case is one world that both can play.
type Case struct {
	Name        string
	Load        float64 // of what the interpreter can do
	MeanWork    time.Duration
	Cores       int
	KeyedShare  float64
	ResendShare float64
	MaxAttempts int
	ArrivalKind arrival.Kind
}

// Cases are twelve of them, from calm to overload.
func Cases() []Case {
	const ms = time.Millisecond
	return []Case{
		{"calm", 0.3, 20 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"calm, long runs", 0.3, 60 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"half", 0.5, 20 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"half, in bursts", 0.5, 20 * ms, 2, 0.1, 0.1, 3, arrival.Bursty},
		{"busy", 0.7, 20 * ms, 2, 0.1, 0.1, 3, arrival.Poisson},
		{"busy, reads only", 0.8, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
		{"busy, long runs", 0.8, 60 * ms, 2, 0.05, 0.1, 3, arrival.Poisson},
		{"full", 0.95, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
		{"full, one try", 1, 20 * ms, 2, 0, 0, 1, arrival.Poisson},
		{"over", 1.2, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
		{"over, one try", 1.5, 20 * ms, 2, 0, 0, 1, arrival.Poisson},
		{"far over", 2, 20 * ms, 2, 0, 0, 3, arrival.Poisson},
	}
}

// requestRate is the world's first tries a second.
func (w Case) requestRate() float64 { return w.Load * float64(w.Cores) / w.MeanWork.Seconds() }

// arrivalConfig are the world's.
func (w Case) arrivalConfig() arrival.Config {
	return arrival.Config{Kind: w.ArrivalKind, Rate: w.requestRate(), BurstFactor: 1.8, BurstFraction: 0.2, MeanBurst: 2 * time.Second}
}

// Metrics are what is compared.
type Metrics struct {
	ServedShare        float64 `json:"share"`
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	AttemptsPerRequest float64 `json:"tries"` // of a request
}

// Comparison is one world by both.
type Comparison struct {
	CaseName  string  `json:"world"`
	Daemon    Metrics `json:"real"`
	Simulated Metrics `json:"model"`
	Deviation string  `json:"miss,omitempty"` // what lies further apart than the bounds
}

// The bounds within which the two should agree.
const (
	maxShareDifference  = 0.03
	maxLatencyDeviation = 0.15
)

// loopbackDelay is what a request takes on loopback beside its run: four times through sockets.
const loopbackDelay = 600 * time.Microsecond

// interpreterIdle is what a core of the interpreter stands idle between the end of a run and the command for the next: in a storm at
// one and a half times what the cores can do, with runs of 20 ms, their gauge reads 0.989.
const interpreterIdle = 220 * time.Microsecond

// clusterConfig is the world as the model has it.
func (w Case) clusterConfig(span time.Duration) clustersim.Config {
	m := clustersim.DefaultConfig()
	m.Name, m.Duration = w.Name, span
	s := &m.Servers
	s.Count, s.InitialEndpoints, s.Cores, s.SpeedCV, s.ThrashFactor, s.ReadCost = 1, 2, w.Cores, 0, 0, 0
	s.MemoryKB, s.KeyKB, s.RunningMemoryFactor, s.RequestKB = 40000, 50, 16, [2]float64{24.5, 24.5}
	s.DrainGracePeriod, s.MaxRetryAfter, s.BacklogPerCore = 300*time.Millisecond, time.Second, 1<<16
	for i := range m.Classes {
		m.Classes[i].MeanWork, m.Classes[i].Distribution = w.MeanWork+interpreterIdle, clustersim.Exponential
	}
	m.Classes[0].Share, m.Classes[1].Share = 1-w.KeyedShare, w.KeyedShare
	m.Tenants = []clustersim.Tenant{{Name: "central", Share: 0.7, Quota: 55}, {Name: "northern", Share: 0.3, Quota: 26}}
	m.Gateways = []clustersim.GatewayConfig{{Count: 3, Share: 1, Balancing: clustersim.RoundRobin, Retry: clustersim.RetryBackoff, MaxAttempts: w.MaxAttempts, ResendShare: w.ResendShare, NoClientTimeout: true}}
	m.NetworkDelay, m.EndpointListDelay, m.Arrival, m.Skew = loopbackDelay/2, 0, w.arrivalConfig(), 0
	return m
}

// Compare plays all worlds by both, several storms at once, and returns a row for each: means over as many seeds by both, with
// the same arrivals.
func Compare(ctx context.Context, daemon string, span time.Duration, seeds, atOnce int, progress func(done, of int)) ([]Comparison, error) {
	worlds := Cases()
	type played struct {
		real, model Metrics
		err         error
	}
	all := make([][]played, len(worlds))
	slots := make(chan struct{}, max(atOnce, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, w := range worlds {
		all[i] = make([]played, seeds)
		for seed := range seeds {
			group.Add(1)
			go func() {
				defer group.Done()
				slots <- struct{}{}
				defer func() { <-slots }()
				p := &all[i][seed]
				if p.real, p.err = w.measureDaemon(ctx, daemon, span, uint64(seed+1)); p.err == nil {
					p.model, p.err = w.simulate(ctx, span, uint64(seed+1))
				}
				mu.Lock()
				defer mu.Unlock()
				if done++; progress != nil {
					progress(done, len(worlds)*seeds)
				}
			}()
		}
	}
	group.Wait()
	rows := make([]Comparison, len(worlds))
	for i, w := range worlds {
		rows[i].CaseName = w.Name
		for _, p := range all[i] {
			if p.err != nil {
				return nil, p.err
			}
			rows[i].Daemon.addShare(p.real, seeds)
			rows[i].Simulated.addShare(p.model, seeds)
		}
		rows[i].Deviation = rows[i].describeDeviation()
	}
	return rows, nil
}

// addShare adds a part of a mean.
func (f *Metrics) addShare(g Metrics, of int) {
	n := float64(of)
	f.ServedShare, f.P50, f.P99, f.AttemptsPerRequest = f.ServedShare+g.ServedShare/n, f.P50+g.P50/n, f.P99+g.P99/n, f.AttemptsPerRequest+g.AttemptsPerRequest/n
}

// measureDaemon plays a world over loopback.
func (w Case) measureDaemon(ctx context.Context, daemon string, span time.Duration, seed uint64) (Metrics, error) {
	c := loadtest.Defaults()
	c.Daemon, c.Args, c.Requests, c.Rate, c.Seed = daemon, []string{"serve"}, int(span.Seconds()*w.requestRate()), w.requestRate(), seed
	c.IdempotentShare, c.RepeatShare, c.MaxAttempts, c.InterpreterCores, c.MeanWork = w.KeyedShare, w.ResendShare, w.MaxAttempts, w.Cores, w.MeanWork
	c.CutLink, c.Reload, c.DrainRequests, c.Arrival = false, false, 0, w.arrivalConfig()
	r, err := loadtest.Run(ctx, c)
	if err != nil {
		return Metrics{}, err
	}
	if len(r.Violations) > 0 {
		return Metrics{}, fmt.Errorf("fidelity: %s: %s", w.Name, r.Violations[0])
	}
	return Metrics{r.ServedShare, r.P50, r.P99, float64(r.Attempts) / float64(max(r.Requests, 1))}, nil
}

// simulate plays a world in virtual time, with the arrivals of the storm of that seed.
func (w Case) simulate(ctx context.Context, span time.Duration, seed uint64) (Metrics, error) {
	m := w.clusterConfig(span)
	times, err := loadtest.ArrivalTimes(w.arrivalConfig(), seed, int(span.Seconds()*w.requestRate()))
	if err != nil {
		return Metrics{}, err
	}
	m.Arrival = arrival.Config{Kind: arrival.Replay, Times: times}
	m.Duration = times[len(times)-1] + time.Second
	r, err := clustersim.Run(ctx, m, clustersim.AdmissionModule, seed)
	if err != nil {
		return Metrics{}, err
	}
	n := float64(max(r.Requests, 1))
	return Metrics{float64(r.Served) / n, r.P50, r.P99, float64(r.Attempts-r.Resends) / n}, nil
}

// describeDeviation names what lies too far apart.
func (r *Comparison) describeDeviation() string {
	text := ""
	if d := r.Simulated.ServedShare - r.Daemon.ServedShare; math.Abs(d) > maxShareDifference {
		text += fmt.Sprintf(" share %+.3f", d)
	}
	for _, q := range []struct {
		name        string
		real, model float64
	}{{"p50", r.Daemon.P50, r.Simulated.P50}, {"p99", r.Daemon.P99, r.Simulated.P99}} {
		if d := q.model/q.real - 1; math.Abs(d) > maxLatencyDeviation {
			text += fmt.Sprintf(" %s %+.0f %%", q.name, 100*d)
		}
	}
	return text
}
