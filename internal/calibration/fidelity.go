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

// World is one world that both can play.
type World struct {
	Name   string
	Load   float64 // of what the interpreter can do
	Work   time.Duration
	Cores  int
	Keyed  float64
	Repeat float64
	Tries  int
	Kind   arrival.Kind
}

// Worlds are twelve of them, from calm to overload.
func Worlds() []World {
	const ms = time.Millisecond
	return []World{
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

// rate is the world's first tries a second.
func (w World) rate() float64 { return w.Load * float64(w.Cores) / w.Work.Seconds() }

// arrivals are the world's.
func (w World) arrivals() arrival.Config {
	return arrival.Config{Kind: w.Kind, Rate: w.rate(), Burst: 1.8, Part: 0.2, Stay: 2 * time.Second}
}

// Figures are what is compared.
type Figures struct {
	Share float64 `json:"share"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Tries float64 `json:"tries"` // of a request
}

// Row is one world by both.
type Row struct {
	World string  `json:"world"`
	Real  Figures `json:"real"`
	Model Figures `json:"model"`
	Miss  string  `json:"miss,omitempty"` // what lies further apart than the bounds
}

// The bounds within which the two should agree.
const (
	shareApart   = 0.03
	latencyApart = 0.15
)

// hop is what a request takes on loopback beside its run: four times through sockets.
const hop = 600 * time.Microsecond

// turn is what a core of the interpreter stands idle between the end of a run and the command for the next: in a storm at
// one and a half times what the cores can do, with runs of 20 ms, their gauge reads 0.989.
const turn = 220 * time.Microsecond

// world is the world as the model has it.
func (w World) world(span time.Duration) clustersim.World {
	m := clustersim.Defaults()
	m.Name, m.For = w.Name, span
	s := &m.Servers
	s.N, s.Listed, s.Cores, s.SpeedCV, s.Thrash, s.Read = 1, 2, w.Cores, 0, 0, 0
	s.MemoryKB, s.KeyKB, s.RunFactor, s.HoldKB = 40000, 50, 16, [2]float64{24.5, 24.5}
	s.DrainGrace, s.RetryAfter, s.Unread = 300*time.Millisecond, time.Second, 1<<16
	for i := range m.Classes {
		m.Classes[i].Work, m.Classes[i].Dist = w.Work+turn, clustersim.Exponential
	}
	m.Classes[0].Share, m.Classes[1].Share = 1-w.Keyed, w.Keyed
	m.Tenants = []clustersim.Tenant{{Name: "central", Share: 0.7, Quota: 55}, {Name: "northern", Share: 0.3, Quota: 26}}
	m.Callers = []clustersim.Gateway{{N: 3, Share: 1, Choice: clustersim.Round, Again: clustersim.Patient, Tries: w.Tries, Repeats: w.Repeat, Endless: true}}
	m.Delay, m.ListDelay, m.Arrival, m.Skew = hop/2, 0, w.arrivals(), 0
	return m
}

// Hold plays all worlds by both, several storms at once, and returns a row for each: means over as many seeds by both, with
// the same arrivals.
func Hold(ctx context.Context, daemon string, span time.Duration, seeds, atOnce int, progress func(done, of int)) ([]Row, error) {
	worlds := Worlds()
	type played struct {
		real, model Figures
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
				if p.real, p.err = w.real(ctx, daemon, span, uint64(seed+1)); p.err == nil {
					p.model, p.err = w.model(ctx, span, uint64(seed+1))
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
	rows := make([]Row, len(worlds))
	for i, w := range worlds {
		rows[i].World = w.Name
		for _, p := range all[i] {
			if p.err != nil {
				return nil, p.err
			}
			rows[i].Real.add(p.real, seeds)
			rows[i].Model.add(p.model, seeds)
		}
		rows[i].Miss = rows[i].miss()
	}
	return rows, nil
}

// add adds a part of a mean.
func (f *Figures) add(g Figures, of int) {
	n := float64(of)
	f.Share, f.P50, f.P99, f.Tries = f.Share+g.Share/n, f.P50+g.P50/n, f.P99+g.P99/n, f.Tries+g.Tries/n
}

// real plays a world over loopback.
func (w World) real(ctx context.Context, daemon string, span time.Duration, seed uint64) (Figures, error) {
	c := loadtest.Defaults()
	c.Daemon, c.Args, c.Requests, c.Rate, c.Seed = daemon, []string{"serve"}, int(span.Seconds()*w.rate()), w.rate(), seed
	c.Keyed, c.Repeat, c.Tries, c.Cores, c.Work = w.Keyed, w.Repeat, w.Tries, w.Cores, w.Work
	c.CutLink, c.Reload, c.Tail, c.Arrival = false, false, 0, w.arrivals()
	r, err := loadtest.Run(ctx, c)
	if err != nil {
		return Figures{}, err
	}
	if len(r.Breaches) > 0 {
		return Figures{}, fmt.Errorf("fidelity: %s: %s", w.Name, r.Breaches[0])
	}
	return Figures{r.Share, r.P50, r.P99, float64(r.Tries) / float64(max(r.Requests, 1))}, nil
}

// model plays a world in virtual time, with the arrivals of the storm of that seed.
func (w World) model(ctx context.Context, span time.Duration, seed uint64) (Figures, error) {
	m := w.world(span)
	times, err := loadtest.Arrivals(w.arrivals(), seed, int(span.Seconds()*w.rate()))
	if err != nil {
		return Figures{}, err
	}
	m.Arrival = arrival.Config{Kind: arrival.Replay, Recorded: times}
	m.For = times[len(times)-1] + time.Second
	r, err := clustersim.Run(ctx, m, clustersim.Module, seed)
	if err != nil {
		return Figures{}, err
	}
	n := float64(max(r.Requests, 1))
	return Figures{float64(r.Served) / n, r.P50, r.P99, float64(r.Tries-r.Repeats) / n}, nil
}

// miss names what lies too far apart.
func (r *Row) miss() string {
	text := ""
	if d := r.Model.Share - r.Real.Share; math.Abs(d) > shareApart {
		text += fmt.Sprintf(" share %+.3f", d)
	}
	for _, q := range []struct {
		name        string
		real, model float64
	}{{"p50", r.Real.P50, r.Model.P50}, {"p99", r.Real.P99, r.Model.P99}} {
		if d := q.model/q.real - 1; math.Abs(d) > latencyApart {
			text += fmt.Sprintf(" %s %+.0f %%", q.name, 100*d)
		}
	}
	return text
}
