// The queue: predicted waits, the order of runs, and fair shares. The interface is in interface.go.

package admission

// starvedPart is the part of the fair share of runs under which a class counts as starved. The operators
// want half of the fair share served; the rest covers runs that end too late.
const starvedPart = 0.65

// predictedWait is the class run times, over the cores, of the held requests that go before the request: a
// short aim may be met though much is held for longer ones.
func (in *Instance) predictedWait(r *request) float64 {
	in.updateStarvation()
	sum := 0.0
	place := in.runPriority(r)
	for _, h := range in.queue {
		if !place.isBefore(in.runPriority(h)) {
			sum += in.expectedCoreTime(h.class)
		}
	}
	return in.perCore(sum, r.quota)
}

// longestWait is the class run times of all held requests over the cores.
func (in *Instance) longestWait() float64 {
	sum := 0.0
	for class, c := range in.classes {
		sum += float64(c.queued[0]+c.queued[1]) * in.expectedCoreTime(class)
	}
	return in.perCore(sum, 1)
}

// perCore is how long the cores take for the run times before a request of the rank is run. Runs of those
// within their slices go on going before those of a tenant over its slice.
func (in *Instance) perCore(seconds float64, rank int) float64 {
	return seconds / (1 - float64(rank)*min(in.withinQuotaShare, 0.75)) / float64(in.settings.Cores)
}

// startQueued runs held requests while there is room on the cores and in memory.
func (in *Instance) startQueued() {
	in.updateStarvation()
	for len(in.queue) > 0 && float64(in.running) < in.concurrencyLimit &&
		float64(in.running+in.offCore) < in.maxConcurrency() {
		r := in.nextToRun()
		if r == nil {
			return
		}
		more := r.sizeKB * (in.settings.RunningMemoryFactor - 1)
		if in.memoryKB()+more > in.settings.MemoryKB*usableMemory {
			return
		}
		in.start(r)
	}
}

// startedAt starts a held request and answers those that wait for it from its result.
func (in *Instance) start(r *request) {
	in.dequeue(r)
	in.setState(r, stateRunning)
	r.hasRun = true
	if in.hasFairShareClaim(r) {
		in.classes[r.class].started.count(in.now, in.decay)
	}
	in.withinQuotaShare += (1 - float64(r.quota) - in.withinQuotaShare) * learnWeight / 2
	r.partStart, r.startedAt = in.coreClock, in.now
	in.actions.Run(r.id)
	for _, f := range in.byArrival {
		if f.state == stateFollowing && f.original == r {
			f.hasRun = true
			in.setState(f, stateReplaying)
			in.actions.ReplayResult(f.id)
		}
	}
}

// rejectFromQueue turns away what waits in the queue and can be of no use any more, at once and not only
// when a core is free: its caller may still be served elsewhere.
func (in *Instance) rejectFromQueue() {
	for i := 0; i < len(in.queue); i++ {
		if why := in.checkQueued(in.queue[i]); why != Admitted {
			in.rejectOrFail(in.queue[i], why)
			i--
		}
	}
}

// wouldMissObjective tells whether a run begun now would miss the time of the full worth.
func (in *Instance) wouldMissObjective(r *request) bool {
	return in.now+in.expectedRunTime(r) > r.objectiveDeadline
}

// checkQueued is why a run begun now would earn nothing, or little while others wait for full cores, or
// that it would earn something. How long a run takes is known from the latest ones only: where the cores
// have room and the caller still waits, it is tried.
func (in *Instance) checkQueued(r *request) Reason {
	switch {
	case in.now+in.expectedRunTime(r) > r.deadline:
		return DeadlineUnreachable
	case in.now > r.objectiveDeadline && in.settings.Classes[r.class].LateWeight == 0:
		return LateWithoutWeight
	case in.wouldMissObjective(r) && in.isSaturated():
		return LateWhileSaturated
	}
	return Admitted
}

// updateStarvation marks the classes of whose requests a smaller part is run than starvedPart of that of
// all work.
func (in *Instance) updateStarvation() {
	run, asked := 0.0, 0.0
	for i := range in.classes {
		started, of := in.shareRates(i)
		run += started * in.expectedCoreTime(i)
		asked += of * in.expectedCoreTime(i)
	}
	for i := range in.classes {
		started, of := in.shareRates(i)
		in.classes[i].isStarved = started*asked < starvedPart*run*of
	}
}

// hasFairShareClaim tells whether the request has a claim to its class's fair share: what a tenant sends
// over its slice has none.
func (in *Instance) hasFairShareClaim(r *request) bool {
	return r.quota == 0 || len(in.settings.Tenants) == 0
}

// runPriority is where a request stands in the order of runs: the lower tier first, then the lower urgency.
type runPriority struct {
	tier    priorityTier
	urgency float64 // seconds that are left until its answer stops earning its worth, over that worth
}

// priorityTier is the first mark of a place.
type priorityTier uint8

const (
	tierStarved     priorityTier = iota // of a class that gets less than its fair share
	tierWithinQuota                     // of a tenant within its slice
	tierOverQuota                       // of one over it
	tierLate                            // it can't be on time any more, or nobody would be served by its run
)

// isBefore tells whether one place goes before another.
func (p runPriority) isBefore(o runPriority) bool {
	return p.tier < o.tier || p.tier == o.tier && p.urgency < o.urgency
}

// runPriority is where the request stands now.
func (in *Instance) runPriority(r *request) runPriority {
	weight := max(in.settings.Classes[r.class].Weight, 1e-3)
	p := runPriority{urgency: (r.objectiveDeadline - in.now).Seconds() / weight}
	switch {
	case in.wouldMissObjective(r) || in.isFailing(r):
		p.tier = tierLate
	case in.classes[r.class].isStarved && in.hasFairShareClaim(r):
		p.tier = tierStarved
	case r.quota == 0:
		p.tier = tierWithinQuota
	default:
		p.tier = tierOverQuota
	}
	return p
}

// nextToRun picks the next to run.
func (in *Instance) nextToRun() *request {
	var best *request
	var first runPriority
	for _, r := range in.queue {
		if p := in.runPriority(r); best == nil || p.isBefore(first) {
			best, first = r, p
		}
	}
	return best
}
