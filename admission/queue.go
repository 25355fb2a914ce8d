// The queue: predicted waits, and the requests that are started or rejected from it. The interface is in
// interface.go.

package admission

import "slices"

// maxWithinQuotaShare bounds withinQuotaShare in the predicted wait of a request over its quota, so that the
// wait has a bound.
const maxWithinQuotaShare = 0.75

// requestQueue holds the requests in stateQueued in the order in which they were queued. The order of runs
// is decided again for each run.
type requestQueue struct {
	requests []*request
	// withinQuotaShare is the fraction of the latest runs whose tenants were within their quota shares.
	withinQuotaShare float64
}

// len returns the number of queued requests.
func (q *requestQueue) len() int { return len(q.requests) }

// push appends a request.
func (q *requestQueue) push(req *request) { q.requests = append(q.requests, req) }

// remove removes a request and reports whether it was queued.
func (q *requestQueue) remove(req *request) bool {
	i := slices.Index(q.requests, req)
	if i < 0 {
		return false
	}
	q.requests = append(q.requests[:i], q.requests[i+1:]...)
	return true
}

// countRun counts a run in withinQuotaShare.
func (q *requestQueue) countRun(quota quotaStatus) {
	within := 0.0
	if quota == withinQuota {
		within = 1
	}
	q.withinQuotaShare += (within - q.withinQuotaShare) * learnWeight / 2
}

// enqueue adds the request to the queue and keeps its key.
func (in *Instance) enqueue(req *request) {
	req.original = nil
	in.setState(req, stateQueued)
	in.queue.push(req)
	in.classes[req.class].queued[req.quota]++
	in.keepKey(req)
}

// dequeue removes the request from the queue.
func (in *Instance) dequeue(req *request) {
	if in.queue.remove(req) {
		in.classes[req.class].queued[req.quota]--
	}
}

// predictedWait returns how long, in seconds, the queued requests that run before the request occupy the
// cores. Requests that run after it do not count: a short objective may be met although much work with
// longer objectives is queued.
func (in *Instance) predictedWait(req *request) float64 {
	in.updateStarvation()
	ahead := 0.0
	priority := in.runPriority(req)
	for _, queued := range in.queue.requests {
		if !priority.isBefore(in.runPriority(queued)) {
			ahead += in.expectedCoreTime(queued.class)
		}
	}
	return in.waitSeconds(ahead, req.quota)
}

// longestWait returns how long, in seconds, all queued requests occupy the cores.
func (in *Instance) longestWait() float64 {
	total := 0.0
	for i := range in.classes {
		queued := &in.classes[i].queued
		total += float64(queued[withinQuota]+queued[overQuota]) * in.expectedCoreTime(i)
	}
	return in.waitSeconds(total, overQuota)
}

// waitSeconds returns how long a request with the quota status waits for the core time ahead of it. For a
// request over its quota this includes the expected arrivals of tenants within their quota shares, which
// run before it.
func (in *Instance) waitSeconds(coreTime float64, quota quotaStatus) float64 {
	taken := 0.0
	if quota == overQuota {
		taken = min(in.queue.withinQuotaShare, maxWithinQuotaShare)
	}
	return coreTime / (1 - taken) / float64(in.settings.Cores)
}

// startQueued runs queued requests while there is capacity on the cores and in memory.
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

// hasCapacityToRun reports whether one more request may run. Requests in a call do not count against the
// limit, but they return to the cores and therefore count against the maximum concurrency.
func (in *Instance) hasCapacityToRun() bool {
	if float64(in.use.running) >= in.limiter.limit {
		return false
	}
	return float64(in.use.running+in.use.offCore) < in.maxConcurrency()
}

// hasMemoryToRun reports whether there is enough memory to run the queued request.
func (in *Instance) hasMemoryToRun(req *request) bool {
	more := req.sizeKB * (in.settings.RunningMemoryFactor - 1)
	return in.memoryKB()+more <= in.settings.MemoryKB*usableMemoryFraction
}

// start runs a queued request. Its followers are answered with its result.
func (in *Instance) start(req *request) {
	in.dequeue(req)
	in.setState(req, stateRunning)
	if in.hasFairShareClaim(req) {
		in.classes[req.class].share.started.count(in.clock.now, in.rates.decay)
	}
	in.queue.countRun(req.quota)
	req.run.hasRun = true
	req.run.startedAt = in.clock.now
	req.run.segmentStart = in.clock.core
	in.actions.Run(req.id)
	for _, follower := range in.requests.byArrival {
		if follower.isFollowing(req) {
			follower.run.hasRun = true
			in.setState(follower, stateReplaying)
			in.actions.ReplayResult(follower.id)
		}
	}
}

// rejectFromQueue rejects queued requests whose run would no longer be useful. It does not wait for a free
// core: their callers may still be served by another server.
func (in *Instance) rejectFromQueue() {
	for i := 0; i < in.queue.len(); {
		r := in.queue.requests[i]
		if reason := in.checkQueued(r); reason != Admitted {
			in.rejectOrFail(r, reason) // removes it from the queue
		} else {
			i++
		}
	}
}

// wouldMissObjective reports whether a run that starts now would end after the objective.
func (in *Instance) wouldMissObjective(req *request) bool {
	return in.clock.now+in.expectedRunTime(req) > req.objectiveDeadline
}

// checkQueued returns why a queued request should be rejected now, or Admitted. It is rejected if a run
// that starts now would earn nothing, or would be late while others wait for saturated cores. If the cores
// have capacity, a late run is started, because run times are learned only from runs.
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
