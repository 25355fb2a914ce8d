package calibration

import (
	"context"
	"fmt"
	"math"
	"time"

	"tillerusher/internal/arrival"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/loadtest"
	"tillerusher/internal/workerpool"
)

// Metrics are the metrics that are compared. Latencies are in milliseconds.
type Metrics struct {
	ServedShare        float64 `json:"share"`
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	AttemptsPerRequest float64 `json:"tries"`
}

// Comparison compares the metrics of the daemon and of the simulation in one case.
type Comparison struct {
	CaseName  string  `json:"world"`
	Daemon    Metrics `json:"real"`
	Simulated Metrics `json:"model"`
	Deviation string  `json:"miss,omitempty"` // metrics that differ by more than the bounds
}

// Bounds of the deviation of the simulation from the daemon.
const (
	maxShareDifference  = 0.03 // absolute
	maxLatencyDeviation = 0.15 // relative to the daemon
)

// measurement is the result of a case with one seed.
type measurement struct {
	daemon, simulated Metrics
	err               error
}

// Compare runs all cases with the daemon and in the simulation, and returns a comparison for each case. daemon is the path
// of the daemon's binary, and parallel the number of runs that are made concurrently. The metrics are means over the seeds.
// The daemon and the simulation get the same arrivals from a seed. Compare calls progress, if it is not nil, with the
// number of runs that are done.
//
// Compare makes all runs even if one fails. It then returns the error of the first failed run in the order of cases and
// seeds.
func Compare(ctx context.Context, daemon string, duration time.Duration, seeds, parallel int,
	progress func(done, of int)) ([]Comparison, error) {
	cases := Cases()
	measure := func(_ context.Context, i int) (measurement, error) {
		return cases[i/seeds].measure(ctx, daemon, duration, uint64(i%seeds+1)), nil
	}
	runs := make([]measurement, 0, len(cases)*seeds)
	collect := func(m measurement) error {
		runs = append(runs, m)
		if progress != nil {
			progress(len(runs), cap(runs))
		}
		return nil
	}
	uncanceled := context.WithoutCancel(ctx) // so that all runs are made
	if err := workerpool.RunOrdered(uncanceled, 0, cap(runs), max(parallel, 1), measure, collect); err != nil {
		return nil, err
	}
	comparisons := make([]Comparison, len(cases))
	for i, c := range cases {
		comparisons[i].CaseName = c.Name
		if err := comparisons[i].compute(runs[i*seeds : (i+1)*seeds]); err != nil {
			return nil, err
		}
	}
	return comparisons, nil
}

// compute sets the metrics to the means over the runs of the case, and describes their deviation. It returns the error of
// the first run that failed.
func (c *Comparison) compute(runs []measurement) error {
	for _, m := range runs {
		if m.err != nil {
			return m.err
		}
		c.Daemon.addToMean(m.daemon, len(runs))
		c.Simulated.addToMean(m.simulated, len(runs))
	}
	c.Deviation = c.describeDeviation()
	return nil
}

// addToMean adds one of n values to the mean m.
func (m *Metrics) addToMean(value Metrics, n int) {
	count := float64(n)
	m.ServedShare += value.ServedShare / count
	m.P50 += value.P50 / count
	m.P99 += value.P99 / count
	m.AttemptsPerRequest += value.AttemptsPerRequest / count
}

// measure runs the case with one seed, first with the daemon and then in the simulation.
func (c Case) measure(ctx context.Context, daemon string, duration time.Duration, seed uint64) (m measurement) {
	if m.daemon, m.err = c.measureDaemon(ctx, daemon, duration, seed); m.err == nil {
		m.simulated, m.err = c.simulate(ctx, duration, seed)
	}
	return m
}

// measureDaemon runs the case with the daemon, in a load test over loopback. A violated invariant is an error.
func (c Case) measureDaemon(ctx context.Context, daemon string, duration time.Duration, seed uint64) (Metrics, error) {
	config := loadtest.DefaultConfig()
	config.Daemon = daemon
	config.Args = []string{"serve"}
	config.Seed = seed
	config.Requests = c.requestCount(duration)
	config.Rate = c.requestRate()
	config.Arrival = c.arrivalConfig()
	config.IdempotentShare = c.KeyedShare
	config.RepeatShare = c.ResendShare
	config.MaxAttempts = c.MaxAttempts
	config.InterpreterCores = c.Cores
	config.MeanWork = c.MeanWork
	config.CutLink = false
	config.Reload = false
	config.DrainRequests = 0
	result, err := loadtest.Run(ctx, config)
	if err != nil {
		return Metrics{}, err
	}
	if len(result.Violations) > 0 {
		return Metrics{}, fmt.Errorf("calibration: %s: %s", c.Name, result.Violations[0])
	}
	return Metrics{
		ServedShare:        result.ServedShare,
		P50:                result.P50,
		P99:                result.P99,
		AttemptsPerRequest: float64(result.Attempts) / float64(max(result.Requests, 1)),
	}, nil
}

// simulate runs the case in virtual time, with the arrivals of the load test of the same seed.
func (c Case) simulate(ctx context.Context, duration time.Duration, seed uint64) (Metrics, error) {
	times, err := loadtest.ArrivalTimes(c.arrivalConfig(), seed, c.requestCount(duration))
	if err != nil {
		return Metrics{}, err
	}
	config := c.clusterConfig(duration)
	config.Arrival = arrival.Config{Kind: arrival.Replay, Times: times}
	config.Duration = times[len(times)-1] + time.Second
	result, err := clustersim.Run(ctx, config, clustersim.AdmissionModule, seed)
	if err != nil {
		return Metrics{}, err
	}
	requests := float64(max(result.Requests, 1))
	return Metrics{
		ServedShare:        float64(result.Served) / requests,
		P50:                result.P50,
		P99:                result.P99,
		AttemptsPerRequest: float64(result.Attempts-result.Resends) / requests,
	}, nil
}

// describeDeviation returns the names and deviations of the metrics that differ by more than the bounds, or "". The text is
// part of the JSON output.
func (c *Comparison) describeDeviation() string {
	text := ""
	if d := c.Simulated.ServedShare - c.Daemon.ServedShare; math.Abs(d) > maxShareDifference {
		text += fmt.Sprintf(" share %+.3f", d)
	}
	text += describeLatency("p50", c.Daemon.P50, c.Simulated.P50)
	text += describeLatency("p99", c.Daemon.P99, c.Simulated.P99)
	return text
}

// describeLatency returns the name and the relative deviation of a latency if the deviation exceeds the bound, or "".
func describeLatency(name string, daemon, simulated float64) string {
	if deviation := simulated/daemon - 1; math.Abs(deviation) > maxLatencyDeviation {
		return fmt.Sprintf(" %s %+.0f %%", name, 100*deviation)
	}
	return ""
}
