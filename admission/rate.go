// Tenants' rates after EARRRL and their thresholds. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// slackSlice is how many times its slice a tenant may send.
	slackSlice = 1.3
	// noiseMargin is how many standard deviations the threshold lies over the mean rate of a tenant that
	// sends just its slice, where the slice is too small for slackSlice to cover them.
	noiseMargin = 2.0
)

// count adds an arrival to the estimate and returns the rate: EARRRL's N = 1 + N·e^(−λΔt), then
// r = N·λ·e^(−λΔt), read after the arrival was counted, so that Δt is 0.
func (e *estimate) count(now time.Duration, lambda float64) float64 {
	if e.n == 0 {
		e.n = 1
	} else {
		e.n = 1 + e.n*math.Exp(-lambda*(now-e.last).Seconds())
	}
	e.last = now
	return e.rate(now, lambda)
}

// rate is r = N·λ·e^(−λΔt).
func (e *estimate) rate(now time.Duration, lambda float64) float64 {
	return e.n * lambda * math.Exp(-lambda*(now-e.last).Seconds())
}

// excess counts the arrival and returns its tenant's rate over its threshold at a full aim of predicted wait.
func (in *Instance) excess(q Request) float64 {
	user := in.user(q)
	slice := in.slice(user, in.arrivals.count(in.now, in.lambda))
	if r := in.senders[user].count(in.now, in.lambda); slice > 0 {
		return r / in.threshold(slice)
	}
	return 0
}

// threshold is the rate over which a tenant is held to send more than its slice. The rate of one that sends
// just its slice has, after an arrival, a mean of the slice and λ, and a variance of λ/2 times the slice.
func (in *Instance) threshold(slice float64) float64 {
	noise := noiseMargin * math.Sqrt(slice*in.lambda/2)
	return max(slice*slackSlice, slice+in.lambda+noise)
}

// slice is this server's part of what the tenant or caller may send in a second; 0 = not known. Where all
// arrivals are over all quotas it is the tenant's part of the arrivals: tries made again, those meant for
// lost servers and a fleet that shrank would put every tenant over a fixed slice.
func (in *Instance) slice(user int, all float64) float64 {
	if len(in.set.Tenants) > 0 {
		return max(in.set.Tenants[user].Quota, 1e-3) * max(1/float64(in.set.Servers), all/in.quotas)
	}
	return in.completions.rate(in.now, in.lambda) / max(in.liveCallers, 1)
}
