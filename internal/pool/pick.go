package pool

import "time"

// Request is a request on its way: what a choice depends on, and the members that it has been to. A new request is the
// zero value with a HashKey.
type Request struct {
	HashKey      []byte        // for Hash and HashConsistent; for IPHash the client's address, 4 or 16 bytes
	FirstAttempt time.Duration // when Pick first found a member
	Attempts     int

	attempted map[*member]bool // nil before the first attempt
	hash      uint32           // of policy Hash, which adds up the hashes of all rehashes
	rehashes  int
}

// Pick chooses the member for the request's next attempt and counts the attempt as in flight there, until Finish. It
// returns false if no member is available.
func (p *Pool) Pick(request *Request, now time.Duration) (addr string, ok bool) {
	m := p.selectMember(request, now)
	if m == nil {
		return "", false
	}
	if request.attempted == nil {
		request.attempted = map[*member]bool{}
		request.FirstAttempt = now
		p.budget.countFirstAttempt(now)
	}
	p.picks++
	if m.slowStarting {
		m.turnCredit--
	}
	request.attempted[m] = true
	request.Attempts++
	m.inFlight++
	m.attempts++
	if now-m.lastChecked > m.FailTimeout {
		m.lastChecked = now
	}
	if isOut := m.hasTooManyFails() || m.isEjected; isOut && !p.hasSingleMember() {
		m.probing = true
		p.recordChange(now, m.Addr, memberProbing, "its time out is over")
	}
	p.updateRank(m)
	return m.Addr, true
}

// selectMember chooses a member by the policy: a primary one whose slow start does not hold it back, else one that it
// does, else a backup.
func (p *Pool) selectMember(request *Request, now time.Duration) *member {
	if p.rotation.isActive {
		return p.nextInRotation(request)
	}
	panicking := p.isPanicking()
	usable := func(m *member) bool { return p.isUsable(m, request, now, panicking) }
	anyHeldBack := false
	m := p.choose(p.primaryMembers(), request, now, func(m *member) bool {
		if !usable(m) {
			return false
		}
		heldBack := p.isHeldBack(m, now)
		anyHeldBack = anyHeldBack || heldBack
		return !heldBack
	})
	if m == nil && anyHeldBack {
		m = p.choose(p.primaryMembers(), request, now, usable)
	}
	if m != nil {
		return m
	}
	if p.primaries < len(p.members) {
		return p.choose(p.members[p.primaries:], request, now, usable)
	}
	return nil
}

// isUsable reports whether a request may go to a member now.
func (p *Pool) isUsable(m *member, request *Request, now time.Duration, panicking bool) bool {
	switch {
	case m.Down, request.attempted[m], m.isAtMaxConns():
		return false
	case p.hasSingleMember():
		return true
	case m.hasTooManyFails() && (now-m.lastChecked <= m.FailTimeout || m.probing):
		return false
	case m.isEjected && !panicking && (now < m.ejectedUntil || m.probing):
		return false
	}
	return true
}

// choose applies the balancing policy to a list of candidates, which are the primary members or the backups.
func (p *Pool) choose(candidates []*member, request *Request, now time.Duration, usable func(*member) bool) *member {
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

// Outcome is how an attempt ended, as far as it tells something of the member.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // in a way that counts against the member
	Neutral           // in a way that tells nothing of the member, such as a caller that closed its connection
)

// Finish ends an attempt at a member; took is how long it lasted.
func (p *Pool) Finish(addr string, outcome Outcome, took, now time.Duration) {
	m := p.findMember(addr)
	if m == nil {
		return
	}
	m.inFlight--
	wasProbe := m.probing
	m.probing = false
	if m.isRemoved {
		if m.inFlight == 0 {
			delete(p.draining, addr)
			p.recordChange(now, addr, memberReleased, "its last try has ended")
		}
		return
	}
	switch outcome {
	case Failed:
		p.countFailure(m, now)
	case Succeeded:
		p.clearFailures(m, now, wasProbe)
	default:
		p.updateRank(m)
		return
	}
	if p.detectOutlier(m, outcome == Failed, took, now) && wasProbe {
		m.consecutiveEjections = 0
	}
	p.updateRank(m)
}
