// The drain of a process that is to stop. The interface is in interface.go.

package admission

import (
	"fmt"
	"time"
)

// isPastDrainGrace tells whether the request came after the grace of a drain.
func (in *Instance) isPastDrainGrace(r *request) bool {
	return in.isDraining && r.arrivedAt > in.noticedAt+in.settings.DrainGracePeriod
}

// Drain reports the notice that the process is stopped after the time.
func (in *Instance) Drain(now, left time.Duration) {
	in.advanceClock(now)
	if in.isDraining {
		return
	}
	in.isDraining, in.noticedAt = true, now
	in.stopAt = now + left - max(2*in.answerMargin(), left/20)
	for _, r := range in.byArrival {
		r.deadline = min(r.deadline, in.stopAt)
		r.objectiveDeadline = min(r.objectiveDeadline, r.deadline)
	}
	in.nextDeadline = now
	in.actions.Log(fmt.Sprintf("drain: %d held, %d running", len(in.queue), in.running))
}

// isDrainEnding tells whether callers should look for another server: only when the grace of a drain nears
// its end, as what arrives until then is run, and sent away sooner it crowds servers whose successors few
// know of.
func (in *Instance) isDrainEnding() bool {
	grace := in.settings.DrainGracePeriod
	return in.isDraining && in.now+min(2*pollInterval, grace/4) >= in.noticedAt+grace
}
