// Estimates of tenants' rates by EARRRL, and rate thresholds. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

const (
	// quotaShareSlack is the multiple of its quota share that a tenant may send.
	quotaShareSlack = 1.3
	// noiseDeviations is how many standard deviations the threshold lies above the mean rate of a tenant
	// that sends exactly its quota share, if the share is too small for quotaShareSlack to cover them.
	noiseDeviations = 2.0
)

// rateEstimate is the estimate of one sender's rate by EARRRL (the Estimated Average Recent Request Rate
// Limiter): it represents all arrivals as one impulse that decays exponentially. The decay parameter of its
// methods is EARRRL's λ, per second.
type rateEstimate struct {
	impulse   float64       // EARRRL's N; 0 = nothing has arrived
	updatedAt time.Duration // EARRRL's T
}

// count adds an arrival and returns the rate: N = 1 + N·e^(−λΔt), then r = N·λ·e^(−λΔt). The rate is read
// after the arrival was counted, so that Δt is 0.
func (e *rateEstimate) count(now time.Duration, decay float64) float64 {
	if e.impulse == 0 {
		e.impulse = 1
	} else {
		e.impulse = 1 + e.impulse*math.Exp(-decay*(now-e.updatedAt).Seconds())
	}
	e.updatedAt = now
	return e.rate(now, decay)
}

// rate returns r = N·λ·e^(−λΔt), in arrivals per second.
func (e *rateEstimate) rate(now time.Duration, decay float64) float64 {
	return e.impulse * decay * math.Exp(-decay*(now-e.updatedAt).Seconds())
}

// rateEstimator estimates the rates of all senders. Rejected arrivals count too.
type rateEstimator struct {
	senders     []rateEstimate // by tenant, or by caller if there are no tenants; grows with new senders
	arrivals    rateEstimate   // all requests
	completions rateEstimate   // successful runs: the basis of callers' thresholds if there are no quotas
	decay       float64        // EARRRL's λ: ln 2 over the longest latency objective, per second
	totalQuota  float64        // sum of the quotas of all tenants
	liveCallers float64        // callers that sent within about one half-life; 0 if there are tenants
}

// senderIndex returns the index of the rate estimate of the request's tenant, or of its caller if there are
// no tenants. It adds the estimate of a new sender.
func (e *rateEstimator) senderIndex(arrival Request, tenants int) int {
	sender := min(max(arrival.Tenant, 0), tenants-1)
	if tenants == 0 {
		sender = min(max(arrival.Caller, 0), math.MaxUint16)
	}
	for len(e.senders) <= sender {
		e.senders = append(e.senders, rateEstimate{})
	}
	return sender
}

// countLive returns how many senders sent within about one half-life.
func (e *rateEstimator) countLive(now time.Duration) float64 {
	live := 0.0
	for i := range e.senders {
		if e.senders[i].rate(now, e.decay) > e.decay/2 {
			live++
		}
	}
	return live
}

// threshold returns the rate above which a sender counts as sending more than its quota share. After an
// arrival, the rate of a sender that sends exactly its share has a mean of the share plus λ, and a variance
// of λ/2 times the share.
func (e *rateEstimator) threshold(share float64) float64 {
	noise := noiseDeviations * math.Sqrt(share*e.decay/2)
	return max(share*quotaShareSlack, share+e.decay+noise)
}

// countLiveCallers updates the number of live callers if there are no tenants.
func (in *Instance) countLiveCallers() {
	if len(in.settings.Tenants) == 0 {
		in.rates.liveCallers = in.rates.countLive(in.clock.now)
	}
}

// measureRateRatio counts the arrival and returns its sender's rate divided by the threshold; 0 = no
// threshold is known.
func (in *Instance) measureRateRatio(arrival Request) float64 {
	now, decay := in.clock.now, in.rates.decay
	sender := in.rates.senderIndex(arrival, len(in.settings.Tenants))
	total := in.rates.arrivals.count(now, decay)
	share := in.quotaShare(sender, total)
	rate := in.rates.senders[sender].count(now, decay)
	if share > 0 {
		return rate / in.rates.threshold(share)
	}
	return 0
}

// quotaShare returns this server's part of the quota of the tenant, or without tenants each live caller's
// part of the successful runs, in requests per second; 0 = not known. If the arrivals of all tenants
// together exceed this server's part of all quotas, the arrivals are divided among the tenants in
// proportion to their quotas instead: retries, requests meant for failed servers and a smaller fleet would
// put every tenant over a fixed share.
func (in *Instance) quotaShare(sender int, totalRate float64) float64 {
	if len(in.settings.Tenants) > 0 {
		quota := max(in.settings.Tenants[sender].Quota, minQuota)
		return quota * max(1/float64(in.settings.Servers), totalRate/in.rates.totalQuota)
	}
	completions := in.rates.completions.rate(in.clock.now, in.rates.decay)
	return completions / max(in.rates.liveCallers, 1)
}
