package clustersim

import "slices"

const (
	maxDraws  = 16   // servers that are drawn before all are scanned in turn
	minWeight = 0.01 // of a server that advertises full load
	hashShift = 33   // the upper bits of the product are mixed best
)

// isEligible reports whether the gateway would send a request to a server.
func (g *gateway) isEligible(server int, req *request) bool {
	view, now := &g.views[server], g.sim.now
	switch {
	case !g.sim.endpoints.present[server]:
		return false
	case g.config.UsesHealthChecks && view.unhealthy:
		return false
	case view.consecutiveMisses >= ejectionThreshold && view.avoidUntil > now:
		return false
	case g.config.HonorsFeedback && (view.avoidUntil > now || view.loadUntil > now && !g.passesFeedback(view, req)):
		return false
	}
	return true
}

// passesFeedback reports whether a server accepts a request by the load that it advertised.
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

// isCandidate reports whether a server is eligible for a request and was not attempted by it.
func (g *gateway) isCandidate(server int, req *request) bool {
	return !slices.Contains(req.attemptedServers, server) && g.isEligible(server, req)
}

// chooseServer returns the server for the next attempt of a request, or -1.
func (g *gateway) chooseServer(req *request) int {
	if len(g.subset) == 0 {
		return -1
	}
	switch g.config.Balancing {
	case RoundRobin:
		return g.chooseInTurn(req)
	case ResourceHash:
		return g.chooseByHash(req)
	case Random:
		return g.drawServer(req, -1)
	case PowerOfTwo:
		return g.chooseOfTwo(req)
	case WeightedRandom:
		return g.chooseByWeight(req)
	}
	return g.chooseLowestScore(req)
}

// chooseInTurn returns the next server in turn.
func (g *gateway) chooseInTurn(req *request) int {
	n := len(g.subset)
	for range n {
		g.lastTurn = (g.lastTurn + 1) % n
		if i := g.subset[g.lastTurn]; g.isCandidate(i, req) {
			return i
		}
	}
	return -1
}

// chooseByHash returns the server that the resource ID hashes to, or the next one after it.
func (g *gateway) chooseByHash(req *request) int {
	hash := req.resourceID * goldenRatio >> hashShift
	return g.firstFrom(int(hash%uint64(len(g.subset))), req, -1)
}

// firstFrom returns the first server from a position of the subset on, except the excluded one, or -1.
func (g *gateway) firstFrom(start int, req *request, excluded int) int {
	n := len(g.subset)
	for k := range n {
		if i := g.subset[(start+k)%n]; i != excluded && g.isCandidate(i, req) {
			return i
		}
	}
	return -1
}

// chooseOfTwo draws two servers and returns the one with fewer open attempts.
func (g *gateway) chooseOfTwo(req *request) int {
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

// chooseByWeight draws a server with a probability that falls with its advertised load.
func (g *gateway) chooseByWeight(req *request) int {
	weights, isAny := make([]float64, len(g.subset)), false
	for k, i := range g.subset {
		if !g.isCandidate(i, req) {
			continue
		}
		weights[k], isAny = 1, true
		if view := &g.views[i]; view.loadUntil > g.sim.now {
			weights[k] = max(1-view.load, minWeight)
		}
	}
	if !isAny {
		return -1
	}
	return g.subset[pickWeighted(g.balancingRandom, weights)]
}

// drawServer draws a server, except the excluded one, or returns -1.
func (g *gateway) drawServer(req *request, excluded int) int {
	n := len(g.subset)
	for range maxDraws {
		if i := g.subset[g.balancingRandom.IntN(n)]; i != excluded && g.isCandidate(i, req) {
			return i
		}
	}
	return g.firstFrom(g.balancingRandom.IntN(n), req, excluded)
}

// chooseLowestScore returns the server with the lowest score; of equal ones they take turns.
func (g *gateway) chooseLowestScore(req *request) int {
	best, n := -1, len(g.subset)
	g.lastTurn = (g.lastTurn + 1) % n
	for k := range n {
		i := g.subset[(g.lastTurn+k)%n]
		if !g.isCandidate(i, req) {
			continue
		}
		if best < 0 || g.score(i) < g.score(best) {
			best = i
		}
	}
	return best
}

// score is the number of open attempts at a server, or the latency that one more of them is expected to have.
func (g *gateway) score(server int) float64 {
	view := &g.views[server]
	if g.config.Balancing == LowestLatency {
		return view.latency * float64(1+view.openAttempts)
	}
	return float64(view.openAttempts)
}
