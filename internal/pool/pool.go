package pool

import (
	"math/rand/v2"
	"time"
)

// Request is what a choice may depend on, and which members a request has been to.
type Request struct {
	HashKey      []byte // of the hash methods; the client's address for IPHash, 4 or 16 bytes
	FirstAttempt time.Duration
	Attempts     int

	attempted map[*member]bool
	hash      uint32
	rehashes  int // hashes tried
}

// findMember is a Member and what is known of it.
type member struct {
	Member
	index           int // in the configuration
	inFlight        int
	effectiveWeight int // weight less what failures took
	currentWeight   int // smooth round robin

	fails                    int
	lastFailure, lastChecked time.Duration // of the last failure, and of the last choice after one
	hasFailed                bool          // lastFailure and checked were ever set
	rampStart                time.Duration // since when it is in, for its slow start
	slowStarting             bool          // it is in its slow start, or will be when its time out is over
	turnCredit               float64       // slow: turns that it may take
	creditedPicks            uint64        // slow: choices of the pool up to which credit was given
	creditedShare            float64       // slow: its part of its weight at that time
	probing                  bool          // the one try that may show that it is back is under way

	recent                        attemptWindow // of its last tries
	ejectedUntil                  time.Duration
	isEjected                     bool // ejectedUntil until then
	consecutiveEjections          int  // ejectedUntil in a row
	attempts, failures, ejections uint64

	standing  standing // in the ranking, with its place in the heap there
	heapIndex int
	lastTurn  uint64        // of the ranking, when it was last chosen
	probeAt   time.Duration // from when it may be probed, where it stands waiting

	isRemoved bool // no longer in the configuration: it only has its tries ended
}

// Pool chooses members. It is not safe for concurrent use.
type Pool struct {
	cfg       Config
	rng       *rand.Rand
	members   []*member // of the configuration, backups last
	primaries int       // of them, those that are no backups
	byAddr    map[string]*member
	draining  map[string]*member // left, with tries open
	ring      []ringPoint
	even      bool     // round robin over primary members of one weight, without bounds
	rotating  bool     // all of them can be had: they are chosen in turn
	turn      int      // whose turn it is
	sum       []int    // of the weights up to each primary member, for the hash methods
	ejected   int      // members
	failing   int      // members with as many failures as they may have
	ranks     *ranking // of a large pool by least_conn, or nil
	picks     uint64   // choices so far
	budget    retryBudget
	changes   []StateChange
}

// StateChange is a change of a member's state, for the log.
type StateChange struct {
	At    time.Duration
	Addr  string
	State string // "out", "in", "ejected", "probing", "joined", "left", "gone"
	Cause string
}

// New returns a pool; random numbers come from rng.
func New(cfg Config, rng *rand.Rand, now time.Duration) (*Pool, error) {
	p := &Pool{rng: rng, byAddr: map[string]*member{}, draining: map[string]*member{}}
	if err := p.Update(cfg, now); err != nil {
		return nil, err
	}
	p.changes = nil
	return p, nil
}

// Update goes on with another configuration. Members that stay keep what is known of them; those that left get nothing
// new, and are forgotten once their last try has ended.
func (p *Pool) Update(cfg Config, now time.Duration) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	p.stopRotation()
	old := p.byAddr
	p.cfg, p.byAddr, p.members, p.primaries = cfg, make(map[string]*member, len(cfg.Members)), nil, 0
	for _, backups := range []bool{false, true} {
		for i, c := range cfg.Members {
			if c.Backup != backups {
				continue
			}
			m := old[c.Addr]
			if m == nil {
				m = p.draining[c.Addr]
				delete(p.draining, c.Addr)
			}
			if m == nil {
				m = &member{Member: c, effectiveWeight: c.Weight}
				if len(old) > 0 { // a pool that starts has no one to lean on
					p.beginSlowStart(m, now)
				}
				p.recordChange(now, c.Addr, "joined", "the configuration")
			}
			m.Member, m.index, m.isRemoved = c, i, false
			m.effectiveWeight = min(m.effectiveWeight, c.Weight)
			p.byAddr[c.Addr] = m
			p.members = append(p.members, m)
			if !backups {
				p.primaries++
			}
		}
	}
	for addr, m := range old {
		if p.byAddr[addr] != nil {
			continue
		}
		m.isRemoved = true
		p.recordChange(now, addr, "left", "the configuration")
		if m.inFlight > 0 {
			p.draining[addr] = m
		}
	}
	p.ejected, p.failing = 0, 0
	for _, m := range p.members {
		if m.isEjected {
			p.ejected++
		}
		if m.MaxFails > 0 && m.fails >= m.MaxFails {
			p.failing++
		}
	}
	p.prepareChoices()
	p.rankAll()
	p.budget.configure(cfg)
	return nil
}

// recordChange keeps a change for the log.
func (p *Pool) recordChange(now time.Duration, addr, what, cause string) {
	p.changes = append(p.changes, StateChange{At: now, Addr: addr, State: what, Cause: cause})
}

// TakeChanges returns the changes since the last call.
func (p *Pool) TakeChanges() []StateChange {
	c := p.changes
	p.changes = nil
	return c
}

// hasSingleMember tells whether the pool has one member only, which is never left out.
func (p *Pool) hasSingleMember() bool { return len(p.members) == 1 }

// isUsable tells whether a member may be chosen.
func (p *Pool) isUsable(m *member, r *Request, now time.Duration, panicking bool) bool {
	switch {
	case m.Down, r.attempted[m], m.MaxConns > 0 && m.inFlight >= m.MaxConns:
		return false
	case p.hasSingleMember():
		return true
	case m.MaxFails > 0 && m.fails >= m.MaxFails && (now-m.lastChecked <= m.FailTimeout || m.probing):
		return false
	case m.isEjected && !panicking && (now < m.ejectedUntil || m.probing):
		return false
	}
	return true
}

// Pick chooses the member for the next try and counts it as open there; false where none can be had.
func (p *Pool) Pick(r *Request, now time.Duration) (addr string, ok bool) {
	m := p.selectMember(r, now)
	if m == nil {
		return "", false
	}
	if r.attempted == nil {
		r.attempted = map[*member]bool{}
		r.FirstAttempt = now
		p.budget.countFirstAttempt(now)
	}
	p.picks++
	if m.slowStarting {
		m.turnCredit--
	}
	r.attempted[m] = true
	r.Attempts++
	m.inFlight++
	m.attempts++
	if now-m.lastChecked > m.FailTimeout {
		m.lastChecked = now
	}
	if back := m.MaxFails > 0 && m.fails >= m.MaxFails || m.isEjected; back && !p.hasSingleMember() {
		m.probing = true
		p.recordChange(now, m.Addr, "probing", "its time out is over")
	}
	p.updateRank(m)
	return m.Addr, true
}

// selectMember chooses a member.
func (p *Pool) selectMember(r *Request, now time.Duration) *member {
	if p.rotating {
		return p.nextInRotation(r)
	}
	panicking := p.isPanicking()
	usable := func(m *member) bool { return p.isUsable(m, r, now, panicking) }
	held := false // one that could be had was passed over for its slow start
	m := p.choose(p.members[:p.primaries], r, now, func(m *member) bool {
		if !usable(m) {
			return false
		}
		back := p.isHeldBack(m, now)
		held = held || back
		return !back
	})
	if m == nil && held {
		m = p.choose(p.members[:p.primaries], r, now, usable) // there is no other
	}
	if m != nil {
		return m
	}
	if p.primaries < len(p.members) {
		return p.choose(p.members[p.primaries:], r, now, usable)
	}
	return nil
}

// choose asks the method.
func (p *Pool) choose(from []*member, r *Request, now time.Duration, usable func(*member) bool) *member {
	switch p.cfg.BalancingPolicy {
	case LeastConn:
		return p.chooseLeastConn(from, now, usable)
	case IPHash:
		return p.chooseByIPHash(r, usable)
	case Hash:
		return p.chooseByHash(r, usable)
	case HashConsistent:
		return p.chooseOnRing(r, usable)
	case RandomTwo:
		return p.chooseRandomTwo(from, usable)
	}
	return p.chooseRoundRobin(from, usable)
}

// Outcome is how a try at a member ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed            // in a way that counts against the member
	Neutral           // in a way that tells nothing of it, such as a caller that left
)

// Finish ends a try at a member; took is how long it lasted.
func (p *Pool) Finish(addr string, o Outcome, took, now time.Duration) {
	m := p.findMember(addr)
	if m == nil {
		return
	}
	m.inFlight--
	probed := m.probing
	m.probing = false
	if m.isRemoved {
		if m.inFlight == 0 {
			delete(p.draining, addr)
			p.recordChange(now, addr, "gone", "its last try has ended")
		}
		return
	}
	switch o {
	case Failed:
		p.countFailure(m, now)
	case Succeeded:
		p.clearFailures(m, now, probed)
	default:
		p.updateRank(m)
		return
	}
	if p.detectOutlier(m, o == Failed, took, now) && probed {
		m.consecutiveEjections = 0
	}
	p.updateRank(m)
}

// countFailure counts a failure as nginx does.
func (p *Pool) countFailure(m *member, now time.Duration) {
	p.stopRotation()
	before := m.MaxFails > 0 && m.fails >= m.MaxFails
	m.fails++
	m.failures++
	m.lastFailure, m.lastChecked, m.hasFailed = now, now, true
	if m.MaxFails > 0 {
		m.effectiveWeight = max(m.effectiveWeight-m.Weight/m.MaxFails, 0)
	}
	if out := m.MaxFails > 0 && m.fails >= m.MaxFails; out && !before {
		p.failing++
		p.beginSlowStart(m, now+m.FailTimeout)
		p.recordChange(now, m.Addr, "out", "its failures")
	}
}

// clearFailures forgets failures as nginx does: those before the last time out.
func (p *Pool) clearFailures(m *member, now time.Duration, probed bool) {
	if !m.hasFailed || m.lastFailure >= m.lastChecked && !probed {
		return
	}
	if m.MaxFails > 0 && m.fails >= m.MaxFails {
		p.failing--
		p.recordChange(now, m.Addr, "in", "a try went well")
		p.beginSlowStart(m, now)
	}
	m.fails = 0
}

// slowStartShare is how much of its growing part a member in its slow start gets: many processes send to it, each by a count
// of its own, and the sum of what they send at any moment scatters round the mean.
const slowStartShare = 0.85

// beginSlowStart has a member grow to its weight from a time on, which may be the end of its time out. Processes begin their
// counts at random, or the first turns of all of them would come at once; and each gives up half a turn, as the first
// ones count most: next to nothing may come then.
func (p *Pool) beginSlowStart(m *member, from time.Duration) {
	m.rampStart, m.slowStarting = from, m.SlowStart > 0
	if m.slowStarting {
		m.turnCredit, m.creditedPicks, m.creditedShare = p.rng.Float64()-0.5, p.picks, 0
	}
}

// isHeldBack tells whether a member in its slow start has no turn yet. Weights are whole numbers, so one of weight 1
// could not grow to it; and by least_conn, with nothing open, it would get all that comes until it has as much as the
// others, from each process that sends to it. So it takes no more turns than its part of those that the pool gave.
func (p *Pool) isHeldBack(m *member, now time.Duration) bool {
	if m.slowStarting && now-m.rampStart >= m.SlowStart {
		m.slowStarting = false
	}
	if !m.slowStarting || m.Backup {
		return false
	}
	grown := float64(max(now-m.rampStart, 0)) / float64(m.SlowStart)
	turns := float64(p.picks-m.creditedPicks) * float64(m.Weight) / float64(p.sum[p.primaries-1])
	m.turnCredit = min(m.turnCredit+slowStartShare*turns*(m.creditedShare+grown)/2, 1)
	m.creditedPicks, m.creditedShare = p.picks, grown
	return m.turnCredit < 1
}

// MemberStatus is how a member is.
type MemberStatus struct {
	Addr                          string
	InFlight                      int
	Unavailable                   bool // it gets no tries but a probing one
	Attempts, Failures, Ejections uint64
}

// MemberStatuses are those of the members, in the order of the configuration but for backups, which come last.
func (p *Pool) MemberStatuses() []MemberStatus {
	list := make([]MemberStatus, 0, len(p.members))
	for _, m := range p.members {
		failed := m.MaxFails > 0 && m.fails >= m.MaxFails && !p.hasSingleMember()
		list = append(list, MemberStatus{m.Addr, m.inFlight, m.isEjected || failed || m.Down, m.attempts, m.failures, m.ejections})
	}
	return list
}

// InFlight is how many tries a member has.
func (p *Pool) InFlight(addr string) int {
	if m := p.findMember(addr); m != nil {
		return m.inFlight
	}
	return 0
}

// findMember is the member with the address, though it may have left, or nil.
func (p *Pool) findMember(addr string) *member {
	if m := p.byAddr[addr]; m != nil {
		return m
	}
	return p.draining[addr]
}
