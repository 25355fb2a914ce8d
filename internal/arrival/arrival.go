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
func New(config Config, rng *rand.Rand) (Process, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	switch config.Kind {
	case Replay:
		return &recordedArrivals{times: config.Times, speed: max(config.Speed, 0)}, nil
	case Bursty:
		bursts := &modulatedRate{config: config, rng: rng}
		return newThinned(config, rng, config.Rate*config.BurstFactor, bursts.rate), nil
	case Diurnal:
		return newThinned(config, rng, config.Rate*(1+config.Amplitude), config.diurnalRate), nil
	}
	constant := func(time.Duration) float64 { return config.Rate }
	return newThinned(config, rng, config.Rate, constant), nil
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
func newThinned(config Config, rng *rand.Rand, maxRate float64, rate rateFunc) *thinned {
	for _, s := range config.Surges {
		maxRate *= max(s.Factor, 1)
	}
	return &thinned{rng: rng, maxRate: maxRate, rate: rate, surges: config.Surges}
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

// modulatedRate is the rate of a Markov-modulated Poisson process with two states. Its method rate must be
// called with ascending times.
type modulatedRate struct {
	config   Config
	rng      *rand.Rand
	started  bool
	inBurst  bool
	stateEnd time.Duration
}

// rate implements rateFunc.
func (m *modulatedRate) rate(at time.Duration) float64 {
	config := &m.config
	if !m.started {
		m.started = true
		m.inBurst = m.rng.Float64() >= config.BurstFraction // the loop below enters the other state
	}
	for at >= m.stateEnd {
		m.inBurst = !m.inBurst
		mean := float64(config.MeanBurst)
		if !m.inBurst {
			mean *= (1 - config.BurstFraction) / config.BurstFraction
		}
		m.stateEnd += max(time.Duration(m.rng.ExpFloat64()*mean), 1)
	}
	if m.inBurst {
		return config.Rate * config.BurstFactor
	}
	return config.Rate * (1 - config.BurstFactor*config.BurstFraction) / (1 - config.BurstFraction)
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
