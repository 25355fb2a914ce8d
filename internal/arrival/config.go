package arrival

import (
	"fmt"
	"math"
	"time"
)

// Kind is a kind of arrival process. Configuration files and command-line flags use the same values.
type Kind string

// The kinds of arrival process.
const (
	Poisson Kind = "poisson" // independent arrivals at a constant rate
	Bursty  Kind = "bursty"  // a Markov-modulated Poisson process with two states
	Diurnal Kind = "diurnal" // a Poisson process whose rate is a sine wave
	Replay  Kind = "replay"  // recorded arrivals
)

// Config holds the parameters of a process. The JSON keys are those of experiment headers.
type Config struct {
	Kind          Kind
	Rate          float64       // mean arrivals per second; not used by Replay
	BurstFactor   float64       `json:"Burst"` // Bursty: rate of a burst as a multiple of the mean
	BurstFraction float64       `json:"Part"`  // Bursty: fraction of the time that is spent in bursts
	MeanBurst     time.Duration `json:"Stay"`  // Bursty: mean duration of a burst
	Amplitude     float64       `json:"Swing"` // Diurnal: amplitude of the rate, relative to the mean rate
	Period        time.Duration `json:"Day"`   // Diurnal: period of the sine wave
	Surges        []Surge       `json:"Jumps"` // all kinds except Replay

	Times []time.Duration `json:"Recorded"` // Replay: recorded times, ascending, from the start
	Speed float64         `json:"Factor"`   // Replay: how many times as fast as recorded; 0 means 1
}

// Surge multiplies the rate by Factor for a time. The factor ramps up and down linearly.
type Surge struct {
	Start    time.Duration `json:"From"`
	Duration time.Duration `json:"For"`
	Factor   float64
	RampUp   time.Duration `json:"Rise"` // part of Duration, at its start
	RampDown time.Duration `json:"Fall"` // part of Duration, at its end
}

// factorAt returns the factor of the rate at a time; it is 1 outside the surge.
func (s Surge) factorAt(at time.Duration) float64 {
	elapsed := at - s.Start
	left := s.Start + s.Duration - at
	if elapsed < 0 || left <= 0 {
		return 1
	}
	ramp := 1.0
	if s.RampUp > 0 {
		ramp = min(ramp, float64(elapsed)/float64(s.RampUp))
	}
	if s.RampDown > 0 {
		ramp = min(ramp, float64(left)/float64(s.RampDown))
	}
	return 1 + (s.Factor-1)*ramp
}

// Validate returns an error for the first invalid parameter.
func (c *Config) Validate() error {
	if err := c.validateKind(); err != nil {
		return err
	}
	for _, s := range c.Surges {
		if s.Factor < 0 || s.Duration < 0 || s.RampUp < 0 || s.RampDown < 0 {
			return fmt.Errorf("arrival: surge factor %v, duration %v, ramp up %v, ramp down %v, want no negative value",
				s.Factor, s.Duration, s.RampUp, s.RampDown)
		}
	}
	return nil
}

// validateKind checks the kind and the parameters that it uses, except Surges.
func (c *Config) validateKind() error {
	switch c.Kind {
	case Poisson:
		return c.validateRate()
	case Bursty:
		if err := c.validateRate(); err != nil {
			return err
		}
		if !c.hasValidBursts() {
			return fmt.Errorf("arrival: burst factor %v, burst fraction %v, mean burst %v, want a factor of at least 1, "+
				"a fraction between 0 and 1, their product at most 1, and a positive duration", c.BurstFactor, c.BurstFraction, c.MeanBurst)
		}
		return nil
	case Diurnal:
		if err := c.validateRate(); err != nil {
			return err
		}
		if c.Amplitude < 0 || c.Amplitude > 1 || c.Period <= 0 {
			return fmt.Errorf("arrival: amplitude %v, period %v, want an amplitude of 0 to 1 and a positive period", c.Amplitude, c.Period)
		}
		return nil
	case Replay:
		return c.validateReplay()
	}
	return fmt.Errorf("arrival: no process is called %q, want poisson, bursty, diurnal or replay", c.Kind)
}

// validateRate checks that the mean rate is positive and finite.
func (c *Config) validateRate() error {
	if !(c.Rate > 0) || math.IsInf(c.Rate, 0) {
		return fmt.Errorf("arrival: a rate of %v, want a finite rate above 0", c.Rate)
	}
	return nil
}

// hasValidBursts reports whether the parameters of Bursty are valid. The arrivals in bursts alone must not exceed the
// mean rate: BurstFactor*BurstFraction is at most 1.
func (c *Config) hasValidBursts() bool {
	return c.BurstFraction > 0 && c.BurstFraction < 1 && !(c.BurstFactor < 1) &&
		!(c.BurstFactor*c.BurstFraction > 1) && c.MeanBurst > 0
}

// validateReplay checks the parameters of Replay.
func (c *Config) validateReplay() error {
	if len(c.Times) == 0 {
		return fmt.Errorf("arrival: no recorded times, want at least one")
	}
	if c.Speed < 0 {
		return fmt.Errorf("arrival: speed %v, want at least 0", c.Speed)
	}
	return nil
}
