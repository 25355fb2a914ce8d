package pool

import (
	"math/rand/v2"
	"time"
)

// Pool chooses members and keeps what is known of them. It is not safe for concurrent use.
type Pool struct {
	cfg       Config
	rng       *rand.Rand
	members   []*poolMember // those of the configuration, backups last
	primaries int           // how many of members, from the first, are no backups
	byAddr    map[string]*poolMember
	draining  map[string]*poolMember // members that left the configuration with attempts in flight
	ejected   int                    // how many of members are ejected
	failing   int                    // how many of members have too many failures
	picks     uint64                 // successful calls of Pick
	changes   []StateChange

	rotation rotation
	hashing  hashTables
	ranks    *ranking // nil but for a large pool by LeastConn
	budget   retryBudget
}

// New returns a pool that draws random numbers from rng.
func New(cfg Config, rng *rand.Rand, now time.Duration) (*Pool, error) {
	p := &Pool{rng: rng, byAddr: map[string]*poolMember{}, draining: map[string]*poolMember{}}
	if err := p.Update(cfg, now); err != nil {
		return nil, err
	}
	p.changes = nil // the initial members are no changes
	return p, nil
}

// Update changes the configuration. Members that stay, found by their addresses, keep their state; those that left get
// no further attempts and are forgotten once their last one has ended. An error leaves the pool as it was.
func (p *Pool) Update(cfg Config, now time.Duration) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	p.stopRotation()
	old := p.byAddr
	p.cfg = cfg
	p.byAddr = make(map[string]*poolMember, len(cfg.Members))
	p.members = nil
	p.primaries = 0
	for _, backups := range []bool{false, true} {
		for i, c := range cfg.Members {
			if c.Backup == backups {
				p.addMember(c, i, old, now)
			}
		}
	}
	p.releaseRemoved(old, now)
	p.countUnavailable()
	p.prepareChoices()
	p.rankAll()
	p.budget.configure(cfg.RetryPolicy)
	return nil
}

// addMember adds a member of the new configuration, with its old state where it has one.
func (p *Pool) addMember(config Member, index int, old map[string]*poolMember, now time.Duration) {
	member := old[config.Addr]
	if member == nil {
		member = p.draining[config.Addr]
		delete(p.draining, config.Addr)
	}
	if member == nil {
		member = &poolMember{Member: config}
		member.effectiveWeight = config.Weight
		if len(old) > 0 { // in a pool that starts, no other member could take a new one's share
			p.beginSlowStart(member, now)
		}
		p.recordChange(now, config.Addr, memberJoined, "the configuration")
	}
	member.Member = config
	member.index = index
	member.isRemoved = false
	member.effectiveWeight = min(member.effectiveWeight, config.Weight)
	p.byAddr[config.Addr] = member
	p.members = append(p.members, member)
	if !config.Backup {
		p.primaries++
	}
}

// releaseRemoved marks the members that are no longer configured and keeps those with attempts in flight.
func (p *Pool) releaseRemoved(old map[string]*poolMember, now time.Duration) {
	for addr, member := range old {
		if p.byAddr[addr] != nil {
			continue
		}
		member.isRemoved = true
		p.recordChange(now, addr, memberLeft, "the configuration")
		if member.inFlight > 0 {
			p.draining[addr] = member
		}
	}
}

// countUnavailable counts ejected and failing members anew: a configuration may add, remove or change them.
func (p *Pool) countUnavailable() {
	p.ejected = 0
	p.failing = 0
	for _, member := range p.members {
		if member.isEjected {
			p.ejected++
		}
		if member.hasTooManyFails() {
			p.failing++
		}
	}
}

// hasSingleMember reports whether there is one member only, which is never taken out.
func (p *Pool) hasSingleMember() bool { return len(p.members) == 1 }

// primaryMembers returns the members that are no backups.
func (p *Pool) primaryMembers() []*poolMember { return p.members[:p.primaries] }
