package pool

import (
	"fmt"
	"time"
)

// Member is the configuration of one server of a pool.
type Member struct {
	// Addr identifies the member: a reload matches members by address.
	Addr     string `json:"Addr"`
	Weight   int    `json:"Weight"`   // at least 1
	MaxConns int    `json:"MaxConns"` // limit of attempts in flight; 0 is no limit
	// MaxFails is the number of failures within FailTimeout after which the member gets no attempts for FailTimeout; 0
	// disables the check.
	MaxFails    int           `json:"MaxFails"`
	FailTimeout time.Duration `json:"FailTimeout"`
	SlowStart   time.Duration `json:"SlowStart"` // ramp-up time of a new or recovered member to its weight; 0 is none
	Backup      bool          `json:"Backup"`    // used only while no other member is available
	Down        bool          `json:"Down"`      // never used
}

// Config is the configuration of a pool. Its JSON keys and those of the nested types are part of the output of
// `config show --json`.
type Config struct {
	Name            string          `json:"Name"`
	BalancingPolicy BalancingPolicy `json:"Method"`
	Members         []Member        `json:"Members"`
	RetryPolicy
	OutlierDetection
}

// RetryPolicy limits the attempts of each request and, with a budget, the retries of all requests together.
type RetryPolicy struct {
	MaxAttempts         int           `json:"Tries"`       // per request, including the first; 0 is no limit
	RetryTimeout        time.Duration `json:"TryFor"`      // from the first attempt to the last retry's start; 0 is no limit
	RetryRatio          float64       `json:"BudgetShare"` // retries that each first attempt adds to the budget; 0 disables it
	MinRetriesPerSecond float64       `json:"BudgetLeast"` // retries added to the budget by time, whatever the attempts
	RetryBurst          float64       `json:"BudgetBurst"` // capacity of the budget, in retries
}

// OutlierDetection configures when a member is ejected, for how long, and how many members may be ejected.
type OutlierDetection struct {
	// EjectionLatencyFactor is the multiple of the other members' median latency above which a member is ejected; 0
	// disables ejection for latency.
	EjectionLatencyFactor float64 `json:"EjectFactor"`
	// EjectionErrorRate is the fraction of a member's recent attempts that must have failed for an ejection; 0 disables
	// ejection for errors.
	EjectionErrorRate   float64       `json:"EjectErrors"`
	EjectionMinAttempts int           `json:"EjectAfter"` // attempts to a member before it can be ejected
	BaseEjectionTime    time.Duration `json:"EjectFor"`   // of the first ejection; doubles with each consecutive one
	MaxEjectedRatio     float64       `json:"EjectMost"`  // largest fraction of members ejected at the same time
	PanicThreshold      float64       `json:"PanicUnder"` // fraction of available members below which ejections are ignored
}

// DefaultConfig returns nginx's defaults, plus a retry budget and outlier detection that take effect only in a pool with
// faulty members.
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

// DefaultMember returns the configuration of a member with nginx's defaults.
func DefaultMember(addr string) Member {
	return Member{Addr: addr, Weight: 1, MaxFails: 1, FailTimeout: 10 * time.Second}
}

// maxWeight limits a member's weight, so that the sum of a pool's weights can't overflow.
const maxWeight = 1 << 31

// ConfigError reports a pool setting that is missing or out of range.
type ConfigError struct {
	Pool   string // the pool's name
	Member string // the member's address, or empty for a setting of the pool
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
		return c.errorf("", "pool %s: tries, try-for and the budget settings share and least must be at least 0, burst at least 1",
			c.Name)
	case isOutsideUnitInterval(c.MaxEjectedRatio) || isOutsideUnitInterval(c.PanicThreshold):
		return c.errorf("", "pool %s: the eject settings most and panic-under must be from 0 to 1", c.Name)
	}
	return nil
}

// validateMember checks one member's settings, without regard to the other members.
func (c *Config) validateMember(member Member) error {
	switch {
	case member.Addr == "":
		return c.errorf("", "pool %s has a member without an address", c.Name)
	case member.Weight < 1 || member.Weight > maxWeight:
		return c.errorf(member.Addr, "pool %s: member %s has the weight %d, want 1 to %d", c.Name, member.Addr,
			member.Weight, maxWeight)
	case member.MaxConns < 0 || member.MaxFails < 0 || member.FailTimeout < 0 || member.SlowStart < 0:
		return c.errorf(member.Addr, "pool %s: member %s: max-conns, max-fails, fail-timeout and slow-start must be at least 0",
			c.Name, member.Addr)
	case member.Backup && c.BalancingPolicy.rejectsBackups():
		return c.errorf(member.Addr, "pool %s: member %s is a backup, which the method %v does not support", c.Name, member.Addr,
			c.BalancingPolicy)
	}
	return nil
}

// isValid reports whether all settings are in range.
func (r *RetryPolicy) isValid() bool {
	if r.MaxAttempts < 0 || r.RetryTimeout < 0 || r.RetryRatio < 0 || r.MinRetriesPerSecond < 0 {
		return false
	}
	if hasBudget := r.RetryRatio > 0; hasBudget && r.RetryBurst < 1 {
		return false
	}
	return true
}

// isOutsideUnitInterval reports whether v is below 0 or above 1.
func isOutsideUnitInterval(v float64) bool { return v < 0 || v > 1 }

// errorf returns a *ConfigError for the member with the address, or for the pool if the address is empty.
func (c *Config) errorf(member, format string, args ...any) error {
	return &ConfigError{Pool: c.Name, Member: member, text: fmt.Sprintf(format, args...)}
}
