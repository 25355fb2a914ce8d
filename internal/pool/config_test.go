package pool

import (
	"errors"
	"testing"
)

// TestConfigErrors checks that New reports each invalid setting with the pool, the member and the expected text.
func TestConfigErrors(t *testing.T) {
	for _, c := range []struct {
		change       func(c *Config)
		member, text string
	}{
		{func(c *Config) { c.Members = nil }, "", "pool p has no members"},
		{func(c *Config) { c.Members[0].Addr = "" }, "", "pool p has a member without an address"},
		{func(c *Config) { c.Members[1].Addr = "a" }, "a", "pool p has the member a twice"},
		{func(c *Config) { c.Members[1].Weight = 0 }, "b", "pool p: member b has the weight 0, want 1 to 2147483648"},
		{func(c *Config) { c.Members[0].SlowStart = -1 }, "a",
			"pool p: member a: max-conns, max-fails, fail-timeout and slow-start must be at least 0"},
		{func(c *Config) { c.BalancingPolicy, c.Members[1].Backup = IPHash, true }, "b",
			"pool p: member b is a backup, which the method ip-hash does not support"},
		{func(c *Config) { c.Members[0].Backup, c.Members[1].Backup = true, true }, "", "pool p has only backups"},
		{func(c *Config) { c.RetryBurst = 0 }, "",
			"pool p: tries, try-for and the budget settings share and least must be at least 0, burst at least 1"},
		{func(c *Config) { c.PanicThreshold = 2 }, "", "pool p: the eject settings most and panic-under must be from 0 to 1"},
	} {
		config := DefaultConfig()
		config.Name = "p"
		config.Members = []Member{DefaultMember("a"), DefaultMember("b")}
		c.change(&config)
		_, err := New(config, newRand(1), 0)
		var configError *ConfigError
		if !errors.As(err, &configError) {
			t.Errorf("error %v, want %s", err, c.text)
			continue
		}
		if configError.Pool != "p" || configError.Member != c.member || err.Error() != c.text {
			t.Errorf("error %v for pool %s, member %q, want %s for pool p, member %q", err, configError.Pool, configError.Member, c.text, c.member)
		}
	}
}
