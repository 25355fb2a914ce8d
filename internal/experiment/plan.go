package experiment

import (
	"fmt"
	"math/rand/v2"

	"gonum.org/v1/gonum/spatial/r1"
	"gonum.org/v1/gonum/stat/distmv"
	"gonum.org/v1/gonum/stat/samplemv"

	"gonum.org/v1/gonum/mat"

	"tillerusher/internal/clustersim"
)

// Job is one run of an experiment.
type Job struct {
	Point    int                // of the plan
	Values   map[string]float64 // what is varied there
	Workload string             `json:"Day"` // or the day
	Policy   string
	Seed     uint64
	config   clustersim.Config
}

// Plan is all runs in their order: by point, then by policy, then by seed.
func (e *Experiment) Plan() ([]Job, error) {
	var jobs []Job
	worlds := []clustersim.Config{e.Config}
	if e.Workloads.Count > 0 {
		worlds = nil
		for _, kind := range e.Workloads.Kinds {
			for n := range e.Workloads.Count {
				worlds = append(worlds, clustersim.GenerateConfig(kind, e.Workloads.From+uint64(n)))
			}
		}
	}
	points, err := e.Sweep.drawPoints()
	if err != nil {
		return nil, err
	}
	point := 0
	for _, w := range worlds {
		for _, values := range points {
			at := w
			named := map[string]float64{}
			for i, v := range e.Sweep.Variables {
				v.apply(&at, values[i])
				named[v.Name] = values[i]
			}
			day := ""
			if e.Workloads.Count > 0 {
				day = w.Name
			}
			for _, p := range e.Policies {
				for seed := range e.Seeds {
					jobs = append(jobs, Job{Point: point, Values: named, Workload: day, Policy: p, Seed: seed + 1, config: at})
				}
			}
			point++
		}
	}
	return jobs, nil
}

// maxGridPoints bounds a grid.
const maxGridPoints = 1_000_000

// drawPoints are the values of all variables at each point, in the order of the variables.
func (s *Sweep) drawPoints() ([][]float64, error) {
	if len(s.Variables) == 0 {
		return [][]float64{nil}, nil
	}
	if s.Method == "grid" {
		return s.gridPoints()
	}
	bounds := make([]r1.Interval, len(s.Variables))
	for i, v := range s.Variables {
		bounds[i] = r1.Interval{Min: v.Min, Max: v.Max}
		if v.Min == v.Max {
			bounds[i].Max = v.Max + 1e-12 // a distribution of one value has no width
		}
	}
	src := rand.NewPCG(s.Seed, 1)
	cube := distmv.NewUniform(bounds, src)
	batch := mat.NewDense(s.Count, len(s.Variables), nil)
	if s.Method == "latin" {
		samplemv.LatinHypercube{Q: cube, Src: src}.Sample(batch)
	} else {
		samplemv.IID{Dist: cube}.Sample(batch)
	}
	list := make([][]float64, s.Count)
	for i := range list {
		list[i] = append([]float64(nil), batch.RawRowView(i)...)
	}
	return list, nil
}

// gridPoints is all combinations, the last variable going round first.
func (s *Sweep) gridPoints() ([][]float64, error) {
	list := [][]float64{nil}
	for _, v := range s.Variables {
		if len(list)*v.Steps > maxGridPoints {
			return nil, fmt.Errorf("experiment: the grid has over %d points", maxGridPoints)
		}
		var next [][]float64
		for _, before := range list {
			for i := range v.Steps {
				x := v.Min
				if v.Steps > 1 {
					x += (v.Max - v.Min) * float64(i) / float64(v.Steps-1)
				}
				next = append(next, append(append([]float64(nil), before...), x))
			}
		}
		list = next
	}
	return list, nil
}

// FirstConfig is the world of the plan's first point.
func (e *Experiment) FirstConfig() (clustersim.Config, error) {
	jobs, err := e.Plan()
	if err != nil {
		return clustersim.Config{}, err
	}
	return jobs[0].config, nil
}
