package pool

import (
	"testing"
	"time"
)

// TestMaxFails takes a member out after its failures, probes it once after its time out, and takes it back.
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
			t.Fatal("a member that is out was chosen")
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
		t.Errorf("%d attempts probe a member that may be back, want one", probes)
	}
	p.Finish(faulty, Succeeded, 0, now)
	states := ""
	for _, c := range p.TakeChanges() {
		states += c.State + " "
	}
	if states != "out probing in " {
		t.Errorf("changes: %s", states)
	}
}

// TestSingleMember never takes out the only member, nor one whose failures do not count.
func TestSingleMember(t *testing.T) {
	p := newPool(t, RoundRobin, nil, 1)
	for range 100 {
		addr := pick(p, "", 0)
		if addr == "" {
			t.Fatal("the only member is taken out")
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
		t.Errorf("max_fails=0: %d of 100", chosen)
	}
}
