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

// Exploration holds the sums over all scenarios that Explore ran, and its findings.
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
	Findings   []Finding    `json:"found"` // sorted by seed
}

// ExploreConfig configures an exploration.
type ExploreConfig struct {
	FirstSeed   uint64
	Seeds       int                   // number of consecutive seeds
	MaxFindings int                   // number of findings at which the exploration ends
	Parallel    int                   // number of scenarios that run at a time
	Progress    func(done, total int) // called after each scenario with the seeds done and Seeds; may be nil
}

// Explore runs the scenarios that consecutive seeds generate, until all seeds are done, there are MaxFindings findings, a
// scenario cannot be run or the context ends. Scenarios that are running at that time finish, and their results count.
func Explore(ctx context.Context, cfg ExploreConfig) (*Exploration, error) {
	e := &explorer{cfg: cfg}
	workerpool.Run(cfg.Parallel, func() (uint64, bool) { return e.nextSeed(ctx) }, e.runSeed)
	slices.SortFunc(e.result.Findings, func(a, b Finding) int { return cmp.Compare(a.Seed, b.Seed) })
	return &e.result, e.err
}

// explorer is an exploration in progress.
type explorer struct {
	cfg ExploreConfig

	mu           sync.Mutex
	startedSeeds int // number of seeds that nextSeed has returned
	result       Exploration
	err          error
}

// nextSeed returns the seed of the next scenario, and false if no further scenario is to run.
func (e *explorer) nextSeed(ctx context.Context) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	isDone := e.startedSeeds >= e.cfg.Seeds || len(e.result.Findings) >= e.cfg.MaxFindings
	if isDone || e.err != nil || ctx.Err() != nil {
		return 0, false
	}
	seed := e.cfg.FirstSeed + uint64(e.startedSeeds)
	e.startedSeeds++
	return seed, true
}

// runSeed runs the scenario that a seed generates, and records its result.
func (e *explorer) runSeed(seed uint64) {
	report, err := Run(Generate(seed), seed)
	e.record(seed, report, err)
}

// record adds the result of a seed's scenario and reports the progress.
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

// add adds the counts of a seed's report, and a finding if the report has violations.
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
