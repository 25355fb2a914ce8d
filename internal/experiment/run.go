package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"

	"tillerusher/internal/clustersim"
	"tillerusher/internal/workerpool"
)

// measuresOf returns the measures of a result by the names that results files, plots and comparisons use.
func measuresOf(result *clustersim.Result) map[string]float64 {
	measures := map[string]float64{
		"g":            result.Score,
		"share":        result.GoodputShare,
		"worst10":      result.WorstWindowShare,
		"worst-class":  result.WorstClassShare,
		"worst-tenant": result.WorstTenantShare,
		"waste":        result.WastedWork,
		"late":         result.LateShare,
		"p50":          result.P50,
		"p99":          result.P99,
		"p999":         result.P999,
		"load":         result.Load,
		"requests":     float64(result.Requests),
		"tries":        float64(result.Attempts) / float64(max(result.Requests, 1)),
		"fell":         float64(result.Crashes),
		"events":       float64(result.Events),
	}
	if result.Recovery.HadIncidents {
		measures["recovered"] = 0
		measures["recovered-after"] = result.Recovery.RecoverySeconds
		measures["left"] = result.Recovery.GoodputShareAfter
		if result.Recovery.Recovered {
			measures["recovered"] = 1
		}
	}
	for _, c := range result.Classes {
		measures["class "+c.Name] = c.GoodputShare
	}
	for _, t := range result.Tenants {
		measures["tenant "+t.Name] = t.GoodputShare
	}
	return measures
}

// run makes the run of the job, whose index in the plan is index. An error of the simulation, such as an infeasible
// configuration, is reported in the row, so that the other runs continue. An error that run returns ends the experiment.
func (j *Job) run(ctx context.Context, index int) (Row, error) {
	row := Row{Index: index, Point: j.Point, Values: j.Values, Workload: j.Workload, Policy: j.Policy, Seed: j.Seed}
	policy, err := LookupPolicy(j.Policy)
	if err != nil {
		return row, err
	}
	result, err := clustersim.Run(ctx, j.config, policy, j.Seed)
	switch {
	case ctx.Err() != nil:
		return row, ctx.Err()
	case err != nil:
		row.Error = err.Error()
		return row, nil
	}
	row.Measures = measuresOf(result)
	for rule, n := range result.Violations {
		if row.Violations == nil {
			row.Violations = map[string]int{}
		}
		row.Violations[string(rule)] = n
	}
	return row, nil
}

// Run makes the runs of an experiment on a number of workers (0 means one per core) and writes their rows to the results
// file at path. If the file has rows of the same plan, Run resumes after them. Rows are written in the order of the plan,
// so an experiment that was interrupted and resumed leaves the same file as one that was not. Run calls progress, if it is
// not nil, with the numbers of finished runs and of all runs.
func Run(ctx context.Context, experiment *Experiment, path string, workers int, progress func(done, of int)) error {
	jobs, err := experiment.Plan()
	if err != nil {
		return err
	}
	file, done, err := openResults(experiment, jobs, path)
	if err != nil {
		return err
	}
	defer file.Close()
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	if progress == nil {
		progress = func(int, int) {}
	}
	progress(done, len(jobs))
	return runInOrder(ctx, jobs, done, workers, func(row Row) error {
		line, err := json.Marshal(row)
		if err == nil {
			_, err = file.Write(append(line, '\n'))
		}
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		progress(row.Index+1, len(jobs))
		return nil
	})
}

// runInOrder makes the runs of the jobs from index first on, and calls write with their rows in the order of the jobs.
func runInOrder(ctx context.Context, jobs []Job, first, workers int, write func(Row) error) error {
	run := func(ctx context.Context, i int) (Row, error) { return jobs[i].run(ctx, i) }
	return workerpool.RunOrdered(ctx, first, len(jobs), workers, run, write)
}
