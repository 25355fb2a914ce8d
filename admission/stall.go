// Detection of stalls: runs that no longer end. The interface is in interface.go.

package admission

import (
	"fmt"
	"math"
	"time"
)

const (
	// stallMissedRuns is how many expected ends of runs must be missing before the server counts as
	// stalled. A smaller number would also match slow servers and bursts of ends, and a false detection
	// discards work.
	stallMissedRuns = 60.0
	// minStallSamplesPerCore is how many runs per core must have been learned from before stalls are
	// detected: the first runs to end are the shortest, so that their mean is too small.
	minStallSamplesPerCore = 3
	// stallLongestRunFactor is the time without an end of a run, as a multiple of the longest recent run,
	// that counts as a stall if runs do not share the cores: short runs may be followed by only long ones.
	stallLongestRunFactor = 3.0
	// longestRunHalfLife is the half-life of the longest recent run.
	longestRunHalfLife = 30 * time.Second
)

// stallDetector detects that runs no longer end. progressAt is on the core clock, which does not advance
// while the process is paused.
type stallDetector struct {
	progressAt float64 // the core clock at the last end of a run or of a segment of a run
	longestRun float64 // wall time in seconds of the longest recent run
	isStalled  bool
}

// decayLongestRun reduces the longest recent run by the decay of one poll.
func (d *stallDetector) decayLongestRun() {
	d.longestRun *= math.Exp2(-pollInterval.Seconds() / longestRunHalfLife.Seconds())
}

// detectStall detects that runs no longer end, for any cause, and rejects requests that can be retried on
// other servers.
func (in *Instance) detectStall() {
	if in.use.running == 0 || in.countSamples() < minStallSamplesPerCore*in.settings.Cores {
		in.stall.progressAt = in.clock.core
	}
	if in.settings.IndependentRuns {
		in.stall.decayLongestRun()
	}
	isStalled := in.isProgressMissing()
	if isStalled == in.stall.isStalled {
		return
	}
	in.stall.isStalled = isStalled
	if !isStalled {
		in.actions.Log("stall: work ends again")
		return
	}
	in.actions.Log(fmt.Sprintf("stall: nothing ended in %d runs", in.use.running))
	in.rejectStalled()
}

// countSamples returns how many runs of all classes were learned from.
func (in *Instance) countSamples() int {
	samples := 0
	for i := range in.classes {
		samples += in.classes[i].runTime.samples
	}
	return samples
}

// isProgressMissing reports whether no run has ended for much longer than the recent runs explain.
func (in *Instance) isProgressMissing() bool {
	sinceProgress := in.clock.core - in.stall.progressAt
	if in.settings.IndependentRuns {
		return sinceProgress > stallLongestRunFactor*in.stall.longestRun
	}
	slowest := 0.0
	for class := range in.classes {
		slowest = max(slowest, in.expectedCoreTime(class))
	}
	return sinceProgress*float64(in.use.running) > stallMissedRuns*slowest
}

// rejectStalled rejects queued requests and fails safe runs, so that they can be retried on another server.
func (in *Instance) rejectStalled() {
	for _, req := range in.requests.byArrival {
		isSafeRun := req.state == stateRunning && in.settings.Classes[req.class].Effect == Safe
		if req.state == stateQueued || isSafeRun {
			in.rejectOrFail(req, Stalled)
		}
	}
}
