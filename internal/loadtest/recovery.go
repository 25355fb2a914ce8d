package loadtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// RecoveryConfig is what the time that a daemon takes to serve as before a restart is measured with.
type RecoveryConfig struct {
	Config       // of each storm; its seed is that of the first pair
	Pairs    int // of storms with the same seed, cold and remembered
	Parallel int // storms at a time
}

// Recovery is one storm with a restart half way.
type Recovery struct {
	Seed            uint64        `json:"seed"`
	StateRemoved    bool          `json:"cold"`     // the state was removed while the daemon was down
	ServedBefore    float64       `json:"before"`   // share of requests served before the restart
	ServedAfter     float64       `json:"after"`    // and from it on
	RecoverySeconds float64       `json:"seconds"`  // until the share was back; -1 is never
	Series          []SeriesPoint `json:"series"`   // by steps, from the storm's start
	RestartStep     int           `json:"at"`       // the step of the restart
	Violations      []string      `json:"breaches"` // of the rules; a cold one forgets keys and may run twice
}

// The share is back when it is this part of what it was, over a stretch of so many steps. The first steps fill queues, those
// just before the restart are affected by it, and the further tries of the last ones are cut off by the end.
const (
	backAt     = 0.95
	backOver   = 4
	firstSteps = 12
	lastSteps  = 8
)

// MeasureRecovery plays storms in pairs of the same seed in which the daemon is killed half way and started again, with the
// state that it left and without.
func MeasureRecovery(ctx context.Context, c RecoveryConfig) ([]Recovery, error) {
	if c.Pairs < 1 || c.Parallel < 1 {
		return nil, fmt.Errorf("storm: %d pairs, %d at a time, want at least 1", c.Pairs, c.Parallel)
	}
	dir, err := os.MkdirTemp("", "tillerusher-recovery")
	if err != nil {
		return nil, fmt.Errorf("storm: %w", err)
	}
	defer os.RemoveAll(dir)
	list := make([]Recovery, 2*c.Pairs)
	turns := make(chan int)
	go func() {
		defer close(turns)
		for n := range list {
			turns <- n
		}
	}()
	var mu sync.Mutex
	var first error
	done := 0
	var all sync.WaitGroup
	for range c.Parallel {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range turns {
				r, err := recovery(ctx, c.Config, filepath.Join(dir, fmt.Sprint(n)), c.Seed+uint64(n/2), n%2 == 0)
				mu.Lock()
				if done++; c.Progress != nil {
					c.Progress(done, len(list))
				}
				if err != nil && first == nil {
					first = err
				} else if err == nil {
					list[n] = *r
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	if first == nil {
		first = ctx.Err()
	}
	return list, first
}

// recovery plays one storm.
func recovery(ctx context.Context, c Config, dir string, seed uint64, cold bool) (*Recovery, error) {
	c.Seed, c.Restart, c.CutLink, c.Reload, c.Progress = seed, true, false, false, nil
	c.Args = append(append([]string(nil), c.Args...), "--state", dir)
	if cold {
		c.RemoveStateDir = dir
	}
	result, err := Run(ctx, c)
	if err != nil {
		return nil, err
	}
	r := &Recovery{Seed: seed, StateRemoved: cold, Series: result.Series, RestartStep: int(result.RestartSeconds / SeriesStep.Seconds()), Violations: result.Violations}
	r.judge()
	return r, nil
}

// judge finds when the share was back.
func (r *Recovery) judge() {
	over := func(from, to int) (share float64, any bool) {
		var sum SeriesPoint
		for _, s := range r.Series[max(from, 0):min(max(to, 0), len(r.Series))] {
			sum.Requests += s.Requests
			sum.Served += s.Served
		}
		return float64(sum.Served) / float64(max(sum.Requests, 1)), sum.Requests > 0
	}
	r.ServedBefore, _ = over(firstSteps, r.RestartStep-lastSteps)
	r.ServedAfter, _ = over(r.RestartStep, len(r.Series)-lastSteps)
	r.RecoverySeconds = -1
	for n := r.RestartStep; n+backOver <= len(r.Series)-lastSteps; n++ {
		if share, any := over(n, n+backOver); any && share >= backAt*r.ServedBefore {
			r.RecoverySeconds = (time.Duration(n-r.RestartStep) * SeriesStep).Seconds()
			return
		}
	}
}
