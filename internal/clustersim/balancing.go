package clustersim

import "slices"

const (
	maxRandomDraws     = 16   // random draws of a server before the subset is scanned in order
	minBalancingWeight = 0.01 // weight of a server that advertises full load
	hashShift          = 33   // selects the upper bits of the product, which are mixed best
)

// isEligible reports whether the gateway may send a request to a server.
func (g *gateway) isEligible(server int, req *request) bool {
	view, now := &g.views[server], g.sim.now
	switch {
	case !g.sim.endpoints.present[server]:
		return false
	case g.config.UsesHealthChecks && view.unhealthy:
		return false
	case view.consecutiveConnectionFailures >= ejectionThreshold && view.avoidUntil > now:
		return false
	case g.config.HonorsFeedback && (view.avoidUntil > now || view.loadUntil > now && !g.passesFeedback(view, req)):
		return false
	}
	return true
}

// passesFeedback reports whether the load that a server advertised allows the gateway to send it a request.
func (g *gateway) passesFeedback(view *serverView, req *request) bool {
	switch g.sim.config.Servers.Feedback {
	case FeedbackCredit:
		return float64(view.openAttempts) < view.load
	case FeedbackWeight:
		return view.load >= 1 || g.feedbackRandom.Float64() < view.load
	case FeedbackNone:
		return true
	}
	return req.priority >= view.load
}

// isCandidate reports whether a server is eligible for a request and is not among its attempted servers.
func (g *gateway) isCandidate(server int, req *request) bool {
	return !slices.Contains(req.attemptedServers, server) && g.isEligible(server, req)
}

// chooseServer returns the server that the balancing policy chooses for the next attempt of a request, or -1.
func (g *gateway) chooseServer(req *request) int {
	if len(g.subset) == 0 {
		return -1
	}
	switch g.config.Balancing {
	case RoundRobin:
		return g.chooseRoundRobin(req)
	case ResourceHash:
		return g.chooseByHash(req)
	case Random:
		return g.drawServer(req, -1)
	case PowerOfTwo:
		return g.choosePowerOfTwo(req)
	case WeightedRandom:
		return g.chooseByWeight(req)
	}
	return g.chooseLowestScore(req)
}

// chooseRoundRobin returns the next candidate in round-robin order, or -1.
func (g *gateway) chooseRoundRobin(req *request) int {
	n := len(g.subset)
	for range n {
		g.roundRobinPosition = (g.roundRobinPosition + 1) % n
		if i := g.subset[g.roundRobinPosition]; g.isCandidate(i, req) {
			return i
		}
	}
	return -1
}

// chooseByHash returns the first candidate at or after the position to which the resource ID hashes, or -1.
func (g *gateway) chooseByHash(req *request) int {
	hash := req.resourceID * goldenRatio >> hashShift
	return g.firstCandidateFrom(int(hash%uint64(len(g.subset))), req, -1)
}

// firstCandidateFrom returns the first candidate at or after a position of the subset, which wraps around, or -1. It
// skips the excluded server.
func (g *gateway) firstCandidateFrom(start int, req *request, excluded int) int {
	n := len(g.subset)
	for k := range n {
		if i := g.subset[(start+k)%n]; i != excluded && g.isCandidate(i, req) {
			return i
		}
	}
	return -1
}

// choosePowerOfTwo draws two candidates and returns the one with fewer open attempts, or -1.
func (g *gateway) choosePowerOfTwo(req *request) int {
	first := g.drawServer(req, -1)
	if first < 0 {
		return first
	}
	second := g.drawServer(req, first)
	if second >= 0 && g.views[second].openAttempts < g.views[first].openAttempts {
		return second
	}
	return first
}

// chooseByWeight draws a candidate with a probability that falls with its advertised load, or returns -1.
func (g *gateway) chooseByWeight(req *request) int {
	weights, hasCandidate := make([]float64, len(g.subset)), false
	for k, i := range g.subset {
		if !g.isCandidate(i, req) {
			continue
		}
		weights[k], hasCandidate = 1, true
		if view := &g.views[i]; view.loadUntil > g.sim.now {
			weights[k] = max(1-view.load, minBalancingWeight)
		}
	}
	if !hasCandidate {
		return -1
	}
	return g.subset[pickWeighted(g.balancingRandom, weights)]
}

// drawServer draws a candidate, except the excluded server, or returns -1.
func (g *gateway) drawServer(req *request, excluded int) int {
	n := len(g.subset)
	for range maxRandomDraws {
		if i := g.subset[g.balancingRandom.IntN(n)]; i != excluded && g.isCandidate(i, req) {
			return i
		}
	}
	return g.firstCandidateFrom(g.balancingRandom.IntN(n), req, excluded)
}

// chooseLowestScore returns the candidate with the lowest score, or -1. Each search starts one position after the last,
// so that servers with equal scores take turns.
func (g *gateway) chooseLowestScore(req *request) int {
	best, n := -1, len(g.subset)
	g.roundRobinPosition = (g.roundRobinPosition + 1) % n
	for k := range n {
		i := g.subset[(g.roundRobinPosition+k)%n]
		if !g.isCandidate(i, req) {
			continue
		}
		if best < 0 || g.score(i) < g.score(best) {
			best = i
		}
	}
	return best
}

// score returns the number of open attempts at a server or, for LowestLatency, the expected latency of one more attempt.
func (g *gateway) score(server int) float64 {
	view := &g.views[server]
	if g.config.Balancing == LowestLatency {
		return view.latency * float64(1+view.openAttempts)
	}
	return float64(view.openAttempts)
}
