package pool

import (
	"cmp"
	"container/heap"
	"time"
)

// leastMany is how many primary members a pool by least_conn has at least before they are kept in order. nginx looks at
// all members for each choice, and among equals goes by smooth round robin; small pools do just that here. In a large one
// that is a millisecond a choice, so its members stand in a heap, and among equals it is the turn of the one that was
// chosen longest ago: the same balance, at a cost that grows with the logarithm of the pool.
const leastMany = 64

// ranking keeps the members of a large pool in order of their load. Those that can't be had now are apart: the ones at
// which a probing try may come later stand by the time of that, all others in neither heap until their state changes.
type ranking struct {
	in      byLoad
	waiting byDue
	panic   bool   // ejections were passed over when the members were ranked
	turns   uint64 // choices so far
}

// byLoad is a heap of members by open tries for their weight, and by turns among equals.
type byLoad []*member

func (h byLoad) Len() int { return len(h) }
func (h byLoad) Less(i, j int) bool {
	a, b := h[i], h[j]
	if c := compareLoad(a, b); c != 0 {
		return c < 0
	}
	return a.turn < b.turn
}
func (h byLoad) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *byLoad) Push(x any)   { m := x.(*member); m.place = len(*h); *h = append(*h, m) }
func (h *byLoad) Pop() any     { return pop((*[]*member)(h)) }

// byDue is a heap of members by the time from which they may be probed.
type byDue []*member

func (h byDue) Len() int           { return len(h) }
func (h byDue) Less(i, j int) bool { return h[i].due < h[j].due }
func (h byDue) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *byDue) Push(x any)        { m := x.(*member); m.place = len(*h); *h = append(*h, m) }
func (h *byDue) Pop() any          { return pop((*[]*member)(h)) }

// pop takes the last member off a heap's list.
func pop(list *[]*member) *member {
	old := *list
	m := old[len(old)-1]
	old[len(old)-1] = nil
	*list = old[:len(old)-1]
	return m
}

// compareLoad compares open tries for the weight.
func compareLoad(a, b *member) int { return cmp.Compare(a.conns*b.Weight, b.conns*a.Weight) }

// standing is where a member stands in a ranking.
type standing uint8

// The standings.
const (
	apart   standing = iota // it can't be had, and time alone does not change that
	ranked                  // it can be had
	waiting                 // it can be had from its due time on, for one probing try
)

// standing tells where a member belongs.
func (m *member) standing(panicking bool) standing {
	failing := m.MaxFails > 0 && m.fails >= m.MaxFails
	out := m.out && !panicking
	switch {
	case m.Down, m.MaxConns > 0 && m.conns >= m.MaxConns, (failing || out) && m.probing:
		return apart
	case !failing && !out:
		return ranked
	}
	m.due = 0
	if failing {
		m.due = m.checked + m.FailTimeout + 1
	}
	if out {
		m.due = max(m.due, m.ejected)
	}
	return waiting
}

// rankAll ranks the primary members anew.
func (p *Pool) rankAll() {
	p.ranks = nil
	if p.cfg.BalancingPolicy != LeastConn || p.primary < leastMany {
		return
	}
	p.ranks = &ranking{panic: p.panicking()}
	for _, m := range p.members[:p.primary] {
		m.stands = apart
		p.rank(m)
	}
}

// rank puts a member where it belongs after its state has changed.
func (p *Pool) rank(m *member) {
	if p.ranks == nil || m.left || m.Backup {
		return
	}
	to := m.standing(p.ranks.panic)
	if to == m.stands {
		switch to {
		case ranked:
			heap.Fix(&p.ranks.in, m.place)
		case waiting:
			heap.Fix(&p.ranks.waiting, m.place)
		}
		return
	}
	switch m.stands {
	case ranked:
		heap.Remove(&p.ranks.in, m.place)
	case waiting:
		heap.Remove(&p.ranks.waiting, m.place)
	}
	m.stands = to
	switch to {
	case ranked:
		heap.Push(&p.ranks.in, m)
	case waiting:
		heap.Push(&p.ranks.waiting, m)
	}
}

// leastRanked is the member with the fewest open tries for its weight, from the ranking.
func (p *Pool) leastRanked(now time.Duration, usable func(*member) bool) *member {
	if p.panicking() != p.ranks.panic {
		p.rankAll() // ejections count again, or no longer
	}
	best := p.firstRanked(usable)
	if m := p.firstDue(now, usable); m != nil && (best == nil || compareLoad(m, best) <= 0) {
		best = m
	}
	if best != nil {
		p.ranks.turns++
		best.turn = p.ranks.turns
	}
	return best
}

// firstRanked is the first member in the order that the request has not been to, but one that does not have its full
// weight after failures gives up its turn by chance, so that it gets its part of them.
func (p *Pool) firstRanked(usable func(*member) bool) *member {
	var passed []*member // taken out of the order for this choice
	var best *member
	for skips := 0; len(p.ranks.in) > 0 && best == nil; {
		m := p.ranks.in[0]
		switch {
		case !usable(m):
			passed = append(passed, heap.Pop(&p.ranks.in).(*member))
		case m.effective < m.Weight && skips < draws && p.rng.Float64()*float64(m.Weight) >= float64(m.effective):
			skips++
			m.effective++
			p.ranks.turns++
			m.turn = p.ranks.turns
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

// firstDue is the member that may be probed for the longest time of those that the request has not been to.
func (p *Pool) firstDue(now time.Duration, usable func(*member) bool) (best *member) {
	var passed []*member
	for len(p.ranks.waiting) > 0 && p.ranks.waiting[0].due <= now && best == nil {
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
