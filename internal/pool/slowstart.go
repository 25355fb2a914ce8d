package pool

import "time"

// slowStartState is the state of a member's slow start, in which its share of the choices grows linearly from zero to the
// share of its weight over Member.SlowStart.
//
// The share can't grow by means of the weight: weights are integers, so weight 1 can't be reduced. With LeastConn a member
// without attempts in flight would also get every request from each process until it had as many in flight as the others.
// Instead the member earns credit for turns: its growing share of the choices that the pool made.
type slowStartState struct {
	slowStarting  bool          // slow start is in progress, or follows the fail timeout or ejection
	rampStart     time.Duration // start of the slow start, which may be in the future
	turnCredit    float64       // number of turns that the member may take
	creditedPicks uint64        // Pool.picks when credit was last added
	creditedShare float64       // fraction of its weight that the member had reached at that time
}

// slowStartSafetyFactor is the fraction of its growing share that a member gets. Many processes send to the member, each
// with its own count, so their total rate varies around the mean. The mean must be below the allowed rate.
const slowStartSafetyFactor = 0.85

// beginSlowStart starts a member's slow start at the time from, which may be the future end of its fail timeout or
// ejection.
//
// The initial credit is random, so that the first turns in all processes don't coincide. It is reduced by half a turn
// because the first turns matter most: hardly any requests are allowed at that time.
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

// isSlowStartLimited adds the credit that a member in slow start has earned since the last call, and reports whether the
// member lacks the credit for a turn.
func (p *Pool) isSlowStartLimited(member *poolMember, now time.Duration) bool {
	if member.slowStarting && now-member.rampStart >= member.SlowStart {
		member.slowStarting = false
	}
	if !member.slowStarting || member.Backup {
		return false
	}
	share := float64(max(now-member.rampStart, 0)) / float64(member.SlowStart)
	fairTurns := float64(p.picks-member.creditedPicks) * float64(member.Weight) / float64(p.tables.totalWeight())
	member.turnCredit = min(member.turnCredit+slowStartSafetyFactor*fairTurns*(member.creditedShare+share)/2, 1)
	member.creditedPicks = p.picks
	member.creditedShare = share
	return member.turnCredit < 1
}
