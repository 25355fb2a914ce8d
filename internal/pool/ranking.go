package pool

import (
	"cmp"
	"container/heap"
	"time"
)

// rankingMinMembers is how many primary members a pool by least_conn has at least before they are kept in order. nginx looks at
// all members for each choice, and among equals goes by smooth round robin; small pools do just that here. In a large one
// that is a millisecond a choice, so its members stand in a heap, and among equals it is the turn of the one that was
// chosen longest ago: the same balance, at a cost that grows with the logarithm of the pool.
const rankingMinMembers = 64

// ranking keeps the members of a large pool in order of their load. Those that can't be had now are apart: the ones at
// which a probing try may come later stand by the time of that, all others in neither heap until their state changes.
type ranking struct {
	in      loadHeap
	waiting probeHeap
	panic   bool   // ejections were passed over when the members were ranked
	turns   uint64 // choices so far
}

// loadHeap is a heap of members by open tries for their weight, and by turns among equals.
type loadHeap []*member

func (h loadHeap) Len() int { return len(h) }
func (h loadHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if c := compareLoad(a, b); c != 0 {
		return c < 0
	}
	return a.lastTurn < b.lastTurn
}
func (h loadHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *loadHeap) Push(x any)   { m := x.(*member); m.heapIndex = len(*h); *h = append(*h, m) }
func (h *loadHeap) Pop() any     { return popMember((*[]*member)(h)) }

// probeHeap is a heap of members by the time from which they may be probed.
type probeHeap []*member

func (h probeHeap) Len() int           { return len(h) }
func (h probeHeap) Less(i, j int) bool { return h[i].probeAt < h[j].probeAt }
func (h probeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *probeHeap) Push(x any)        { m := x.(*member); m.heapIndex = len(*h); *h = append(*h, m) }
func (h *probeHeap) Pop() any          { return popMember((*[]*member)(h)) }

// popMember takes the last member off a heap's list.
func popMember(list *[]*member) *member {
	old := *list
	m := old[len(old)-1]
	old[len(old)-1] = nil
	*list = old[:len(old)-1]
	return m
}

// compareLoad compares open tries for the weight.
func compareLoad(a, b *member) int { return cmp.Compare(a.inFlight*b.Weight, b.inFlight*a.Weight) }

// updateStanding is where a member stands in a ranking.
type standing uint8

// The standings.
const (
	unranked standing = iota // it can't be had, and time alone does not change that
	ranked                   // it can be had
	waiting                  // it can be had from its due time on, for one probing try
)

// updateStanding tells where a member belongs.
func (m *member) updateStanding(panicking bool) standing {
	failing := m.MaxFails > 0 && m.fails >= m.MaxFails
	out := m.isEjected && !panicking
	switch {
	case m.Down, m.MaxConns > 0 && m.inFlight >= m.MaxConns, (failing || out) && m.probing:
		return unranked
	case !failing && !out:
		return ranked
	}
	m.probeAt = 0
	if failing {
		m.probeAt = m.lastChecked + m.FailTimeout + 1
	}
	if out {
		m.probeAt = max(m.probeAt, m.ejectedUntil)
	}
	return waiting
}

// rankAll ranks the primary members anew.
func (p *Pool) rankAll() {
	p.ranks = nil
	if p.cfg.BalancingPolicy != LeastConn || p.primaries < rankingMinMembers {
		return
	}
	p.ranks = &ranking{panic: p.isPanicking()}
	for _, m := range p.members[:p.primaries] {
		m.standing = unranked
		p.updateRank(m)
	}
}

// updateRank puts a member where it belongs after its state has changed.
func (p *Pool) updateRank(m *member) {
	if p.ranks == nil || m.isRemoved || m.Backup {
		return
	}
	to := m.updateStanding(p.ranks.panic)
	if to == m.standing {
		switch to {
		case ranked:
			heap.Fix(&p.ranks.in, m.heapIndex)
		case waiting:
			heap.Fix(&p.ranks.waiting, m.heapIndex)
		}
		return
	}
	switch m.standing {
	case ranked:
		heap.Remove(&p.ranks.in, m.heapIndex)
	case waiting:
		heap.Remove(&p.ranks.waiting, m.heapIndex)
	}
	m.standing = to
	switch to {
	case ranked:
		heap.Push(&p.ranks.in, m)
	case waiting:
		heap.Push(&p.ranks.waiting, m)
	}
}

// chooseRanked is the member with the fewest open tries for its weight, from the ranking.
func (p *Pool) chooseRanked(now time.Duration, usable func(*member) bool) *member {
	if p.isPanicking() != p.ranks.panic {
		p.rankAll() // ejections count again, or no longer
	}
	best := p.firstByLoad(usable)
	if m := p.firstToProbe(now, usable); m != nil && (best == nil || compareLoad(m, best) <= 0) {
		best = m
	}
	if best != nil {
		p.ranks.turns++
		best.lastTurn = p.ranks.turns
	}
	return best
}

// firstByLoad is the first member in the order that the request has not been to, but one that does not have its full
// weight after failures gives up its turn by chance, so that it gets its part of them.
func (p *Pool) firstByLoad(usable func(*member) bool) *member {
	var passed []*member // taken out of the order for this choice
	var best *member
	for skips := 0; len(p.ranks.in) > 0 && best == nil; {
		m := p.ranks.in[0]
		switch {
		case !usable(m):
			passed = append(passed, heap.Pop(&p.ranks.in).(*member))
		case m.effectiveWeight < m.Weight && skips < maxDraws && p.rng.Float64()*float64(m.Weight) >= float64(m.effectiveWeight):
			skips++
			m.effectiveWeight++
			p.ranks.turns++
			m.lastTurn = p.ranks.turns
			heap.Fix(&p.ranks.in, 0)
		default:
			best = m
		}
	}
	for _, m := range passed {
		heap.Push(&p.ranks.in, m)
	}
	return best
}

// firstToProbe is the member that may be probed for the longest time of those that the request has not been to.
func (p *Pool) firstToProbe(now time.Duration, usable func(*member) bool) (best *member) {
	var passed []*member
	for len(p.ranks.waiting) > 0 && p.ranks.waiting[0].probeAt <= now && best == nil {
		if m := p.ranks.waiting[0]; usable(m) {
			best = m
		} else {
			passed = append(passed, heap.Pop(&p.ranks.waiting).(*member))
		}
	}
	for _, m := range passed {
		heap.Push(&p.ranks.waiting, m)
	}
	return best
}
