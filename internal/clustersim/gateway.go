package clustersim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The events of a gateway.
const (
	hears      uint8 = iota // an answer, ref is the *answer
	givesUp                 // a client, ref is the *request
	losesTime               // it looks elsewhere while a try is open, ref is the *visit
	triesAgain              // ref is the *request
	checks                  // the health of its servers
	comesAgain              // a keyed request that was served, ref is the *request
)

// answer is what a gateway hears of a try.
type answer struct {
	visit    *visit
	kind     kind
	stayAway time.Duration
	last     bool
	value    float64 // what the server tells callers
	told     bool    // it tells one
}

// view is what a gateway knows of a server.
type view struct {
	open    int
	latency float64 // seconds, of its answers
	away    time.Duration
	value   float64 // what it told, until then
	until   time.Duration
	misses  int  // tries in a row that it did not take
	ill     bool // by its last health check
}

// gateway takes requests of clients to servers.
type gateway struct {
	sim    *sim
	n      int
	habit  *GatewayConfig
	mine   []int // servers that it keeps to
	known  []view
	turn   int
	tokens float64
	rng    *rand.Rand // of its choices
	again  *rand.Rand // of when it tries again
	heed   *rand.Rand // of whether it considers a server
}

// The figures of habits that worlds do not name.
const (
	budgetBurst = 10               // further tries that may come at once
	missesMost  = 3                // after so many tries in a row that a server did not take
	missesAway  = 2 * time.Second  // it is passed over for so long
	latencyPart = 0.2              // weight of one answer in the latency that is known
	repeatOver  = 2 * time.Second  // in which served requests come again
	adviceLeast = time.Millisecond //
)

func newGateway(s *sim, n int, habit *GatewayConfig) *gateway {
	g := &gateway{sim: s, n: n, habit: habit, known: make([]view, len(s.servers)), tokens: budgetBurst, rng: stream(s.seed, "choice", n),
		again: stream(s.seed, "again", n), heed: stream(s.seed, "heed", n)}
	for i := range s.servers {
		g.mine = append(g.mine, i)
	}
	if habit.SubsetSize > 0 && habit.SubsetSize < len(g.mine) {
		g.rng.Shuffle(len(g.mine), func(i, j int) { g.mine[i], g.mine[j] = g.mine[j], g.mine[i] })
		g.mine = g.mine[:habit.SubsetSize]
		slices.Sort(g.mine)
	}
	if len(g.mine) > 0 {
		g.turn = g.rng.IntN(len(g.mine))
	}
	if habit.UsesHealthChecks {
		s.queue.set(time.Duration(g.rng.Int64N(int64(s.world.Servers.HealthCheckInterval))), g, checks, nil)
	}
	return g
}

// handle implements handler.
func (g *gateway) handle(e *event) {
	switch e.what {
	case hears:
		g.hear(e.ref.(*answer))
	case givesUp:
		r := e.ref.(*request)
		r.givesUp = nil
		g.giveUp(r, lateAnswer)
	case losesTime:
		g.loseTime(e.ref.(*visit))
	case triesAgain:
		r := e.ref.(*request)
		if r.later = nil; !r.over {
			g.try(r, refused)
		}
	case checks:
		for _, i := range g.mine {
			s := g.sim.servers[i]
			g.known[i].ill = !s.up || s.closed || !s.healthy || s.still > 0
		}
		if g.sim.now < g.sim.world.Duration {
			g.sim.queue.set(g.sim.now+g.sim.world.Servers.HealthCheckInterval, g, checks, nil)
		}
	case comesAgain:
		g.repeat(e.ref.(*request))
	}
}

// first takes a request of a client.
func (g *gateway) first(r *request) {
	g.tokens = min(g.tokens+g.habit.RetryBudget, budgetBurst)
	g.patience(r)
	g.try(r, unreachable)
}

// patience has a client give up in the end.
func (g *gateway) patience(r *request) {
	r.givesUp = nil
	if !g.habit.NoClientTimeout {
		r.givesUp = g.sim.queue.set(g.sim.now+g.sim.world.Classes[r.class].Deadline, g, givesUp, r)
	}
}

// repeat has a client send a request again that was served: it must not run again.
func (g *gateway) repeat(of *request) {
	r := *of
	r.at, r.repeat, r.over, r.open, r.tries, r.tried, r.later = g.sim.now, true, false, 0, 1, nil, nil
	g.sim.result.Resends++
	g.sim.result.open++
	g.patience(&r)
	g.try(&r, refused)
}

// try sends a request to a server, or ends it where there is none; why is how the try before it ended.
func (g *gateway) try(r *request, why kind) {
	i := r.pinned
	if i < 0 {
		i = g.choose(r)
	} else if !g.willing(i, r) {
		i = -1
	}
	if i < 0 {
		if r.open == 0 {
			g.giveUp(r, why)
		}
		return
	}
	s := g.sim.servers[i]
	g.sim.tries++
	r.tries++
	r.open++
	r.tried = append(r.tried, i)
	v := &visit{n: g.sim.tries, req: r, server: s, life: s.life, again: r.tries > 1, sent: g.sim.now}
	g.known[i].open++
	g.sim.result.Attempts++
	class := &g.sim.world.Classes[r.class]
	g.sim.observer.sent(v.n, r.key, class, r.sizeKB)
	g.sim.queue.set(g.sim.now+g.sim.way(), s, arrives, v)
	if g.habit.AttemptTimeoutFactor > 0 && r.tries < g.habit.MaxAttempts && (g.habit.Retry == RetryOnTimeout || g.habit.Retry == RetryHedged && !class.IdempotentByKey) {
		v.patient = g.sim.queue.set(g.sim.now+time.Duration(g.habit.AttemptTimeoutFactor*float64(class.LatencyObjective)), g, losesTime, v)
	}
}

// loseTime looks elsewhere while a try is open. A keyed request goes to the same server again: it may be running there.
func (g *gateway) loseTime(v *visit) {
	v.patient = nil
	r := v.req
	if v.heard || r.over || r.tries >= g.habit.MaxAttempts {
		return
	}
	if r.key != 0 {
		r.pinned = v.server.n
	}
	g.sim.result.Retries++
	g.try(r, lateAnswer)
}

// willing tells whether the gateway would send a request to a server.
func (g *gateway) willing(i int, r *request) bool {
	p := &g.known[i]
	switch {
	case !g.sim.listed[i], g.habit.UsesHealthChecks && p.ill, p.misses >= missesMost && p.away > g.sim.now:
		return false
	case g.habit.HonorsFeedback && (p.away > g.sim.now || p.until > g.sim.now && !g.wanted(p, r)):
		return false
	}
	return true
}

// wanted tells whether a request is one that the server wants by the value that it told.
func (g *gateway) wanted(p *view, r *request) bool {
	switch g.sim.world.Servers.Feedback {
	case FeedbackCredit:
		return float64(p.open) < p.value
	case FeedbackWeight:
		return p.value >= 1 || g.heed.Float64() < p.value
	case FeedbackNone:
		return true
	}
	return r.rank >= p.value
}

// fresh tells whether a request may go to a server that it has not been to.
func (g *gateway) fresh(i int, r *request) bool {
	return !slices.Contains(r.tried, i) && g.willing(i, r)
}

// choose is the server for a request, or -1.
func (g *gateway) choose(r *request) int {
	n := len(g.mine)
	if n == 0 {
		return -1
	}
	switch g.habit.Balancing {
	case RoundRobin:
		for range n {
			g.turn = (g.turn + 1) % n
			if i := g.mine[g.turn]; g.fresh(i, r) {
				return i
			}
		}
	case ResourceHash:
		start := int((r.subject * 0x9e3779b97f4a7c15 >> 33) % uint64(n))
		for k := range n {
			if i := g.mine[(start+k)%n]; g.fresh(i, r) {
				return i
			}
		}
	case Random:
		return g.draw(r, -1)
	case PowerOfTwo:
		a := g.draw(r, -1)
		if a < 0 {
			return a
		}
		if b := g.draw(r, a); b >= 0 && g.known[b].open < g.known[a].open {
			return b
		}
		return a
	case WeightedRandom:
		weights, any := make([]float64, n), false
		for k, i := range g.mine {
			if g.fresh(i, r) {
				weights[k], any = 1, true
				if g.known[i].until > g.sim.now {
					weights[k] = max(1-g.known[i].value, 0.01)
				}
			}
		}
		if any {
			return g.mine[pick(g.rng, weights)]
		}
	default:
		return g.least(r)
	}
	return -1
}

// draws is how often a server is drawn before all are looked at.
const draws = 16

// draw draws a server, but not the one named.
func (g *gateway) draw(r *request, not int) int {
	n := len(g.mine)
	for range draws {
		if i := g.mine[g.rng.IntN(n)]; i != not && g.fresh(i, r) {
			return i
		}
	}
	start := g.rng.IntN(n)
	for k := range n {
		if i := g.mine[(start+k)%n]; i != not && g.fresh(i, r) {
			return i
		}
	}
	return -1
}

// least is the server with the fewest open requests, or the lowest latency; among equals it goes in turn.
func (g *gateway) least(r *request) int {
	best, n := -1, len(g.mine)
	g.turn = (g.turn + 1) % n
	for k := range n {
		i := g.mine[(g.turn+k)%n]
		if !g.fresh(i, r) {
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
	p := &g.known[i]
	if g.habit.Balancing == LowestLatency {
		return p.latency * float64(1+p.open)
	}
	return float64(p.open)
}

// hear takes in what became of a try.
func (g *gateway) hear(a *answer) {
	v, r := a.visit, a.visit.req
	v.heard = true
	g.sim.queue.drop(v.patient)
	v.patient = nil
	p := &g.known[v.server.n]
	p.open--
	r.open--
	g.sim.result.heard(a, g.sim.now)
	switch a.kind {
	case unreachable, broken:
		if p.misses++; p.misses >= missesMost {
			p.away = g.sim.now + missesAway
		}
	default:
		p.misses = 0
		if a.told {
			p.value, p.until = a.value, g.sim.now+g.sim.world.Servers.FeedbackTTL
		}
		p.latency += ((g.sim.now - v.sent).Seconds() - p.latency) * latencyPart
		if a.kind == refused {
			p.away = max(p.away, g.sim.now+a.stayAway)
		}
	}
	switch {
	case r.over:
	case a.kind == served:
		g.served(r)
	case r.later == nil:
		g.next(r, a)
	}
}

// served ends a request.
func (g *gateway) served(r *request) {
	g.end(r)
	g.sim.result.served(r, g.sim.now)
	if r.key != 0 && !r.repeat && g.habit.ResendShare > 0 && g.again.Float64() < g.habit.ResendShare && g.sim.now < g.sim.world.Duration {
		r.pinned = r.tried[len(r.tried)-1]
		g.sim.queue.set(g.sim.now+time.Duration(g.again.Float64()*float64(repeatOver)), g, comesAgain, r)
	}
}

// end forgets a request.
func (g *gateway) end(r *request) {
	r.over = true
	g.sim.queue.drop(r.givesUp)
	g.sim.queue.drop(r.later)
	r.givesUp, r.later = nil, nil
	g.sim.result.open--
}

// giveUp ends a request that was not served.
func (g *gateway) giveUp(r *request, why kind) {
	if r.over {
		return
	}
	g.end(r)
	g.sim.result.unserved(r, why, g.sim.now)
}

// next decides whether a request whose try brought nothing is tried again.
func (g *gateway) next(r *request, a *answer) {
	if a.kind == failed || a.kind == broken {
		if g.sim.world.Classes[r.class].once() { // it may have run, so it can go nowhere else, and there it fails
			if r.open == 0 {
				g.giveUp(r, a.kind)
			}
			return
		}
	}
	more := r.tries < g.habit.MaxAttempts && g.habit.Retry != RetryNever && !(a.last && (g.habit.HonorsFeedback || g.habit.Retry == RetryBackoff))
	if more && g.habit.Retry == RetryBudgeted {
		if more = g.tokens >= 1; more {
			g.tokens--
		}
	}
	if !more {
		if r.open == 0 {
			g.giveUp(r, a.kind)
		}
		return
	}
	g.sim.result.Retries++
	if g.habit.Retry != RetryBackoff {
		g.try(r, a.kind)
		return
	}
	wait := max(a.stayAway, adviceLeast)
	r.tried = nil // it comes back to the same servers
	r.later = g.sim.queue.set(g.sim.now+time.Duration(float64(wait)*(1+g.again.Float64())), g, triesAgain, r)
}
