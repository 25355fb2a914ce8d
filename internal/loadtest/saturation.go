package loadtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/internal/fake"
)

// Throughput is what a daemon held while its callers always had as much open as they may. Latencies are in milliseconds.
type Throughput struct {
	Capturing   bool    `json:"capture"`
	Rate        float64 `json:"rate"` // answers a second
	P50         float64 `json:"p50_ms"`
	P99         float64 `json:"p99_ms"`
	P999        float64 `json:"p999_ms"`
	CPUMicros   float64 `json:"cpu_us"` // of the daemon, for each answer
	LostRecords float64 `json:"lost"`   // records that were not captured
}

// fill computes what is told of latencies.
func (l *Throughput) fill(h *hdrhistogram.Histogram, over time.Duration) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	l.Rate, l.P50, l.P99, l.P999 = float64(h.TotalCount())/over.Seconds(), ms(50), ms(99), ms(99.9)
}

// CaptureCost compares loads with the capture on and off that were taken in turn.
type CaptureCost struct {
	Rounds []Throughput       `json:"rounds"`
	Ratio  map[string]float64 `json:"ratio"` // median over the pairs of on over off
}

// SaturationConfig is what the cost of capturing is measured with.
type SaturationConfig struct {
	Daemon        string
	Gateways      int           // connections
	OpenRequests  int           // requests that each keeps open
	RoundDuration time.Duration // of each round
	Rounds        int           // pairs of on and off
	PinnedCore    int           // core of the daemon
	Progress      func(done, of int)
}

// ratios are those of two loads.
func ratios(a, b *Throughput) map[string]float64 {
	return map[string]float64{"rate": a.Rate / b.Rate, "p50": a.P50 / b.P50, "p99": a.P99 / b.P99, "p999": a.P999 / b.P999, "cpu": a.CPUMicros / b.CPUMicros}
}

// median is the middle of a list, which it sorts.
func median(list []float64) float64 {
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}

// MeasureCaptureCost has a daemon on one core answer as much as it can, in rounds with the capture on and off in turn. Runs
// take no time, so that the daemon's own work is all there is.
func MeasureCaptureCost(ctx context.Context, c SaturationConfig) (*CaptureCost, error) {
	dir, err := os.MkdirTemp("", "tillerusher-cost")
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	defer os.RemoveAll(dir)
	cost := &CaptureCost{Ratio: map[string]float64{}}
	of := map[string][]float64{}
	for round := range 2 * c.Rounds {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		// The first of a pair is once on and once off, so that a machine that slows down favours neither.
		on := (round+round/2)%2 == 0
		args := []string{"serve"}
		if on {
			args = append(args, "--capture", filepath.Join(dir, fmt.Sprint(round)))
		}
		l, _, err := hold(c, args, nil)
		if err != nil {
			return nil, err
		}
		l.Capturing = on
		cost.Rounds = append(cost.Rounds, *l)
		if round%2 == 1 {
			a, b := &cost.Rounds[round], &cost.Rounds[round-1]
			if !a.Capturing {
				a, b = b, a
			}
			for name, v := range ratios(a, b) {
				of[name] = append(of[name], v)
			}
		}
		if c.Progress != nil {
			c.Progress(round+1, 2*c.Rounds)
		}
	}
	for name, list := range of {
		cost.Ratio[name] = median(list)
	}
	return cost, nil
}

// hold runs one round, with a further caller where there is one, and returns the daemon, which has ended, as well.
func hold(c SaturationConfig, args []string, further func(d *daemon, end time.Time) error) (*Throughput, *daemon, error) {
	cfg := Defaults()
	cfg.Daemon, cfg.Args, cfg.PinnedCore = c.Daemon, args, c.PinnedCore
	d, err := start(cfg)
	if err != nil {
		return nil, nil, err
	}
	defer d.kill()
	d.interpreter.StopSimulatingWork()
	end := time.Now().Add(c.RoundDuration)
	var mu sync.Mutex
	all, errs := newLatencies(), []error(nil)
	var callers sync.WaitGroup
	call := func(work func() error) {
		callers.Add(1)
		go func() {
			defer callers.Done()
			if err := work(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		}()
	}
	for range c.Gateways {
		call(func() error {
			h, err := caller(d.addr, c.OpenRequests, end)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				all.Merge(h)
			}
			return err
		})
	}
	if further != nil {
		call(func() error { return further(d, end) })
	}
	callers.Wait()
	if len(errs) > 0 {
		return nil, nil, fmt.Errorf("storm: %w", errs[0])
	}
	d.cmd.Process.Signal(syscall.SIGTERM) // the status tells whether it came
	if code, err := d.wait(); err != nil || code != 0 {
		return nil, nil, fmt.Errorf("storm: the daemon ended with status %d: %w", code, err)
	}
	state := d.cmd.ProcessState
	l := &Throughput{CPUMicros: float64((state.UserTime() + state.SystemTime()).Microseconds()) / float64(max(all.TotalCount(), 1))}
	l.fill(all, c.RoundDuration)
	if m := d.logged("capture"); m != nil {
		l.LostRecords, _ = m["lost"].(float64)
	}
	return l, d, nil
}

// caller keeps so many requests open on one connection until the end, and returns how long each took.
func caller(addr string, open int, end time.Time) (*hdrhistogram.Histogram, error) {
	g, err := fake.Dial(addr)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	h := newLatencies()
	sent := make([]time.Time, open+1)
	send := func(id uint16) error {
		sent[id] = time.Now()
		return g.Write(fake.NewLookup("a body of a usual length, say").Encode(id))
	}
	for id := range open {
		if err := send(uint16(id + 1)); err != nil {
			return nil, err
		}
	}
	for waiting := open; waiting > 0; {
		a, err := g.ReadResponse(0, end.Add(patience))
		if err != nil {
			return nil, err
		}
		now := time.Now()
		record(h, now.Sub(sent[a.ID]))
		if now.Before(end) {
			if err := send(a.ID); err != nil {
				return nil, err
			}
			continue
		}
		waiting--
	}
	return h, nil
}
