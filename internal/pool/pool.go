package pool

import (
	"math/rand/v2"
	"time"
)

// Pool chooses members for attempts and keeps their state. It is not safe for concurrent use.
type Pool struct {
	cfg       Config
	rng       *rand.Rand
	members   []*poolMember // configured members, primary ones first, then backups
	primaries int           // number of primary members: members[:primaries]
	byAddr    map[string]*poolMember
	draining  map[string]*poolMember // members removed from the configuration that have attempts in flight
	ejected   int                    // number of members that are ejected
	failing   int                    // number of members for which hasTooManyFails holds
	picks     uint64                 // number of successful calls of Pick
	changes   []StateChange

	rotation rotation
	tables   selectionTables
	ranks    *ranking // nil except in a large pool with LeastConn
	budget   retryBudget
}

// New returns a pool that draws random numbers from rng. The error is a *ConfigError if the configuration is invalid.
func New(cfg Config, rng *rand.Rand, now time.Duration) (*Pool, error) {
	p := &Pool{rng: rng, byAddr: map[string]*poolMember{}, draining: map[string]*poolMember{}}
	if err := p.Update(cfg, now); err != nil {
		return nil, err
	}
	p.changes = nil // the initial members are not reported as changes
	return p, nil
}

// Update replaces the configuration. Members whose addresses are still configured keep their state. Removed members get
// no further attempts and are dropped once their last attempt has ended. If Update returns an error, which is a
// *ConfigError, the pool is unchanged.
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
	p.drainRemoved(old, now)
	p.countUnavailable()
	p.prepareSelection()
	p.rankAll()
	p.budget.configure(cfg.RetryPolicy)
	return nil
}

// addMember adds a configured member, with the state of the existing member at its address if there is one.
func (p *Pool) addMember(config Member, index int, old map[string]*poolMember, now time.Duration) {
	member := old[config.Addr]
	if member == nil {
		member = p.draining[config.Addr]
		delete(p.draining, config.Addr)
	}
	if member == nil {
		member = &poolMember{Member: config}
		member.effectiveWeight = config.Weight
		if len(old) > 0 { // in a new pool no other member could take the new member's share
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

// drainRemoved marks members that are no longer configured as removed, and keeps those with attempts in flight.
func (p *Pool) drainRemoved(old map[string]*poolMember, now time.Duration) {
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

// countUnavailable recounts the ejected and failing members: a new configuration may add, remove or change them.
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

// hasSingleMember reports whether the pool has only one member, which is never excluded because of failures.
func (p *Pool) hasSingleMember() bool { return len(p.members) == 1 }

// primaryMembers returns the members that are not backups.
func (p *Pool) primaryMembers() []*poolMember { return p.members[:p.primaries] }
