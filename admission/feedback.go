// Feedback to callers, health and idle connections. The interface is in interface.go.

package admission

import "time"

// updateIdleTimeout sets how long a connection may carry nothing. An open one takes part of the cores and of
// the few that are accepted: where callers come more rarely than two aims it goes then, before they would
// close it. Not while tries are made again: closing lets them in, and each costs a handshake.
func (in *Instance) updateIdleTimeout() {
	idle := min(2*in.longestAim, in.set.CallerIdleTimeout)
	come := in.arrivals.rate(in.now, in.lambda) * idle.Seconds()
	if in.retries > 0.3 || in.retryStorm() || come > float64(in.set.Callers) {
		idle = in.set.CallerIdleTimeout
	}
	if in.leaving() {
		idle = max(in.set.Tick, 10*time.Millisecond)
	}
	if idle != in.idleTimeout {
		in.idleTimeout = idle
		in.do.CloseIdleConnections(idle)
	}
}

// updateFeedback tells callers how much of the usual traffic is wanted, and checks whether to come at all.
func (in *Instance) updateFeedback() {
	wait := (in.longestWait() + in.readDelay) / in.longestAim.Seconds()
	in.readDelay *= 1 - learnWeight // a server that gets nothing to read has no backlog
	least := 0.5
	if in.readDelay > in.longestAim.Seconds()/4 {
		least = 0 // it can't even read what comes: whatever more came would be late when it is read
	}
	switch {
	case in.full() && wait > 0.1:
		in.weight = max(in.weight*0.96, least)
	case wait < 0.05:
		in.weight = min(in.weight+0.02, 1)
	}
	healthy := !in.stalled && !in.draining
	if healthy != in.healthy {
		in.healthy = healthy
		in.do.SetHealth(healthy, true)
	}
	weight := in.weight
	away := in.stalled || in.leaving()
	if away {
		weight = 0
	}
	value := weight
	switch in.set.Feedback {
	case FeedbackNone:
		return
	case FeedbackLevel:
		value = 1 - weight
	case FeedbackCredit:
		// What runs, what may wait half an aim, and what waits at calls, over the callers.
		run := in.meanRun()
		if run == 0 {
			return
		}
		queued := weight * 0.5 * in.longestAim.Seconds() * float64(in.set.Cores) / run
		room := in.concurrencyLimit + float64(in.atCall) + queued
		// What callers have outstanding includes the unread: where a backlog keeps the cores reading, nothing
		// more may come until it is worked off.
		room -= in.readDelay * in.arrivals.rate(in.now, in.lambda)
		value = max(room, 0) / float64(max(in.set.Callers, 1))
		if away {
			value = 0
		}
	}
	if value != in.advertised {
		in.advertised = value
		in.do.AdvertiseLoad(value)
	}
}
