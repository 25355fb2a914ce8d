package clustersim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Behavior of gateways that a configuration does not set.
const (
	retryBudgetBurst  = 10              // retries that may be made at once
	ejectionThreshold = 3               // consecutive attempts that a server did not take
	ejectionTime      = 2 * time.Second // for which such a server is avoided
	latencySmoothing  = 0.2             // weight of one response in the observed latency
	resendWindow      = 2 * time.Second // in which clients send a served request again
	minRetryAfter     = time.Millisecond
)

// retryAdvice is what a server tells about retries when it rejects an attempt.
type retryAdvice struct {
	retryAfter time.Duration
	noRetry    bool // at any server
}

// advertisedLoad is the value that a server advertises to gateways; its meaning is given by ServerConfig.Feedback.
type advertisedLoad struct {
	value float64
	isSet bool
}

// attemptResult is what a gateway learns of an attempt.
type attemptResult struct {
	attempt *attempt
	outcome outcome
	advice  retryAdvice
	load    advertisedLoad
}

// serverView is what a gateway knows of a server.
type serverView struct {
	openAttempts      int
	latency           float64 // seconds, smoothed
	avoidUntil        time.Duration
	load              float64 // as advertised, valid until loadUntil
	loadUntil         time.Duration
	consecutiveMisses int // attempts that it did not take
	unhealthy         bool
}

// gateway sends clients' requests to servers.
type gateway struct {
	sim    *simulation
	index  int
	config *GatewayConfig

	subset      []int        // servers that it uses
	views       []serverView // of all servers
	lastTurn    int          // position in the subset of the last server chosen in turn
	retryTokens float64

	balancingRandom *rand.Rand
	retryRandom     *rand.Rand
	feedbackRandom  *rand.Rand
}

func newGateway(sim *simulation, index int, config *GatewayConfig) *gateway {
	gw := &gateway{
		sim:             sim,
		index:           index,
		config:          config,
		views:           make([]serverView, len(sim.servers)),
		retryTokens:     retryBudgetBurst,
		balancingRandom: newRandom(sim.seed, "choice", index),
		retryRandom:     newRandom(sim.seed, "again", index),
		feedbackRandom:  newRandom(sim.seed, "heed", index),
	}
	for i := range sim.servers {
		gw.subset = append(gw.subset, i)
	}
	if config.SubsetSize > 0 && config.SubsetSize < len(gw.subset) {
		gw.balancingRandom.Shuffle(len(gw.subset), func(i, j int) { gw.subset[i], gw.subset[j] = gw.subset[j], gw.subset[i] })
		gw.subset = gw.subset[:config.SubsetSize]
		slices.Sort(gw.subset)
	}
	if len(gw.subset) > 0 {
		gw.lastTurn = gw.balancingRandom.IntN(len(gw.subset))
	}
	if config.UsesHealthChecks {
		offset := gw.balancingRandom.Int64N(int64(sim.config.Servers.HealthCheckInterval))
		sim.events.schedule(time.Duration(offset), gw, eventHealthCheck, nil)
	}
	return gw
}

// handle implements eventHandler.
func (g *gateway) handle(e *event) {
	switch e.kind {
	case eventAttemptResult:
		g.handleResult(e.payload.(*attemptResult))
	case eventClientDeadline:
		r := e.payload.(*request)
		r.deadlineEvent = nil
		g.completeUnserved(r, outcomeTimedOut)
	case eventAttemptTimeout:
		g.handleAttemptTimeout(e.payload.(*attempt))
	case eventRetry:
		r := e.payload.(*request)
		if r.retryEvent = nil; !r.finished {
			g.sendAttempt(r, outcomeRejected)
		}
	case eventHealthCheck:
		g.checkHealth()
	case eventResend:
		g.resend(e.payload.(*request))
	}
}

// checkHealth reads the health of all servers in the subset, until the run's duration is over.
func (g *gateway) checkHealth() {
	for _, i := range g.subset {
		g.views[i].unhealthy = !g.sim.servers[i].isHealthy()
	}
	if g.sim.now < g.sim.config.Duration {
		g.sim.events.schedule(g.sim.now+g.sim.config.Servers.HealthCheckInterval, g, eventHealthCheck, nil)
	}
}

// accept takes a new request of a client.
func (g *gateway) accept(r *request) {
	g.retryTokens = min(g.retryTokens+g.config.RetryBudget, retryBudgetBurst)
	g.setClientDeadline(r)
	g.sendAttempt(r, outcomeUnreachable)
}

// setClientDeadline schedules the time at which the client gives up.
func (g *gateway) setClientDeadline(r *request) {
	r.deadlineEvent = nil
	if !g.config.NoClientTimeout {
		deadline := g.sim.now + g.sim.config.Classes[r.class].Deadline
		r.deadlineEvent = g.sim.events.schedule(deadline, g, eventClientDeadline, r)
	}
}

// resend sends a request again that was served. It must not run again.
func (g *gateway) resend(served *request) {
	r := *served
	r.createdAt = g.sim.now
	r.isResend = true
	r.requestProgress = requestProgress{attempts: 1, stickyServer: served.stickyServer}
	g.sim.result.Resends++
	g.sim.result.openRequests++
	g.setClientDeadline(&r)
	g.sendAttempt(&r, outcomeRejected)
}

// sendAttempt sends a request to a server. If no server is eligible and no attempt is open, the request ends with the
// outcome of the attempt before.
func (g *gateway) sendAttempt(r *request, previous outcome) {
	i := r.stickyServer
	if i < 0 {
		i = g.chooseServer(r)
	} else if !g.isEligible(i, r) {
		i = -1
	}
	if i < 0 {
		if r.openAttempts == 0 {
			g.completeUnserved(r, previous)
		}
		return
	}
	target := g.sim.servers[i]
	g.sim.attempts++
	r.attempts++
	r.openAttempts++
	r.attemptedServers = append(r.attemptedServers, i)
	a := &attempt{
		number:     g.sim.attempts,
		request:    r,
		server:     target,
		generation: target.generation,
		isRetry:    r.attempts > 1,
		sentAt:     g.sim.now,
	}
	g.views[i].openAttempts++
	g.sim.result.Attempts++
	class := &g.sim.config.Classes[r.class]
	g.sim.checker.attemptSent(a.number, r.key, class, r.sizeKB)
	g.sim.events.schedule(g.sim.now+g.sim.networkDelay(), target, eventAttemptArrival, a)
	if g.hasAttemptTimeout(r, class) {
		timeout := time.Duration(g.config.AttemptTimeoutFactor * float64(class.LatencyObjective))
		a.timeoutEvent = g.sim.events.schedule(g.sim.now+timeout, g, eventAttemptTimeout, a)
	}
}

// hasAttemptTimeout reports whether the gateway sends another attempt if the last one of a request takes long.
func (g *gateway) hasAttemptTimeout(r *request, class *Class) bool {
	if g.config.AttemptTimeoutFactor <= 0 || r.attempts >= g.config.MaxAttempts {
		return false
	}
	return g.config.Retry == RetryOnTimeout || g.config.Retry == RetryHedged && !class.IdempotentByKey
}

// handleAttemptTimeout sends another attempt while one is open. A keyed request goes to the same server again, because it
// may be running there.
func (g *gateway) handleAttemptTimeout(a *attempt) {
	a.timeoutEvent = nil
	r := a.request
	if a.resultKnown || r.finished || r.attempts >= g.config.MaxAttempts {
		return
	}
	if r.key != 0 {
		r.stickyServer = a.server.index
	}
	g.sim.result.Retries++
	g.sendAttempt(r, outcomeTimedOut)
}

// handleResult takes in the result of an attempt.
func (g *gateway) handleResult(result *attemptResult) {
	done := result.attempt
	r := done.request
	done.resultKnown = true
	g.sim.events.cancel(done.timeoutEvent)
	done.timeoutEvent = nil
	r.openAttempts--
	g.sim.result.recordAttempt(result, g.sim.now)
	g.updateView(result)
	switch {
	case r.finished:
	case result.outcome == outcomeServed:
		g.completeServed(r)
	case r.retryEvent == nil:
		g.retryOrComplete(r, result)
	}
}

// updateView takes in what a result tells about the server.
func (g *gateway) updateView(result *attemptResult) {
	now, view := g.sim.now, &g.views[result.attempt.server.index]
	view.openAttempts--
	if result.outcome == outcomeUnreachable || result.outcome == outcomeConnectionLost {
		if view.consecutiveMisses++; view.consecutiveMisses >= ejectionThreshold {
			view.avoidUntil = now + ejectionTime
		}
		return
	}
	view.consecutiveMisses = 0
	if result.load.isSet {
		view.load = result.load.value
		view.loadUntil = now + g.sim.config.Servers.FeedbackTTL
	}
	view.latency += ((now - result.attempt.sentAt).Seconds() - view.latency) * latencySmoothing
	if result.outcome == outcomeRejected {
		view.avoidUntil = max(view.avoidUntil, now+result.advice.retryAfter)
	}
}

// completeServed ends a request that was served. Its client may send it again after a while.
func (g *gateway) completeServed(r *request) {
	g.finish(r)
	g.sim.result.recordServed(r, g.sim.now)
	isResent := r.key != 0 && !r.isResend && g.config.ResendShare > 0 && g.retryRandom.Float64() < g.config.ResendShare
	if isResent && g.sim.now < g.sim.config.Duration {
		r.stickyServer = r.attemptedServers[len(r.attemptedServers)-1]
		delay := time.Duration(g.retryRandom.Float64() * float64(resendWindow))
		g.sim.events.schedule(g.sim.now+delay, g, eventResend, r)
	}
}

// completeUnserved ends a request that was not served.
func (g *gateway) completeUnserved(r *request, why outcome) {
	if r.finished {
		return
	}
	g.finish(r)
	g.sim.result.recordUnserved(r, why, g.sim.now)
}

// finish ends a request and cancels its timers.
func (g *gateway) finish(r *request) {
	r.finished = true
	g.sim.events.cancel(r.deadlineEvent)
	g.sim.events.cancel(r.retryEvent)
	r.deadlineEvent, r.retryEvent = nil, nil
	g.sim.result.openRequests--
}

// retryOrComplete decides whether a request is retried after an attempt that did not serve it.
func (g *gateway) retryOrComplete(r *request, result *attemptResult) {
	if !g.takeRetry(r, result) {
		if r.openAttempts == 0 {
			g.completeUnserved(r, result.outcome)
		}
		return
	}
	g.sim.result.Retries++
	if g.config.Retry != RetryBackoff {
		g.sendAttempt(r, result.outcome)
		return
	}
	r.attemptedServers = nil // all servers are candidates again
	backoff := float64(max(result.advice.retryAfter, minRetryAfter))
	wait := time.Duration(backoff * (1 + g.retryRandom.Float64()))
	r.retryEvent = g.sim.events.schedule(g.sim.now+wait, g, eventRetry, r)
}

// takeRetry reports whether the gateway's policy allows a retry, and takes it out of the budget.
func (g *gateway) takeRetry(r *request, result *attemptResult) bool {
	mayHaveRun := result.outcome == outcomeFailed || result.outcome == outcomeConnectionLost
	if mayHaveRun && g.sim.config.Classes[r.class].mustRunOnce() {
		return false
	}
	if r.attempts >= g.config.MaxAttempts || g.config.Retry == RetryNever {
		return false
	}
	if result.advice.noRetry && (g.config.HonorsFeedback || g.config.Retry == RetryBackoff) {
		return false
	}
	if g.config.Retry == RetryBudgeted {
		if g.retryTokens < 1 {
			return false
		}
		g.retryTokens--
	}
	return true
}
