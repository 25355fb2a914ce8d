package arrival

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

// TestRates checks the mean rate of each process and the coefficient of variation of the gaps between arrivals: it is 1
// for a Poisson process, whose gaps are exponentially distributed, and larger for the others.
func TestRates(t *testing.T) {
	for _, c := range []struct {
		name        string
		config      Config
		least, most float64 // bounds of the coefficient of variation of the gaps
	}{
		{"poisson", Config{Kind: Poisson, Rate: 100}, 0.99, 1.01},
		{"bursty", Config{Kind: Bursty, Rate: 100, BurstFactor: 4, BurstFraction: 0.1, MeanBurst: time.Second}, 1.2, 2},
		{"diurnal", Config{Kind: Diurnal, Rate: 100, Amplitude: 0.8, Period: time.Minute}, 1.05, 2},
	} {
		p, err := New(c.config, rand.New(rand.NewPCG(1, 2)))
		if err != nil {
			t.Fatal(err)
		}
		gaps, last := make([]float64, 400_000), time.Duration(0)
		for i := range gaps {
			at, _ := p.Next()
			if at < last {
				t.Fatalf("%s: arrival at %v follows one at %v", c.name, at, last)
			}
			gaps[i], last = (at - last).Seconds(), at
		}
		mean, dev := stat.MeanStdDev(gaps, nil)
		if cv := dev / mean; math.Abs(1/mean-100) > 3 || cv < c.least || cv > c.most {
			t.Errorf("%s: rate %.2f per second, want 97 to 103; coefficient of variation of the gaps %.3f, want %v to %v",
				c.name, 1/mean, cv, c.least, c.most)
		}
	}
}

// TestSurge checks that a surge multiplies the rate only while it lasts.
func TestSurge(t *testing.T) {
	p, err := New(Config{Kind: Poisson, Rate: 1000, Surges: []Surge{{Start: 10 * time.Second, Duration: 10 * time.Second, Factor: 2}}},
		rand.New(rand.NewPCG(3, 4)))
	if err != nil {
		t.Fatal(err)
	}
	counts := map[int]int{}
	for {
		at, _ := p.Next()
		if at >= 30*time.Second {
			break
		}
		counts[int(at/(10*time.Second))]++
	}
	for i, want := range []float64{10000, 20000, 10000} {
		if math.Abs(float64(counts[i])-want) > 500 {
			t.Errorf("%d arrivals in ten-second interval %d, want %v within 500", counts[i], i, want)
		}
	}
}

// TestReplay checks that recorded arrivals are replayed at the given speed, and that the process then ends.
func TestReplay(t *testing.T) {
	p, err := New(Config{Kind: Replay, Times: []time.Duration{time.Second, 3 * time.Second}, Speed: 2}, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := p.Next()
	b, _ := p.Next()
	if _, more := p.Next(); a != 500*time.Millisecond || b != 1500*time.Millisecond || more {
		t.Errorf("arrivals at %v and %v, another one: %t; want 500ms, 1.5s and no other", a, b, more)
	}
}

// TestValidate checks that New rejects invalid parameters.
func TestValidate(t *testing.T) {
	for _, c := range []Config{{}, {Kind: Poisson}, {Kind: Bursty, Rate: 1, BurstFactor: 4, BurstFraction: 0.5, MeanBurst: 1},
		{Kind: Diurnal, Rate: 1, Amplitude: 2, Period: 1}, {Kind: Replay}, {Kind: Poisson, Rate: 1, Surges: []Surge{{Factor: -1}}}} {
		if _, err := New(c, nil); err == nil {
			t.Errorf("New(%+v) returned no error", c)
		}
	}
}
