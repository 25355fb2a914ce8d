// The drain of a process that is to stop. The interface is in interface.go.

package admission

import (
	"fmt"
	"time"
)

// afterGrace tells whether the request came after the grace of a drain.
func (in *Instance) afterGrace(r *request) bool {
	return in.draining && r.arrived > in.notice+in.set.DrainGracePeriod
}

// Drain reports the notice that the process is stopped after the time.
func (in *Instance) Drain(now, left time.Duration) {
	in.tick(now)
	if in.draining {
		return
	}
	in.draining, in.notice = true, now
	in.stopAt = now + left - max(2*in.margin(), left/20)
	for _, r := range in.all {
		r.due = min(r.due, in.stopAt)
		r.useful = min(r.useful, r.due)
	}
	in.nextDue = now
	in.do.Log(fmt.Sprintf("drain: %d held, %d running", len(in.queue), in.onCores))
}

// leaving tells whether callers should look for another server: only when the grace of a drain nears its end,
// as what arrives until then is run, and sent away sooner it crowds servers whose successors few know of.
func (in *Instance) leaving() bool {
	lead := min(2*pollInterval, in.set.DrainGracePeriod/4)
	return in.draining && in.now+lead >= in.notice+in.set.DrainGracePeriod
}
