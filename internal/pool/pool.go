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

	tried map[*member]bool
	hash  uint32
	again int // hashes tried
}

// member is a Member and what is known of it.
type member struct {
	Member
	index     int // in the configuration
	conns     int
	effective int // weight less what failures took
	current   int // smooth round robin

	fails             int
	accessed, checked time.Duration // of the last failure, and of the last choice after one
	failed            bool          // accessed and checked were ever set
	upSince           time.Duration // since when it is in, for its slow start
	slow              bool          // it is in its slow start, or will be when its time out is over
	credit            float64       // slow: turns that it may take
	counted           uint64        // slow: choices of the pool up to which credit was given
	grown             float64       // slow: its part of its weight at that time
	probing           bool          // the one try that may show that it is back is under way

	seen                       window // of its last tries
	ejected                    time.Duration
	out                        bool // ejected until then
	times                      int  // ejected in a row
	tries, failures, ejections uint64

	stands standing // in the ranking, with its place in the heap there
	place  int
	turn   uint64        // of the ranking, when it was last chosen
	due    time.Duration // from when it may be probed, where it stands waiting

	left bool // no longer in the configuration: it only has its tries ended
}

// Pool chooses members. It is not safe for concurrent use.
type Pool struct {
	cfg      Config
	rng      *rand.Rand
	members  []*member // of the configuration, backups last
	primary  int       // of them, those that are no backups
	byAddr   map[string]*member
	draining map[string]*member // left, with tries open
	ring     []point
	even     bool     // round robin over primary members of one weight, without bounds
	rotating bool     // all of them can be had: they are chosen in turn
	turn     int      // whose turn it is
	sum      []int    // of the weights up to each primary member, for the hash methods
	ejected  int      // members
	failing  int      // members with as many failures as they may have
	ranks    *ranking // of a large pool by least_conn, or nil
	picks    uint64   // choices so far
	budget   budget
	changes  []StateChange
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
	p.settle()
	old := p.byAddr
	p.cfg, p.byAddr, p.members, p.primary = cfg, make(map[string]*member, len(cfg.Members)), nil, 0
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
				m = &member{Member: c, effective: c.Weight}
				if len(old) > 0 { // a pool that starts has no one to lean on
					p.startSlowly(m, now)
				}
				p.note(now, c.Addr, "joined", "the configuration")
			}
			m.Member, m.index, m.left = c, i, false
			m.effective = min(m.effective, c.Weight)
			p.byAddr[c.Addr] = m
			p.members = append(p.members, m)
			if !backups {
				p.primary++
			}
		}
	}
	for addr, m := range old {
		if p.byAddr[addr] != nil {
			continue
		}
		m.left = true
		p.note(now, addr, "left", "the configuration")
		if m.conns > 0 {
			p.draining[addr] = m
		}
	}
	p.ejected, p.failing = 0, 0
	for _, m := range p.members {
		if m.out {
			p.ejected++
		}
		if m.MaxFails > 0 && m.fails >= m.MaxFails {
			p.failing++
		}
	}
	p.prepare()
	p.rankAll()
	p.budget.configure(cfg)
	return nil
}

// note keeps a change for the log.
func (p *Pool) note(now time.Duration, addr, what, cause string) {
	p.changes = append(p.changes, StateChange{At: now, Addr: addr, State: what, Cause: cause})
}

// TakeChanges returns the changes since the last call.
func (p *Pool) TakeChanges() []StateChange {
	c := p.changes
	p.changes = nil
	return c
}

// alone tells whether the pool has one member only, which is never left out.
func (p *Pool) alone() bool { return len(p.members) == 1 }

// usable tells whether a member may be chosen.
func (p *Pool) usable(m *member, r *Request, now time.Duration, panicking bool) bool {
	switch {
	case m.Down, r.tried[m], m.MaxConns > 0 && m.conns >= m.MaxConns:
		return false
	case p.alone():
		return true
	case m.MaxFails > 0 && m.fails >= m.MaxFails && (now-m.checked <= m.FailTimeout || m.probing):
		return false
	case m.out && !panicking && (now < m.ejected || m.probing):
		return false
	}
	return true
}

// Pick chooses the member for the next try and counts it as open there; false where none can be had.
func (p *Pool) Pick(r *Request, now time.Duration) (addr string, ok bool) {
	m := p.pick(r, now)
	if m == nil {
		return "", false
	}
	if r.tried == nil {
		r.tried = map[*member]bool{}
		r.FirstAttempt = now
		p.budget.first(now)
	}
	p.picks++
	if m.slow {
		m.credit--
	}
	r.tried[m] = true
	r.Attempts++
	m.conns++
	m.tries++
	if now-m.checked > m.FailTimeout {
		m.checked = now
	}
	if back := m.MaxFails > 0 && m.fails >= m.MaxFails || m.out; back && !p.alone() {
		m.probing = true
		p.note(now, m.Addr, "probing", "its time out is over")
	}
	p.rank(m)
	return m.Addr, true
}

// pick chooses a member.
func (p *Pool) pick(r *Request, now time.Duration) *member {
	if p.rotating {
		return p.next(r)
	}
	panicking := p.panicking()
	usable := func(m *member) bool { return p.usable(m, r, now, panicking) }
	held := false // one that could be had was passed over for its slow start
	m := p.choose(p.members[:p.primary], r, now, func(m *member) bool {
		if !usable(m) {
			return false
		}
		back := p.holdsBack(m, now)
		held = held || back
		return !back
	})
	if m == nil && held {
		m = p.choose(p.members[:p.primary], r, now, usable) // there is no other
	}
	if m != nil {
		return m
	}
	if p.primary < len(p.members) {
		return p.choose(p.members[p.primary:], r, now, usable)
	}
	return nil
}

// choose asks the method.
func (p *Pool) choose(from []*member, r *Request, now time.Duration, usable func(*member) bool) *member {
	switch p.cfg.BalancingPolicy {
	case LeastConn:
		return p.leastConn(from, now, usable)
	case IPHash:
		return p.ipHash(r, usable)
	case Hash:
		return p.plainHash(r, usable)
	case HashConsistent:
		return p.consistent(r, usable)
	case RandomTwo:
		return p.randomTwo(from, usable)
	}
	return p.roundRobin(from, usable)
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
	m := p.member(addr)
	if m == nil {
		return
	}
	m.conns--
	probed := m.probing
	m.probing = false
	if m.left {
		if m.conns == 0 {
			delete(p.draining, addr)
			p.note(now, addr, "gone", "its last try has ended")
		}
		return
	}
	switch o {
	case Failed:
		p.fail(m, now)
	case Succeeded:
		p.succeed(m, now, probed)
	default:
		p.rank(m)
		return
	}
	if p.watch(m, o == Failed, took, now) && probed {
		m.times = 0
	}
	p.rank(m)
}

// fail counts a failure as nginx does.
func (p *Pool) fail(m *member, now time.Duration) {
	p.settle()
	before := m.MaxFails > 0 && m.fails >= m.MaxFails
	m.fails++
	m.failures++
	m.accessed, m.checked, m.failed = now, now, true
	if m.MaxFails > 0 {
		m.effective = max(m.effective-m.Weight/m.MaxFails, 0)
	}
	if out := m.MaxFails > 0 && m.fails >= m.MaxFails; out && !before {
		p.failing++
		p.startSlowly(m, now+m.FailTimeout)
		p.note(now, m.Addr, "out", "its failures")
	}
}

// succeed forgets failures as nginx does: those before the last time out.
func (p *Pool) succeed(m *member, now time.Duration, probed bool) {
	if !m.failed || m.accessed >= m.checked && !probed {
		return
	}
	if m.MaxFails > 0 && m.fails >= m.MaxFails {
		p.failing--
		p.note(now, m.Addr, "in", "a try went well")
		p.startSlowly(m, now)
	}
	m.fails = 0
}

// slowPart is how much of its growing part a member in its slow start gets: many processes send to it, each by a count
// of its own, and the sum of what they send at any moment scatters round the mean.
const slowPart = 0.85

// startSlowly has a member grow to its weight from a time on, which may be the end of its time out. Processes begin their
// counts at random, or the first turns of all of them would come at once; and each gives up half a turn, as the first
// ones count most: next to nothing may come then.
func (p *Pool) startSlowly(m *member, from time.Duration) {
	m.upSince, m.slow = from, m.SlowStart > 0
	if m.slow {
		m.credit, m.counted, m.grown = p.rng.Float64()-0.5, p.picks, 0
	}
}

// holdsBack tells whether a member in its slow start has no turn yet. Weights are whole numbers, so one of weight 1
// could not grow to it; and by least_conn, with nothing open, it would get all that comes until it has as much as the
// others, from each process that sends to it. So it takes no more turns than its part of those that the pool gave.
func (p *Pool) holdsBack(m *member, now time.Duration) bool {
	if m.slow && now-m.upSince >= m.SlowStart {
		m.slow = false
	}
	if !m.slow || m.Backup {
		return false
	}
	grown := float64(max(now-m.upSince, 0)) / float64(m.SlowStart)
	turns := float64(p.picks-m.counted) * float64(m.Weight) / float64(p.sum[p.primary-1])
	m.credit = min(m.credit+slowPart*turns*(m.grown+grown)/2, 1)
	m.counted, m.grown = p.picks, grown
	return m.credit < 1
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
		failed := m.MaxFails > 0 && m.fails >= m.MaxFails && !p.alone()
		list = append(list, MemberStatus{m.Addr, m.conns, m.out || failed || m.Down, m.tries, m.failures, m.ejections})
	}
	return list
}

// InFlight is how many tries a member has.
func (p *Pool) InFlight(addr string) int {
	if m := p.member(addr); m != nil {
		return m.conns
	}
	return 0
}

// member is the member with the address, though it may have left, or nil.
func (p *Pool) member(addr string) *member {
	if m := p.byAddr[addr]; m != nil {
		return m
	}
	return p.draining[addr]
}
