// The concurrency limit and the detection of stalls. The interface is in interface.go.

package admission

import (
	"fmt"
	"math"
	"time"
)

const (
	// saturatedUtilization and spareUtilization: from the first the cores read full by the gauge, under the
	// second there is room. The gauge averages half a second: higher values need so many runs that they
	// slow each other.
	saturatedUtilization, spareUtilization = 0.92, 0.88
	// concurrencyMargin is the part that is used of the running requests that a server survives. The rest
	// covers calls that all return at once.
	concurrencyMargin = 0.75
	// stallRuns is how many expected ends of runs must be missing before the work counts as stalled. Fewer
	// are mostly a slow server or a bunch of ends, and a false stall throws work away.
	stallRuns = 60.0
	// stallLongestRuns is for how many of the longest run of late nothing ends in a stall where runs do not
	// share the cores, and longestRunHalfLife how long that run counts, by half: many long runs may stand
	// behind short ones.
	stallLongestRuns, longestRunHalfLife = 3.0, 30 * time.Second
)

// isSaturated tells whether the cores read fully busy. The gauge of what wants a core now decides where it
// is told: the other averages half a second, in which short runs leave idle cores for a queue that is late
// as a whole.
func (in *Instance) isSaturated() bool {
	if in.runnable >= 0 {
		return in.runnable >= float64(in.settings.Cores)
	}
	return in.utilization >= saturatedUtilization
}

// isOverloaded is the sign under which arrivals are refused: work is held and the cores read full.
func (in *Instance) isOverloaded() bool { return len(in.queue) > 0 && in.isSaturated() }

// adjustConcurrencyLimit moves the running limit by the core gauge.
func (in *Instance) adjustConcurrencyLimit() {
	switch {
	case !in.isSaturated() && (in.runnable >= 0 || in.utilization < spareUtilization) && len(in.queue) > 0:
		in.concurrencyLimit += float64(in.settings.Cores) / 8
	case in.isSaturated():
		in.concurrencyLimit -= float64(in.settings.Cores) / 2
	}
	least, most := float64(in.settings.Cores), max(in.maxConcurrency(), 1)
	in.concurrencyLimit = min(max(in.concurrencyLimit, least), most)
}

// maxConcurrency is how many running requests this server may have, assuming the slowest allowed warm-up.
func (in *Instance) maxConcurrency() float64 {
	share := 1.0
	if in.settings.WarmingUp && in.settings.WarmUpTime > 0 {
		age := float64(in.now-in.startedAt) / float64(in.settings.WarmUpTime)
		share = min(1, in.settings.InitialCapacity+(1-in.settings.InitialCapacity)*age)
	}
	return float64(in.settings.Cores) * (1 + (in.settings.MaxConcurrencyFactor-1)*share) * concurrencyMargin
}

// detectStall finds work that no longer ends, whatever the cause.
func (in *Instance) detectStall() {
	mean, runs := 0.0, 0
	for class := range in.classes {
		mean, runs = max(mean, in.expectedCoreTime(class)), runs+in.classes[class].samples
	}
	// The first runs to end are the shortest: until each core has ended a few, their mean proves nothing.
	if in.running == 0 || runs < 3*in.settings.Cores {
		in.progressAt = in.coreClock
	}
	stalled := (in.coreClock-in.progressAt)*float64(in.running) > stallRuns*mean
	if in.settings.IndependentRuns {
		in.longestRun *= math.Exp2(-pollInterval.Seconds() / longestRunHalfLife.Seconds())
		stalled = in.coreClock-in.progressAt > stallLongestRuns*in.longestRun
	}
	if stalled == in.isStalled {
		return
	}
	in.isStalled = stalled
	if !stalled {
		in.actions.Log("stall: work ends again")
		return
	}
	in.actions.Log(fmt.Sprintf("stall: nothing ended in %d runs", in.running))
	for _, r := range in.byArrival {
		if r.state == stateQueued || r.state == stateRunning && in.settings.Classes[r.class].Effect == Safe {
			in.rejectOrFail(r, Stalled)
		}
	}
}
