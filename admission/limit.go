// The concurrency limit. The interface is in interface.go.

package admission

const (
	// saturatedUtilization is the utilization at which the cores count as saturated. The gauge averages
	// half a second: a higher value would be reached only with so many runs that they slow each other down.
	saturatedUtilization = 0.92
	// spareUtilization is the utilization below which there is capacity for more runs.
	spareUtilization = 0.88
	// limitGrowthDivisor and limitReductionDivisor divide the number of cores. The quotients are the steps
	// by which the limit grows and falls in one poll.
	limitGrowthDivisor    = 8
	limitReductionDivisor = 2
	// usableConcurrencyFraction is the fraction that is used of the running requests that a server
	// survives. The rest covers calls that all return at the same time.
	usableConcurrencyFraction = 0.75
)

// concurrencyLimiter limits how many requests run at the same time, from the gauges of the cores. The limit
// is never below the number of cores unless the server survives fewer runs, and never above what it
// survives.
type concurrencyLimiter struct {
	utilization float64 // last reading
	runnable    float64 // last reading; negative = the host does not report it
	limit       float64
}

// setGauges stores the gauges of a timer event. If they were not read, the previous gauges stay.
func (l *concurrencyLimiter) setGauges(gauges Gauges) {
	if gauges.Utilization >= 0 {
		l.utilization = gauges.Utilization
		l.runnable = gauges.Runnable
	}
}

// hasRunnable reports whether the host reports the number of runnable tasks.
func (l *concurrencyLimiter) hasRunnable() bool { return l.runnable >= 0 }

// isSaturated reports whether all cores are busy. The number of runnable tasks decides if the host reports
// it: the utilization is an average over half a second, in which short runs leave cores idle even if the
// whole queue is late.
func (l *concurrencyLimiter) isSaturated(cores int) bool {
	if l.hasRunnable() {
		return l.runnable >= float64(cores)
	}
	return l.utilization >= saturatedUtilization
}

// adjust changes the limit by the step of one poll and keeps it within its bounds.
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

// isSaturated reports whether all cores are busy.
func (in *Instance) isSaturated() bool { return in.limiter.isSaturated(in.settings.Cores) }

// isOverloaded reports whether requests are queued and the cores are saturated. Only then are arrivals
// rejected for their tenant's rate or their predicted wait.
func (in *Instance) isOverloaded() bool { return in.queue.len() > 0 && in.isSaturated() }

// adjustConcurrencyLimit adjusts the concurrency limit to the gauges.
func (in *Instance) adjustConcurrencyLimit() {
	in.limiter.adjust(in.settings.Cores, in.queue.len() > 0, in.maxConcurrency())
}

// maxConcurrency returns how many running requests this server may have, assuming the slowest warm-up that
// the settings allow.
func (in *Instance) maxConcurrency() float64 {
	speed := 1.0
	if in.settings.WarmingUp && in.settings.WarmUpTime > 0 {
		warmed := float64(in.clock.now-in.clock.startedAt) / float64(in.settings.WarmUpTime)
		initial := in.settings.InitialCapacity
		speed = min(1, initial+(1-initial)*warmed)
	}
	perCore := 1 + (in.settings.MaxConcurrencyFactor-1)*speed
	return float64(in.settings.Cores) * perCore * usableConcurrencyFraction
}
