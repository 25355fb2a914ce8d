package pool

import (
	"cmp"
	"time"
)

// compareLoad compares the attempts in flight at two members, each divided by the member's weight.
func compareLoad(a, b *poolMember) int { return cmp.Compare(a.inFlight*b.Weight, b.inFlight*a.Weight) }

// chooseLeastConn returns the usable member with the fewest attempts in flight relative to its weight, and breaks ties by
// smooth round robin.
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
	leastLoaded := best
	return p.chooseRoundRobin(candidates, func(member *poolMember) bool {
		return usable(member) && compareLoad(member, leastLoaded) == 0
	})
}

// chooseRandomTwo returns the less loaded of two members that are drawn at random by weight.
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

// maxSelectionTries is the number of random draws or hashes that one choice tries for a usable member. After that the
// policy falls back to round robin. nginx has the same limit. It also limits the random skips in firstByLoad.
const maxSelectionTries = 20

// drawByWeight draws a usable primary member at random by weight, other than the excluded one, or returns nil.
func (p *Pool) drawByWeight(usable func(*poolMember) bool, excluded *poolMember) *poolMember {
	for range maxSelectionTries {
		member := p.memberAtWeight(p.rng.IntN(p.tables.totalWeight()))
		if member != excluded && usable(member) {
			return member
		}
	}
	return nil
}
