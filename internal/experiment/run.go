package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"runtime"
	"sync"

	"tillerusher/internal/clustersim"
)

// Row is one line of a results file: a run with its measures, or why it could not be made.
type Row struct {
	Index      int                `json:"run"`
	Point      int                `json:"point"`
	Values     map[string]float64 `json:"values,omitempty"`
	Workload   string             `json:"day,omitempty"`
	Policy     string             `json:"policy"`
	Seed       uint64             `json:"seed"`
	Error      string             `json:"error,omitempty"`
	Measures   map[string]float64 `json:"measures,omitempty"`
	Violations map[string]int     `json:"broken,omitempty"` // breaches by rule
}

// header is the first line of a results file.
type header struct {
	Experiment string `json:"experiment"`
	Plan       string `json:"plan"` // a sum over the plan
	Runs       int    `json:"runs"`
}

// ErrPlanMismatch says that a results file is of another experiment.
var ErrPlanMismatch = errors.New("experiment: the results are of another plan")

// planChecksum tells plans apart.
func planChecksum(jobs []Job) (string, error) {
	h := fnv.New64a()
	e := json.NewEncoder(h)
	for i := range jobs {
		if err := e.Encode(struct {
			Job
			World clustersim.Config
		}{jobs[i], jobs[i].config}); err != nil {
			return "", fmt.Errorf("experiment: %w", err)
		}
	}
	return fmt.Sprintf("%016x", h.Sum64()), nil
}

// measuresOf are the figures of a result by the names that plots and comparisons go by.
func measuresOf(r *clustersim.Result) map[string]float64 {
	m := map[string]float64{"g": r.Score, "share": r.GoodputShare, "worst10": r.WorstWindowShare, "worst-class": r.WorstClassShare, "worst-tenant": r.WorstTenantShare,
		"waste": r.WastedWork, "late": r.LateShare, "p50": r.P50, "p99": r.P99, "p999": r.P999, "load": r.Load, "requests": float64(r.Requests),
		"tries": float64(r.Attempts) / float64(max(r.Requests, 1)), "fell": float64(r.Crashes), "events": float64(r.Events)}
	if r.Recovery.HadIncidents {
		m["recovered"], m["recovered-after"], m["left"] = 0, r.Recovery.RecoverySeconds, r.Recovery.ShareAfter
		if r.Recovery.Recovered {
			m["recovered"] = 1
		}
	}
	for _, c := range r.Classes {
		m["class "+c.Name] = c.GoodputShare
	}
	for _, t := range r.Tenants {
		m["tenant "+t.Name] = t.GoodputShare
	}
	return m
}

// run makes one run. A world that is not feasible is named in its row, and the others go on.
func (j *Job) run(ctx context.Context, run int) (Row, error) {
	row := Row{Index: run, Point: j.Point, Values: j.Values, Workload: j.Workload, Policy: j.Policy, Seed: j.Seed}
	p, err := LookupPolicy(j.Policy)
	if err != nil {
		return row, err
	}
	r, err := clustersim.Run(ctx, j.config, p, j.Seed)
	switch {
	case ctx.Err() != nil:
		return row, ctx.Err()
	case err != nil:
		row.Error = err.Error()
		return row, nil
	}
	row.Measures = measuresOf(r)
	for rule, n := range r.Violations {
		if row.Violations == nil {
			row.Violations = map[string]int{}
		}
		row.Violations[string(rule)] = n
	}
	return row, nil
}

// Index plays an experiment into a results file, on so many cores (0 is all). Where the file holds a part of the same plan
// it goes on behind that. Rows are written in the order of the plan, so that a run that was cut off leaves the same file in
// the end. Progress hears how many runs are done.
func Run(ctx context.Context, e *Experiment, path string, workers int, progress func(done, of int)) error {
	jobs, err := e.Plan()
	if err != nil {
		return err
	}
	f, done, err := openResults(e, jobs, path)
	if err != nil {
		return err
	}
	defer f.Close()
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	if progress != nil {
		progress(done, len(jobs))
	}
	return runInOrder(ctx, jobs, done, workers, func(row Row) error {
		line, err := json.Marshal(row)
		if err == nil {
			_, err = f.Write(append(line, '\n'))
		}
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		if progress != nil {
			progress(row.Index+1, len(jobs))
		}
		return nil
	})
}

// openResults opens a results file at the end of its last whole row, and tells how many rows it has.
func openResults(e *Experiment, jobs []Job, path string) (*os.File, int, error) {
	sum, err := planChecksum(jobs)
	if err != nil {
		return nil, 0, err
	}
	first, err := json.Marshal(header{e.Name, sum, len(jobs)})
	if err != nil {
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	first = append(first, '\n')
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	text, err := io.ReadAll(f)
	if err != nil {
		f.Close()
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1] // what is behind it was cut off
	rows := 0
	switch {
	case len(whole) == 0:
		whole = first
		if _, err = f.WriteAt(first, 0); err != nil {
			f.Close()
			return nil, 0, fmt.Errorf("experiment: %w", err)
		}
	case !bytes.HasPrefix(whole, first):
		f.Close()
		return nil, 0, fmt.Errorf("%s: %w", path, ErrPlanMismatch)
	default:
		rows = bytes.Count(whole, []byte{'\n'}) - 1
	}
	if err = f.Truncate(int64(len(whole))); err == nil {
		_, err = f.Seek(0, io.SeekEnd)
	}
	if err != nil {
		f.Close()
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	return f, rows, nil
}

// runInOrder plays jobs from one on over workers, and hands on their rows in order.
func runInOrder(ctx context.Context, jobs []Job, from, workers int, write func(Row) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		row Row
		err error
	}
	// Each job has a place of its own; the window keeps workers from running far ahead of the writer.
	results := make([]chan outcome, len(jobs))
	for i := range results {
		results[i] = make(chan outcome, 1)
	}
	next := make(chan int)
	window := make(chan struct{}, 4*workers)
	var all sync.WaitGroup
	for range workers {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range next {
				row, err := jobs[i].run(ctx, i)
				results[i] <- outcome{row, err}
			}
		}()
	}
	go func() {
		defer close(next)
		for i := from; i < len(jobs); i++ {
			select {
			case window <- struct{}{}:
			case <-ctx.Done():
				return
			}
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	defer all.Wait()
	defer cancel()
	for i := from; i < len(jobs); i++ {
		select {
		case o := <-results[i]:
			if o.err != nil {
				return o.err
			}
			if err := write(o.row); err != nil {
				return err
			}
			<-window
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Results are the rows of a file.
type Results struct {
	Experiment  string
	PlannedRuns int // of the plan
	Rows        []Row
}

// ReadResults reads a results file; a last line that is cut off is passed over.
func ReadResults(path string) (*Results, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	defer f.Close()
	return parseResults(path, f)
}

func parseResults(path string, from io.Reader) (*Results, error) {
	lines := bufio.NewReader(from)
	r := &Results{}
	for n := 1; ; n++ {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			if n == 1 {
				return nil, fmt.Errorf("%s:1: found nothing, want the results of an experiment", path)
			}
			return r, nil
		}
		if err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
		if n == 1 {
			var h header
			if json.Unmarshal(line, &h) != nil || h.Plan == "" {
				return nil, fmt.Errorf("%s:1: found %.40q, want the first line of an experiment's results", path, bytes.TrimSpace(line))
			}
			r.Experiment, r.PlannedRuns = h.Experiment, h.Runs
			continue
		}
		var row Row
		if err := json.Unmarshal(line, &row); err != nil {
			return nil, fmt.Errorf("%s:%d: found %.40q, want a run: %w", path, n, bytes.TrimSpace(line), err)
		}
		r.Rows = append(r.Rows, row)
	}
}
