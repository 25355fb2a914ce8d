package pool

import (
	"testing"
	"time"
)

// TestEjection checks that one member that is nine times as slow as the others and two failing members are ejected, up
// to MaxEjectedRatio, and that they become available again after the outage.
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
		t.Errorf("%d members are ejected, the slow one %t; want 3 of 10, including the slow one", p.ejected, p.byAddr[slow].isEjected)
	}
	for range 60_000 {
		attempt(false)
	}
	if p.ejected != 0 {
		t.Errorf("%d members are still ejected after the outage, want 0", p.ejected)
	}
}
