// The queue: predicted waits, the order of runs, and fair shares. The interface is in interface.go.

package admission

// starvedPart is the part of the fair share of runs under which a class counts as starved. The operators want
// half of the fair share served; the rest covers runs that end too late.
const starvedPart = 0.65

// predictedWait is the class run times, over the cores, of the held requests that go before the request: a
// short aim may be met though much is held for longer ones.
func (in *Instance) predictedWait(r *request) float64 {
	in.findStarved()
	sum := 0.0
	place := in.place(r)
	for _, h := range in.queue {
		if !place.before(in.place(h)) {
			sum += in.runTime(h.class)
		}
	}
	return in.perCore(sum, r.rank)
}

// longestWait is the class run times of all held requests over the cores.
func (in *Instance) longestWait() float64 {
	sum := 0.0
	for class, c := range in.classes {
		sum += float64(c.held[0]+c.held[1]) * in.runTime(class)
	}
	return in.perCore(sum, 1)
}

// perCore is how long the cores take for the run times before a request of the rank is run. Runs of those
// within their slices go on going before those of a tenant over its slice.
func (in *Instance) perCore(seconds float64, rank int) float64 {
	return seconds / (1 - float64(rank)*min(in.withinShare, 0.75)) / float64(in.set.Cores)
}

// startQueued runs held requests while there is room on the cores and in memory.
func (in *Instance) startQueued() {
	in.findStarved()
	for len(in.queue) > 0 && float64(in.onCores) < in.concurrencyLimit &&
		float64(in.onCores+in.atCall) < in.maxConcurrency() {
		r := in.nextToRun()
		if r == nil || in.memory()+r.sizeKB*(in.set.RunningMemoryFactor-1) > in.set.MemoryKB*memoryMargin {
			return
		}
		in.run(r)
	}
}

// run starts a held request and answers those that wait for it from its result.
func (in *Instance) run(r *request) {
	in.dequeue(r)
	in.setState(r, running)
	r.ran = true
	if in.sharesFairly(r) {
		in.classes[r.class].started.count(in.now, in.lambda)
	}
	in.withinShare += (1 - float64(r.rank) - in.withinShare) * learnWeight / 2
	r.partStart, r.began = in.coreClock, in.now
	in.do.Run(r.id)
	for _, f := range in.all {
		if f.state == follows && f.original == r {
			f.ran = true
			in.setState(f, echoing)
			in.do.ReplayResult(f.id)
		}
	}
}

// rejectUseless turns away what waits in the queue and can be of no use any more, at once and not only when a
// core is free: its caller may still be served elsewhere.
func (in *Instance) rejectUseless() {
	for i := 0; i < len(in.queue); i++ {
		if why := in.uselessReason(in.queue[i]); why != Admitted {
			in.answer(in.queue[i], why)
			i--
		}
	}
}

// wouldMissAim tells whether a run begun now would miss the time of the full worth.
func (in *Instance) wouldMissAim(r *request) bool { return in.now+in.ownTime(r) > r.useful }

// uselessReason is why a run begun now would earn nothing, or little while others wait for full cores, or
// that it would earn something. How long a run takes is known from the latest ones only: where the cores have
// room and the caller still waits, it is tried.
func (in *Instance) uselessReason(r *request) Reason {
	switch {
	case in.now+in.ownTime(r) > r.due:
		return DeadlineUnreachable
	case in.now > r.useful && in.set.Classes[r.class].LateWeight == 0:
		return LateWithoutWeight
	case in.wouldMissAim(r) && in.full():
		return LateWhileSaturated
	}
	return Admitted
}

// findStarved marks the classes of whose requests a smaller part is run than starvedPart of that of all work.
func (in *Instance) findStarved() {
	run, asked := 0.0, 0.0
	for i := range in.classes {
		started, of := in.admittedRates(i)
		run += started * in.runTime(i)
		asked += of * in.runTime(i)
	}
	for i := range in.classes {
		started, of := in.admittedRates(i)
		in.classes[i].starved = started*asked < starvedPart*run*of
	}
}

// sharesFairly tells whether the request has a claim to its class's fair share: what a tenant sends over its
// slice has none.
func (in *Instance) sharesFairly(r *request) bool { return r.rank == 0 || len(in.set.Tenants) == 0 }

// place is where a request stands in the order of runs: the lower tier first, then the lower urgency.
type place struct {
	tier    tier
	urgency float64 // seconds that are left until its answer stops earning its worth, over that worth
}

// tier is the first mark of a place.
type tier uint8

const (
	tierStarved tier = iota // of a class that gets less than its fair share
	tierWithin              // of a tenant within its slice
	tierOver                // of one over it
	tierLate                // it can't be on time any more, or nobody would be served by its run
)

// before tells whether one place goes before another.
func (p place) before(o place) bool {
	return p.tier < o.tier || p.tier == o.tier && p.urgency < o.urgency
}

// place is where the request stands now.
func (in *Instance) place(r *request) place {
	p := place{urgency: (r.useful - in.now).Seconds() / max(in.set.Classes[r.class].Weight, 1e-3)}
	switch {
	case in.wouldMissAim(r) || in.fruitless(r):
		p.tier = tierLate
	case in.classes[r.class].starved && in.sharesFairly(r):
		p.tier = tierStarved
	case r.rank == 0:
		p.tier = tierWithin
	default:
		p.tier = tierOver
	}
	return p
}

// nextToRun picks the next to run.
func (in *Instance) nextToRun() *request {
	var best *request
	var first place
	for _, r := range in.queue {
		if p := in.place(r); best == nil || p.before(first) {
			best, first = r, p
		}
	}
	return best
}
