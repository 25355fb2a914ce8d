// The order in which queued requests run, and fair shares of the classes. The interface is in interface.go.

package admission

import "time"

const (
	// starvationRatio is the fraction of its fair share of runs below which a class counts as starved. The
	// operators want half of the fair share served; the rest covers runs that end too late.
	starvationRatio = 0.65
	// minWeight is the lower bound of the weight of a class in the order of runs, so that no urgency is
	// infinite.
	minWeight = 1e-3
)

// fairShare measures how much of a class's traffic is run. Its rates count only requests that have a claim
// to the fair share of the class.
type fairShare struct {
	started   rateEstimate
	rejected  rateEstimate
	isStarved bool // the class runs a smaller fraction of its requests than the others
}

// rates returns the rate of started runs, and the rate of requests that were started or rejected.
func (s *fairShare) rates(now time.Duration, decay float64) (started, offered float64) {
	started = s.started.rate(now, decay)
	return started, started + s.rejected.rate(now, decay)
}

// updateStarvation marks a class as starved if the fraction of its work that is run is smaller than
// starvationRatio of the fraction of all work that is run.
func (in *Instance) updateStarvation() {
	now, decay := in.clock.now, in.rates.decay
	allStarted, allOffered := 0.0, 0.0
	for i := range in.classes {
		started, offered := in.classes[i].share.rates(now, decay)
		coreTime := in.expectedCoreTime(i)
		allStarted += started * coreTime
		allOffered += offered * coreTime
	}
	for i := range in.classes {
		share := &in.classes[i].share
		started, offered := share.rates(now, decay)
		share.isStarved = started*allOffered < starvationRatio*allStarted*offered
	}
}

// hasFairShareClaim reports whether the request counts towards the fair share of its class. Requests of
// tenants over their quota shares do not.
func (in *Instance) hasFairShareClaim(req *request) bool {
	return req.quota == withinQuota || len(in.settings.Tenants) == 0
}

// priorityTier is the first criterion of the order of runs; lower tiers run first.
type priorityTier uint8

const (
	tierStarved     priorityTier = iota // of a class that gets less than its fair share
	tierWithinQuota                     // of a tenant within its quota share
	tierOverQuota                       // of a tenant over its quota share
	tierLate                            // its objective is out of reach, or its run would serve no caller
)

// runPriority is the position of a request in the order of runs: by tier, then by urgency.
type runPriority struct {
	tier    priorityTier
	urgency float64 // seconds left until the objective, divided by the weight; the lowest value runs first
}

// isBefore reports whether a request of this priority runs before a request of the other priority.
func (p runPriority) isBefore(other runPriority) bool {
	if p.tier != other.tier {
		return p.tier < other.tier
	}
	return p.urgency < other.urgency
}

// runPriority returns the current position of the request in the order of runs.
func (in *Instance) runPriority(req *request) runPriority {
	weight := max(in.settings.Classes[req.class].Weight, minWeight)
	left := (req.objectiveDeadline - in.clock.now).Seconds()
	return runPriority{tier: in.priorityTier(req), urgency: left / weight}
}

// priorityTier returns the current tier of the request.
func (in *Instance) priorityTier(req *request) priorityTier {
	switch {
	case in.wouldMissObjective(req) || in.isFailing(req):
		return tierLate
	case in.classes[req.class].share.isStarved && in.hasFairShareClaim(req):
		return tierStarved
	case req.quota == withinQuota:
		return tierWithinQuota
	}
	return tierOverQuota
}

// nextToRun returns the queued request that runs next, or nil. Among requests of equal priority, the first
// in the queue runs first.
func (in *Instance) nextToRun() *request {
	var next *request
	var first runPriority
	for _, req := range in.queue.requests {
		priority := in.runPriority(req)
		if next == nil || priority.isBefore(first) {
			next, first = req, priority
		}
	}
	return next
}
