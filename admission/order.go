// The order in which queued requests run, and fair shares of the classes. The interface is in interface.go.

package admission

import "time"

const (
	// starvedPart is the part of the fair share of runs under which a class counts as starved. The
	// operators want half of the fair share served; the rest covers runs that end too late.
	starvedPart = 0.65
	// minWeight is the least weight of a class in the order of runs, so that no urgency is infinite.
	minWeight = 1e-3
)

// fairShare is how much of a class's traffic is run, in the rates of requests that have a claim to its fair
// share.
type fairShare struct {
	started   rateEstimate
	rejected  rateEstimate
	isStarved bool // a smaller part of its requests is run than of the others
}

// rates returns the rate of runs, and that of requests that were run or rejected.
func (s *fairShare) rates(now time.Duration, decay float64) (started, offered float64) {
	started = s.started.rate(now, decay)
	return started, started + s.rejected.rate(now, decay)
}

// updateStarvation marks the classes of whose work a smaller part is run than starvedPart of that of all
// work.
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
		share.isStarved = started*allOffered < starvedPart*allStarted*offered
	}
}

// hasFairShareClaim tells whether the request counts for its class's fair share. Requests of tenants over
// their quota shares do not.
func (in *Instance) hasFairShareClaim(req *request) bool {
	return req.quota == withinQuota || len(in.settings.Tenants) == 0
}

// priorityTier is the first criterion of the order of runs; lower tiers run first.
type priorityTier uint8

const (
	tierStarved     priorityTier = iota // of a class that gets less than its fair share
	tierWithinQuota                     // of a tenant within its quota share
	tierOverQuota                       // of a tenant over it
	tierLate                            // it can't meet its objective any more, or its run would serve nobody
)

// runPriority is where a request stands in the order of runs: by tier, then by urgency.
type runPriority struct {
	tier    priorityTier
	urgency float64 // seconds left until the objective, divided by the weight; the least runs first
}

// isBefore tells whether a request of this priority runs before one of the other.
func (p runPriority) isBefore(other runPriority) bool {
	if p.tier != other.tier {
		return p.tier < other.tier
	}
	return p.urgency < other.urgency
}

// runPriority is where the request stands in the order of runs now.
func (in *Instance) runPriority(req *request) runPriority {
	weight := max(in.settings.Classes[req.class].Weight, minWeight)
	left := (req.objectiveDeadline - in.clock.now).Seconds()
	return runPriority{tier: in.priorityTier(req), urgency: left / weight}
}

// priorityTier is the request's tier now.
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

// nextToRun returns the queued request that runs next, or nil. Of equal ones the first in the queue runs
// first.
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
