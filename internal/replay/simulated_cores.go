package replay

import (
	"math"
	"slices"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// utilizationWindow is the time constant of the exponential moving average that is the utilization gauge.
const utilizationWindow = 500 * time.Millisecond

// simulatedCores simulates processor cores that all runs share evenly.
type simulatedCores struct {
	count       int
	runs        []*simulatedRun
	utilization float64 // moving average, 0 to 1
}

// simulatedRun is a run with its remaining core time.
type simulatedRun struct {
	id        admission.RequestID
	remaining time.Duration
}

// start adds a run.
func (c *simulatedCores) start(id admission.RequestID, coreTime time.Duration) {
	c.runs = append(c.runs, &simulatedRun{id, coreTime})
}

// remove removes the run of a request and reports whether there was one.
func (c *simulatedCores) remove(id admission.RequestID) bool {
	i := c.index(id)
	if i < 0 {
		return false
	}
	c.runs = slices.Delete(c.runs, i, i+1)
	return true
}

// has reports whether the request runs.
func (c *simulatedCores) has(id admission.RequestID) bool { return c.index(id) >= 0 }

func (c *simulatedCores) index(id admission.RequestID) int {
	return slices.IndexFunc(c.runs, func(r *simulatedRun) bool { return r.id == id })
}

// share returns the share of a core that each run gets, at most 1.
func (c *simulatedCores) share() float64 {
	return min(1, float64(c.count)/float64(max(len(c.runs), 1)))
}

// next returns the run that ends next and the time until its end. The run is nil if there is none.
func (c *simulatedCores) next() (*simulatedRun, time.Duration) {
	var next *simulatedRun
	for _, r := range c.runs {
		if next == nil || r.remaining < next.remaining {
			next = r
		}
	}
	if next == nil {
		return nil, 0
	}
	return next, time.Duration(math.Ceil(float64(next.remaining) / c.share()))
}

// advance reduces the remaining core time of all runs by their share of the elapsed time, and updates the utilization.
func (c *simulatedCores) advance(elapsed time.Duration) {
	spent := time.Duration(float64(elapsed) * c.share())
	for _, r := range c.runs {
		r.remaining = max(r.remaining-spent, 0)
	}
	decay := math.Exp(-float64(elapsed) / float64(utilizationWindow))
	c.utilization = c.utilization*decay + (1-decay)*min(1, float64(len(c.runs))/float64(c.count))
}

// coreTimes has the recorded core times of runs and their means.
type coreTimes struct {
	byID      map[admission.RequestID]time.Duration
	classMean []time.Duration
	mean      time.Duration // over all classes
}

// newCoreTimes returns the core times of the recorded runs that ended, except those of errored attempts. A class without such
// runs has the mean over all classes.
func newCoreTimes(recorded []*Attempt, classes int) coreTimes {
	times := coreTimes{byID: map[admission.RequestID]time.Duration{}, classMean: make([]time.Duration, classes)}
	counts := make([]int, classes)
	total, count := time.Duration(0), 0
	for _, attempt := range recorded {
		if attempt.RunEnd == 0 || attempt.Class >= classes || attempt.Status == StatusErrored {
			continue
		}
		times.byID[attempt.ID] = attempt.CoreTime
		times.classMean[attempt.Class] += attempt.CoreTime
		counts[attempt.Class]++
		total += attempt.CoreTime
		count++
	}
	for class := range times.classMean {
		switch {
		case counts[class] > 0:
			times.classMean[class] /= time.Duration(counts[class])
		case count > 0:
			times.classMean[class] = total / time.Duration(count)
		}
	}
	times.mean = total / time.Duration(max(count, 1))
	return times
}

// forRun returns the core time of a run: the recorded one, else the mean of its class, else 0. request is the record of the
// request, or nil if the request arrived before the recording.
func (t *coreTimes) forRun(id admission.RequestID, request *capture.Record) time.Duration {
	if coreTime, ok := t.byID[id]; ok {
		return coreTime
	}
	if request != nil && request.Request.Class < len(t.classMean) {
		return t.classMean[request.Request.Class]
	}
	return 0
}
