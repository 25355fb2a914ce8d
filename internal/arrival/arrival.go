package arrival

import (
	"math"
	"math/rand/v2"
	"time"
)

// Process generates arrivals.
type Process interface {
	// Next returns the time of the next arrival since the start, never before that of the last call; false at the end.
	Next() (time.Duration, bool)
}

// rateFunc returns the rate of a process at a time, in arrivals a second.
type rateFunc func(t time.Duration) float64

// New returns a process that draws its random numbers from rng.
func New(c Config, rng *rand.Rand) (Process, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	switch c.Kind {
	case Replay:
		return &recordedArrivals{times: c.Times, speed: max(c.Speed, 0)}, nil
	case Bursty:
		bursts := &modulatedRate{config: c, rng: rng}
		return newThinned(c, rng, c.Rate*c.BurstFactor, bursts.rate), nil
	case Diurnal:
		return newThinned(c, rng, c.Rate*(1+c.Amplitude), c.diurnalRate), nil
	}
	constant := func(time.Duration) float64 { return c.Rate }
	return newThinned(c, rng, c.Rate, constant), nil
}

// diurnalRate is the rate of a Diurnal process.
func (c *Config) diurnalRate(t time.Duration) float64 {
	return c.Rate * (1 + c.Amplitude*math.Sin(2*math.Pi*float64(t)/float64(c.Period)))
}

// thinned is a Poisson process with a variable rate, made by thinning one with the maximum rate (Lewis and Shedler, 1979).
type thinned struct {
	rng     *rand.Rand
	maxRate float64
	rate    rateFunc
	surges  []Surge
	seconds float64 // time of the last candidate
}

// newThinned returns the process; maxRate is the maximum of rate.
func newThinned(c Config, rng *rand.Rand, maxRate float64, rate rateFunc) *thinned {
	for _, s := range c.Surges {
		maxRate *= max(s.Factor, 1)
	}
	return &thinned{rng: rng, maxRate: maxRate, rate: rate, surges: c.Surges}
}

// Next implements Process.
func (p *thinned) Next() (time.Duration, bool) {
	for {
		p.seconds += p.rng.ExpFloat64() / p.maxRate
		t := time.Duration(p.seconds * float64(time.Second))
		rate := p.rate(t)
		for _, s := range p.surges {
			rate *= s.factorAt(t)
		}
		if rate >= p.maxRate || p.rng.Float64()*p.maxRate < rate {
			return t, true
		}
	}
}

// modulatedRate is the rate of a Markov-modulated Poisson process with two states. It must be asked in the order of time.
type modulatedRate struct {
	config   Config
	rng      *rand.Rand
	started  bool
	inBurst  bool
	stateEnd time.Duration
}

// rate is the rateFunc.
func (m *modulatedRate) rate(t time.Duration) float64 {
	c := &m.config
	if !m.started {
		m.started = true
		m.inBurst = m.rng.Float64() >= c.BurstFraction // the loop below enters the other state
	}
	for t >= m.stateEnd {
		m.inBurst = !m.inBurst
		mean := float64(c.MeanBurst)
		if !m.inBurst {
			mean *= (1 - c.BurstFraction) / c.BurstFraction
		}
		m.stateEnd += max(time.Duration(m.rng.ExpFloat64()*mean), 1)
	}
	if m.inBurst {
		return c.Rate * c.BurstFactor
	}
	return c.Rate * (1 - c.BurstFactor*c.BurstFraction) / (1 - c.BurstFraction)
}

// recordedArrivals is a Replay process.
type recordedArrivals struct {
	times []time.Duration
	speed float64 // 0 is 1
	next  int
}

// Next implements Process.
func (p *recordedArrivals) Next() (time.Duration, bool) {
	if p.next == len(p.times) {
		return 0, false
	}
	t := p.times[p.next]
	p.next++
	if p.speed > 0 {
		t = time.Duration(float64(t) / p.speed)
	}
	return t, true
}
