package pool

import (
	"testing"
	"time"
)

// TestMaxFails checks that a member becomes unavailable after its failures, gets a single probing attempt after
// FailTimeout, and is available again once the probe succeeds.
func TestMaxFails(t *testing.T) {
	p := newPool(t, RoundRobin, disableEjection, 1, 1)
	faulty := p.members[0].Addr
	for range 2 {
		if addr := pick(p, "", time.Second); addr == faulty {
			p.Finish(addr, Failed, 0, time.Second)
		} else {
			p.Finish(addr, Succeeded, 0, time.Second)
		}
	}
	for range 10 {
		if addr := pick(p, "", 2*time.Second); addr == faulty {
			t.Fatal("an unavailable member was chosen")
		}
	}
	now := 12 * time.Second
	probes := 0
	for range 10 {
		if pick(p, "", now) == faulty {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("%d probing attempts to the member after its fail timeout, want 1", probes)
	}
	p.Finish(faulty, Succeeded, 0, now)
	states := ""
	for _, c := range p.TakeChanges() {
		states += c.State + " "
	}
	if states != "out probing in " {
		t.Errorf("state changes \"%s\", want \"out probing in \"", states)
	}
}

// TestSingleMember checks that the only member of a pool stays available whatever fails, and so does a member whose
// failures don't count (MaxFails 0).
func TestSingleMember(t *testing.T) {
	p := newPool(t, RoundRobin, nil, 1)
	for range 100 {
		addr := pick(p, "", 0)
		if addr == "" {
			t.Fatal("the only member became unavailable")
		}
		p.Finish(addr, Failed, 0, 0)
	}
	p = newPool(t, RoundRobin, func(c *Config) { c.Members[0].MaxFails, c.EjectionErrorRate = 0, 0 }, 1, 1)
	chosen := 0
	for range 100 {
		addr := pick(p, "", 0)
		if addr == p.members[0].Addr {
			chosen++
			p.Finish(addr, Failed, 0, 0)
		} else {
			p.Finish(addr, Succeeded, 0, 0)
		}
	}
	if chosen != 50 {
		t.Errorf("the member with max_fails=0 got %d of 100 attempts, want 50", chosen)
	}
}
