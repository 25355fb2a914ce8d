package arrival

import (
	"math"
	"math/rand/v2"
	"time"
)

// Process generates the times of arrivals.
type Process interface {
	// Next returns the time of the next arrival, measured from the start. Times never decrease from one call to the
	// next. It returns false when there are no more arrivals.
	Next() (time.Duration, bool)
}

// rateFunc returns the rate of a process at time t, in arrivals per second.
type rateFunc func(t time.Duration) float64

// New returns the process that config describes, or an error if config is invalid. The process draws its random numbers
// from rng; a Replay process draws none.
func New(config Config, rng *rand.Rand) (Process, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	switch config.Kind {
	case Replay:
		return &recordedArrivals{times: config.Times, speed: max(config.Speed, 0)}, nil
	case Bursty:
		bursts := &modulatedRate{config: config, rng: rng}
		return newThinnedPoisson(config, rng, config.Rate*config.BurstFactor, bursts.rate), nil
	case Diurnal:
		return newThinnedPoisson(config, rng, config.Rate*(1+config.Amplitude), config.diurnalRate), nil
	}
	constant := func(time.Duration) float64 { return config.Rate }
	return newThinnedPoisson(config, rng, config.Rate, constant), nil
}

// diurnalRate implements rateFunc for a Diurnal process.
func (c *Config) diurnalRate(t time.Duration) float64 {
	return c.Rate * (1 + c.Amplitude*math.Sin(2*math.Pi*float64(t)/float64(c.Period)))
}

// thinnedPoisson is a Poisson process with a variable rate. It generates candidates at the maximum rate and accepts
// each with the probability rate/maxRate (thinning; Lewis and Shedler, 1979).
type thinnedPoisson struct {
	rng     *rand.Rand
	maxRate float64
	rate    rateFunc
	surges  []Surge
	seconds float64 // time of the last candidate arrival, accepted or not
}

// newThinnedPoisson returns a process with the given rate, multiplied by the factors of the configuration's surges.
// maxRate is the maximum of rate, without surges.
func newThinnedPoisson(config Config, rng *rand.Rand, maxRate float64, rate rateFunc) *thinnedPoisson {
	for _, s := range config.Surges {
		maxRate *= max(s.Factor, 1)
	}
	return &thinnedPoisson{rng: rng, maxRate: maxRate, rate: rate, surges: config.Surges}
}

// Next implements Process.
func (p *thinnedPoisson) Next() (time.Duration, bool) {
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

// modulatedRate is the rate of a Markov-modulated Poisson process with two states. Its rate method must be called with
// ascending times.
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
		m.inBurst = m.rng.Float64() >= config.BurstFraction // the loop below switches to the other state
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

// recordedArrivals is a Replay process. It replays recorded times.
type recordedArrivals struct {
	times []time.Duration
	speed float64 // how many times as fast as recorded; 0 means 1
	next  int     // index of the next time
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
