// Tenants' rates after EARRRL and their thresholds. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// quotaShareSlack is how many times its slice a tenant may send.
	quotaShareSlack = 1.3
	// noiseDeviations is how many standard deviations the threshold lies over the mean rate of a tenant
	// that sends just its slice, where the slice is too small for quotaShareSlack to cover them.
	noiseDeviations = 2.0
)

// count adds an arrival to the estimate and returns the rate: EARRRL's N = 1 + N·e^(−λΔt), then
// r = N·λ·e^(−λΔt), read after the arrival was counted, so that Δt is 0.
func (e *rateEstimate) count(now time.Duration, lambda float64) float64 {
	if e.impulse == 0 {
		e.impulse = 1
	} else {
		e.impulse = 1 + e.impulse*math.Exp(-lambda*(now-e.updatedAt).Seconds())
	}
	e.updatedAt = now
	return e.rate(now, lambda)
}

// rate is r = N·λ·e^(−λΔt).
func (e *rateEstimate) rate(now time.Duration, lambda float64) float64 {
	return e.impulse * lambda * math.Exp(-lambda*(now-e.updatedAt).Seconds())
}

// measureRateRatio counts the arrival and returns its tenant's rate over its threshold at a full aim of
// predicted wait.
func (in *Instance) measureRateRatio(q Request) float64 {
	user := in.senderIndex(q)
	slice := in.quotaShare(user, in.arrivals.count(in.now, in.decay))
	if r := in.senders[user].count(in.now, in.decay); slice > 0 {
		return r / in.rateThreshold(slice)
	}
	return 0
}

// rateThreshold is the rate over which a tenant is held to send more than its slice. The rate of one that
// sends just its slice has, after an arrival, a mean of the slice and λ, and a variance of λ/2 times the
// slice.
func (in *Instance) rateThreshold(slice float64) float64 {
	noise := noiseDeviations * math.Sqrt(slice*in.decay/2)
	return max(slice*quotaShareSlack, slice+in.decay+noise)
}

// quotaShare is this server's part of what the tenant or caller may send in a second; 0 = not known. Where
// all arrivals are over all quotas it is the tenant's part of the arrivals: tries made again, those meant
// for lost servers and a fleet that shrank would put every tenant over a fixed slice.
func (in *Instance) quotaShare(user int, all float64) float64 {
	if len(in.settings.Tenants) > 0 {
		quota := max(in.settings.Tenants[user].Quota, 1e-3)
		return quota * max(1/float64(in.settings.Servers), all/in.totalQuota)
	}
	return in.completions.rate(in.now, in.decay) / max(in.liveCallers, 1)
}
