package experiment

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/spatial/r1"
	"gonum.org/v1/gonum/stat/distmv"
	"gonum.org/v1/gonum/stat/samplemv"

	"tillerusher/internal/clustersim"
)

// Job is one run of a plan. Its JSON encoding determines the plan's checksum, see planChecksum.
type Job struct {
	Point    int                // index of the point
	Values   map[string]float64 // values of the variables at the point
	Workload string             `json:"Day"` // name of the generated workload, if there is one
	Policy   string
	Seed     uint64
	config   clustersim.Config
}

// Plan returns all runs of the experiment in order: by point, then by policy, then by seed.
func (e *Experiment) Plan() ([]Job, error) {
	points, err := e.Sweep.drawPoints()
	if err != nil {
		return nil, err
	}
	var jobs []Job
	point := 0
	for _, base := range e.baseConfigs() {
		for _, values := range points {
			job := Job{Point: point, config: base}
			job.Values = e.Sweep.apply(&job.config, values)
			if e.Workloads.Count > 0 {
				job.Workload = base.Name
			}
			jobs = append(jobs, e.withPoliciesAndSeeds(job)...)
			point++
		}
	}
	return jobs, nil
}

// baseConfigs returns the configurations to which the sweep is applied.
func (e *Experiment) baseConfigs() []clustersim.Config {
	if e.Workloads.Count == 0 {
		return []clustersim.Config{e.Config}
	}
	var configs []clustersim.Config
	for _, kind := range e.Workloads.Kinds {
		for n := range e.Workloads.Count {
			configs = append(configs, clustersim.GenerateConfig(kind, e.Workloads.From+uint64(n)))
		}
	}
	return configs
}

// withPoliciesAndSeeds returns the runs of a point: job with each policy and seed.
func (e *Experiment) withPoliciesAndSeeds(job Job) []Job {
	var jobs []Job
	for _, policy := range e.Policies {
		for seed := range e.Seeds {
			job.Policy = policy
			job.Seed = seed + 1
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// FirstConfig returns the configuration of the plan's first run.
func (e *Experiment) FirstConfig() (clustersim.Config, error) {
	jobs, err := e.Plan()
	if err != nil {
		return clustersim.Config{}, err
	}
	return jobs[0].config, nil
}

// planChecksum returns a checksum of all jobs and their configurations. It is stored in the first line of results files, so
// the JSON encodings of Job and of clustersim.Config must not change.
func planChecksum(jobs []Job) (string, error) {
	hash := fnv.New64a()
	encoder := json.NewEncoder(hash)
	for i := range jobs {
		planned := struct {
			Job
			Config clustersim.Config `json:"World"`
		}{jobs[i], jobs[i].config}
		if err := encoder.Encode(planned); err != nil {
			return "", fmt.Errorf("experiment: %w", err)
		}
	}
	return fmt.Sprintf("%016x", hash.Sum64()), nil
}

const (
	maxGridPoints = 1_000_000
	sweepStream   = 1     // second seed of the random number generator
	minRange      = 1e-12 // width of the range of a variable with Min equal to Max, as a uniform distribution of one value has no width
)

// apply sets the variables of a configuration to the values of a point and returns the values by name.
func (s *Sweep) apply(c *clustersim.Config, point []float64) map[string]float64 {
	values := map[string]float64{}
	for i, v := range s.Variables {
		v.apply(c, point[i])
		values[v.Name] = point[i]
	}
	return values
}

// drawPoints returns the points of the sweep. A point is the values of all variables, in the order of the variables.
func (s *Sweep) drawPoints() ([][]float64, error) {
	if len(s.Variables) == 0 {
		return [][]float64{nil}, nil
	}
	if s.Method == Grid {
		return s.gridPoints()
	}
	bounds := make([]r1.Interval, len(s.Variables))
	for i, v := range s.Variables {
		bounds[i] = r1.Interval{Min: v.Min, Max: v.Max}
		if v.Min == v.Max {
			bounds[i].Max = v.Max + minRange
		}
	}
	source := rand.NewPCG(s.Seed, sweepStream)
	uniform := distmv.NewUniform(bounds, source)
	batch := mat.NewDense(s.Count, len(s.Variables), nil)
	if s.Method == LatinHypercube {
		samplemv.LatinHypercube{Q: uniform, Src: source}.Sample(batch)
	} else {
		samplemv.IID{Dist: uniform}.Sample(batch)
	}
	points := make([][]float64, s.Count)
	for i := range points {
		points[i] = slices.Clone(batch.RawRowView(i))
	}
	return points, nil
}

// gridPoints returns all combinations of the variables' steps. The last variable varies fastest.
func (s *Sweep) gridPoints() ([][]float64, error) {
	points := [][]float64{nil}
	for _, v := range s.Variables {
		if len(points)*v.Steps > maxGridPoints {
			return nil, fmt.Errorf("experiment: the grid has more than %d points", maxGridPoints)
		}
		var extended [][]float64
		for _, point := range points {
			for i := range v.Steps {
				extended = append(extended, append(slices.Clone(point), v.step(i)))
			}
		}
		points = extended
	}
	return points, nil
}

// step returns the value of the variable at step i of a grid. The first step is 0.
func (v *Variable) step(i int) float64 {
	if v.Steps == 1 {
		return v.Min
	}
	return v.Min + (v.Max-v.Min)*float64(i)/float64(v.Steps-1)
}
