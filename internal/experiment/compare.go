package experiment

import "fmt"

// Difference is the difference of a measure between two policies, over pairs of runs with the same point and seed.
type Difference struct {
	Measure        string  `json:"measure"`
	Label          string  `json:"of"` // as in Group
	PolicyA        string  `json:"a"`
	PolicyB        string  `json:"b"`
	Pairs          int     `json:"pairs"`
	MeanA          float64 `json:"mean_a"`
	MeanB          float64 `json:"mean_b"`
	MeanDifference float64 `json:"mean"` // of A minus B
	Lower          float64 `json:"low"`  // lower bound of the 95 % confidence interval of the mean difference
	Upper          float64 `json:"high"` // upper bound
	WinShare       float64 `json:"wins"` // share of the pairs in which A has the higher value
}

// IsSignificant reports whether the confidence interval excludes 0.
func (d Difference) IsSignificant() bool { return d.Lower > 0 || d.Upper < 0 }

// String describes the difference in one line.
func (d Difference) String() string {
	text := fmt.Sprintf("%s, %s: %s %.4f, %s %.4f; difference %+.4f, 95 %% interval %+.4f to %+.4f over %d pairs",
		d.Measure, d.Label, d.PolicyA, d.MeanA, d.PolicyB, d.MeanB, d.MeanDifference, d.Lower, d.Upper, d.Pairs)
	if !d.IsSignificant() {
		return text + ": not significant"
	}
	return text
}

// Compare compares two policies in pairs of runs with the same point and seed. It groups the runs as Groups does and returns
// a difference for each label. Labels without pairs are left out. It is an error if there are no pairs at all.
func (r *Results) Compare(measure, by, policyA, policyB string) ([]Difference, error) {
	groups, err := r.Groups(measure, by)
	if err != nil {
		return nil, err
	}
	byLabel := map[string]map[string]*Group{policyA: {}, policyB: {}}
	var labels []string // of the groups of A, in their order
	for i := range groups {
		g := &groups[i]
		if ofPolicy, ok := byLabel[g.Policy]; ok {
			ofPolicy[g.Label] = g
			if g.Policy == policyA {
				labels = append(labels, g.Label)
			}
		}
	}
	var differences []Difference
	for _, label := range labels {
		b := byLabel[policyB][label]
		if b == nil {
			continue
		}
		d := Difference{Measure: measure, Label: label, PolicyA: policyA, PolicyB: policyB}
		d.compute(byLabel[policyA][label], b)
		if d.Pairs > 0 {
			differences = append(differences, d)
		}
	}
	if len(differences) == 0 {
		return nil, fmt.Errorf("experiment: %s and %s have no runs of the same point and seed", policyA, policyB)
	}
	return differences, nil
}

// compute sets the number of pairs, the means, the interval and the win share from the pairs of runs in two groups.
func (d *Difference) compute(groupA, groupB *Group) {
	valuesB := map[pairKey]float64{}
	for _, v := range groupB.values {
		valuesB[v.pair] = v.value
	}
	var differences []float64
	for _, v := range groupA.values {
		other, ok := valuesB[v.pair]
		if !ok {
			continue
		}
		differences = append(differences, v.value-other)
		d.MeanA += v.value
		d.MeanB += other
		if v.value > other {
			d.WinShare++
		}
	}
	if d.Pairs = len(differences); d.Pairs == 0 {
		return
	}
	n := float64(d.Pairs)
	d.MeanA /= n
	d.MeanB /= n
	d.WinShare /= n
	d.MeanDifference, d.Lower, d.Upper = ConfidenceInterval(differences)
}
