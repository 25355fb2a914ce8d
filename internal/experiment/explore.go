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

// Exploration holds the parameters of a search in the ranges of a sweep for the points at which a policy does worst.
type Exploration struct {
	Policy         string
	BaselinePolicy string // if set, a point's score is the policy's measure minus the measure of this policy
	Measure        string // low values are bad
	Rounds         int
	PointsPerRound int
	Seed           uint64
	Workers        int // 0 means one per core
}

// Candidate is a point that an exploration has evaluated.
type Candidate struct {
	Values map[string]float64 `json:"values"`
	Score  float64            `json:"score"` // mean of the measure over the seeds, minus the baseline policy's if there is one
	Error  string             `json:"error,omitempty"`
}

// errNoVariables is returned for an exploration of an experiment without variables.
var errNoVariables = errors.New("experiment: a search needs ranges: want (sweep (vary NAME FROM TO) ...)")

const (
	eliteShare        = 0.2   // share of a round's points, the worst, to which the next round's distribution is fitted
	minElite          = 2     // smallest number of these points
	minStdDev         = 1e-12 // keeps a distribution from collapsing to a point
	explorationStream = 7     // second seed of the random number generator
)

// Explore searches for the worst points by the cross-entropy method (Rubinstein, 1999): each round draws points from a
// normal distribution within the ranges of the variables and fits the distribution to the worst of the points. The same
// exploration finds the same points. Explore returns all points, the worst first. It calls progress, if it is not nil,
// after each round with the numbers of finished rounds and of all rounds.
func (e *Experiment) Explore(ctx context.Context, exploration Exploration, progress func(done, of int)) ([]Candidate, error) {
	if len(e.Sweep.Variables) == 0 {
		return nil, errNoVariables
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

// compareScores compares candidates by their scores. The worst candidate has the lowest score and sorts first.
func compareScores(a, b Candidate) int { return cmp.Compare(a.Score, b.Score) }

// proposal is the distribution from which an exploration draws points: one independent normal distribution for each
// variable. Values outside the range of a variable are set to its nearest bound.
type proposal struct {
	variables []Variable
	mean      []float64
	stdDev    []float64
	rng       *rand.Rand
}

// newProposal returns the distribution of the first round, which covers the ranges: its means are the centers of the ranges
// and its standard deviations half their widths.
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

// draw draws n points.
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

// fit fits the distribution to the worst of the points. It skips infeasible points among them, and leaves the distribution
// as it is if fewer than two points remain.
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

// scorePoints runs the points with all seeds and with the policy and the baseline policy, and returns a candidate for each
// point.
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
			c.Score = math.MaxFloat64 // an infeasible point must not be among the worst
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

// FormatCandidate returns the text of an experiment file that has the candidate as its only point. configForm is the
// configuration of the exploration, see ConfigForm.
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
