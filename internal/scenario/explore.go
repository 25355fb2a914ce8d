package scenario

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"tillerusher/internal/simnet"
	"tillerusher/internal/workerpool"
)

// Finding is a seed whose scenario violates a rule.
type Finding struct {
	Seed   uint64  `json:"seed"`
	Report *Report `json:"report"`
}

// Exploration is the sum of the runs of Explore.
type Exploration struct {
	Seeds      int          `json:"seeds"`
	Requests   int          `json:"requests"`
	Attempts   int          `json:"tries"`
	Runs       int          `json:"runs"`
	Served     int          `json:"served"`
	Rejected   int          `json:"refused"`
	Failed     int          `json:"failed"`
	Lost       int          `json:"lost"`
	Simulation simnet.Stats `json:"world"`
	Findings   []Finding    `json:"found"` // in the order of their seeds
}

// ExploreConfig bounds an exploration.
type ExploreConfig struct {
	FirstSeed   uint64
	Seeds       int // how many
	MaxFindings int // that end it
	Parallel    int // scenarios at a time
	Progress    func(done, of int)
}

// Explore runs the scenarios that consecutive seeds generate, until all seeds are done, there are enough findings, a run
// fails or the context ends. Scenarios that run at that time are finished and count.
func Explore(ctx context.Context, cfg ExploreConfig) (*Exploration, error) {
	e := &explorer{cfg: cfg}
	workerpool.Run(cfg.Parallel, func() (uint64, bool) { return e.nextSeed(ctx) }, e.runSeed)
	slices.SortFunc(e.result.Findings, func(a, b Finding) int { return cmp.Compare(a.Seed, b.Seed) })
	return &e.result, e.err
}

// explorer is an exploration in progress.
type explorer struct {
	cfg ExploreConfig

	mu     sync.Mutex
	taken  int // how many seeds have been handed out
	result Exploration
	err    error
}

// nextSeed returns the seed of the next scenario, if there is one.
func (e *explorer) nextSeed(ctx context.Context) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	isDone := e.taken >= e.cfg.Seeds || len(e.result.Findings) >= e.cfg.MaxFindings
	if isDone || e.err != nil || ctx.Err() != nil {
		return 0, false
	}
	seed := e.cfg.FirstSeed + uint64(e.taken)
	e.taken++
	return seed, true
}

// runSeed runs the scenario that a seed generates and records its result.
func (e *explorer) runSeed(seed uint64) {
	report, err := Run(Generate(seed), seed)
	e.record(seed, report, err)
}

// record adds a run's result and reports the progress.
func (e *explorer) record(seed uint64, report *Report, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.err = err
	} else {
		e.result.add(seed, report)
	}
	if e.cfg.Progress != nil {
		e.cfg.Progress(e.result.Seeds, e.cfg.Seeds)
	}
}

// add adds the counts of a report, and a finding if it has violations.
func (e *Exploration) add(seed uint64, report *Report) {
	e.Seeds++
	e.Requests += report.Requests
	e.Attempts += report.Attempts
	e.Runs += report.Runs
	e.Served += report.Served
	e.Rejected += report.Rejected
	e.Failed += report.Failed
	e.Lost += report.Lost
	e.Simulation.Add(report.Simulation)
	if report.HasViolations() {
		e.Findings = append(e.Findings, Finding{seed, report})
	}
}
