package experiment

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Deviation says how the worst runs differ from all runs in one variable or measure.
type Deviation struct {
	Name        string  `json:"name"`
	OverallMean float64 `json:"all"`
	WorstMean   float64 `json:"worst"`
	StdDevs     float64 `json:"spreads"` // standard deviations of all runs between the two means
}

// describingMeasures are the measures that, besides the variables, may explain why runs are bad.
var describingMeasures = []string{"load", "tries", "waste"}

// WorstRuns returns the n rows of a policy with the least of a measure, and how they differ from all rows of the policy, the
// largest deviation first.
func (r *Results) WorstRuns(policy, measure string, n int) ([]Row, []Deviation) {
	var rows []Row
	for _, row := range r.Rows {
		if _, ok := row.Measures[measure]; ok && row.Policy == policy {
			rows = append(rows, row)
		}
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Measures[measure], b.Measures[measure]) })
	worst := rows[:min(n, len(rows))]
	var deviations []Deviation
	for name := range describingNames(rows) {
		if d, ok := deviationOf(name, rows, worst); ok {
			deviations = append(deviations, d)
		}
	}
	slices.SortFunc(deviations, func(a, b Deviation) int {
		return cmp.Or(-cmp.Compare(math.Abs(a.StdDevs), math.Abs(b.StdDevs)), cmp.Compare(a.Name, b.Name))
	})
	return worst, deviations
}

// describingNames are the names of all variables and describing measures that any row has.
func describingNames(rows []Row) map[string]bool {
	names := map[string]bool{}
	for _, row := range rows {
		for name := range row.Values {
			names[name] = true
		}
		for _, name := range describingMeasures {
			if _, ok := row.Measures[name]; ok {
				names[name] = true
			}
		}
	}
	return names
}

// deviationOf compares the means of a variable or measure; ok is false if it doesn't vary or the worst rows don't have it.
func deviationOf(name string, all, worst []Row) (d Deviation, ok bool) {
	allValues, worstValues := valuesOf(name, all), valuesOf(name, worst)
	stdDev := stat.StdDev(allValues, nil)
	if len(worstValues) == 0 || !(stdDev > 0) { // also without a standard deviation
		return Deviation{}, false
	}
	d = Deviation{
		Name:        name,
		OverallMean: floats.Sum(allValues) / float64(len(allValues)),
		WorstMean:   floats.Sum(worstValues) / float64(len(worstValues)),
	}
	d.StdDevs = (d.WorstMean - d.OverallMean) / stdDev
	return d, true
}

// valuesOf returns a variable or, if it was not varied, a measure of all rows that have it.
func valuesOf(name string, rows []Row) []float64 {
	var values []float64
	for _, row := range rows {
		if v, ok := row.Values[name]; ok {
			values = append(values, v)
		} else if v, ok := row.Measures[name]; ok {
			values = append(values, v)
		}
	}
	return values
}
