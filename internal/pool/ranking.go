package pool

import (
	"container/heap"
	"time"
)

// rankingMinMembers is how many primary members a pool by LeastConn has at least before they are kept in order. nginx
// scans all members for each choice and breaks ties by smooth round robin; small pools do the same here. In a large pool
// a scan takes a millisecond, so its members are kept in a heap, and among equals the one that was chosen longest ago is
// next. The balance is the same, at a cost that grows with the logarithm of the pool.
const rankingMinMembers = 64

// ranking keeps the primary members of a large pool in order of their load. Members that are unavailable now are not in
// byLoad: those that a later time makes available for a probe are in byProbeTime, and all others in neither heap until
// their state changes.
type ranking struct {
	byLoad      loadHeap
	byProbeTime probeHeap
	panicking   bool   // ejections were ignored when the members were ranked
	turns       uint64 // choices so far
}

// rankState is a member's place in the ranking.
type rankState struct {
	rankStatus rankStatus
	heapIndex  int
	lastTurn   uint64        // ranking.turns when it was last chosen
	probeAt    time.Duration // of a waiting member: from when it may be probed
}

// rankStatus says which heap of the ranking a member is in.
type rankStatus uint8

// The rank statuses.
const (
	unranked rankStatus = iota // in neither heap: unavailable, and time alone does not change that
	ranked                     // in byLoad: available
	waiting                    // in byProbeTime: available from probeAt on for a single probing attempt
)

// loadHeap orders members by attempts in flight for the weight, and equals by their last turns.
type loadHeap []*poolMember

// Len implements heap.Interface.
func (h loadHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h loadHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if order := compareLoad(a, b); order != 0 {
		return order < 0
	}
	return a.lastTurn < b.lastTurn
}

// Swap implements heap.Interface.
func (h loadHeap) Swap(i, j int) { swapMembers(h, i, j) }

// Push implements heap.Interface.
func (h *loadHeap) Push(x any) { pushMember((*[]*poolMember)(h), x.(*poolMember)) }

// Pop implements heap.Interface.
func (h *loadHeap) Pop() any { return popMember((*[]*poolMember)(h)) }

// probeHeap orders members by the time from which they may be probed.
type probeHeap []*poolMember

// Len implements heap.Interface.
func (h probeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h probeHeap) Less(i, j int) bool { return h[i].probeAt < h[j].probeAt }

// Swap implements heap.Interface.
func (h probeHeap) Swap(i, j int) { swapMembers(h, i, j) }

// Push implements heap.Interface.
func (h *probeHeap) Push(x any) { pushMember((*[]*poolMember)(h), x.(*poolMember)) }

// Pop implements heap.Interface.
func (h *probeHeap) Pop() any { return popMember((*[]*poolMember)(h)) }

// swapMembers swaps two members of a heap.
func swapMembers(h []*poolMember, i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// pushMember appends a member to a heap's list.
func pushMember(list *[]*poolMember, member *poolMember) {
	member.heapIndex = len(*list)
	*list = append(*list, member)
}

// popMember takes the last member off a heap's list.
func popMember(list *[]*poolMember) *poolMember {
	old := *list
	member := old[len(old)-1]
	old[len(old)-1] = nil
	*list = old[:len(old)-1]
	return member
}

// updateRankStatus returns the rank status that follows from a member's state, and sets probeAt of a waiting one.
func (m *poolMember) updateRankStatus(panicking bool) rankStatus {
	isFailing := m.hasTooManyFails()
	isOut := m.isEjected && !panicking
	switch {
	case m.Down, m.isAtMaxConns(), (isFailing || isOut) && m.probing:
		return unranked
	case !isFailing && !isOut:
		return ranked
	}
	m.probeAt = 0
	if isFailing {
		m.probeAt = m.lastChecked + m.FailTimeout + 1 // isUsable wants more than FailTimeout to have passed
	}
	if isOut {
		m.probeAt = max(m.probeAt, m.ejectedUntil)
	}
	return waiting
}

// rankAll ranks the primary members anew, or drops the ranking of a pool that needs none.
func (p *Pool) rankAll() {
	p.ranks = nil
	if p.cfg.BalancingPolicy != LeastConn || p.primaries < rankingMinMembers {
		return
	}
	p.ranks = &ranking{panicking: p.isPanicking()}
	for _, member := range p.primaryMembers() {
		member.rankStatus = unranked
		p.updateRank(member)
	}
}

// updateRank moves a member to where it belongs after its state has changed.
func (p *Pool) updateRank(member *poolMember) {
	if p.ranks == nil || member.isRemoved || member.Backup {
		return
	}
	next := member.updateRankStatus(p.ranks.panicking)
	if next == member.rankStatus {
		if h := p.ranks.heapOf(next); h != nil {
			heap.Fix(h, member.heapIndex)
		}
		return
	}
	if h := p.ranks.heapOf(member.rankStatus); h != nil {
		heap.Remove(h, member.heapIndex)
	}
	member.rankStatus = next
	if h := p.ranks.heapOf(next); h != nil {
		heap.Push(h, member)
	}
}

// heapOf returns the heap of the members with a rank status, or nil for unranked.
func (r *ranking) heapOf(status rankStatus) heap.Interface {
	switch status {
	case ranked:
		return &r.byLoad
	case waiting:
		return &r.byProbeTime
	}
	return nil
}

// chooseRanked returns the member with the fewest attempts in flight for its weight; a waiting one that may be probed
// comes before ranked ones of the same load.
func (p *Pool) chooseRanked(now time.Duration, usable func(*poolMember) bool) *poolMember {
	if p.isPanicking() != p.ranks.panicking {
		p.rankAll() // ejections began or ceased to be ignored
	}
	best := p.firstByLoad(usable)
	if member := p.firstToProbe(now, usable); member != nil && (best == nil || compareLoad(member, best) <= 0) {
		best = member
	}
	if best != nil {
		p.ranks.takeTurn(best)
	}
	return best
}

// takeTurn puts a member behind all others of its load.
func (r *ranking) takeTurn(member *poolMember) {
	r.turns++
	member.lastTurn = r.turns
}

// firstByLoad returns the first usable ranked member. One whose weight failures have lowered is skipped at random, so that
// it gets requests by its effective weight; each time it is skipped, that weight grows.
func (p *Pool) firstByLoad(usable func(*poolMember) bool) *poolMember {
	var unusable []*poolMember // taken out of the heap for this choice
	var best *poolMember
	for skips := 0; len(p.ranks.byLoad) > 0 && best == nil; {
		member := p.ranks.byLoad[0]
		switch {
		case !usable(member):
			unusable = append(unusable, heap.Pop(&p.ranks.byLoad).(*poolMember))
		case member.effectiveWeight < member.Weight && skips < maxDraws && p.drawSkip(member):
			skips++
			member.effectiveWeight++
			p.ranks.takeTurn(member)
			heap.Fix(&p.ranks.byLoad, 0)
		default:
			best = member
		}
	}
	for _, member := range unusable {
		heap.Push(&p.ranks.byLoad, member)
	}
	return best
}

// drawSkip draws whether a member of lowered weight is skipped.
func (p *Pool) drawSkip(member *poolMember) bool {
	return p.rng.Float64()*float64(member.Weight) >= float64(member.effectiveWeight)
}

// firstToProbe returns the usable member that may be probed since the earliest time, or nil.
func (p *Pool) firstToProbe(now time.Duration, usable func(*poolMember) bool) (best *poolMember) {
	var unusable []*poolMember
	for len(p.ranks.byProbeTime) > 0 && p.ranks.byProbeTime[0].probeAt <= now && best == nil {
		if member := p.ranks.byProbeTime[0]; usable(member) {
			best = member
		} else {
			unusable = append(unusable, heap.Pop(&p.ranks.byProbeTime).(*poolMember))
		}
	}
	for _, member := range unusable {
		heap.Push(&p.ranks.byProbeTime, member)
	}
	return best
}
