package clustersim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of gateways that are not configurable.
const (
	retryBudgetBurst  = 10               // retries that the budget allows in a burst
	ejectionThreshold = 3                // consecutive connection failures at which a server is ejected
	ejectionTime      = 2 * time.Second  // time for which an ejected server is avoided
	latencySmoothing  = 0.2              // weight of the newest response in the smoothed latency
	resendWindow      = 2 * time.Second  // time within which a client sends a served request again
	minRetryAfter     = time.Millisecond // lower bound of the retry-after for RetryBackoff
)

// retryAdvice is the advice about retries in a rejection.
type retryAdvice struct {
	retryAfter time.Duration
	noRetry    bool // asks not to retry at any server
}

// advertisedLoad is the value that a server advertises to gateways. ServerConfig.Feedback defines its meaning.
type advertisedLoad struct {
	value float64
	isSet bool
}

// attemptResult is the result of an attempt that its gateway receives.
type attemptResult struct {
	attempt *attempt
	outcome outcome
	advice  retryAdvice
	load    advertisedLoad
}

// serverView is the state of a server as a gateway sees it.
type serverView struct {
	openAttempts                  int
	latency                       float64       // seconds, smoothed
	avoidUntil                    time.Duration // end of the ejection or of the retry-after
	load                          float64       // last advertised value, valid until loadUntil
	loadUntil                     time.Duration
	consecutiveConnectionFailures int // attempts in a row that it refused or lost
	unhealthy                     bool
}

// gateway sends clients' requests to servers.
type gateway struct {
	sim    *simulation
	index  int
	config *GatewayConfig

	subset             []int        // indices of the servers that it uses, ascending
	views              []serverView // of all servers, by index
	roundRobinPosition int          // position in the subset of the last round-robin choice, or of the start of the last search by score
	retryTokens        float64

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
		gw.roundRobinPosition = gw.balancingRandom.IntN(len(gw.subset))
	}
	if config.UsesHealthChecks {
		offset := gw.balancingRandom.Int64N(int64(sim.config.Servers.HealthCheckInterval))
		sim.events.schedule(time.Duration(offset), gw, eventHealthCheck, nil)
	}
	return gw
}

// handle implements eventHandler.
func (g *gateway) handle(event *event) {
	switch event.kind {
	case eventAttemptResult:
		g.handleResult(event.payload.(*attemptResult))
	case eventClientDeadline:
		r := event.payload.(*request)
		r.deadlineEvent = nil
		g.completeUnserved(r, outcomeTimedOut)
	case eventAttemptTimeout:
		g.handleAttemptTimeout(event.payload.(*attempt))
	case eventRetry:
		r := event.payload.(*request)
		r.retryEvent = nil
		if !r.finished {
			g.sendAttempt(r, outcomeRejected)
		}
	case eventHealthCheck:
		g.checkHealth()
	case eventResend:
		g.resend(event.payload.(*request))
	}
}

// checkHealth updates the health of all servers in the subset. It schedules the next check until Config.Duration is over.
func (g *gateway) checkHealth() {
	for _, i := range g.subset {
		g.views[i].unhealthy = !g.sim.servers[i].isHealthy()
	}
	if g.sim.now < g.sim.config.Duration {
		g.sim.events.schedule(g.sim.now+g.sim.config.Servers.HealthCheckInterval, g, eventHealthCheck, nil)
	}
}

// accept sends the first attempt of a new request of a client.
func (g *gateway) accept(req *request) {
	g.retryTokens = min(g.retryTokens+g.config.RetryBudget, retryBudgetBurst)
	g.setClientDeadline(req)
	g.sendAttempt(req, outcomeUnreachable)
}

// setClientDeadline schedules the deadline of the client, unless clients wait without one.
func (g *gateway) setClientDeadline(req *request) {
	req.deadlineEvent = nil
	if !g.config.NoClientTimeout {
		deadline := g.sim.now + g.sim.config.Classes[req.class].Deadline
		req.deadlineEvent = g.sim.events.schedule(deadline, g, eventClientDeadline, req)
	}
}

// resend sends a served request again, for its client. The request must not run a second time.
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

// sendAttempt sends the next attempt of a request. If no server is available and no attempt is open, the request ends
// with the previous outcome.
func (g *gateway) sendAttempt(req *request, previous outcome) {
	chosen := g.nextServer(req)
	if chosen < 0 {
		if req.openAttempts == 0 {
			g.completeUnserved(req, previous)
		}
		return
	}
	sent := g.newAttempt(req, g.sim.servers[chosen])
	class := &g.sim.config.Classes[req.class]
	g.sim.checker.attemptSent(sent.number, req.key, class, req.sizeKB)
	g.sim.events.schedule(g.sim.now+g.sim.networkDelay(), sent.server, eventAttemptArrival, sent)
	if g.hasAttemptTimeout(req, class) {
		timeout := time.Duration(g.config.AttemptTimeoutFactor * float64(class.LatencyObjective))
		sent.timeoutEvent = g.sim.events.schedule(g.sim.now+timeout, g, eventAttemptTimeout, sent)
	}
}

// nextServer returns the server for the next attempt of a request, or -1. A request with a sticky server is sent only
// to it.
func (g *gateway) nextServer(req *request) int {
	switch {
	case req.stickyServer < 0:
		return g.chooseServer(req)
	case g.isEligible(req.stickyServer, req):
		return req.stickyServer
	}
	return -1
}

// newAttempt creates and counts an attempt of a request at a server.
func (g *gateway) newAttempt(req *request, target *server) *attempt {
	g.sim.attemptCount++
	g.sim.result.Attempts++
	g.views[target.index].openAttempts++
	req.attempts++
	req.openAttempts++
	req.attemptedServers = append(req.attemptedServers, target.index)
	return &attempt{
		number:     g.sim.attemptCount,
		request:    req,
		server:     target,
		generation: target.generation,
		isRetry:    req.attempts > 1,
		sentAt:     g.sim.now,
	}
}

// hasAttemptTimeout reports whether the gateway sends another attempt of a request if the last one exceeds a timeout.
func (g *gateway) hasAttemptTimeout(req *request, class *Class) bool {
	if g.config.AttemptTimeoutFactor <= 0 || req.attempts >= g.config.MaxAttempts {
		return false
	}
	return g.config.Retry == RetryOnTimeout || g.config.Retry == RetryHedged && !class.IdempotentByKey
}

// handleAttemptTimeout sends another attempt although one is open. A request with a key is sent to the same server again,
// because it may be running there.
func (g *gateway) handleAttemptTimeout(a *attempt) {
	a.timeoutEvent = nil
	req := a.request
	if a.resultKnown || req.finished || req.attempts >= g.config.MaxAttempts {
		return
	}
	if req.key != 0 {
		req.stickyServer = a.server.index
	}
	g.sim.result.Retries++
	g.sendAttempt(req, outcomeTimedOut)
}

// handleResult handles the result of an attempt: it ends the request or retries it.
func (g *gateway) handleResult(result *attemptResult) {
	attempt := result.attempt
	req := attempt.request
	attempt.resultKnown = true
	g.sim.events.cancel(attempt.timeoutEvent)
	attempt.timeoutEvent = nil
	req.openAttempts--
	g.sim.result.recordAttempt(result, g.sim.now)
	g.updateView(result)
	switch {
	case req.finished:
	case result.outcome == outcomeServed:
		g.completeServed(req)
	case req.retryEvent == nil:
		g.retryOrComplete(req, result)
	}
}

// updateView updates the gateway's view of a server from the result of an attempt.
func (g *gateway) updateView(result *attemptResult) {
	now, view := g.sim.now, &g.views[result.attempt.server.index]
	view.openAttempts--
	if result.outcome == outcomeUnreachable || result.outcome == outcomeConnectionLost {
		view.consecutiveConnectionFailures++
		if view.consecutiveConnectionFailures >= ejectionThreshold {
			view.avoidUntil = now + ejectionTime
		}
		return
	}
	view.consecutiveConnectionFailures = 0
	if result.load.isSet {
		view.load = result.load.value
		view.loadUntil = now + g.sim.config.Servers.FeedbackTTL
	}
	view.latency += ((now - result.attempt.sentAt).Seconds() - view.latency) * latencySmoothing
	if result.outcome == outcomeRejected {
		view.avoidUntil = max(view.avoidUntil, now+result.advice.retryAfter)
	}
}

// completeServed ends a request that was served. Its client may send it again within resendWindow.
func (g *gateway) completeServed(req *request) {
	g.finish(req)
	g.sim.result.recordServed(req, g.sim.now)
	willResend := req.key != 0 && !req.isResend && g.config.ResendShare > 0 && g.retryRandom.Float64() < g.config.ResendShare
	if willResend && g.sim.now < g.sim.config.Duration {
		req.stickyServer = req.attemptedServers[len(req.attemptedServers)-1]
		delay := time.Duration(g.retryRandom.Float64() * float64(resendWindow))
		g.sim.events.schedule(g.sim.now+delay, g, eventResend, req)
	}
}

// completeUnserved ends a request that was not served.
func (g *gateway) completeUnserved(req *request, finalOutcome outcome) {
	if req.finished {
		return
	}
	g.finish(req)
	g.sim.result.recordUnserved(req, finalOutcome, g.sim.now)
}

// finish ends a request and cancels its timers.
func (g *gateway) finish(req *request) {
	req.finished = true
	g.sim.events.cancel(req.deadlineEvent)
	g.sim.events.cancel(req.retryEvent)
	req.deadlineEvent, req.retryEvent = nil, nil
	g.sim.result.openRequests--
}

// retryOrComplete retries a request after an unsuccessful attempt if its policy allows that. Otherwise it ends the
// request, unless another attempt is open.
func (g *gateway) retryOrComplete(req *request, result *attemptResult) {
	if !g.consumeRetry(req, result) {
		if req.openAttempts == 0 {
			g.completeUnserved(req, result.outcome)
		}
		return
	}
	g.sim.result.Retries++
	if g.config.Retry != RetryBackoff {
		g.sendAttempt(req, result.outcome)
		return
	}
	req.attemptedServers = nil // all servers are candidates again
	backoff := float64(max(result.advice.retryAfter, minRetryAfter))
	wait := time.Duration(backoff * (1 + g.retryRandom.Float64()))
	req.retryEvent = g.sim.events.schedule(g.sim.now+wait, g, eventRetry, req)
}

// consumeRetry reports whether the gateway's policy allows a retry, and deducts it from the retry budget.
func (g *gateway) consumeRetry(req *request, result *attemptResult) bool {
	mayHaveRun := result.outcome == outcomeFailed || result.outcome == outcomeConnectionLost
	if mayHaveRun && g.sim.config.Classes[req.class].mustRunOnce() {
		return false
	}
	if req.attempts >= g.config.MaxAttempts || g.config.Retry == RetryNever {
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
