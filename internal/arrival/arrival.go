// Package arrival makes up when requests come: the same processes drive the model in virtual time and storms on real
// sockets. A process is open: it knows nothing of how the requests before were answered.
package arrival

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Process says when requests come.
type Process interface {
	// Next is the time of the next arrival, counted from the start and never before the one of the last call; false
	// where none follows.
	Next() (time.Duration, bool)
}

// Kind is a kind of process.
type Kind string

// The kinds.
const (
	Poisson Kind = "poisson" // independent arrivals at one rate
	Bursty  Kind = "bursty"  // a Markov-modulated Poisson process of two states
	Diurnal Kind = "diurnal" // a rate that swings as a sine does
	Replay  Kind = "replay"  // times arrivals
)

// Config is a process by its figures.
type Config struct {
	Kind          Kind
	Rate          float64       // arrivals a second, in the mean
	BurstFactor   float64       `json:"Burst"` // Bursty: the rate of its bursts over the mean
	BurstFraction float64       `json:"Part"`  // Bursty: part of the time that is bursts
	MeanBurst     time.Duration `json:"Stay"`  // Bursty: mean length of a burst
	Amplitude     float64       `json:"Swing"` // Diurnal: how far the rate swings, as a part of the mean
	Period        time.Duration `json:"Day"`   // Diurnal: length of a swing
	Surges        []Surge       `json:"Jumps"` // of any kind but Replay

	Times []time.Duration `json:"Recorded"` // Replay
	Speed float64         `json:"Factor"`   // Replay: how many times as fast they come; 0 is 1
}

// Surge is a stretch in which the rate is a multiple of what it would be. It rises and falls evenly.
type Surge struct {
	Start    time.Duration `json:"From"`
	Duration time.Duration `json:"For"`
	Factor   float64
	RampUp   time.Duration `json:"Rise"` // within For
	RampDown time.Duration `json:"Fall"` // within For
}

// factorAt is the factor of a jump at a time.
func (j Surge) factorAt(t time.Duration) float64 {
	since, left := t-j.Start, j.Start+j.Duration-t
	if since < 0 || left <= 0 {
		return 1
	}
	part := 1.0
	if j.RampUp > 0 {
		part = min(part, float64(since)/float64(j.RampUp))
	}
	if j.RampDown > 0 {
		part = min(part, float64(left)/float64(j.RampDown))
	}
	return 1 + (j.Factor-1)*part
}

// Validate names the first figure that makes no sense.
func (c *Config) Validate() error {
	switch c.Kind {
	case Poisson, Diurnal, Bursty:
		if !(c.Rate > 0) || math.IsInf(c.Rate, 0) {
			return fmt.Errorf("arrival: a rate of %v, want more than 0", c.Rate)
		}
	case Replay:
		if len(c.Times) == 0 {
			return fmt.Errorf("arrival: nothing is recorded")
		}
		if c.Speed < 0 {
			return fmt.Errorf("arrival: a factor of %v, want more than 0", c.Speed)
		}
	default:
		return fmt.Errorf("arrival: no process is called %q, want poisson, bursty, diurnal or replay", c.Kind)
	}
	switch {
	case c.Kind == Bursty && (!(c.BurstFraction > 0) || c.BurstFraction >= 1 || c.BurstFactor < 1 || c.BurstFactor*c.BurstFraction > 1 || c.MeanBurst <= 0):
		return fmt.Errorf("arrival: bursts of %v times the rate in %v of the time for %v, want at least 1, a part between 0 and 1, "+
			"their product at most 1, and a time", c.BurstFactor, c.BurstFraction, c.MeanBurst)
	case c.Kind == Diurnal && (c.Amplitude < 0 || c.Amplitude > 1 || c.Period <= 0):
		return fmt.Errorf("arrival: a swing of %v over %v, want 0 to 1 and a time", c.Amplitude, c.Period)
	}
	for _, j := range c.Surges {
		if j.Factor < 0 || j.Duration < 0 || j.RampUp < 0 || j.RampDown < 0 {
			return fmt.Errorf("arrival: a jump to %v for %v, want none below 0", j.Factor, j.Duration)
		}
	}
	return nil
}

// New returns the process; what is drawn comes from rng.
func New(c Config, rng *rand.Rand) (Process, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	switch c.Kind {
	case Replay:
		return &recordedArrivals{c.Times, max(c.Speed, 0), 0}, nil
	case Bursty:
		return newThinned(c, rng, c.Rate*c.BurstFactor, (&modulatedRate{config: c, rng: rng}).rate), nil
	case Diurnal:
		return newThinned(c, rng, c.Rate*(1+c.Amplitude), func(t time.Duration) float64 {
			return c.Rate * (1 + c.Amplitude*math.Sin(2*math.Pi*float64(t)/float64(c.Period)))
		}), nil
	}
	return newThinned(c, rng, c.Rate, func(time.Duration) float64 { return c.Rate }), nil
}

// thinned is a Poisson process of a rate that changes, by thinning one of the highest rate (Lewis and Shedler, 1979).
type thinned struct {
	rng     *rand.Rand
	maxRate float64
	rate    func(t time.Duration) float64
	surges  []Surge
	seconds float64 // seconds
}

// newThinned returns the process; most is the highest that rate can be.
func newThinned(c Config, rng *rand.Rand, most float64, rate func(time.Duration) float64) *thinned {
	for _, j := range c.Surges {
		most *= max(j.Factor, 1)
	}
	return &thinned{rng: rng, maxRate: most, rate: rate, surges: c.Surges}
}

// Next implements Process.
func (p *thinned) Next() (time.Duration, bool) {
	for {
		p.seconds += p.rng.ExpFloat64() / p.maxRate
		t := time.Duration(p.seconds * float64(time.Second))
		rate := p.rate(t)
		for _, j := range p.surges {
			rate *= j.factorAt(t)
		}
		if rate >= p.maxRate || p.rng.Float64()*p.maxRate < rate {
			return t, true
		}
	}
}

// modulatedRate is the rate of a Markov-modulated Poisson process, asked for in the order of time.
type modulatedRate struct {
	config   Config
	rng      *rand.Rand
	stateEnd time.Duration
	inBurst  bool
	started  bool
}

func (b *modulatedRate) rate(t time.Duration) float64 {
	if !b.started {
		b.started, b.inBurst = true, b.rng.Float64() >= b.config.BurstFraction // turned below
	}
	for t >= b.stateEnd {
		b.inBurst = !b.inBurst
		stay := float64(b.config.MeanBurst)
		if !b.inBurst {
			stay *= (1 - b.config.BurstFraction) / b.config.BurstFraction
		}
		b.stateEnd += max(time.Duration(b.rng.ExpFloat64()*stay), 1)
	}
	if b.inBurst {
		return b.config.Rate * b.config.BurstFactor
	}
	return b.config.Rate * (1 - b.config.BurstFactor*b.config.BurstFraction) / (1 - b.config.BurstFraction)
}

// recordedArrivals is recorded arrivals.
type recordedArrivals struct {
	times []time.Duration
	speed float64
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
