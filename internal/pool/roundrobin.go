package pool

// roundRobinState is a member's part in smooth weighted round robin.
type roundRobinState struct {
	effectiveWeight int // the weight less what failures took; it grows back with each choice
	currentWeight   int // what it gained since it was last chosen
}

// chooseRoundRobin is nginx's smooth weighted round robin: each usable member gains its weight, the one that has the most
// is chosen and pays the sum of all.
func (p *Pool) chooseRoundRobin(candidates []*poolMember, usable func(*poolMember) bool) *poolMember {
	var best *poolMember
	total := 0
	allInFull := true // each candidate is usable with its full weight
	for _, member := range candidates {
		if !usable(member) {
			allInFull = false
			continue
		}
		allInFull = allInFull && member.effectiveWeight == member.Weight && !member.slowStarting
		member.currentWeight += member.effectiveWeight
		total += member.effectiveWeight
		if member.effectiveWeight < member.Weight {
			member.effectiveWeight++
		}
		if best == nil || member.currentWeight > best.currentWeight {
			best = member
		}
	}
	if best != nil {
		best.currentWeight -= total
	}
	if allInFull && p.rotation.isPossible && p.failing+p.ejected == 0 && len(candidates) == p.primaries {
		p.startRotation(best)
	}
	return best
}

// rotation replaces smooth round robin among members of one weight that are all available: it comes to taking turns, and
// a choice then costs the same whatever the size of the pool.
type rotation struct {
	isPossible bool // by the configuration: policy RoundRobin, equal weights, no limits, none down
	isActive   bool // all members are available
	next       int  // the primary member whose turn it is
}

// canRotate reports whether the configuration allows a rotation.
func (p *Pool) canRotate() bool {
	if p.cfg.BalancingPolicy != RoundRobin {
		return false
	}
	for _, member := range p.primaryMembers() {
		if member.Weight != p.members[0].Weight || member.Down || member.MaxConns != 0 {
			return false
		}
	}
	return true
}

// startRotation goes over to a rotation, which goes on behind the member that was chosen last.
func (p *Pool) startRotation(last *poolMember) {
	p.rotation.isActive = true
	for i, member := range p.primaryMembers() {
		if member == last {
			p.rotation.next = (i + 1) % p.primaries
		}
		member.currentWeight = 0
	}
}

// stopRotation goes back to smooth round robin, with the weights that it would have come to had it begun with the first
// member. Whatever makes a member unavailable has to call it first.
func (p *Pool) stopRotation() {
	if !p.rotation.isActive {
		return
	}
	p.rotation.isActive = false
	for i, member := range p.primaryMembers() {
		member.currentWeight = p.rotation.next * member.Weight
		if i < p.rotation.next {
			member.currentWeight -= p.primaries * member.Weight
		}
	}
}

// nextInRotation returns the member whose turn it is, past those that the request has been to.
func (p *Pool) nextInRotation(request *Request) *poolMember {
	for range p.primaries {
		member := p.members[p.rotation.next]
		p.rotation.next = (p.rotation.next + 1) % p.primaries
		if !request.attempted[member] {
			return member
		}
	}
	return nil
}
