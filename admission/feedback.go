// Feedback to callers, health checks and idle connections. The interface is in interface.go.

package admission

import "time"

const (
	// idleTimeoutObjectives is the idle timeout of connections, in longest objectives.
	idleTimeoutObjectives = 2
	// idleRetryShare is the share of retries among the arrivals above which idle connections stay open.
	idleRetryShare = 0.3
	// minIdleTimeout is the idle timeout at the end of a drain, unless a tick is longer.
	minIdleTimeout = 10 * time.Millisecond

	// weightReductionWait is the wait, as a fraction of the longest objective, above which the traffic
	// weight falls.
	weightReductionWait = 0.1
	// weightGrowthWait is the wait, as a fraction of the longest objective, below which the traffic weight
	// grows.
	weightGrowthWait = 0.05
	// weightReduction is the factor by which the traffic weight falls per poll.
	weightReduction = 0.96
	// weightGrowth is the amount by which the traffic weight grows per poll.
	weightGrowth = 0.02
	// minTrafficWeight is the lower bound of the traffic weight of a server that reads requests without a
	// long delay.
	minTrafficWeight = 0.5
	// zeroWeightReadDelay is the read delay, as a fraction of the longest objective, above which the
	// traffic weight may fall to 0.
	zeroWeightReadDelay = 0.25
	// creditObjectives is the work that callers may queue, in longest objectives.
	creditObjectives = 0.5
)

// loadFeedback is the feedback that callers were last sent. Actions are called only when it changes.
type loadFeedback struct {
	trafficWeight float64       // wanted fraction of the usual traffic, 0 to 1
	advertised    float64       // last advertised value; negative = none yet
	isHealthy     bool          // answer to health checks
	idleTimeout   time.Duration // last idle timeout that was set; 0 = none
}

// updateIdleTimeout updates the idle timeout of connections. An open connection uses core time and one of
// the few connection slots. Where a caller sends less often than once in two objectives, its connection is
// closed after that time, earlier than the caller would close it. During retries connections stay open,
// because each new one costs a handshake.
func (in *Instance) updateIdleTimeout() {
	idle := min(idleTimeoutObjectives*in.longestObjective, in.settings.CallerIdleTimeout)
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

// updateTrafficWeight adjusts the traffic weight by how long requests wait to be read and in the queue.
func (in *Instance) updateTrafficWeight() {
	wait := (in.longestWait() + in.traffic.readDelay) / in.longestObjective.Seconds()
	in.traffic.decayReadDelay()
	least := minTrafficWeight
	if in.traffic.readDelay > in.longestObjective.Seconds()*zeroWeightReadDelay {
		least = 0 // reading is the bottleneck: further requests would be late before they are read
	}
	weight := in.feedback.trafficWeight
	switch {
	case in.isSaturated() && wait > weightReductionWait:
		in.feedback.trafficWeight = max(weight*weightReduction, least)
	case wait < weightGrowthWait:
		in.feedback.trafficWeight = min(weight+weightGrowth, 1)
	}
}

// updateHealth updates the answer to health checks: unhealthy while stalled or draining.
func (in *Instance) updateHealth() {
	isHealthy := !in.stall.isStalled && !in.drain.isDraining
	if isHealthy != in.feedback.isHealthy {
		in.feedback.isHealthy = isHealthy
		in.actions.SetHealth(isHealthy, true)
	}
}

// loadValue returns the value to advertise; isKnown is false if there is none.
func (in *Instance) loadValue() (value float64, isKnown bool) {
	wantsNoTraffic := in.stall.isStalled || in.isDrainEnding()
	weight := in.feedback.trafficWeight
	if wantsNoTraffic {
		weight = 0
	}
	switch in.settings.Feedback {
	case FeedbackNone:
		return 0, false
	case FeedbackLevel:
		return 1 - weight, true
	case FeedbackCredit:
		credit, isKnown := in.callerCredit(weight)
		if wantsNoTraffic {
			credit = 0
		}
		return credit, isKnown
	}
	return weight, true
}

// callerCredit returns how many requests each caller may have outstanding: the sum of the running requests,
// the requests that may be queued and the requests in calls, divided by the number of callers. It is not
// known until a run has ended.
func (in *Instance) callerCredit(weight float64) (credit float64, isKnown bool) {
	run := in.meanCoreTime()
	if run == 0 {
		return 0, false
	}
	queued := weight * creditObjectives * in.longestObjective.Seconds() * float64(in.settings.Cores) / run
	capacity := in.limiter.limit + float64(in.use.offCore) + queued
	// The outstanding requests of callers include unread ones. While the cores are busy reading a backlog,
	// the credit falls until the backlog is gone.
	capacity -= in.traffic.readDelay * in.rates.arrivals.rate(in.clock.now, in.rates.decay)
	return max(capacity, 0) / float64(max(in.settings.Callers, 1)), true
}
