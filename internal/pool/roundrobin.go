package pool

// roundRobinState is a member's state in smooth weighted round robin.
type roundRobinState struct {
	effectiveWeight int // the weight reduced by failures; each choice increases it up to the weight
	currentWeight   int // grows with each choice; reduced when the member is chosen
}

// chooseRoundRobin implements nginx's smooth weighted round robin. The current weight of each usable member grows by its
// effective weight. The member with the largest current weight is chosen, and the sum of the effective weights is
// subtracted from its current weight.
func (p *Pool) chooseRoundRobin(candidates []*poolMember, usable func(*poolMember) bool) *poolMember {
	var best *poolMember
	total := 0
	allAtFullWeight := true // each candidate is usable and has its full weight
	for _, member := range candidates {
		if !usable(member) {
			allAtFullWeight = false
			continue
		}
		allAtFullWeight = allAtFullWeight && member.effectiveWeight == member.Weight && !member.slowStarting
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
	if allAtFullWeight && p.rotation.isPossible && p.failing+p.ejected == 0 && len(candidates) == p.primaries {
		p.startRotation(best)
	}
	return best
}

// rotation replaces smooth round robin while all members are available and have the same weight. Smooth round robin then
// chooses the members in turn, and a rotation makes the same choice in constant time, whatever the size of the pool.
type rotation struct {
	isPossible bool // the configuration allows it, see canRotate
	isActive   bool // all members are available
	next       int  // index of the primary member whose turn it is
}

// canRotate reports whether the configuration allows a rotation: the policy is RoundRobin, and the primary members have
// equal weights and no MaxConns, and none is down.
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

// startRotation switches to a rotation, which begins after the member that was chosen last.
func (p *Pool) startRotation(last *poolMember) {
	p.rotation.isActive = true
	for i, member := range p.primaryMembers() {
		if member == last {
			p.rotation.next = (i + 1) % p.primaries
		}
		member.currentWeight = 0
	}
}

// stopRotation switches back to smooth round robin, with the current weights that smooth round robin would have reached
// after starting at the first member. Code that makes a member unavailable must call stopRotation first.
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

// nextInRotation returns the next member in turn that the request has not attempted, or nil if it has attempted all.
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
