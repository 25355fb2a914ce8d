package pool

import (
	"fmt"
	"time"
)

// Member is the configuration of one server of a pool.
type Member struct {
	// Addr identifies the member: one that stays over a reload is found by it.
	Addr     string `json:"Addr"`
	Weight   int    `json:"Weight"`   // at least 1
	MaxConns int    `json:"MaxConns"` // attempts in flight at once; 0 is no limit
	// MaxFails is the number of failures within FailTimeout after which the member gets no attempts for as long; 0 is
	// never.
	MaxFails    int           `json:"MaxFails"`
	FailTimeout time.Duration `json:"FailTimeout"`
	SlowStart   time.Duration `json:"SlowStart"` // in which a member that comes back grows to its weight; 0 is at once
	Backup      bool          `json:"Backup"`    // used only while no other member is available
	Down        bool          `json:"Down"`      // never used
}

// Config is the configuration of a pool. Its JSON keys, here and in the types that it consists of, are part of the output
// of `config show --json`.
type Config struct {
	Name            string          `json:"Name"`
	BalancingPolicy BalancingPolicy `json:"Method"`
	Members         []Member        `json:"Members"`
	RetryPolicy
	OutlierDetection
}

// RetryPolicy bounds the attempts of one request and, by a budget, the retries of all requests.
type RetryPolicy struct {
	MaxAttempts         int           `json:"Tries"`       // of one request, the first included; 0 is no limit
	RetryTimeout        time.Duration `json:"TryFor"`      // from the first attempt to the last retry's begin; 0 is no limit
	RetryRatio          float64       `json:"BudgetShare"` // retries that a first attempt adds to the budget; 0 is no budget
	MinRetriesPerSecond float64       `json:"BudgetLeast"` // retries that the budget gains by time alone
	RetryBurst          float64       `json:"BudgetBurst"` // retries that the budget holds at most
}

// OutlierDetection says when a member is ejected and how many may be.
type OutlierDetection struct {
	// EjectionLatencyFactor is how many times the others' median latency a member's must be for an ejection; 0 is never.
	EjectionLatencyFactor float64 `json:"EjectFactor"`
	// EjectionErrorRate is the share of its recent attempts that must have failed for an ejection; 0 is never.
	EjectionErrorRate   float64       `json:"EjectErrors"`
	EjectionMinAttempts int           `json:"EjectAfter"` // attempts of a member before it can be ejected
	BaseEjectionTime    time.Duration `json:"EjectFor"`   // of the first ejection; each one in a row takes twice as long
	MaxEjectedRatio     float64       `json:"EjectMost"`  // share of the members that may be ejected at once
	PanicThreshold      float64       `json:"PanicUnder"` // share of available members below which ejections are ignored
}

// DefaultConfig returns nginx's defaults, with a retry budget and outlier detection that only a pool with faulty members
// notices.
func DefaultConfig() Config {
	return Config{
		RetryPolicy: RetryPolicy{
			RetryRatio:          0.15,
			MinRetriesPerSecond: 1,
			RetryBurst:          10,
		},
		OutlierDetection: OutlierDetection{
			EjectionLatencyFactor: 5,
			EjectionErrorRate:     0.5,
			EjectionMinAttempts:   20,
			BaseEjectionTime:      5 * time.Second,
			MaxEjectedRatio:       0.3,
			PanicThreshold:        0.5,
		},
	}
}

// DefaultMember returns a member with nginx's defaults.
func DefaultMember(addr string) Member {
	return Member{Addr: addr, Weight: 1, MaxFails: 1, FailTimeout: 10 * time.Second}
}

// maxWeight bounds weights so that the sum over a pool's members can't overflow.
const maxWeight = 1 << 31

// ConfigError is a setting of a pool that is missing or out of range.
type ConfigError struct {
	Pool   string // the pool's name
	Member string // the member's address; empty for a setting of the pool itself
	text   string
}

// Error implements error.
func (e *ConfigError) Error() string { return e.text }

// Validate returns a *ConfigError for the first setting that is missing or out of range.
func (c *Config) Validate() error {
	if len(c.Members) == 0 {
		return c.errorf("", "pool %s has no members", c.Name)
	}
	configured := map[string]bool{}
	hasPrimary := false
	for _, member := range c.Members {
		if configured[member.Addr] {
			return c.errorf(member.Addr, "pool %s has the member %s twice", c.Name, member.Addr)
		}
		if err := c.validateMember(member); err != nil {
			return err
		}
		configured[member.Addr] = true
		hasPrimary = hasPrimary || !member.Backup
	}
	switch {
	case !hasPrimary:
		return c.errorf("", "pool %s has only backups", c.Name)
	case !c.RetryPolicy.isValid():
		return c.errorf("", "pool %s: tries and budgets can't be below 0, nor a burst below 1", c.Name)
	case isOutsideShare(c.MaxEjectedRatio) || isOutsideShare(c.PanicThreshold):
		return c.errorf("", "pool %s: parts of members are 0 to 1", c.Name)
	}
	return nil
}

// validateMember checks the settings of one member by themselves.
func (c *Config) validateMember(member Member) error {
	switch {
	case member.Addr == "":
		return c.errorf("", "pool %s has a member without an address", c.Name)
	case member.Weight < 1 || member.Weight > maxWeight:
		return c.errorf(member.Addr, "pool %s: member %s has the weight %d, want 1 to %d", c.Name, member.Addr,
			member.Weight, maxWeight)
	case member.MaxConns < 0 || member.MaxFails < 0 || member.FailTimeout < 0 || member.SlowStart < 0:
		return c.errorf(member.Addr, "pool %s: member %s has a figure below 0", c.Name, member.Addr)
	case member.Backup && c.BalancingPolicy.rejectsBackups():
		return c.errorf(member.Addr, "pool %s: member %s is a backup, which the method %v does not know", c.Name, member.Addr,
			c.BalancingPolicy)
	}
	return nil
}

// isValid reports whether all limits are in range.
func (r *RetryPolicy) isValid() bool {
	if r.MaxAttempts < 0 || r.RetryTimeout < 0 || r.RetryRatio < 0 || r.MinRetriesPerSecond < 0 {
		return false
	}
	if hasBudget := r.RetryRatio > 0; hasBudget && r.RetryBurst < 1 {
		return false
	}
	return true
}

// isOutsideShare reports whether a figure can't be a share of a whole.
func isOutsideShare(v float64) bool { return v < 0 || v > 1 }

// errorf returns a *ConfigError about a member of the pool, or about the pool itself if the address is empty.
func (c *Config) errorf(member, format string, args ...any) error {
	return &ConfigError{Pool: c.Name, Member: member, text: fmt.Sprintf(format, args...)}
}
