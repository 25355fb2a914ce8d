package pool

import (
	"cmp"
	"time"
)

// compareLoad compares the attempts in flight at two members in proportion to their weights.
func compareLoad(a, b *poolMember) int { return cmp.Compare(a.inFlight*b.Weight, b.inFlight*a.Weight) }

// chooseLeastConn returns the member with the fewest attempts in flight for its weight, and breaks ties by smooth
// round robin.
func (p *Pool) chooseLeastConn(candidates []*poolMember, now time.Duration, usable func(*poolMember) bool) *poolMember {
	if p.ranks != nil && candidates[0] == p.members[0] {
		return p.chooseRanked(now, usable)
	}
	var best *poolMember
	hasEqual := false
	for _, member := range candidates {
		if !usable(member) {
			continue
		}
		if best == nil {
			best = member
			continue
		}
		switch order := compareLoad(member, best); {
		case order < 0:
			best = member
			hasEqual = false
		case order == 0:
			hasEqual = true
		}
	}
	if !hasEqual {
		return best
	}
	least := best
	return p.chooseRoundRobin(candidates, func(member *poolMember) bool {
		return usable(member) && compareLoad(member, least) == 0
	})
}

// chooseRandomTwo returns the less loaded of two members that are drawn by weight.
func (p *Pool) chooseRandomTwo(candidates []*poolMember, usable func(*poolMember) bool) *poolMember {
	first := p.drawByWeight(usable, nil)
	if first == nil {
		return p.chooseRoundRobin(candidates, usable)
	}
	second := p.drawByWeight(usable, first)
	if second == nil {
		return p.chooseRoundRobin(candidates, usable)
	}
	if compareLoad(second, first) < 0 {
		return second
	}
	return first
}

// maxDraws is how often a policy that draws or hashes does so for one choice until it finds a usable member. After that
// it falls back to round robin. nginx has the same limit.
const maxDraws = 20

// drawByWeight draws a usable primary member other than the excluded one.
func (p *Pool) drawByWeight(usable func(*poolMember) bool, excluded *poolMember) *poolMember {
	for range maxDraws {
		member := p.memberAtWeight(p.rng.IntN(p.hashing.totalWeight()))
		if member != excluded && usable(member) {
			return member
		}
	}
	return nil
}
