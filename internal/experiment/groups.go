package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Group is the mean of a measure over the runs of a policy, with its confidence interval.
type Group struct {
	Policy             string  `json:"policy"`
	Label              string  `json:"of"` // a value of the variable, a kind of workload, or "all"
	X                  float64 `json:"x"`  // the value of the variable
	Runs               int     `json:"runs"`
	Infeasible         int     `json:"failed"` // runs whose configuration was rejected
	Mean               float64 `json:"mean"`
	Lower              float64 `json:"low"`    // lower bound of the 95 % confidence interval of the mean
	Upper              float64 `json:"high"`   // upper bound
	RunsWithViolations int     `json:"broken"` // runs in which a rule was violated
	Measure            string  `json:"measure"`

	values []runValue
}

// runValue is the value of a measure in one run.
type runValue struct {
	pair  pairKey
	value float64
}

// pairKey identifies a pair of runs. Runs of two policies with the same key are compared with each other.
type pairKey struct {
	point int
	seed  uint64
}

// ByWorkload groups results by the kind of workload. It is used in place of the name of a variable.
const ByWorkload = "day"

// labelAll is the label of a group of all runs of a policy.
const labelAll = "all"

// resamples is the number of bootstrap resamples.
const resamples = 5000

// Quantiles of the bootstrap distribution that bound the 95 % confidence interval.
const (
	lowerQuantile = 0.025
	upperQuantile = 0.975
)

// ConfidenceInterval returns the mean of values and its 95 % confidence interval by the percentile bootstrap (Efron and
// Tibshirani, 1993). The same values give the same interval. All results are NaN without values, and the interval of a
// single value is infinite.
func ConfidenceInterval(values []float64) (mean, lower, upper float64) {
	n := len(values)
	if n == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	mean = stat.Mean(values, nil)
	if n == 1 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	rng := rand.New(rand.NewPCG(uint64(n), 0))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range n {
			sum += values[rng.IntN(n)]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	lower = stat.Quantile(lowerQuantile, stat.Empirical, means, nil)
	upper = stat.Quantile(upperQuantile, stat.Empirical, means, nil)
	return mean, lower, upper
}

// Groups groups the rows by policy and by the variable by, and returns the mean of a measure in each group. If by is
// ByWorkload it groups by policy and kind of workload, and if by is empty by policy alone.
func (r *Results) Groups(measure, by string) ([]Group, error) {
	type groupKey struct{ policy, label string }
	index := map[groupKey]int{}
	var groups []Group
	found := false
	for i := range r.Rows {
		row := &r.Rows[i]
		label, x, err := row.labelBy(by)
		if err != nil {
			return nil, err
		}
		key := groupKey{row.Policy, label}
		at, ok := index[key]
		if !ok {
			at = len(groups)
			index[key] = at
			groups = append(groups, Group{Policy: row.Policy, Label: label, X: x, Measure: measure})
		}
		if groups[at].add(row) {
			found = true
		}
	}
	if !found {
		return nil, fmt.Errorf("experiment: no run has the measure %q", measure)
	}
	for i := range groups {
		groups[i].computeMean()
	}
	return groups, nil
}

// labelBy returns the label of the row's group, and the value of the variable if by names one.
func (r *Row) labelBy(by string) (label string, x float64, err error) {
	switch by {
	case "":
		return labelAll, 0, nil
	case ByWorkload:
		return workloadKind(r.Workload), 0, nil
	}
	value, ok := r.Values[by]
	if !ok {
		return "", 0, fmt.Errorf("experiment: %q was not varied", by)
	}
	return fmt.Sprintf("%.4g", value), value, nil
}

// workloadKind returns the kind of a generated workload, whose name is the kind, a hyphen and a number.
func workloadKind(name string) string {
	if i := strings.LastIndexByte(name, '-'); i >= 0 {
		return name[:i]
	}
	return name
}

// add adds a row to the group and reports whether the row has the measure.
func (g *Group) add(row *Row) bool {
	if row.Error != "" {
		g.Infeasible++
		return false
	}
	value, ok := row.Measures[g.Measure]
	if !ok {
		return false
	}
	g.Runs++
	if len(row.Violations) > 0 {
		g.RunsWithViolations++
	}
	g.values = append(g.values, runValue{pairKey{row.Point, row.Seed}, value})
	return true
}

// computeMean sets the mean and its confidence interval from the values.
func (g *Group) computeMean() {
	values := make([]float64, len(g.values))
	for i, v := range g.values {
		values[i] = v.value
	}
	g.Mean, g.Lower, g.Upper = ConfidenceInterval(values)
}
