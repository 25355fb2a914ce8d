package pool

import "time"

// Request is the state of a request across its attempts: the hash key and the members that it was sent to. A new request
// has only HashKey set.
type Request struct {
	HashKey      []byte        // for Hash and HashConsistent any key; for IPHash the client's address, 4 or 16 bytes
	FirstAttempt time.Duration // time of the first successful Pick
	Attempts     int

	attempted map[*poolMember]bool // nil before the first attempt
	hash      uint32               // for policy Hash: the sum of the hashes of all rehashes
	rehashes  int
}

// Pick chooses the member for the request's next attempt and returns its address. The attempt counts as in flight at the
// member until the caller calls Finish. Pick returns false if no member is available.
func (p *Pool) Pick(request *Request, now time.Duration) (addr string, ok bool) {
	member := p.selectMember(request, now)
	if member == nil {
		return "", false
	}
	if request.attempted == nil {
		request.attempted = map[*poolMember]bool{}
		request.FirstAttempt = now
		p.budget.countFirstAttempt(now)
	}
	p.picks++
	if member.slowStarting {
		member.turnCredit--
	}
	request.attempted[member] = true
	request.Attempts++
	member.inFlight++
	member.attempts++
	if now-member.lastChecked > member.FailTimeout {
		member.lastChecked = now
	}
	if isOut := member.hasTooManyFails() || member.isEjected; isOut && !p.hasSingleMember() {
		member.probing = true
		p.recordChange(now, member.Addr, memberProbing, "its time out is over")
	}
	p.updateRank(member)
	return member.Addr, true
}

// selectMember chooses a member by the balancing policy, or returns nil. It prefers primary members that slow start does
// not limit, then any primary member, then a backup. While a rotation is active, it considers only primary members.
func (p *Pool) selectMember(request *Request, now time.Duration) *poolMember {
	if p.rotation.isActive {
		return p.nextInRotation(request)
	}
	panicking := p.isPanicking()
	usable := func(member *poolMember) bool { return p.isUsable(member, request, now, panicking) }
	anyLimited := false
	member := p.choose(p.primaryMembers(), request, now, func(member *poolMember) bool {
		if !usable(member) {
			return false
		}
		isLimited := p.isSlowStartLimited(member, now)
		anyLimited = anyLimited || isLimited
		return !isLimited
	})
	if member == nil && anyLimited {
		member = p.choose(p.primaryMembers(), request, now, usable)
	}
	if member != nil {
		return member
	}
	if p.primaries < len(p.members) {
		return p.choose(p.members[p.primaries:], request, now, usable)
	}
	return nil
}

// isUsable reports whether a request may be sent to a member now.
func (p *Pool) isUsable(member *poolMember, request *Request, now time.Duration, panicking bool) bool {
	switch {
	case member.Down, request.attempted[member], member.isAtMaxConns():
		return false
	case p.hasSingleMember():
		return true
	case member.hasTooManyFails() && (now-member.lastChecked <= member.FailTimeout || member.probing):
		return false
	case member.isEjected && !panicking && (now < member.ejectedUntil || member.probing):
		return false
	}
	return true
}

// choose applies the balancing policy to the candidates, which are either the primary members or the backups.
func (p *Pool) choose(candidates []*poolMember, request *Request, now time.Duration,
	usable func(*poolMember) bool) *poolMember {
	switch p.cfg.BalancingPolicy {
	case LeastConn:
		return p.chooseLeastConn(candidates, now, usable)
	case IPHash:
		return p.chooseByIPHash(request, usable)
	case Hash:
		return p.chooseByHash(request, usable)
	case HashConsistent:
		return p.chooseOnRing(request, usable)
	case RandomTwo:
		return p.chooseRandomTwo(candidates, usable)
	}
	return p.chooseRoundRobin(candidates, usable)
}

// Outcome is the result of an attempt, as it counts for or against the member.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // counts against the member
	Neutral           // counts neither way, for example because the caller closed its connection
)

// Finish ends an attempt that Pick counted as in flight at the member. latency is the duration of the attempt. An unknown
// address is ignored.
func (p *Pool) Finish(addr string, outcome Outcome, latency, now time.Duration) {
	member := p.findMember(addr)
	if member == nil {
		return
	}
	member.inFlight--
	wasProbe := member.probing
	member.probing = false
	if member.isRemoved {
		if member.inFlight == 0 {
			delete(p.draining, addr)
			p.recordChange(now, addr, memberReleased, "its last try has ended")
		}
		return
	}
	switch outcome {
	case Failed:
		p.countFailure(member, now)
	case Succeeded:
		p.clearFailures(member, now, wasProbe)
	default:
		p.updateRank(member)
		return
	}
	if p.detectOutlier(member, outcome == Failed, latency, now) && wasProbe {
		member.consecutiveEjections = 0
	}
	p.updateRank(member)
}
