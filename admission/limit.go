// The concurrency limit. The interface is in interface.go.

package admission

const (
	// saturatedUtilization is the utilization from which the cores are saturated. The gauge averages half a
	// second: higher values need so many runs that they slow each other down.
	saturatedUtilization = 0.92
	// spareUtilization is the utilization under which there is room for more runs.
	spareUtilization = 0.88
	// limitGrowthDivisor and limitReductionDivisor: in each poll the limit grows or falls by the cores
	// divided by them.
	limitGrowthDivisor    = 8
	limitReductionDivisor = 2
	// concurrencyMargin is the part that is used of the running requests that a server survives. The rest
	// covers calls that all return at once.
	concurrencyMargin = 0.75
)

// concurrencyLimiter sets how many requests run at once by the gauges of the cores. The limit is never
// under the number of cores unless the server survives fewer, and never over what it survives.
type concurrencyLimiter struct {
	utilization float64 // last reading
	runnable    float64 // last reading; negative = the host lacks it
	limit       float64
}

// read takes in the gauges of a timer event, unless they were not read.
func (l *concurrencyLimiter) read(gauges Gauges) {
	if gauges.Utilization >= 0 {
		l.utilization = gauges.Utilization
		l.runnable = gauges.Runnable
	}
}

// hasRunnable tells whether the host reports the number of runnable tasks.
func (l *concurrencyLimiter) hasRunnable() bool { return l.runnable >= 0 }

// isSaturated tells whether all cores are busy. The number of runnable tasks decides if the host reports
// it: the utilization is an average over half a second, in which short runs leave cores idle even if the
// whole queue is late.
func (l *concurrencyLimiter) isSaturated(cores int) bool {
	if l.hasRunnable() {
		return l.runnable >= float64(cores)
	}
	return l.utilization >= saturatedUtilization
}

// adjust moves the limit by one poll's step and keeps it within its bounds.
func (l *concurrencyLimiter) adjust(cores int, hasQueue bool, maxConcurrency float64) {
	isSaturated := l.isSaturated(cores)
	hasCapacity := !isSaturated && (l.hasRunnable() || l.utilization < spareUtilization)
	switch {
	case hasCapacity && hasQueue:
		l.limit += float64(cores) / limitGrowthDivisor
	case isSaturated:
		l.limit -= float64(cores) / limitReductionDivisor
	}
	l.limit = min(max(l.limit, float64(cores)), max(maxConcurrency, 1))
}

// isSaturated tells whether all cores are busy.
func (in *Instance) isSaturated() bool { return in.limiter.isSaturated(in.settings.Cores) }

// isOverloaded is the condition under which arrivals are rejected: requests are queued and the cores are
// saturated.
func (in *Instance) isOverloaded() bool { return in.queue.len() > 0 && in.isSaturated() }

// adjustConcurrencyLimit moves the concurrency limit by the gauges.
func (in *Instance) adjustConcurrencyLimit() {
	in.limiter.adjust(in.settings.Cores, in.queue.len() > 0, in.maxConcurrency())
}

// maxConcurrency is how many running requests this server may have, assuming the slowest warm-up that is
// allowed.
func (in *Instance) maxConcurrency() float64 {
	speed := 1.0
	if in.settings.WarmingUp && in.settings.WarmUpTime > 0 {
		warmed := float64(in.clock.now-in.clock.startedAt) / float64(in.settings.WarmUpTime)
		initial := in.settings.InitialCapacity
		speed = min(1, initial+(1-initial)*warmed)
	}
	perCore := 1 + (in.settings.MaxConcurrencyFactor-1)*speed
	return float64(in.settings.Cores) * perCore * concurrencyMargin
}
