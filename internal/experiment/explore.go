package experiment

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Exploration is a search for the points of a sweep's ranges at which a policy does worst.
type Exploration struct {
	Policy         string
	BaselinePolicy string // where given, what counts is how far the policy stays under this one
	Measure        string // of which little is bad
	Rounds         int
	PointsPerRound int // drawPoints a round
	Seed           uint64
	Workers        int
}

// Candidate is a point of a hunt.
type Candidate struct {
	Values map[string]float64 `json:"values"`
	Score  float64            `json:"score"` // the measure's mean over the seeds, less that of the other policy
	Error  string             `json:"error,omitempty"`
}

// eliteShare is the part of a round that the next one is drawn round.
const eliteShare = 0.2

// Explore looks for the worst points by the cross-entropy method (Rubinstein, 1999): each round draws points from a normal
// distribution within the ranges and fits it to those that did worst. The same hunt finds the same points. It returns all
// points, the worst first; progress hears of the rounds.
func (e *Experiment) Explore(ctx context.Context, h Exploration, progress func(done, of int)) ([]Candidate, error) {
	if len(e.Sweep.Variables) == 0 {
		return nil, fmt.Errorf("experiment: a hunt needs (sweep (vary ...)): the ranges in which to look")
	}
	if h.Workers <= 0 {
		h.Workers = runtime.GOMAXPROCS(0)
	}
	rng := rand.New(rand.NewPCG(h.Seed, 7))
	n := len(e.Sweep.Variables)
	mean, spread := make([]float64, n), make([]float64, n)
	for i, v := range e.Sweep.Variables {
		mean[i], spread[i] = (v.Min+v.Max)/2, (v.Max-v.Min)/2
	}
	var all []Candidate
	for round := range h.Rounds {
		points := make([][]float64, h.PointsPerRound)
		for k := range points {
			for i, v := range e.Sweep.Variables {
				x := distuv.Normal{Mu: mean[i], Sigma: math.Max(spread[i], 1e-12), Src: rng}.Rand()
				points[k] = append(points[k], min(max(x, v.Min), v.Max))
			}
		}
		finds, err := e.scorePoints(ctx, h, points)
		if err != nil {
			return nil, err
		}
		order := make([]int, len(finds))
		for i := range order {
			order[i] = i
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(finds[a].Score, finds[b].Score) })
		few := order[:max(int(eliteShare*float64(len(order))), 2)]
		for i := range mean {
			var xs []float64
			for _, k := range few {
				if finds[k].Error == "" {
					xs = append(xs, points[k][i])
				}
			}
			if len(xs) > 1 {
				mean[i], spread[i] = stat.MeanStdDev(xs, nil)
			}
		}
		all = append(all, finds...)
		if progress != nil {
			progress(round+1, h.Rounds)
		}
	}
	slices.SortStableFunc(all, func(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) })
	return all, nil
}

// scorePoints plays points with all seeds and both policies.
func (e *Experiment) scorePoints(ctx context.Context, h Exploration, points [][]float64) ([]Candidate, error) {
	policies := []string{h.Policy}
	if h.BaselinePolicy != "" {
		policies = append(policies, h.BaselinePolicy)
	}
	var jobs []Job
	finds := make([]Candidate, len(points))
	for k, p := range points {
		w := e.Config
		finds[k].Values = map[string]float64{}
		for i, v := range e.Sweep.Variables {
			v.apply(&w, p[i])
			finds[k].Values[v.Name] = p[i]
		}
		for _, policy := range policies {
			for seed := range e.Seeds {
				jobs = append(jobs, Job{Point: k, Policy: policy, Seed: seed + 1, config: w})
			}
		}
	}
	err := runInOrder(ctx, jobs, 0, h.Workers, func(r Row) error {
		f := &finds[r.Point]
		switch v, ok := r.Measures[h.Measure]; {
		case r.Error != "":
			f.Error, f.Score = r.Error, math.MaxFloat64
		case !ok:
			return fmt.Errorf("experiment: no run has the measure %q", h.Measure)
		case r.Policy == h.Policy:
			f.Score += v / float64(e.Seeds)
		default:
			f.Score -= v / float64(e.Seeds)
		}
		return nil
	})
	return finds, err
}

// FormatCandidate writes a find as an experiment of its own, over the world that it was found in.
func (e *Experiment) FormatCandidate(name, base string, f Candidate, policies []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "; Found by a hunt: score %.4f.\n(name %s)\n", f.Score, name)
	if base != "" {
		fmt.Fprintf(&b, "%s\n", base)
	}
	fmt.Fprintf(&b, "(policies %s)\n(seeds %d)\n(sweep (how grid)", strings.Join(policies, " "), e.Seeds)
	for _, v := range e.Sweep.Variables {
		fmt.Fprintf(&b, "\n  (vary %s %v %v 1)", v.Name, f.Values[v.Name], f.Values[v.Name])
	}
	b.WriteString(")\n")
	return b.String()
}
