package pool

import (
	"fmt"
	"time"
)

// BalancingPolicy is how a member is chosen.
type BalancingPolicy uint8

// The methods.
const (
	RoundRobin BalancingPolicy = iota
	LeastConn
	IPHash
	Hash
	HashConsistent
	RandomTwo
)

// balancingPolicyNames are the words for methods in the settings.
var balancingPolicyNames = [...]string{"round-robin", "least-conn", "ip-hash", "hash", "hash-consistent", "random-two"}

// String is the method's word.
func (m BalancingPolicy) String() string { return balancingPolicyNames[m] }

// ParseBalancingPolicy reads a method's word.
func ParseBalancingPolicy(word string) (BalancingPolicy, error) {
	for m, name := range balancingPolicyNames {
		if name == word {
			return BalancingPolicy(m), nil
		}
	}
	return 0, fmt.Errorf("no method is called %q, want one of %v", word, balancingPolicyNames)
}

// Member is one server of a pool.
type Member struct {
	Addr        string        // which names it, too: a member that stays over a reload is known by it
	Weight      int           // updatedAt least 1
	MaxConns    int           // attempts that it may have at once; 0 is any number
	MaxFails    int           // failures within FailTimeout after which it is left out for as long; 0 is never
	FailTimeout time.Duration //
	SlowStart   time.Duration // in which a member that comes back grows to its weight; 0 is at once
	Backup      bool          // only while no other can be had
	Down        bool          // not at all
}

// Config is what a pool is told.
type Config struct {
	Name            string
	BalancingPolicy BalancingPolicy `json:"Method"`
	Members         []Member

	MaxAttempts         int           `json:"Tries"`       // of one request, the first included; 0 is any number
	RetryTimeout        time.Duration `json:"TryFor"`      // no further try is begun later than this after the first; 0 is no bound
	RetryRatio          float64       `json:"BudgetShare"` // further tries for each first one; 0 is no budget
	MinRetriesPerSecond float64       `json:"BudgetLeast"` // further tries a second that are allowed in any case
	RetryBurst          float64       `json:"BudgetBurst"` // further tries that may come at once

	EjectionLatencyFactor float64       `json:"EjectFactor"` // a member is ejected at so many times the others' median latency; 0 is never
	EjectionErrorRate     float64       `json:"EjectErrors"` // or when so large a part of its last tries failed; 0 is never
	EjectionMinAttempts   int           `json:"EjectAfter"`  // attempts that have to be seen before
	BaseEjectionTime      time.Duration `json:"EjectFor"`    // the first time; twice as long each further time in a row
	MaxEjectedRatio       float64       `json:"EjectMost"`   // part of the members that may be out at once
	PanicThreshold        float64       `json:"PanicUnder"`  // part of the members in below which all are used, ejected or not
}

// DefaultConfig are nginx's, and a budget and ejection that only a broken pool meets.
func DefaultConfig() Config {
	return Config{RetryRatio: 0.15, MinRetriesPerSecond: 1, RetryBurst: 10, EjectionLatencyFactor: 5, EjectionErrorRate: 0.5,
		EjectionMinAttempts: 20, BaseEjectionTime: 5 * time.Second, MaxEjectedRatio: 0.3, PanicThreshold: 0.5}
}

// DefaultMember is a member with nginx's defaults.
func DefaultMember(addr string) Member {
	return Member{Addr: addr, Weight: 1, MaxFails: 1, FailTimeout: 10 * time.Second}
}

// maxWeight bounds weights, so that their sum over the most members fits.
const maxWeight = 1 << 31

// Validate names the first thing that makes no sense.
func (c *Config) Validate() error {
	if len(c.Members) == 0 {
		return fmt.Errorf("pool %s has no members", c.Name)
	}
	seen := map[string]bool{}
	primary := false
	for _, m := range c.Members {
		switch {
		case m.Addr == "":
			return fmt.Errorf("pool %s has a member without an address", c.Name)
		case seen[m.Addr]:
			return fmt.Errorf("pool %s has the member %s twice", c.Name, m.Addr)
		case m.Weight < 1 || m.Weight > maxWeight:
			return fmt.Errorf("pool %s: member %s has the weight %d, want 1 to %d", c.Name, m.Addr, m.Weight, maxWeight)
		case m.MaxConns < 0 || m.MaxFails < 0 || m.FailTimeout < 0 || m.SlowStart < 0:
			return fmt.Errorf("pool %s: member %s has a figure below 0", c.Name, m.Addr)
		case m.Backup && (c.BalancingPolicy == IPHash || c.BalancingPolicy == Hash || c.BalancingPolicy == HashConsistent || c.BalancingPolicy == RandomTwo):
			return fmt.Errorf("pool %s: member %s is a backup, which the method %v does not know", c.Name, m.Addr, c.BalancingPolicy)
		}
		seen[m.Addr] = true
		primary = primary || !m.Backup
	}
	switch {
	case !primary:
		return fmt.Errorf("pool %s has only backups", c.Name)
	case c.MaxAttempts < 0 || c.RetryTimeout < 0 || c.RetryRatio < 0 || c.MinRetriesPerSecond < 0 || c.RetryRatio > 0 && c.RetryBurst < 1:
		return fmt.Errorf("pool %s: tries and budgets can't be below 0, nor a burst below 1", c.Name)
	case c.MaxEjectedRatio < 0 || c.MaxEjectedRatio > 1 || c.PanicThreshold < 0 || c.PanicThreshold > 1:
		return fmt.Errorf("pool %s: parts of members are 0 to 1", c.Name)
	}
	return nil
}
