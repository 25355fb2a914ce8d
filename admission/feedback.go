// Feedback to callers, health and idle connections. The interface is in interface.go.

package admission

import "time"

const (
	// idleObjectives is how many longest objectives an open connection may carry nothing.
	idleObjectives = 2
	// idleRetryShare is the share of retries among the arrivals over which idle connections stay open.
	idleRetryShare = 0.3
	// minIdleTimeout is the idle timeout at the end of a drain, unless a tick is longer.
	minIdleTimeout = 10 * time.Millisecond

	// waitToReduce is the wait, as a part of the longest objective, over which the traffic weight falls.
	waitToReduce = 0.1
	// waitToGrow is the wait, as a part of the longest objective, under which the traffic weight grows.
	waitToGrow = 0.05
	// weightReduction is the factor by which the traffic weight falls in a poll.
	weightReduction = 0.96
	// weightGrowth is the amount by which the traffic weight grows in a poll.
	weightGrowth = 0.02
	// minTrafficWeight bounds the traffic weight of a server that reads requests without a long delay.
	minTrafficWeight = 0.5
	// unreadableDelay is the read delay, as a part of the longest objective, over which there is no bound.
	unreadableDelay = 0.25
	// creditQueue is the queue that callers may fill, in longest objectives of work.
	creditQueue = 0.5
)

// loadFeedback is the feedback that callers were sent last. Actions are called only for changes.
type loadFeedback struct {
	trafficWeight float64       // part of the usual traffic that is wanted, 0 to 1
	advertised    float64       // the value last advertised; negative = none yet
	isHealthy     bool          // the answer to health checks
	idleTimeout   time.Duration // last set for connections; 0 = none was
}

// updateIdleTimeout sets how long a connection may be idle. An open connection uses core time and one of
// the few places for connections. Where a caller sends less often than once in two objectives its
// connection is closed after that time, earlier than the caller would close it. During retries connections
// stay open: each new one costs a handshake.
func (in *Instance) updateIdleTimeout() {
	idle := min(idleObjectives*in.longestObjective, in.settings.CallerIdleTimeout)
	arrivals := in.rates.arrivals.rate(in.clock.now, in.rates.decay) * idle.Seconds()
	areCallersFrequent := arrivals > float64(in.settings.Callers)
	if in.traffic.retryShare > idleRetryShare || in.isRetryStorm() || areCallersFrequent {
		idle = in.settings.CallerIdleTimeout
	}
	if in.isDrainEnding() {
		idle = max(in.settings.Tick, minIdleTimeout)
	}
	if idle != in.feedback.idleTimeout {
		in.feedback.idleTimeout = idle
		in.actions.CloseIdleConnections(idle)
	}
}

// updateFeedback updates the advertised load and the answer to health checks.
func (in *Instance) updateFeedback() {
	in.updateTrafficWeight()
	in.updateHealth()
	value, isKnown := in.loadValue()
	if isKnown && value != in.feedback.advertised {
		in.feedback.advertised = value
		in.actions.AdvertiseLoad(value)
	}
}

// updateTrafficWeight moves the traffic weight by how long requests wait to be read and in the queue.
func (in *Instance) updateTrafficWeight() {
	wait := (in.longestWait() + in.traffic.readDelay) / in.longestObjective.Seconds()
	in.traffic.decayReadDelay()
	least := minTrafficWeight
	if in.traffic.readDelay > in.longestObjective.Seconds()*unreadableDelay {
		least = 0 // reading is the bottleneck: further requests would be late before they are read
	}
	weight := in.feedback.trafficWeight
	switch {
	case in.isSaturated() && wait > waitToReduce:
		in.feedback.trafficWeight = max(weight*weightReduction, least)
	case wait < waitToGrow:
		in.feedback.trafficWeight = min(weight+weightGrowth, 1)
	}
}

// updateHealth sets the answer to health checks: unhealthy while stalled or draining.
func (in *Instance) updateHealth() {
	isHealthy := !in.stall.isStalled && !in.drain.isDraining
	if isHealthy != in.feedback.isHealthy {
		in.feedback.isHealthy = isHealthy
		in.actions.SetHealth(isHealthy, true)
	}
}

// loadValue is the value to advertise, and false if there is none.
func (in *Instance) loadValue() (value float64, isKnown bool) {
	wantsNone := in.stall.isStalled || in.isDrainEnding()
	weight := in.feedback.trafficWeight
	if wantsNone {
		weight = 0
	}
	switch in.settings.Feedback {
	case FeedbackNone:
		return 0, false
	case FeedbackLevel:
		return 1 - weight, true
	case FeedbackCredit:
		credit, isKnown := in.callerCredit(weight)
		if wantsNone {
			credit = 0
		}
		return credit, isKnown
	}
	return weight, true
}

// callerCredit is how many requests each caller may have outstanding: the running ones, those that may be
// queued and those at calls, divided by the number of callers. It is not known before a run has ended.
func (in *Instance) callerCredit(weight float64) (credit float64, isKnown bool) {
	run := in.meanCoreTime()
	if run == 0 {
		return 0, false
	}
	queued := weight * creditQueue * in.longestObjective.Seconds() * float64(in.settings.Cores) / run
	capacity := in.limiter.limit + float64(in.use.offCore) + queued
	// Callers' outstanding requests include those that are not read yet. While the cores are busy reading a
	// backlog, the credit falls until the backlog is gone.
	capacity -= in.traffic.readDelay * in.rates.arrivals.rate(in.clock.now, in.rates.decay)
	return max(capacity, 0) / float64(max(in.settings.Callers, 1)), true
}
