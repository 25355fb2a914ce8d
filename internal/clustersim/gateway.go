package clustersim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The events of a gateway.
const (
	eventAttemptResult  uint8 = iota // an answer, ref is the *answer
	eventClientDeadline              // a client, ref is the *request
	eventAttemptTimeout              // it looks elsewhere while a try is open, ref is the *visit
	eventRetry                       // payload is the *request
	eventHealthCheck                 // the health of its servers
	eventResend                      // a keyed request that was served, ref is the *request
)

// deliverResult is what a gateway hears of a try.
type attemptResult struct {
	attempt     *attempt
	outcome     outcome
	retryAfter  time.Duration
	noRetry     bool
	feedback    float64 // kind the server tells callers
	hasFeedback bool    // it tells one
}

// serverView is what a gateway knows of a server.
type serverView struct {
	openAttempts      int
	latency           float64 // seconds, of its answers
	avoidUntil        time.Duration
	feedback          float64 // kind it told, until then
	feedbackUntil     time.Duration
	consecutiveMisses int  // attempts in a row that it did not take
	unhealthy         bool // by its last health check
}

// gateway takes requests of clients to servers.
type gateway struct {
	sim             *simulation
	index           int
	config          *GatewayConfig
	subset          []int // servers that it keeps to
	views           []serverView
	lastTurn        int
	retryTokens     float64
	balancingRandom *rand.Rand // attempt its choices
	retryRandom     *rand.Rand // attempt when it tries again
	feedbackRandom  *rand.Rand // attempt whether it considers a server
}

// The figures of habits that worlds do not name.
const (
	retryBudgetBurst  = 10               // further tries that may come at once
	ejectionThreshold = 3                // after so many tries in a row that a server did not take
	ejectionTime      = 2 * time.Second  // it is passed over for so long
	latencySmoothing  = 0.2              // weight of one answer in the latency that is known
	resendWindow      = 2 * time.Second  // in which served requests come again
	minRetryAfter     = time.Millisecond //
)

func newGateway(s *simulation, n int, habit *GatewayConfig) *gateway {
	g := &gateway{sim: s, index: n, config: habit, views: make([]serverView, len(s.servers)), retryTokens: retryBudgetBurst, balancingRandom: newRandom(s.seed, "choice", n),
		retryRandom: newRandom(s.seed, "again", n), feedbackRandom: newRandom(s.seed, "heed", n)}
	for i := range s.servers {
		g.subset = append(g.subset, i)
	}
	if habit.SubsetSize > 0 && habit.SubsetSize < len(g.subset) {
		g.balancingRandom.Shuffle(len(g.subset), func(i, j int) { g.subset[i], g.subset[j] = g.subset[j], g.subset[i] })
		g.subset = g.subset[:habit.SubsetSize]
		slices.Sort(g.subset)
	}
	if len(g.subset) > 0 {
		g.lastTurn = g.balancingRandom.IntN(len(g.subset))
	}
	if habit.UsesHealthChecks {
		s.events.schedule(time.Duration(g.balancingRandom.Int64N(int64(s.config.Servers.HealthCheckInterval))), g, eventHealthCheck, nil)
	}
	return g
}

// handle implements handler.
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
		for _, i := range g.subset {
			s := g.sim.servers[i]
			g.views[i].unhealthy = !s.isUp || s.listenerClosed || !s.healthy || s.pauses > 0
		}
		if g.sim.now < g.sim.config.Duration {
			g.sim.events.schedule(g.sim.now+g.sim.config.Servers.HealthCheckInterval, g, eventHealthCheck, nil)
		}
	case eventResend:
		g.resend(e.payload.(*request))
	}
}

// accept takes a request of a client.
func (g *gateway) accept(r *request) {
	g.retryTokens = min(g.retryTokens+g.config.RetryBudget, retryBudgetBurst)
	g.setClientDeadline(r)
	g.sendAttempt(r, outcomeUnreachable)
}

// setClientDeadline has a client give up in the end.
func (g *gateway) setClientDeadline(r *request) {
	r.deadlineEvent = nil
	if !g.config.NoClientTimeout {
		r.deadlineEvent = g.sim.events.schedule(g.sim.now+g.sim.config.Classes[r.class].Deadline, g, eventClientDeadline, r)
	}
}

// isResend has a client send a request again that was served: it must not run again.
func (g *gateway) resend(of *request) {
	r := *of
	r.createdAt, r.isResend, r.finished, r.openAttempts, r.attempts, r.triedServers, r.retryEvent = g.sim.now, true, false, 0, 1, nil, nil
	g.sim.result.Resends++
	g.sim.result.openRequests++
	g.setClientDeadline(&r)
	g.sendAttempt(&r, outcomeRejected)
}

// sendAttempt sends a request to a server, or ends it where there is none; why is how the try before it ended.
func (g *gateway) sendAttempt(r *request, why outcome) {
	i := r.pinnedServer
	if i < 0 {
		i = g.chooseServer(r)
	} else if !g.isEligible(i, r) {
		i = -1
	}
	if i < 0 {
		if r.openAttempts == 0 {
			g.completeUnserved(r, why)
		}
		return
	}
	s := g.sim.servers[i]
	g.sim.attempts++
	r.attempts++
	r.openAttempts++
	r.triedServers = append(r.triedServers, i)
	v := &attempt{number: g.sim.attempts, request: r, server: s, generation: s.generation, isRetry: r.attempts > 1, sentAt: g.sim.now}
	g.views[i].openAttempts++
	g.sim.result.Attempts++
	class := &g.sim.config.Classes[r.class]
	g.sim.checker.attemptSent(v.number, r.key, class, r.sizeKB)
	g.sim.events.schedule(g.sim.now+g.sim.networkDelay(), s, eventAttemptArrival, v)
	if g.config.AttemptTimeoutFactor > 0 && r.attempts < g.config.MaxAttempts && (g.config.Retry == RetryOnTimeout || g.config.Retry == RetryHedged && !class.IdempotentByKey) {
		v.timeoutEvent = g.sim.events.schedule(g.sim.now+time.Duration(g.config.AttemptTimeoutFactor*float64(class.LatencyObjective)), g, eventAttemptTimeout, v)
	}
}

// handleAttemptTimeout looks elsewhere while a try is open. A keyed request goes to the same server again: it may be running there.
func (g *gateway) handleAttemptTimeout(v *attempt) {
	v.timeoutEvent = nil
	r := v.request
	if v.resultKnown || r.finished || r.attempts >= g.config.MaxAttempts {
		return
	}
	if r.key != 0 {
		r.pinnedServer = v.server.index
	}
	g.sim.result.Retries++
	g.sendAttempt(r, outcomeTimedOut)
}

// isEligible tells whether the gateway would send a request to a server.
func (g *gateway) isEligible(i int, r *request) bool {
	p := &g.views[i]
	switch {
	case !g.sim.listed[i], g.config.UsesHealthChecks && p.unhealthy, p.consecutiveMisses >= ejectionThreshold && p.avoidUntil > g.sim.now:
		return false
	case g.config.HonorsFeedback && (p.avoidUntil > g.sim.now || p.feedbackUntil > g.sim.now && !g.passesFeedback(p, r)):
		return false
	}
	return true
}

// passesFeedback tells whether a request is one that the server wants by the value that it told.
func (g *gateway) passesFeedback(p *serverView, r *request) bool {
	switch g.sim.config.Servers.Feedback {
	case FeedbackCredit:
		return float64(p.openAttempts) < p.feedback
	case FeedbackWeight:
		return p.feedback >= 1 || g.feedbackRandom.Float64() < p.feedback
	case FeedbackNone:
		return true
	}
	return r.rank >= p.feedback
}

// canTry tells whether a request may go to a server that it has not been to.
func (g *gateway) canTry(i int, r *request) bool {
	return !slices.Contains(r.triedServers, i) && g.isEligible(i, r)
}

// chooseServer is the server for a request, or -1.
func (g *gateway) chooseServer(r *request) int {
	n := len(g.subset)
	if n == 0 {
		return -1
	}
	switch g.config.Balancing {
	case RoundRobin:
		for range n {
			g.lastTurn = (g.lastTurn + 1) % n
			if i := g.subset[g.lastTurn]; g.canTry(i, r) {
				return i
			}
		}
	case ResourceHash:
		start := int((r.resourceID * 0x9e3779b97f4a7c15 >> 33) % uint64(n))
		for k := range n {
			if i := g.subset[(start+k)%n]; g.canTry(i, r) {
				return i
			}
		}
	case Random:
		return g.drawServer(r, -1)
	case PowerOfTwo:
		a := g.drawServer(r, -1)
		if a < 0 {
			return a
		}
		if b := g.drawServer(r, a); b >= 0 && g.views[b].openAttempts < g.views[a].openAttempts {
			return b
		}
		return a
	case WeightedRandom:
		weights, any := make([]float64, n), false
		for k, i := range g.subset {
			if g.canTry(i, r) {
				weights[k], any = 1, true
				if g.views[i].feedbackUntil > g.sim.now {
					weights[k] = max(1-g.views[i].feedback, 0.01)
				}
			}
		}
		if any {
			return g.subset[pickWeighted(g.balancingRandom, weights)]
		}
	default:
		return g.chooseLowestScore(r)
	}
	return -1
}

// maxDraws is how often a server is drawn before all are looked at.
const maxDraws = 16

// drawServer draws a server, but not the one named.
func (g *gateway) drawServer(r *request, not int) int {
	n := len(g.subset)
	for range maxDraws {
		if i := g.subset[g.balancingRandom.IntN(n)]; i != not && g.canTry(i, r) {
			return i
		}
	}
	start := g.balancingRandom.IntN(n)
	for k := range n {
		if i := g.subset[(start+k)%n]; i != not && g.canTry(i, r) {
			return i
		}
	}
	return -1
}

// chooseLowestScore is the server with the fewest open requests, or the lowest latency; among equals it goes in turn.
func (g *gateway) chooseLowestScore(r *request) int {
	best, n := -1, len(g.subset)
	g.lastTurn = (g.lastTurn + 1) % n
	for k := range n {
		i := g.subset[(g.lastTurn+k)%n]
		if !g.canTry(i, r) {
			continue
		}
		if best < 0 || g.score(i) < g.score(best) {
			best = i
		}
	}
	return best
}

// score is what the gateway wants little of.
func (g *gateway) score(i int) float64 {
	p := &g.views[i]
	if g.config.Balancing == LowestLatency {
		return p.latency * float64(1+p.openAttempts)
	}
	return float64(p.openAttempts)
}

// handleResult takes in what became of a try.
func (g *gateway) handleResult(a *attemptResult) {
	v, r := a.attempt, a.attempt.request
	v.resultKnown = true
	g.sim.events.cancel(v.timeoutEvent)
	v.timeoutEvent = nil
	p := &g.views[v.server.index]
	p.openAttempts--
	r.openAttempts--
	g.sim.result.recordAttempt(a, g.sim.now)
	switch a.outcome {
	case outcomeUnreachable, outcomeConnectionLost:
		if p.consecutiveMisses++; p.consecutiveMisses >= ejectionThreshold {
			p.avoidUntil = g.sim.now + ejectionTime
		}
	default:
		p.consecutiveMisses = 0
		if a.hasFeedback {
			p.feedback, p.feedbackUntil = a.feedback, g.sim.now+g.sim.config.Servers.FeedbackTTL
		}
		p.latency += ((g.sim.now - v.sentAt).Seconds() - p.latency) * latencySmoothing
		if a.outcome == outcomeRejected {
			p.avoidUntil = max(p.avoidUntil, g.sim.now+a.retryAfter)
		}
	}
	switch {
	case r.finished:
	case a.outcome == outcomeServed:
		g.completeServed(r)
	case r.retryEvent == nil:
		g.retryOrComplete(r, a)
	}
}

// outcomeServed ends a request.
func (g *gateway) completeServed(r *request) {
	g.finish(r)
	g.sim.result.recordServed(r, g.sim.now)
	if r.key != 0 && !r.isResend && g.config.ResendShare > 0 && g.retryRandom.Float64() < g.config.ResendShare && g.sim.now < g.sim.config.Duration {
		r.pinnedServer = r.triedServers[len(r.triedServers)-1]
		g.sim.events.schedule(g.sim.now+time.Duration(g.retryRandom.Float64()*float64(resendWindow)), g, eventResend, r)
	}
}

// finishRun forgets a request.
func (g *gateway) finish(r *request) {
	r.finished = true
	g.sim.events.cancel(r.deadlineEvent)
	g.sim.events.cancel(r.retryEvent)
	r.deadlineEvent, r.retryEvent = nil, nil
	g.sim.result.openRequests--
}

// completeUnserved ends a request that was not served.
func (g *gateway) completeUnserved(r *request, why outcome) {
	if r.finished {
		return
	}
	g.finish(r)
	g.sim.result.recordUnserved(r, why, g.sim.now)
}

// retryOrComplete decides whether a request whose try brought nothing is tried again.
func (g *gateway) retryOrComplete(r *request, a *attemptResult) {
	if a.outcome == outcomeFailed || a.outcome == outcomeConnectionLost {
		if g.sim.config.Classes[r.class].mustRunOnce() { // it may have run, so it can go nowhere else, and there it fails
			if r.openAttempts == 0 {
				g.completeUnserved(r, a.outcome)
			}
			return
		}
	}
	more := r.attempts < g.config.MaxAttempts && g.config.Retry != RetryNever && !(a.noRetry && (g.config.HonorsFeedback || g.config.Retry == RetryBackoff))
	if more && g.config.Retry == RetryBudgeted {
		if more = g.retryTokens >= 1; more {
			g.retryTokens--
		}
	}
	if !more {
		if r.openAttempts == 0 {
			g.completeUnserved(r, a.outcome)
		}
		return
	}
	g.sim.result.Retries++
	if g.config.Retry != RetryBackoff {
		g.sendAttempt(r, a.outcome)
		return
	}
	wait := max(a.retryAfter, minRetryAfter)
	r.triedServers = nil // it comes back to the same servers
	r.retryEvent = g.sim.events.schedule(g.sim.now+time.Duration(float64(wait)*(1+g.retryRandom.Float64())), g, eventRetry, r)
}
