package arrival

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

// TestRates checks the mean rate of each process and the shape of its gaps: those of a Poisson process vary as an exponential
// does, those of the others more.
func TestRates(t *testing.T) {
	for _, c := range []struct {
		name        string
		config      Config
		least, most float64 // of the coefficient of variation of the gaps
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
				t.Fatalf("%s goes back", c.name)
			}
			gaps[i], last = (at - last).Seconds(), at
		}
		mean, dev := stat.MeanStdDev(gaps, nil)
		if cv := dev / mean; math.Abs(1/mean-100) > 3 || cv < c.least || cv > c.most {
			t.Errorf("%s: %.2f a second, gaps vary by %.3f", c.name, 1/mean, cv)
		}
	}
}

// TestSurge checks that a surge multiplies the rate during its time only.
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
			t.Errorf("%d arrivals in stretch %d, want %v", counts[i], i, want)
		}
	}
}

// TestReplay replays recorded arrivals faster.
func TestReplay(t *testing.T) {
	p, err := New(Config{Kind: Replay, Times: []time.Duration{time.Second, 3 * time.Second}, Speed: 2}, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := p.Next()
	b, _ := p.Next()
	if _, more := p.Next(); a != 500*time.Millisecond || b != 1500*time.Millisecond || more {
		t.Errorf("%v, %v, %t", a, b, more)
	}
}

// TestValidate rejects parameters that make no sense.
func TestValidate(t *testing.T) {
	for _, c := range []Config{{}, {Kind: Poisson}, {Kind: Bursty, Rate: 1, BurstFactor: 4, BurstFraction: 0.5, MeanBurst: 1},
		{Kind: Diurnal, Rate: 1, Amplitude: 2, Period: 1}, {Kind: Replay}, {Kind: Poisson, Rate: 1, Surges: []Surge{{Factor: -1}}}} {
		if _, err := New(c, nil); err == nil {
			t.Errorf("%+v is accepted", c)
		}
	}
}
