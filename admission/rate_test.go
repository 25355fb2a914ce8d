package admission

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

func TestRateEstimateOfThreeArrivals(t *testing.T) {
	var e rateEstimate
	// λ = ln 2, so one second halves: N = 1, then 1 + 1/2, then 1 + 3/8 after two seconds.
	for i, want := range []float64{1, 1.5, 1.375} {
		now := []time.Duration{0, time.Second, 3 * time.Second}[i]
		if r := e.count(now, math.Ln2); math.Abs(e.impulse-want) > 1e-12 || math.Abs(r-want*math.Ln2) > 1e-12 {
			t.Errorf("arrival %d: N %v, r %v, want N %v", i, e.impulse, r, want)
		}
	}
	if r := e.rate(4*time.Second, math.Ln2); math.Abs(r-1.375/2*math.Ln2) > 1e-12 {
		t.Errorf("one second later r is %v, want half the previous rate", r)
	}
}

func TestWithoutTenantsQuotaShareIsPerCaller(t *testing.T) {
	settings := testSettings()
	settings.Tenants = nil
	in, _ := newTestInstance(t, settings)
	for i := 0; i < 40; i++ { // two live callers, and eight successful runs for their forty arrivals
		arrival := testRequest(RequestID(i+1), 0)
		arrival.Caller = i % 2
		in.measureRateRatio(arrival)
		if i < 8 {
			in.rates.completions.count(0, in.rates.decay)
		}
	}
	in.rates.liveCallers = 2
	if share := in.quotaShare(0, 0); math.Abs(share-8*in.rates.decay/2) > 1e-9 {
		t.Errorf("quota share %v, want half the rate of successful runs %v", share, 8*in.rates.decay/2)
	}
	// The 21st arrival of caller 0 at one instant: r = 21λ. With a quota share of 4λ the rate has a mean of 5λ and a
	// standard deviation of √2·λ.
	if e := in.measureRateRatio(testRequest(99, 0)); math.Abs(e-21/(5+2*math.Sqrt2)) > 1e-9 {
		t.Errorf("rate ratio %v, want %v", e, 21/(5+2*math.Sqrt2))
	}
}

func TestRetriesDoNotPutEveryTenantOverQuota(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Quota: 1}, {Quota: 1}}
	in, _ := newTestInstance(t, settings)
	small, large := 0.0, 0.0
	for i := 0; i < 400; i++ { // ten requests a second, a fifth of them of the small tenant; each quota share is half a request a second
		now := time.Duration(i) * 100 * ms
		arrival := testRequest(RequestID(i+1), 0)
		in.clock.now = now
		arrival.Tenant = 1
		if i%5 == 0 {
			arrival.Tenant = 0
			small = in.measureRateRatio(arrival)
			continue
		}
		large = in.measureRateRatio(arrival)
	}
	if small >= 1 || large <= 1 {
		t.Errorf("rate ratio of the small tenant %v, of the large %v; want under and over 1", small, large)
	}
}

// partOverThreshold returns the fraction of a tenant's arrivals that are over its threshold. The arrivals are a
// Poisson process whose rate is the factor times the tenant's quota share, which is given as arrivals per half-life.
func partOverThreshold(t *testing.T, perHalfLife, factor float64) float64 {
	t.Helper()
	settings := twoClassSettings()
	share := perHalfLife / settings.Classes[1].LatencyObjective.Seconds() // of the tenant at this server, in requests per second
	settings.Tenants = []Tenant{{Quota: share * float64(settings.Servers)}, {Quota: 1e9}}
	in, _ := newTestInstance(t, settings)
	const arrivals = 4000
	rng, over := rand.New(rand.NewSource(1)), 0
	for range arrivals {
		in.clock.now += time.Duration(rng.ExpFloat64() / (factor * share) * float64(time.Second))
		if in.measureRateRatio(Request{ID: 1}) > 1 {
			over++
		}
	}
	return float64(over) / arrivals
}

// TestThresholdCoversNoiseOfSmallShares checks that few arrivals of a tenant that sends exactly at the rate of its
// quota share are over the threshold, even if the share is small compared with λ.
func TestThresholdCoversNoiseOfSmallShares(t *testing.T) {
	for _, perHalfLife := range []float64{0.01, 0.1, 0.5, 1, 3, 10} {
		if part := partOverThreshold(t, perHalfLife, 1); part > 0.1 {
			t.Errorf("%v arrivals per half-life, sent at that rate: fraction %.3f is over the threshold, want at most 0.1",
				perHalfLife, part)
		}
	}
}

// TestSingleArrivalIsWithinThreshold checks that a single arrival is never over the threshold, even if the quota
// share is very small.
func TestSingleArrivalIsWithinThreshold(t *testing.T) {
	for _, quota := range []float64{0, 1e-6, 1, 300} {
		settings := twoClassSettings()
		settings.Tenants = []Tenant{{Quota: quota}, {Quota: 1e9}}
		in, _ := newTestInstance(t, settings)
		if e := in.measureRateRatio(Request{ID: 1}); e > 1 {
			t.Errorf("quota %v: rate ratio %.2f of a single arrival, want at most 1", quota, e)
		}
	}
}

// TestTenantsOverQuotaExceedThreshold checks that most arrivals of a tenant at four times its quota share are over the
// threshold.
func TestTenantsOverQuotaExceedThreshold(t *testing.T) {
	for _, perHalfLife := range []float64{3, 10, 100} {
		if part := partOverThreshold(t, perHalfLife, 4); part < 0.9 {
			t.Errorf("%v arrivals per half-life, sent at four times that rate: fraction %.3f is over the threshold, want at least 0.9",
				perHalfLife, part)
		}
	}
}
