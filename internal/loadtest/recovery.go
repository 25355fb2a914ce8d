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

// RecoveryConfig configures a measurement of how long a daemon takes after a restart to serve as before.
type RecoveryConfig struct {
	Config       // of each load test; Seed is the seed of the first pair
	Pairs    int // pairs of load tests with the same seed; the first of a pair removes the daemon's state during the restart
	Parallel int // maximum number of load tests at a time
}

// Recovery is the result of one load test with a restart half way.
type Recovery struct {
	Seed            uint64        `json:"seed"`
	StateRemoved    bool          `json:"cold"`     // whether the state was removed while the daemon was down
	ServedBefore    float64       `json:"before"`   // served share of the requests due before the restart
	ServedAfter     float64       `json:"after"`    // served share of the requests due after the restart
	RecoverySeconds float64       `json:"seconds"`  // from the restart until the share recovered; -1 if it did not
	Series          []SeriesPoint `json:"series"`   // one point per SeriesStep, from the start of the load test
	RestartStep     int           `json:"at"`       // index of the restart in Series
	Violations      []string      `json:"breaches"` // a daemon without its state forgets keys, and may run a request with a key twice
}

// The served share has recovered when, over recoveryWindow steps, it is at least recoveredShare of the share before the
// restart. Some steps are not counted: the skippedFirstSteps at the start of the load test, in which queues fill; the
// skippedLastSteps before the restart, which the restart affects; and the skippedLastSteps at the end of the load test, whose
// retries are cut off by the end.
const (
	recoveredShare    = 0.95
	recoveryWindow    = 4
	skippedFirstSteps = 12
	skippedLastSteps  = 8
)

// notRecovered is the RecoverySeconds of a daemon that did not recover.
const notRecovered = -1

// MeasureRecovery runs load tests in which the daemon is killed half way and started again. They come in pairs with the same
// seed, one with and one without the state that the daemon left. It returns the results of a pair next to each other, the
// one without the state first. If a load test fails, it returns the first error and incomplete results.
func MeasureRecovery(ctx context.Context, config RecoveryConfig) ([]Recovery, error) {
	if config.Pairs < 1 || config.Parallel < 1 {
		return nil, fmt.Errorf("loadtest: %d pairs and %d load tests at a time, want at least 1 of each", config.Pairs, config.Parallel)
	}
	dir, err := os.MkdirTemp("", "tillerusher-recovery")
	if err != nil {
		return nil, fmt.Errorf("loadtest: %w", err)
	}
	defer os.RemoveAll(dir)
	measurement := &recoveryMeasurement{config: config, dir: dir, recoveries: make([]Recovery, 2*config.Pairs)}
	workerpool.Run(config.Parallel, measurement.next, func(index int) { measurement.run(ctx, index) })
	if measurement.firstErr == nil {
		measurement.firstErr = ctx.Err()
	}
	return measurement.recoveries, measurement.firstErr
}

// recoveryMeasurement is the state of a call of MeasureRecovery. Load tests 2i and 2i+1 are a pair; the daemon's state is
// removed in load test 2i.
type recoveryMeasurement struct {
	config RecoveryConfig
	dir    string // contains one state directory per load test

	mu         sync.Mutex // guards the fields below
	started    int
	finished   int
	recoveries []Recovery
	firstErr   error
}

// next returns the index of the next load test. ok is false if all have started.
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

// measureRecovery runs one load test with a restart, whose daemon keeps its state in stateDir.
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

// findRecovery computes ServedBefore, ServedAfter and RecoverySeconds from Series.
func (r *Recovery) findRecovery() {
	r.ServedBefore, _ = r.servedShare(skippedFirstSteps, r.RestartStep-skippedLastSteps)
	r.ServedAfter, _ = r.servedShare(r.RestartStep, len(r.Series)-skippedLastSteps)
	r.RecoverySeconds = notRecovered
	for n := r.RestartStep; n+recoveryWindow <= len(r.Series)-skippedLastSteps; n++ {
		share, ok := r.servedShare(n, n+recoveryWindow)
		if ok && share >= recoveredShare*r.ServedBefore {
			r.RecoverySeconds = (time.Duration(n-r.RestartStep) * SeriesStep).Seconds()
			return
		}
	}
}

// servedShare returns the served share of the requests in a range of steps, whose end is excluded. ok is false if there were
// no requests.
func (r *Recovery) servedShare(from, to int) (share float64, ok bool) {
	var sum SeriesPoint
	for _, point := range r.Series[max(from, 0):min(max(to, 0), len(r.Series))] {
		sum.Requests += point.Requests
		sum.Served += point.Served
	}
	return float64(sum.Served) / float64(max(sum.Requests, 1)), sum.Requests > 0
}
