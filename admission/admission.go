// Admission and refusal. The interface is in interface.go.

package admission

import (
	"math"
	"time"
)

// memoryMargin is how much of the memory is used; the rest covers requests read before the next decision.
const memoryMargin = 0.92

// overThreshold is the design's test of the rate, its threshold stretched by how little wait is predicted: a
// tenant just over the slice is refused from half an aim of wait on, at twice it from a quarter, and one
// within it never by this test. The aim is the longest of all classes, so that it prefers none of them.
func (in *Instance) overThreshold(r *request, wait float64) bool {
	return r.excess > 1 && r.excess*wait > in.longestAim.Seconds()/2
}

// Request takes in one try that was read.
func (in *Instance) Request(now time.Duration, q Request) {
	in.tick(now)
	if in.byID[q.ID] != nil {
		return // the host broke its word; the first keeps its place
	}
	r := in.read(q)
	if in.repeated(r, q) {
		in.repeat(r, q.RetryOf)
	} else {
		in.admit(r)
	}
	if r.state != over {
		in.nextDue = min(in.nextDue, r.due)
	}
}

// read counts an arrival and keeps what is known of it.
func (in *Instance) read(q Request) *request {
	q.Class = min(max(q.Class, 0), len(in.set.Classes)-1)
	c := in.set.Classes[q.Class]
	r := &request{id: q.ID, class: q.Class, retry: q.IsRetry, subject: q.ResourceID != 0,
		arrived: in.now - q.QueueingDelay, sizeKB: max(q.SizeKB, 0)}
	in.readDelay += (max(q.QueueingDelay, 0).Seconds() - in.readDelay) * learnWeight
	in.retries *= 1 - learnWeight
	if q.IsRetry {
		in.retries += learnWeight
	}
	r.due = r.arrived + c.Deadline
	if in.set.HasDeadlines && q.RemainingTime > 0 {
		r.due = in.now + q.RemainingTime
	}
	r.due = max(r.due, in.now)
	if in.draining {
		r.due = min(r.due, in.stopAt)
	}
	aim := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(q.Work))
	r.useful = min(r.arrived+min(aim, c.Deadline)-in.age(q), r.due)
	if r.excess = in.excess(q); r.excess > 1 {
		r.rank = 1
	}
	in.byID[r.id] = r
	in.all = append(in.all, r)
	in.heldKB += r.sizeKB
	return r
}

// repeated tells whether the request is answered by what becomes of the one that it repeats.
func (in *Instance) repeated(r *request, q Request) bool {
	return q.RetryOf != 0 && !in.unrun[q.RetryOf] && in.set.Classes[r.class].Effect != NonIdempotent
}

// age is how long before this try the first of its request began, as far as that can be told. A caller waits
// for a first try as long as its habit is, and for a further try at most until the deadline of all: one that
// waits longer than any first try tells by that what is left.
func (in *Instance) age(q Request) time.Duration {
	s, wait := &in.classes[q.Class], q.RemainingTime+max(q.QueueingDelay, 0)
	if !q.IsRetry {
		s.patience = max(s.patience, wait)
	}
	if !in.set.HasDeadlines || s.patience == 0 || wait <= s.patience+in.set.Tick {
		return 0
	}
	return max(in.set.Classes[q.Class].Deadline-wait, 0)
}

// repeat takes in a further try of a request, or of a read whose answer may be shared. One that was run is
// answered by its result; one that is still held is waited for, and its place taken if it is given up.
func (in *Instance) repeat(r *request, id RequestID) {
	original := in.byID[id]
	for original != nil && original.state == follows {
		original = original.original
	}
	if original != nil && original.state == held && in.fits(r) {
		r.original = original
		in.setState(r, follows)
		return
	}
	r.ran = original == nil || original.state != held
	switch {
	case in.afterGrace(r):
		in.answer(r, AfterDrainGrace)
	case !r.ran || !in.fits(r):
		in.answer(r, OutOfMemory)
	default:
		in.setState(r, echoing)
		in.do.ReplayResult(r.id)
	}
}

// admit holds the request or turns it away on arrival.
func (in *Instance) admit(r *request) {
	if why := in.rejection(r); why != Admitted {
		in.answer(r, why)
	} else {
		in.enqueue(r)
	}
}

// rejection is why the request is turned away on arrival, or that it is not.
func (in *Instance) rejection(r *request) Reason {
	switch {
	case in.afterGrace(r):
		return AfterDrainGrace
	case in.stalled:
		return Stalled
	case !in.fits(r):
		return OutOfMemory
	case r.due <= in.now+in.margin():
		return DeadlineReached
	case !in.overloaded():
		return Admitted
	}
	wait := in.predictedWait(r)
	switch {
	case in.overThreshold(r, wait):
		return RateOverThreshold
	case in.fruitless(r) || in.classes[r.class].run > 0 && wait > in.slack(r):
		return PredictedWaitTooLong
	}
	return Admitted
}

// slack is the longest wait in seconds after which a run would still meet the aim.
func (in *Instance) slack(r *request) float64 {
	return (r.useful - in.now - in.ownTime(r)).Seconds()
}

// fits tells whether the memory has room to hold the request, to keep its key, and to run one like it on each
// core, or as many as fit into half of what keys leave: where held requests take that room too, none of them
// can ever be run.
func (in *Instance) fits(r *request) bool {
	most := in.set.MemoryKB * memoryMargin
	run := in.set.RunningMemoryFactor * r.sizeKB
	runs := max(run, min(float64(in.set.Cores)*run, (most-in.keysKB())/2))
	need := in.memory() + max(0, runs-in.runKB)
	if in.set.Classes[r.class].Effect == IdempotentByKey {
		need += in.set.KeyKB
	}
	return need <= most
}

// answer turns the request away, or fails it where it ran and has an effect; work on the cores goes on or is
// stopped.
func (in *Instance) answer(r *request, why Reason) {
	if r.state == running && !in.stalled {
		in.learnTimeout(r)
	}
	effect := r.ran && in.set.Classes[r.class].Effect != Safe
	if effect || r.state == running || r.state == calling || r.state == asking {
		in.do.Fail(r.id)
	} else {
		in.do.Reject(r.id, in.backOff(r), (r.retry || in.retryStorm()) && !in.stalled)
		in.classes[r.class].rejections[why]++
		if in.sharesFairly(r) {
			in.classes[r.class].rejected.count(in.now, in.lambda)
		}
	}
	in.finish(r)
}

// backOff is the advice that goes with refusals: the longest while nothing can be served here. Else it is
// the predicted wait, or for a tenant over its slice the time in which its estimate decays to it, by λ, and
// the most in a storm: half an aim. Longer advice has all callers leave idle cores and come back at once.
func (in *Instance) backOff(r *request) time.Duration {
	if in.stalled || in.draining {
		return in.set.MaxRetryAfter
	}
	most, seconds := min(in.set.MaxRetryAfter, in.longestAim/2), in.longestWait()
	if in.retryStorm() {
		return most
	} else if r.excess > 1 {
		seconds = math.Log(r.excess) / in.lambda
	}
	return min(max(time.Duration(seconds*1e9), pollInterval), most) // no sooner than its next poll
}

// retryStorm tells that reading has become the work: most of what arrives is tried again despite refusals, or
// arrivals wait a tenth of an aim unread. Refusals then ask for no further try anywhere. It should cover any
// cause of repeated tries or backlog; it harms where one slow server keeps tries from others with room.
func (in *Instance) retryStorm() bool {
	return in.retries > 0.5 || in.readDelay > 0.1*in.longestAim.Seconds()
}

// finish forgets a request that needs no answer any more.
func (in *Instance) finish(r *request) {
	switch r.state {
	case running, asking, calling:
		in.countWasted(r)
		// One at its call ends there by itself, charged as if it ran until then; its call may linger below.
		if r.state == calling {
			in.callDebt += in.set.CallLinger.Seconds()
		}
		if r.state == running && in.set.StopMode != StopNone && in.set.Classes[r.class].Effect == Safe {
			in.do.Stop(r.id)
		}
		in.setState(r, ended)
		return
	case held:
		in.dequeue(r)
		in.releaseKey(r)
	}
	in.setState(r, over)
	delete(in.byID, r.id)
}
