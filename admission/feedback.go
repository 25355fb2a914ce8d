// Feedback to callers, health and idle connections. The interface is in interface.go.

package admission

import "time"

// updateIdleTimeout sets how long a connection may carry nothing. An open one takes part of the cores and
// of the few that are accepted: where callers come more rarely than two aims it goes then, before they
// would close it. Not while tries are made again: closing lets them in, and each costs a handshake.
func (in *Instance) updateIdleTimeout() {
	idle := min(2*in.longestObjective, in.settings.CallerIdleTimeout)
	come := in.arrivals.rate(in.now, in.decay) * idle.Seconds()
	if in.retryShare > 0.3 || in.isRetryStorm() || come > float64(in.settings.Callers) {
		idle = in.settings.CallerIdleTimeout
	}
	if in.isDrainEnding() {
		idle = max(in.settings.Tick, 10*time.Millisecond)
	}
	if idle != in.idleTimeout {
		in.idleTimeout = idle
		in.actions.CloseIdleConnections(idle)
	}
}

// updateFeedback tells callers how much of the usual traffic is wanted, and checks whether to come at all.
func (in *Instance) updateFeedback() {
	wait := (in.longestWait() + in.readDelay) / in.longestObjective.Seconds()
	in.readDelay *= 1 - learnWeight // a server that gets nothing to read has no backlog
	least := 0.5
	if in.readDelay > in.longestObjective.Seconds()/4 {
		least = 0 // it can't even read what comes: whatever more came would be late when it is read
	}
	switch {
	case in.isSaturated() && wait > 0.1:
		in.trafficWeight = max(in.trafficWeight*0.96, least)
	case wait < 0.05:
		in.trafficWeight = min(in.trafficWeight+0.02, 1)
	}
	healthy := !in.isStalled && !in.isDraining
	if healthy != in.isHealthy {
		in.isHealthy = healthy
		in.actions.SetHealth(healthy, true)
	}
	weight := in.trafficWeight
	away := in.isStalled || in.isDrainEnding()
	if away {
		weight = 0
	}
	value := weight
	switch in.settings.Feedback {
	case FeedbackNone:
		return
	case FeedbackLevel:
		value = 1 - weight
	case FeedbackCredit:
		// What runs, what may wait half an aim, and what waits at calls, over the callers.
		run := in.meanCoreTime()
		if run == 0 {
			return
		}
		queued := weight * 0.5 * in.longestObjective.Seconds() * float64(in.settings.Cores) / run
		room := in.concurrencyLimit + float64(in.offCore) + queued
		// What callers have outstanding includes the unread: where a backlog keeps the cores reading,
		// nothing more may come until it is worked off.
		room -= in.readDelay * in.arrivals.rate(in.now, in.decay)
		value = max(room, 0) / float64(max(in.settings.Callers, 1))
		if away {
			value = 0
		}
	}
	if value != in.advertised {
		in.advertised = value
		in.actions.AdvertiseLoad(value)
	}
}
