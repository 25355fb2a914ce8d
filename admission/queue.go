// The queue: predicted waits, and what is started or rejected from it. The interface is in interface.go.

package admission

import "slices"

// maxWithinQuotaShare bounds the share of runs that goes before requests over their quota, so that their
// predicted wait has a bound.
const maxWithinQuotaShare = 0.75

// requestQueue holds the requests in stateQueued in the order in which they were queued. The order in which
// they run is decided anew for each run.
type requestQueue struct {
	requests []*request
	// withinQuotaShare is the part of the latest runs that were of tenants within their quota share.
	withinQuotaShare float64
}

// len is the number of queued requests.
func (q *requestQueue) len() int { return len(q.requests) }

// push adds a request.
func (q *requestQueue) push(req *request) { q.requests = append(q.requests, req) }

// remove takes a request out, and tells whether it was there.
func (q *requestQueue) remove(req *request) bool {
	i := slices.Index(q.requests, req)
	if i < 0 {
		return false
	}
	q.requests = append(q.requests[:i], q.requests[i+1:]...)
	return true
}

// countRun counts a run in the share.
func (q *requestQueue) countRun(quota quotaStatus) {
	within := 0.0
	if quota == withinQuota {
		within = 1
	}
	q.withinQuotaShare += (within - q.withinQuotaShare) * learnWeight / 2
}

// enqueue puts the request into the queue and keeps its key.
func (in *Instance) enqueue(req *request) {
	req.original = nil
	in.setState(req, stateQueued)
	in.queue.push(req)
	in.classes[req.class].queued[req.quota]++
	in.keepKey(req)
}

// dequeue takes the request out of the queue.
func (in *Instance) dequeue(req *request) {
	if in.queue.remove(req) {
		in.classes[req.class].queued[req.quota]--
	}
}

// predictedWait is how long in seconds the queued requests that go before the request occupy the cores: a
// short objective may be met though much is queued with longer ones.
func (in *Instance) predictedWait(req *request) float64 {
	in.updateStarvation()
	ahead := 0.0
	priority := in.runPriority(req)
	for _, queued := range in.queue.requests {
		if !priority.isBefore(in.runPriority(queued)) {
			ahead += in.expectedCoreTime(queued.class)
		}
	}
	return in.perCore(ahead, req.quota)
}

// longestWait is how long in seconds all queued requests occupy the cores.
func (in *Instance) longestWait() float64 {
	total := 0.0
	for i := range in.classes {
		queued := &in.classes[i].queued
		total += float64(queued[withinQuota]+queued[overQuota]) * in.expectedCoreTime(i)
	}
	return in.perCore(total, overQuota)
}

// perCore is how long the cores take for the core time before a request with the quota status is run. For
// one over its quota that includes the expected arrivals of tenants within their quota shares, which run
// before it.
func (in *Instance) perCore(coreTime float64, quota quotaStatus) float64 {
	taken := 0.0
	if quota == overQuota {
		taken = min(in.queue.withinQuotaShare, maxWithinQuotaShare)
	}
	return coreTime / (1 - taken) / float64(in.settings.Cores)
}

// startQueued runs queued requests while there is room on the cores and in memory.
func (in *Instance) startQueued() {
	in.updateStarvation()
	for in.queue.len() > 0 && in.hasCapacityToRun() {
		r := in.nextToRun()
		if r == nil || !in.hasMemoryToRun(r) {
			return
		}
		in.start(r)
	}
}

// hasCapacityToRun tells whether one more request may run. Requests at a call do not count against the
// limit, but they return to the cores and so count against the maximum concurrency.
func (in *Instance) hasCapacityToRun() bool {
	if float64(in.use.running) >= in.limiter.limit {
		return false
	}
	return float64(in.use.running+in.use.offCore) < in.maxConcurrency()
}

// hasMemoryToRun tells whether the memory suffices for a run of the queued request.
func (in *Instance) hasMemoryToRun(req *request) bool {
	more := req.sizeKB * (in.settings.RunningMemoryFactor - 1)
	return in.memoryKB()+more <= in.settings.MemoryKB*usableMemory
}

// start runs a queued request and answers its followers from its result.
func (in *Instance) start(req *request) {
	in.dequeue(req)
	in.setState(req, stateRunning)
	if in.hasFairShareClaim(req) {
		in.classes[req.class].share.started.count(in.clock.now, in.rates.decay)
	}
	in.queue.countRun(req.quota)
	req.run.hasRun = true
	req.run.startedAt = in.clock.now
	req.run.partStart = in.clock.core
	in.actions.Run(req.id)
	for _, follower := range in.requests.byArrival {
		if follower.isFollowing(req) {
			follower.run.hasRun = true
			in.setState(follower, stateReplaying)
			in.actions.ReplayResult(follower.id)
		}
	}
}

// rejectFromQueue rejects queued requests whose run would be useless by now. It does not wait for a free
// core: their callers may still be served elsewhere.
func (in *Instance) rejectFromQueue() {
	for i := 0; i < in.queue.len(); {
		r := in.queue.requests[i]
		if reason := in.checkQueued(r); reason != Admitted {
			in.rejectOrFail(r, reason) // takes it out of the queue
		} else {
			i++
		}
	}
}

// wouldMissObjective tells whether a run begun now would end after the objective.
func (in *Instance) wouldMissObjective(req *request) bool {
	return in.clock.now+in.expectedRunTime(req) > req.objectiveDeadline
}

// checkQueued returns why a queued request should be rejected now, or Admitted: a run begun now would earn
// nothing, or would be late while others wait for saturated cores. On cores with room a late run is
// started, because run times are only learned from runs.
func (in *Instance) checkQueued(req *request) Reason {
	lateWeight := in.settings.Classes[req.class].LateWeight
	switch {
	case in.clock.now+in.expectedRunTime(req) > req.deadline:
		return DeadlineUnreachable
	case in.clock.now > req.objectiveDeadline && lateWeight == 0:
		return LateWithoutWeight
	case in.wouldMissObjective(req) && in.isSaturated():
		return LateWhileSaturated
	}
	return Admitted
}
