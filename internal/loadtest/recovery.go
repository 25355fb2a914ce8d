package loadtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// RecoveryConfig is the measurement of the time that a daemon takes after a restart to serve as before.
type RecoveryConfig struct {
	Config       // of each load test; its seed is that of the first pair
	Pairs    int // of load tests with the same seed, one without and one with the state that was left
	Parallel int // load tests at a time
}

// Recovery is one load test with a restart half way.
type Recovery struct {
	Seed            uint64        `json:"seed"`
	StateRemoved    bool          `json:"cold"`     // while the daemon was down
	ServedBefore    float64       `json:"before"`   // share of the requests that was served before the restart
	ServedAfter     float64       `json:"after"`    // and from it on
	RecoverySeconds float64       `json:"seconds"`  // until the share was back; -1 is never
	Series          []SeriesPoint `json:"series"`   // by SeriesStep, from the start of the load test
	RestartStep     int           `json:"at"`       // the index in Series of the restart
	Violations      []string      `json:"breaches"` // a daemon without its state forgets keys, and may run them twice
}

// The served share has recovered when it is at least recoveredShare of what it was, over recoveryWindow steps. The first steps
// fill queues and those just before the restart are affected by it; the retries of the last ones are cut off by the end.
const (
	recoveredShare = 0.95
	recoveryWindow = 4
	firstSteps     = 12
	lastSteps      = 8
)

// MeasureRecovery runs load tests in pairs of the same seed in which the daemon is killed half way and started again, with
// and without the state that it left.
func MeasureRecovery(ctx context.Context, config RecoveryConfig) ([]Recovery, error) {
	if config.Pairs < 1 || config.Parallel < 1 {
		return nil, fmt.Errorf("storm: %d pairs, %d at a time, want at least 1", config.Pairs, config.Parallel)
	}
	dir, err := os.MkdirTemp("", "tillerusher-recovery")
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	defer os.RemoveAll(dir)
	recoveries := make([]Recovery, 2*config.Pairs)
	jobs := make(chan int)
	go func() {
		defer close(jobs)
		for n := range recoveries {
			jobs <- n
		}
	}()
	var mu sync.Mutex // guards recoveries, firstErr and done
	var firstErr error
	done := 0
	finish := func(n int, r *Recovery, err error) {
		mu.Lock()
		defer mu.Unlock()
		done++
		if config.Progress != nil {
			config.Progress(done, len(recoveries))
		}
		if err == nil {
			recoveries[n] = *r
		} else if firstErr == nil {
			firstErr = err
		}
	}
	var workers sync.WaitGroup
	for range config.Parallel {
		workers.Go(func() {
			for n := range jobs {
				seed, isStateRemoved := config.Seed+uint64(n/2), n%2 == 0
				r, err := measureRecovery(ctx, config.Config, filepath.Join(dir, fmt.Sprint(n)), seed, isStateRemoved)
				finish(n, r, err)
			}
		})
	}
	workers.Wait()
	if firstErr == nil {
		firstErr = ctx.Err()
	}
	return recoveries, firstErr
}

// measureRecovery runs one load test whose daemon keeps its state in a directory.
func measureRecovery(ctx context.Context, config Config, stateDir string, seed uint64, removeState bool) (*Recovery, error) {
	config.Seed, config.Restart, config.CutLink, config.Reload, config.Progress = seed, true, false, false, nil
	config.Args = append(slices.Clone(config.Args), "--state", stateDir)
	if removeState {
		config.RemoveStateDir = stateDir
	}
	result, err := Run(ctx, config)
	if err != nil {
		return nil, err
	}
	recovery := &Recovery{
		Seed:         seed,
		StateRemoved: removeState,
		Series:       result.Series,
		RestartStep:  int(result.RestartSeconds / SeriesStep.Seconds()),
		Violations:   result.Violations,
	}
	recovery.findRecovery()
	return recovery, nil
}

// findRecovery computes the served shares and when they were back.
func (r *Recovery) findRecovery() {
	r.ServedBefore, _ = r.servedShare(firstSteps, r.RestartStep-lastSteps)
	r.ServedAfter, _ = r.servedShare(r.RestartStep, len(r.Series)-lastSteps)
	r.RecoverySeconds = -1
	for n := r.RestartStep; n+recoveryWindow <= len(r.Series)-lastSteps; n++ {
		share, ok := r.servedShare(n, n+recoveryWindow)
		if ok && share >= recoveredShare*r.ServedBefore {
			r.RecoverySeconds = (time.Duration(n-r.RestartStep) * SeriesStep).Seconds()
			return
		}
	}
}

// servedShare returns the served share of the requests in a range of steps, and false where there were none.
func (r *Recovery) servedShare(from, to int) (share float64, ok bool) {
	var sum SeriesPoint
	for _, point := range r.Series[max(from, 0):min(max(to, 0), len(r.Series))] {
		sum.Requests += point.Requests
		sum.Served += point.Served
	}
	return float64(sum.Served) / float64(max(sum.Requests, 1)), sum.Requests > 0
}
