package loadtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"tillerusher/internal/workerpool"
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

// notRecovered is the RecoverySeconds of a daemon that did not recover.
const notRecovered = -1

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
	measurement := &recoveryMeasurement{config: config, dir: dir, recoveries: make([]Recovery, 2*config.Pairs)}
	workerpool.Run(config.Parallel, measurement.next, func(index int) { measurement.run(ctx, index) })
	if measurement.firstErr == nil {
		measurement.firstErr = ctx.Err()
	}
	return measurement.recoveries, measurement.firstErr
}

// recoveryMeasurement is a call of MeasureRecovery. Load tests 2i and 2i+1 are a pair; the first one's state is removed.
type recoveryMeasurement struct {
	config RecoveryConfig
	dir    string // has a directory of its own for the state of each load test

	mu         sync.Mutex // guards all that follows
	started    int
	finished   int
	recoveries []Recovery
	firstErr   error
}

// next returns the index of the next load test, or false if all have started.
func (m *recoveryMeasurement) next() (index int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started == len(m.recoveries) {
		return 0, false
	}
	index = m.started
	m.started++
	return index, true
}

// run runs a load test and records its result.
func (m *recoveryMeasurement) run(ctx context.Context, index int) {
	seed := m.config.Seed + uint64(index/2)
	removeState := index%2 == 0
	recovery, err := measureRecovery(ctx, m.config.Config, filepath.Join(m.dir, fmt.Sprint(index)), seed, removeState)

	m.mu.Lock()
	defer m.mu.Unlock()
	m.finished++
	if m.config.Progress != nil {
		m.config.Progress(m.finished, len(m.recoveries))
	}
	if err == nil {
		m.recoveries[index] = *recovery
	} else if m.firstErr == nil {
		m.firstErr = err
	}
}

// measureRecovery runs one load test whose daemon keeps its state in a directory.
func measureRecovery(ctx context.Context, config Config, stateDir string, seed uint64, removeState bool) (*Recovery, error) {
	config.Seed = seed
	config.Restart = true
	config.CutLink = false
	config.Reload = false
	config.Progress = nil
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
	r.RecoverySeconds = notRecovered
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
