package pool

import "time"

// slowStartState grows a member's share of the choices from nothing to its weight over Member.SlowStart.
//
// Weights are whole numbers, so a member of weight 1 can't grow by its weight; and by LeastConn, with nothing in flight,
// it would get every request until it has as many as the others, from each process that sends to it. So it earns credit
// for turns instead: its growing share of the choices that the pool made.
type slowStartState struct {
	slowStarting  bool          // it is in its slow start, or will be when its time out is over
	rampStart     time.Duration // when it began to grow, or will begin
	turnCredit    float64       // turns that it may take
	creditedPicks uint64        // Pool.picks when credit was last added
	creditedShare float64       // its share of its weight at that time
}

// slowStartShare is how much of its growing share a member gets. Many processes send to it, each by a count of its own,
// and the sum of what they send at any moment scatters around the mean: the mean has to lie below what is allowed.
const slowStartShare = 0.85

// beginSlowStart has a member grow to its weight from a time on, which may be the end of its time out.
//
// The first credit is drawn at random, or the first turns of all processes would come at once. Half a turn is taken off
// it because the first turns count most: hardly any may come then.
func (p *Pool) beginSlowStart(member *poolMember, from time.Duration) {
	member.rampStart = from
	member.slowStarting = member.SlowStart > 0
	if !member.slowStarting {
		return
	}
	member.turnCredit = p.rng.Float64() - 0.5
	member.creditedPicks = p.picks
	member.creditedShare = 0
}

// isHeldBack adds the credit that a member in its slow start has earned, and reports whether it has none for a turn yet.
func (p *Pool) isHeldBack(member *poolMember, now time.Duration) bool {
	if member.slowStarting && now-member.rampStart >= member.SlowStart {
		member.slowStarting = false
	}
	if !member.slowStarting || member.Backup {
		return false
	}
	share := float64(max(now-member.rampStart, 0)) / float64(member.SlowStart)
	fairTurns := float64(p.picks-member.creditedPicks) * float64(member.Weight) / float64(p.hashing.totalWeight())
	member.turnCredit = min(member.turnCredit+slowStartShare*fairTurns*(member.creditedShare+share)/2, 1)
	member.creditedPicks = p.picks
	member.creditedShare = share
	return member.turnCredit < 1
}
