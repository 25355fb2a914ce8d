package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeastRanked has a large pool by least_conn choose, through failures, ejections, slow starts, bounds and reloads,
// what a look at all members allows: one that can be had, with no member of full weight that has less to do.
func TestLeastRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig()
		c.Name, c.BalancingPolicy, c.EjectionMinAttempts, c.MaxEjectedRatio = "p", LeastConn, 4, 0.6
		size := rapid.IntRange(rankingMinMembers, 2*rankingMinMembers).Draw(t, "size")
		draw := func() {
			c.Members = nil
			for i := range size {
				m := DefaultMember(fmt.Sprintf("10.0.0.%d:80", i))
				m.Weight, m.MaxConns = rapid.IntRange(1, 3).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "most")
				m.SlowStart = time.Duration(rapid.IntRange(0, 3).Draw(t, "slow")) * time.Second
				m.FailTimeout, m.MaxFails = time.Second, rapid.IntRange(0, 2).Draw(t, "fails")
				if rapid.IntRange(0, 9).Draw(t, "in") > 0 || len(c.Members) == 0 {
					c.Members = append(c.Members, m)
				}
			}
			for len(c.Members) < rankingMinMembers { // else it is no large pool
				m := DefaultMember(fmt.Sprintf("10.0.1.%d:80", len(c.Members)))
				c.Members = append(c.Members, m)
			}
		}
		draw()
		p, err := New(c, rng(rapid.Uint64().Draw(t, "seed")), 0)
		if err != nil {
			t.Fatal(err)
		}
		now, open := time.Duration(0), []string(nil)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
			switch what := rapid.IntRange(0, 99).Draw(t, "what"); {
			case what == 0:
				draw()
				if err := p.Update(c, now); err != nil {
					t.Fatal(err)
				}
			case what < 45 && len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				o := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				p.Finish(open[i], o, time.Duration(rapid.IntRange(1, 50).Draw(t, "took"))*time.Millisecond, now)
				open = append(open[:i], open[i+1:]...)
			default:
				r := &Request{}
				for range rapid.IntRange(1, 3).Draw(t, "tries") {
					before := map[*member]member{}
					panicking := p.isPanicking()
					for _, m := range p.members {
						if p.isUsable(m, r, now, panicking) {
							before[m] = *m
						}
					}
					addr, ok := p.Pick(r, now)
					if ok != (len(before) > 0) {
						t.Fatalf("chosen %t, %d can be had", ok, len(before))
					}
					if !ok {
						break
					}
					open = append(open, addr)
					chosen, could := before[p.byAddr[addr]]
					if !could {
						t.Fatalf("%s is chosen and can't be had", addr)
					}
					for _, m := range before {
						probe := m.isEjected || m.MaxFails > 0 && m.fails >= m.MaxFails
						if inFull := !m.slowStarting || now-m.rampStart >= m.SlowStart; !probe && inFull && m.effectiveWeight >= m.Weight && compareLoad(&m, &chosen) < 0 {
							t.Fatalf("%s is chosen with %d open for %d, %s has %d for %d", addr, chosen.inFlight, chosen.Weight,
								m.Addr, m.inFlight, m.Weight)
						}
					}
				}
			}
		}
	})
}

// TestLeastRankedBalance has 10^6 choices in a large pool of several weights fall on each member by its weight.
func TestLeastRankedBalance(t *testing.T) {
	const n, picks = 300, 1_000_000
	weights, total := make([]int, n), 0
	for i := range weights {
		weights[i] = 1 + i%4
		total += weights[i]
	}
	p := of(t, LeastConn, func(c *Config) { c.EjectionErrorRate, c.EjectionLatencyFactor = 0, 0 }, weights...)
	counts := map[string]int{}
	for range picks {
		counts[pick(p, "", 0)]++ // none ends, so all that is open is what was chosen
	}
	for i, m := range p.members {
		want := float64(picks) * float64(weights[i]) / float64(total)
		if off := math.Abs(float64(counts[m.Addr]) - want); off > 2 {
			t.Fatalf("member of weight %d was chosen %d times, want %.1f", weights[i], counts[m.Addr], want)
		}
	}
}

// TestLeastRankedSlowStart has a member of a large pool that comes back take its part of the turns, no more.
func TestLeastRankedSlowStart(t *testing.T) {
	weights := make([]int, 100)
	for i := range weights {
		weights[i] = 10
	}
	p := of(t, LeastConn, func(c *Config) {
		c.EjectionErrorRate, c.EjectionLatencyFactor = 0, 0
		c.Members[0].SlowStart = 10 * time.Second
	}, weights...)
	slow := p.members[0]
	slow.slowStarting, slow.rampStart = true, 0
	turns := func(now time.Duration) (n int) {
		for range 100_000 {
			addr := pick(p, "", now)
			if addr == slow.Addr {
				n++
			}
			p.Finish(addr, Succeeded, time.Millisecond, now)
		}
		return n
	}
	for _, c := range []struct {
		now         time.Duration
		least, most int
	}{{time.Second, 50, 150}, {5 * time.Second, 400, 600}, {20 * time.Second, 1000, 1000}} {
		if n := turns(c.now); n < c.least || n > c.most {
			t.Errorf("after %v: %d of 1,000 turns, want %d to %d", c.now, n, c.least, c.most)
		}
	}
}
