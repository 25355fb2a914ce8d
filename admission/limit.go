// The concurrency limit and the detection of stalls. The interface is in interface.go.

package admission

import (
	"fmt"
	"math"
	"time"
)

const (
	// busyFull and busyRoom: from the first the cores read full by the gauge, under the second there is room.
	// The gauge averages half a second: higher values need so many runs that they slow each other.
	busyFull, busyRoom = 0.92, 0.88
	// concurrencyMargin is the part that is used of the running requests that a server survives. The rest
	// covers calls that all return at once.
	concurrencyMargin = 0.75
	// stallRuns is how many expected ends of runs must be missing before the work counts as stalled. Fewer
	// are mostly a slow server or a bunch of ends, and a false stall throws work away.
	stallRuns = 60.0
	// stallOver is for how many of the longest run of late nothing ends in a stall where runs do not share
	// the cores, and stallLate how long that run counts, by half: many long runs may stand behind short ones.
	stallOver, stallLate = 3.0, 30 * time.Second
)

// full tells whether the cores read fully busy. The gauge of what wants a core now decides where it is told:
// the other averages half a second, in which short runs leave idle cores for a queue that is late as a whole.
func (in *Instance) full() bool {
	if in.runnable >= 0 {
		return in.runnable >= float64(in.set.Cores)
	}
	return in.busy >= busyFull
}

// overloaded is the sign under which arrivals are refused: work is held and the cores read full.
func (in *Instance) overloaded() bool { return len(in.queue) > 0 && in.full() }

// adjustLimit moves the running limit by the core gauge.
func (in *Instance) adjustLimit() {
	switch {
	case !in.full() && (in.runnable >= 0 || in.busy < busyRoom) && len(in.queue) > 0:
		in.concurrencyLimit += float64(in.set.Cores) / 8
	case in.full():
		in.concurrencyLimit -= float64(in.set.Cores) / 2
	}
	in.concurrencyLimit = min(max(in.concurrencyLimit, float64(in.set.Cores)), max(in.maxConcurrency(), 1))
}

// maxConcurrency is how many running requests this server may have, assuming the slowest allowed warm-up.
func (in *Instance) maxConcurrency() float64 {
	share := 1.0
	if in.set.WarmingUp && in.set.WarmUpTime > 0 {
		age := float64(in.now-in.start) / float64(in.set.WarmUpTime)
		share = min(1, in.set.InitialCapacity+(1-in.set.InitialCapacity)*age)
	}
	return float64(in.set.Cores) * (1 + (in.set.MaxConcurrencyFactor-1)*share) * concurrencyMargin
}

// watchStall finds work that no longer ends, whatever the cause.
func (in *Instance) watchStall() {
	mean, runs := 0.0, 0
	for class := range in.classes {
		mean, runs = max(mean, in.runTime(class)), runs+in.classes[class].runs
	}
	// The first runs to end are the shortest: until each core has ended a few, their mean proves nothing.
	if in.onCores == 0 || runs < 3*in.set.Cores {
		in.progress = in.coreClock
	}
	stalled := (in.coreClock-in.progress)*float64(in.onCores) > stallRuns*mean
	if in.set.IndependentRuns {
		in.longest *= math.Exp2(-pollInterval.Seconds() / stallLate.Seconds())
		stalled = in.coreClock-in.progress > stallOver*in.longest
	}
	if stalled == in.stalled {
		return
	}
	in.stalled = stalled
	if !stalled {
		in.do.Log("stall: work ends again")
		return
	}
	in.do.Log(fmt.Sprintf("stall: nothing ended in %d runs", in.onCores))
	for _, r := range in.all {
		if r.state == held || r.state == running && in.set.Classes[r.class].Effect == Safe {
			in.answer(r, Stalled)
		}
	}
}
