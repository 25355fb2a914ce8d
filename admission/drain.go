// Graceful shutdown. The interface is in interface.go.

package admission

import (
	"fmt"
	"time"
)

const (
	// stopMarginDivisor: all answers are sent before the process is stopped, by at least the time left at
	// the drain notice divided by this number.
	stopMarginDivisor = 20
	// graceEndPolls is the number of polls before the end of the grace period at which callers are asked to
	// use another server.
	graceEndPolls = 2
	// graceEndDivisor bounds the lead time of graceEndPolls to the grace period divided by this number.
	graceEndDivisor = 4
)

// drainState is the state of the graceful shutdown. Once draining, the process never returns to service.
type drainState struct {
	isDraining bool
	noticedAt  time.Duration
	stopAt     time.Duration // when all answers must be sent, before the process is stopped
}

// isPastGrace reports whether a request with the arrival time arrived after the grace period and must not
// run.
func (d *drainState) isPastGrace(arrivedAt, grace time.Duration) bool {
	return d.isDraining && arrivedAt > d.noticedAt+grace
}

// isGraceEnding reports whether callers should use another server, which is the case only when the grace
// period is nearly over: requests that arrive until its end are run. If callers leave earlier they overload
// the remaining servers, while few callers know of the replacements.
func (d *drainState) isGraceEnding(now, grace time.Duration) bool {
	if !d.isDraining {
		return false
	}
	lead := min(graceEndPolls*pollInterval, grace/graceEndDivisor)
	return now+lead >= d.noticedAt+grace
}

// Drain starts the graceful shutdown on the notice that the process is stopped after timeLeft. Further
// notices have no effect.
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

// isPastDrainGrace reports whether the request arrived after the grace period of the drain.
func (in *Instance) isPastDrainGrace(req *request) bool {
	return in.drain.isPastGrace(req.arrivedAt, in.settings.DrainGracePeriod)
}

// isDrainEnding reports whether callers should use another server because this one is about to stop.
func (in *Instance) isDrainEnding() bool {
	return in.drain.isGraceEnding(in.clock.now, in.settings.DrainGracePeriod)
}
