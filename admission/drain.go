// Graceful shutdown. The interface is in interface.go.

package admission

import (
	"fmt"
	"time"
)

const (
	// stopMarginDivisor: all answers are out before the process is stopped, by at least the time left at
	// the notice divided by it.
	stopMarginDivisor = 20
	// drainLeavePolls is how many polls before the end of the grace period callers are sent away.
	drainLeavePolls = 2
	// drainLeaveDivisor bounds that time to the grace period divided by it.
	drainLeaveDivisor = 4
)

// drainState is the state of the graceful shutdown. Once draining, the process never returns to service.
type drainState struct {
	isDraining bool
	noticedAt  time.Duration
	stopAt     time.Duration // when all answers must be out, before the process is stopped
}

// isPastGrace tells whether a request that arrived then came after the grace period and must not run.
func (d *drainState) isPastGrace(arrivedAt, grace time.Duration) bool {
	return d.isDraining && arrivedAt > d.noticedAt+grace
}

// isGraceEnding tells whether callers should look for another server. That is so only when the grace period
// is nearly over: what arrives until then is run. Callers that leave sooner overload the remaining servers
// while few callers know of the replacements.
func (d *drainState) isGraceEnding(now, grace time.Duration) bool {
	if !d.isDraining {
		return false
	}
	lead := min(drainLeavePolls*pollInterval, grace/drainLeaveDivisor)
	return now+lead >= d.noticedAt+grace
}

// Drain reports the notice that the process is stopped after the time. Further notices change nothing.
func (in *Instance) Drain(now, timeLeft time.Duration) {
	in.advanceClock(now)
	if in.drain.isDraining {
		return
	}
	margin := max(2*in.answerMargin(), timeLeft/stopMarginDivisor)
	in.drain = drainState{isDraining: true, noticedAt: now, stopAt: now + timeLeft - margin}
	for _, req := range in.requests.byArrival {
		req.deadline = min(req.deadline, in.drain.stopAt)
		req.objectiveDeadline = min(req.objectiveDeadline, req.deadline)
	}
	in.schedule.nextDeadline = now
	in.actions.Log(fmt.Sprintf("drain: %d held, %d running", in.queue.len(), in.use.running))
}

// isPastDrainGrace tells whether the request arrived after the drain grace period.
func (in *Instance) isPastDrainGrace(req *request) bool {
	return in.drain.isPastGrace(req.arrivedAt, in.settings.DrainGracePeriod)
}

// isDrainEnding tells whether callers should look for another server because this one stops.
func (in *Instance) isDrainEnding() bool {
	return in.drain.isGraceEnding(in.clock.now, in.settings.DrainGracePeriod)
}
