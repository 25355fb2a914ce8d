package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Exploration is a search in the ranges of a sweep for the points at which a policy does worst.
type Exploration struct {
	Policy         string
	BaselinePolicy string // if set, points count by how far the policy stays below this one
	Measure        string // of which little is bad
	Rounds         int
	PointsPerRound int
	Seed           uint64
	Workers        int // 0 means one per core
}

// Candidate is a point that an exploration has tried.
type Candidate struct {
	Values map[string]float64 `json:"values"`
	Score  float64            `json:"score"` // the measure's mean over the seeds, minus that of the baseline policy
	Error  string             `json:"error,omitempty"`
}

// errNothingVaried is returned for an exploration without ranges.
var errNothingVaried = errors.New("experiment: a hunt needs (sweep (vary ...)): the ranges in which to look")

const (
	eliteShare        = 0.2 // of the points of a round, to which the next round is fitted
	minElite          = 2
	minStdDev         = 1e-12 // keeps a distribution from collapsing to a point
	explorationStream = 7     // second seed of the random numbers
)

// Explore searches for the worst points by the cross-entropy method (Rubinstein, 1999): each round draws points from a
// normal distribution within the ranges and fits it to those that did worst. The same exploration finds the same points. It
// returns all points, the worst first, and calls progress after each round if it is not nil.
func (e *Experiment) Explore(ctx context.Context, exploration Exploration, progress func(done, of int)) ([]Candidate, error) {
	if len(e.Sweep.Variables) == 0 {
		return nil, errNothingVaried
	}
	if exploration.Workers <= 0 {
		exploration.Workers = runtime.GOMAXPROCS(0)
	}
	proposal := newProposal(e.Sweep.Variables, exploration.Seed)
	var all []Candidate
	for round := range exploration.Rounds {
		points := proposal.draw(exploration.PointsPerRound)
		candidates, err := e.scorePoints(ctx, exploration, points)
		if err != nil {
			return nil, err
		}
		proposal.fit(points, candidates)
		all = append(all, candidates...)
		if progress != nil {
			progress(round+1, exploration.Rounds)
		}
	}
	slices.SortStableFunc(all, compareScores)
	return all, nil
}

// compareScores orders candidates by their scores, the worst first.
func compareScores(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) }

// proposal is the distribution from which an exploration draws points: independent normal distributions, cut off at the
// ranges of the variables.
type proposal struct {
	variables []Variable
	mean      []float64
	stdDev    []float64
	rng       *rand.Rand
}

// newProposal returns the distribution of the first round, which covers the ranges.
func newProposal(variables []Variable, seed uint64) *proposal {
	initial := &proposal{
		variables: variables,
		mean:      make([]float64, len(variables)),
		stdDev:    make([]float64, len(variables)),
		rng:       rand.New(rand.NewPCG(seed, explorationStream)),
	}
	for i, v := range variables {
		initial.mean[i] = (v.Min + v.Max) / 2
		initial.stdDev[i] = (v.Max - v.Min) / 2
	}
	return initial
}

// draw draws points.
func (p *proposal) draw(n int) [][]float64 {
	points := make([][]float64, n)
	for k := range points {
		for i, v := range p.variables {
			normal := distuv.Normal{Mu: p.mean[i], Sigma: math.Max(p.stdDev[i], minStdDev), Src: p.rng}
			points[k] = append(points[k], min(max(normal.Rand(), v.Min), v.Max))
		}
	}
	return points
}

// fit fits the distribution to the worst of the points.
func (p *proposal) fit(points [][]float64, candidates []Candidate) {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareScores(candidates[a], candidates[b]) })
	elite := order[:max(int(eliteShare*float64(len(order))), minElite)]
	for i := range p.mean {
		var values []float64
		for _, k := range elite {
			if candidates[k].Error == "" {
				values = append(values, points[k][i])
			}
		}
		if len(values) > 1 {
			p.mean[i], p.stdDev[i] = stat.MeanStdDev(values, nil)
		}
	}
}

// scorePoints runs points with all seeds and with both policies.
func (e *Experiment) scorePoints(ctx context.Context, exploration Exploration, points [][]float64) ([]Candidate, error) {
	policies := []string{exploration.Policy}
	if exploration.BaselinePolicy != "" {
		policies = append(policies, exploration.BaselinePolicy)
	}
	var jobs []Job
	candidates := make([]Candidate, len(points))
	for k, point := range points {
		config := e.Config
		candidates[k].Values = e.Sweep.apply(&config, point)
		for _, policy := range policies {
			for seed := range e.Seeds {
				jobs = append(jobs, Job{Point: k, Policy: policy, Seed: seed + 1, config: config})
			}
		}
	}
	err := runInOrder(ctx, jobs, 0, exploration.Workers, func(r Row) error {
		c := &candidates[r.Point]
		value, ok := r.Measures[exploration.Measure]
		switch {
		case r.Error != "":
			c.Error = r.Error
			c.Score = math.MaxFloat64 // an infeasible point is none of the worst
		case !ok:
			return fmt.Errorf("experiment: no run has the measure %q", exploration.Measure)
		case r.Policy == exploration.Policy:
			c.Score += value / float64(e.Seeds)
		default:
			c.Score -= value / float64(e.Seeds)
		}
		return nil
	})
	return candidates, err
}

// FormatCandidate writes a candidate as an experiment of its own. The configuration is the form that it was found with, see
// ConfigForm.
func (e *Experiment) FormatCandidate(name, configForm string, candidate Candidate, policies []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "; Found by a hunt: score %.4f.\n(name %s)\n", candidate.Score, name)
	if configForm != "" {
		fmt.Fprintf(&b, "%s\n", configForm)
	}
	fmt.Fprintf(&b, "(policies %s)\n(seeds %d)\n(sweep (how grid)", strings.Join(policies, " "), e.Seeds)
	for _, v := range e.Sweep.Variables {
		value := candidate.Values[v.Name]
		fmt.Fprintf(&b, "\n  (vary %s %v %v 1)", v.Name, value, value)
	}
	b.WriteString(")\n")
	return b.String()
}
