package clustersim

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Parameters of 64-bit FNV-1a, and the golden ratio as a 64-bit fraction, which spreads consecutive numbers over all
// bits.
const (
	fnvOffset   = 14695981039346656037
	fnvPrime    = 1099511628211
	goldenRatio = 0x9e3779b97f4a7c15
)

// newRandom returns the random number generator of a cause and an index. The generators of one seed are independent of
// each other, so that an additional draw in one place does not shift the draws of all others.
func newRandom(seed uint64, cause string, index int) *rand.Rand {
	h := uint64(fnvOffset)
	for i := range len(cause) {
		h = (h ^ uint64(cause[i])) * fnvPrime
	}
	return rand.New(rand.NewPCG(seed, h^uint64(index)*goldenRatio))
}

// workSampler returns a function that draws the work of the class's requests in seconds.
func (c *Class) workSampler(rng *rand.Rand) func() float64 {
	mean := c.MeanWork.Seconds()
	switch c.Distribution {
	case Exponential:
		return distuv.Exponential{Rate: 1 / mean, Src: rng}.Rand
	case LogNormal:
		variance := math.Log(1 + c.CV*c.CV) // variance of the logarithm
		return distuv.LogNormal{Mu: math.Log(mean) - variance/2, Sigma: math.Sqrt(variance), Src: rng}.Rand
	case Pareto:
		return distuv.Pareto{Xm: mean * (c.CV - 1) / c.CV, Alpha: c.CV, Src: rng}.Rand
	}
	return func() float64 { return mean }
}

// pickWeighted draws an index with probabilities in proportion to the weights.
func pickWeighted(rng *rand.Rand, weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	remaining := rng.Float64() * total
	for i, w := range weights {
		remaining -= w
		if remaining < 0 {
			return i
		}
	}
	return len(weights) - 1
}
