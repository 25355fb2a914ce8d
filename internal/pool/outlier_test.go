package pool

import (
	"testing"
	"time"
)

// TestEjection ejects a member that is nine times as slow and two that fail, no more than may be ejected, and takes them
// back after a probe.
func TestEjection(t *testing.T) {
	p := newPool(t, RoundRobin, func(c *Config) {
		for i := range c.Members {
			c.Members[i].MaxFails = 0
		}
	}, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	slow, failing := p.cfg.Members[2].Addr, map[string]bool{}
	for _, m := range p.cfg.Members[4:6] {
		failing[m.Addr] = true
	}
	now := time.Duration(0)
	attempt := func(isOutage bool) {
		now += time.Millisecond
		addr := pick(p, "", now)
		took, outcome := 10*time.Millisecond, Succeeded
		if isOutage && addr == slow {
			took = 90 * time.Millisecond
		}
		if isOutage && failing[addr] && int(now/time.Millisecond)%10 < 8 {
			outcome = Failed
		}
		p.Finish(addr, outcome, took, now)
	}
	for range 2000 {
		attempt(true)
	}
	if !p.byAddr[slow].isEjected || p.ejected != 3 {
		t.Errorf("%d are ejected, the slow one %t; want 3 of 10 with it", p.ejected, p.byAddr[slow].isEjected)
	}
	for range 60_000 {
		attempt(false)
	}
	if p.ejected != 0 {
		t.Errorf("%d members did not come back", p.ejected)
	}
}
