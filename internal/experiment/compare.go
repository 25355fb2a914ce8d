package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Group is a mean over runs with its confidence interval.
type Group struct {
	Policy             string     `json:"policy"`
	Label              string     `json:"of"` // a value of the variable, a kind of day, or all
	X                  float64    `json:"x"`
	Runs               int        `json:"runs"`
	Infeasible         int        `json:"failed"` // worlds that were not feasible
	Mean               float64    `json:"mean"`
	Lower              float64    `json:"low"` // of the interval at 95 %
	Upper              float64    `json:"high"`
	RunsWithViolations int        `json:"broken"` // runs that broke a rule
	Measure            string     `json:"measure"`
	Values             []runValue `json:"-"`
}

type runValue struct {
	key   string
	value float64
}

// resamples is how often a bootstrap draws anew.
const resamples = 5000

// ConfidenceInterval is the mean of figures with its interval at 95 %, by the percentile bootstrap (Efron and Tibshirani, 1993). The
// same figures give the same interval.
func ConfidenceInterval(figures []float64) (mean, low, high float64) {
	n := len(figures)
	if n == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	mean = stat.Mean(figures, nil)
	if n == 1 {
		return mean, math.Inf(-1), math.Inf(1)
	}
	rng := rand.New(rand.NewPCG(uint64(n), 0))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range n {
			sum += figures[rng.IntN(n)]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	return mean, stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}

// workloadKind is the kind in a day's name.
func workloadKind(day string) string {
	for i := len(day) - 1; i >= 0; i-- {
		if day[i] == '-' {
			return day[:i]
		}
	}
	return day
}

// Groups are the means of a measure by policy and by a variable, "day" for kinds of day or "" for all together.
func (r *Results) Groups(measure, by string) ([]Group, error) {
	index := map[string]int{}
	var list []Group
	found := false
	for _, row := range r.Rows {
		of, x := "all", 0.0
		switch {
		case by == "day":
			of = workloadKind(row.Workload)
		case by != "":
			v, ok := row.Values[by]
			if !ok {
				return nil, fmt.Errorf("experiment: %q was not varied", by)
			}
			of, x = fmt.Sprintf("%.4g", v), v
		}
		key := row.Policy + "\x00" + of
		i, ok := index[key]
		if !ok {
			i = len(list)
			index[key] = i
			list = append(list, Group{Policy: row.Policy, Label: of, X: x, Measure: measure})
		}
		g := &list[i]
		if row.Error != "" {
			g.Infeasible++
			continue
		}
		v, ok := row.Measures[measure]
		if !ok {
			continue
		}
		found = true
		g.Runs++
		if len(row.Violations) > 0 {
			g.RunsWithViolations++
		}
		g.Values = append(g.Values, runValue{fmt.Sprint(row.Point, "/", row.Seed), v})
	}
	if !found {
		return nil, fmt.Errorf("experiment: no run has the measure %q", measure)
	}
	for i := range list {
		figures := make([]float64, len(list[i].Values))
		for k, v := range list[i].Values {
			figures[k] = v.value
		}
		list[i].Mean, list[i].Lower, list[i].Upper = ConfidenceInterval(figures)
	}
	return list, nil
}

// Difference is what one policy has over another in runs of the same point and seed.
type Difference struct {
	Measure        string  `json:"measure"`
	Label          string  `json:"of"`
	PolicyA        string  `json:"a"`
	PolicyB        string  `json:"b"`
	Pairs          int     `json:"pairs"`
	MeanA          float64 `json:"mean_a"`
	MeanB          float64 `json:"mean_b"`
	MeanDifference float64 `json:"mean"` // of A less B
	Lower          float64 `json:"low"`
	Upper          float64 `json:"high"`
	WinShare       float64 `json:"wins"` // part of the pairs in which A has more
}

// IsSignificant tells whether the interval leaves out that there is no difference.
func (d Difference) IsSignificant() bool { return d.Lower > 0 || d.Upper < 0 }

// String says the difference in words.
func (d Difference) String() string {
	text := fmt.Sprintf("%s, %s: %s %.4f, %s %.4f; difference %+.4f, 95 %% in %+.4f to %+.4f over %d pairs", d.Measure, d.Label, d.PolicyA, d.MeanA,
		d.PolicyB, d.MeanB, d.MeanDifference, d.Lower, d.Upper, d.Pairs)
	if !d.IsSignificant() {
		return text + ": no difference seen"
	}
	return text
}

// Compare pairs the runs of two policies by point and seed.
func (r *Results) Compare(measure, by, a, b string) ([]Difference, error) {
	groups, err := r.Groups(measure, by)
	if err != nil {
		return nil, err
	}
	of := map[string]map[string]Group{a: {}, b: {}}
	var order []string
	for _, g := range groups {
		if list, ok := of[g.Policy]; ok {
			if list[g.Label] = g; g.Policy == a {
				order = append(order, g.Label)
			}
		}
	}
	var list []Difference
	for _, name := range order {
		right := map[string]float64{}
		for _, v := range of[b][name].Values {
			right[v.key] = v.value
		}
		d := Difference{Measure: measure, Label: name, PolicyA: a, PolicyB: b}
		var diffs []float64
		for _, v := range of[a][name].Values {
			if other, ok := right[v.key]; ok {
				diffs = append(diffs, v.value-other)
				d.MeanA, d.MeanB = d.MeanA+v.value, d.MeanB+other
				if v.value > other {
					d.WinShare++
				}
			}
		}
		if d.Pairs = len(diffs); d.Pairs == 0 {
			continue
		}
		n := float64(d.Pairs)
		d.MeanA, d.MeanB, d.WinShare = d.MeanA/n, d.MeanB/n, d.WinShare/n
		d.MeanDifference, d.Lower, d.Upper = ConfidenceInterval(diffs)
		list = append(list, d)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("experiment: %s and %s have no runs of the same point and seed", a, b)
	}
	return list, nil
}

// WorstRuns are the rows of a policy in which a measure is least, and what their points have in common against all: for each
// variable the mean there and elsewhere, in spreads of all.
func (r *Results) WorstRuns(policy, measure string, n int) ([]Row, []Deviation) {
	var rows []Row
	for _, row := range r.Rows {
		if _, ok := row.Measures[measure]; ok && row.Policy == policy {
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Measures[measure], b.Measures[measure]) })
	worst := rows[:min(n, len(rows))]
	names := map[string]bool{}
	for _, row := range rows {
		for name := range row.Values {
			names[name] = true
		}
		for _, name := range []string{"load", "tries", "waste"} {
			if _, ok := row.Measures[name]; ok {
				names[name] = true
			}
		}
	}
	var common []Deviation
	for name := range names {
		get := func(list []Row) (figures []float64) {
			for _, row := range list {
				if v, ok := row.Values[name]; ok {
					figures = append(figures, v)
				} else if v, ok := row.Measures[name]; ok {
					figures = append(figures, v)
				}
			}
			return figures
		}
		all, some := get(rows), get(worst)
		if spread := stat.StdDev(all, nil); len(some) > 0 && spread > 0 {
			c := Deviation{Name: name, OverallMean: floats.Sum(all) / float64(len(all)), WorstMean: floats.Sum(some) / float64(len(some))}
			c.StdDevs = (c.WorstMean - c.OverallMean) / spread
			common = append(common, c)
		}
	}
	slices.SortFunc(common, func(a, b Deviation) int {
		return cmp.Or(-cmp.Compare(math.Abs(a.StdDevs), math.Abs(b.StdDevs)), cmp.Compare(a.Name, b.Name))
	})
	return worst, common
}

// Deviation is how the worst runs differ from all in one figure.
type Deviation struct {
	Name        string  `json:"name"`
	OverallMean float64 `json:"all"`
	WorstMean   float64 `json:"worst"`
	StdDevs     float64 `json:"spreads"` // standard deviations between the two
}
