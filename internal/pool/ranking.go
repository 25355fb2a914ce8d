package pool

import (
	"container/heap"
	"time"
)

// rankingMinMembers is the minimum number of primary members for which a LeastConn pool maintains a ranking. For each
// choice nginx scans all members and breaks ties by smooth round robin, and smaller pools do the same here. In a large
// pool a scan takes a millisecond. Its members are therefore kept in a heap, and ties go to the least recently chosen
// member. The balance is the same, at a cost logarithmic in the size of the pool.
const rankingMinMembers = 64

// ranking keeps the available primary members of a large pool ordered by load. An unavailable member that may be probed
// at a known time is in byProbeTime; any other unavailable member is in neither heap until its state changes.
type ranking struct {
	byLoad      loadHeap
	byProbeTime probeHeap
	panicking   bool   // whether ejections were ignored when the members were ranked
	turns       uint64 // number of choices so far
}

// rankState is a member's position in the ranking.
type rankState struct {
	rankStatus rankStatus
	heapIndex  int
	lastTurn   uint64        // ranking.turns when it was last chosen
	probeAt    time.Duration // for a waiting member: the earliest time of a probe
}

// rankStatus is the heap of the ranking that a member is in.
type rankStatus uint8

// The rank statuses.
const (
	unranked rankStatus = iota // in neither heap: unavailable until its state changes
	ranked                     // in byLoad: available
	waiting                    // in byProbeTime: available for a single probing attempt from probeAt on
)

// loadHeap orders members by attempts in flight relative to the weight, then by least recent turn.
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

// probeHeap orders members by the earliest time of a probe.
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

// popMember removes and returns the last member of a heap's list.
func popMember(list *[]*poolMember) *poolMember {
	old := *list
	member := old[len(old)-1]
	old[len(old)-1] = nil
	*list = old[:len(old)-1]
	return member
}

// nextRankStatus returns the rank status for the member's current state, and sets probeAt if that is waiting.
func (m *poolMember) nextRankStatus(panicking bool) rankStatus {
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
		m.probeAt = m.lastChecked + m.FailTimeout + 1 // isUsable requires that more than FailTimeout has passed
	}
	if isOut {
		m.probeAt = max(m.probeAt, m.ejectedUntil)
	}
	return waiting
}

// rankAll rebuilds the ranking of the primary members, or removes it if the pool doesn't need one.
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

// updateRank moves a member to its position in the ranking after its state has changed.
func (p *Pool) updateRank(member *poolMember) {
	if p.ranks == nil || member.isRemoved || member.Backup {
		return
	}
	next := member.nextRankStatus(p.ranks.panicking)
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

// heapOf returns the heap for a rank status, or nil for unranked.
func (r *ranking) heapOf(status rankStatus) heap.Interface {
	switch status {
	case ranked:
		return &r.byLoad
	case waiting:
		return &r.byProbeTime
	}
	return nil
}

// chooseRanked returns the usable member with the fewest attempts in flight relative to its weight. A waiting member that
// may be probed is preferred to a ranked one with the same load.
func (p *Pool) chooseRanked(now time.Duration, usable func(*poolMember) bool) *poolMember {
	if p.isPanicking() != p.ranks.panicking {
		p.rankAll() // panic mode, which ignores ejections, has begun or ended
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

// takeTurn makes a member the most recently chosen one, so that it comes after all others with the same load.
func (r *ranking) takeTurn(member *poolMember) {
	r.turns++
	member.lastTurn = r.turns
}

// firstByLoad returns the first usable ranked member, or nil. A member whose effective weight was reduced by failures is
// skipped at random, so that it gets requests in proportion to its effective weight. Each skip increases that weight.
func (p *Pool) firstByLoad(usable func(*poolMember) bool) *poolMember {
	var unusable []*poolMember // removed from the heap during this choice
	var best *poolMember
	for skips := 0; len(p.ranks.byLoad) > 0 && best == nil; {
		member := p.ranks.byLoad[0]
		switch {
		case !usable(member):
			unusable = append(unusable, heap.Pop(&p.ranks.byLoad).(*poolMember))
		case member.effectiveWeight < member.Weight && skips < maxSelectionTries && p.drawSkip(member):
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

// drawSkip decides at random whether a member with a reduced effective weight is skipped.
func (p *Pool) drawSkip(member *poolMember) bool {
	return p.rng.Float64()*float64(member.Weight) >= float64(member.effectiveWeight)
}

// firstToProbe returns the usable member with the earliest probeAt that has passed, or nil.
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
