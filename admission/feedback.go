// Feedback to callers, health and idle connections. The interface is in interface.go.

package admission

import "time"

const (
	// idleObjectives is how many longest objectives an open connection may carry nothing.
	idleObjectives = 2
	// idleRetryShare is the share of retries among the arrivals over which idle connections stay open.
	idleRetryShare = 0.3
	// minIdleTimeout is the idle timeout of a server that sends callers away, unless a tick is longer.
	minIdleTimeout = 10 * time.Millisecond

	// waitToReduce and waitToGrow are the waits, as parts of the longest objective, over which less traffic
	// is wanted and under which more is.
	waitToReduce, waitToGrow = 0.1, 0.05
	// weightReduction is the factor by which the traffic weight falls in a poll, and weightGrowth the
	// amount by which it grows.
	weightReduction, weightGrowth = 0.96, 0.02
	// minTrafficWeight bounds the traffic weight of a server that can read what comes.
	minTrafficWeight = 0.5
	// unreadableDelay is the read delay, as a part of the longest objective, over which there is no bound.
	unreadableDelay = 0.25
	// creditQueue is the queue that callers may fill, in longest objectives of work.
	creditQueue = 0.5
)

// loadFeedback is what callers were sent last. Only a change of it takes an action.
type loadFeedback struct {
	trafficWeight float64       // part of the usual traffic that is wanted, 0 to 1
	advertised    float64       // the value last advertised; negative = none yet
	isHealthy     bool          // the answer to health checks
	idleTimeout   time.Duration // last set for connections; 0 = none was
}

// updateIdleTimeout sets how long a connection may carry nothing. An open one takes part of the cores and
// of the few that are accepted: where callers come more rarely than two objectives it is closed then,
// before they would close it. Not during retries: closing lets them in, and each costs a handshake.
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

// updateFeedback tells callers how much of the usual traffic is wanted, and health checks whether any is.
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
		least = 0 // it can't even read what comes: whatever more came would be late when it is read
	}
	weight := in.feedback.trafficWeight
	switch {
	case in.isSaturated() && wait > waitToReduce:
		in.feedback.trafficWeight = max(weight*weightReduction, least)
	case wait < waitToGrow:
		in.feedback.trafficWeight = min(weight+weightGrowth, 1)
	}
}

// updateHealth answers health checks by whether work ends and the process stays.
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

// callerCredit is how many requests each caller may have outstanding: what runs, what may wait in the queue
// and what waits for calls, divided by the callers. It is not known before a run has ended.
func (in *Instance) callerCredit(weight float64) (credit float64, isKnown bool) {
	run := in.meanCoreTime()
	if run == 0 {
		return 0, false
	}
	queued := weight * creditQueue * in.longestObjective.Seconds() * float64(in.settings.Cores) / run
	capacity := in.limiter.limit + float64(in.use.offCore) + queued
	// What callers have outstanding includes the unread: while a backlog keeps the cores reading, nothing
	// more may come until it is worked off.
	capacity -= in.traffic.readDelay * in.rates.arrivals.rate(in.clock.now, in.rates.decay)
	return max(capacity, 0) / float64(max(in.settings.Callers, 1)), true
}
