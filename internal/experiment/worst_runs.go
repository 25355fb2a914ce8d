package experiment

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

// Deviation is the difference between the worst runs and all runs in one variable or measure.
type Deviation struct {
	Name        string  `json:"name"`
	OverallMean float64 `json:"all"`
	WorstMean   float64 `json:"worst"`
	StdDevs     float64 `json:"spreads"` // WorstMean - OverallMean, in standard deviations of all runs
}

// explanatoryMeasures are the measures that, like the variables, may explain why runs are bad.
var explanatoryMeasures = []string{"load", "tries", "waste"}

// WorstRuns returns the n rows of a policy with the lowest values of a measure, the lowest first, and their deviations from
// all rows of the policy, the largest first.
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
	for name := range explanatoryNames(rows) {
		if d, ok := deviationOf(name, rows, worst); ok {
			deviations = append(deviations, d)
		}
	}
	slices.SortFunc(deviations, func(a, b Deviation) int {
		return cmp.Or(-cmp.Compare(math.Abs(a.StdDevs), math.Abs(b.StdDevs)), cmp.Compare(a.Name, b.Name))
	})
	return worst, deviations
}

// explanatoryNames returns the names of all variables and explanatory measures that any of the rows has.
func explanatoryNames(rows []Row) map[string]bool {
	names := map[string]bool{}
	for _, row := range rows {
		for name := range row.Values {
			names[name] = true
		}
		for _, name := range explanatoryMeasures {
			if _, ok := row.Measures[name]; ok {
				names[name] = true
			}
		}
	}
	return names
}

// deviationOf compares the means of a variable or measure in all rows and in the worst rows. ok is false if it doesn't vary
// or if the worst rows don't have it.
func deviationOf(name string, all, worst []Row) (d Deviation, ok bool) {
	allValues, worstValues := valuesOf(name, all), valuesOf(name, worst)
	stdDev := stat.StdDev(allValues, nil)
	if len(worstValues) == 0 || !(stdDev > 0) { // the standard deviation may be NaN
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

// valuesOf returns the values of a variable or measure in all rows that have it. The variable counts in a row that has both.
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
