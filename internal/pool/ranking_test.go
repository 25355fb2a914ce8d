package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRanking compares the choices of a large LeastConn pool with a scan of all members, through failures, ejections, slow
// starts, limits and reloads: the chosen member is usable, and no usable member at full weight has less load.
func TestRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Name = "p"
		config.BalancingPolicy = LeastConn
		config.EjectionMinAttempts = 4
		config.MaxEjectedRatio = 0.6
		size := rapid.IntRange(rankingMinMembers, 2*rankingMinMembers).Draw(t, "size")
		drawMembers := func() {
			config.Members = nil
			for i := range size {
				member := DefaultMember(fmt.Sprintf("10.0.0.%d:80", i))
				member.Weight, member.MaxConns = rapid.IntRange(1, 3).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "maxConns")
				member.SlowStart = time.Duration(rapid.IntRange(0, 3).Draw(t, "slowStart")) * time.Second
				member.FailTimeout = time.Second
				member.MaxFails = rapid.IntRange(0, 2).Draw(t, "maxFails")
				if rapid.IntRange(0, 9).Draw(t, "include") > 0 || len(config.Members) == 0 {
					config.Members = append(config.Members, member)
				}
			}
			for len(config.Members) < rankingMinMembers { // a smaller pool has no ranking
				member := DefaultMember(fmt.Sprintf("10.0.1.%d:80", len(config.Members)))
				config.Members = append(config.Members, member)
			}
		}
		drawMembers()
		p, err := New(config, newRand(rapid.Uint64().Draw(t, "seed")), 0)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Duration(0)
		var inFlight []string // address of the member of each attempt
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "elapsed")) * time.Millisecond
			switch action := rapid.IntRange(0, 99).Draw(t, "action"); {
			case action == 0:
				drawMembers()
				if err := p.Update(config, now); err != nil {
					t.Fatal(err)
				}
			case action < 45 && len(inFlight) > 0:
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "attempt")
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				p.Finish(inFlight[i], outcome, time.Duration(rapid.IntRange(1, 50).Draw(t, "latency"))*time.Millisecond, now)
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			default:
				request := &Request{}
				for range rapid.IntRange(1, 3).Draw(t, "attempts") {
					usable := map[*poolMember]poolMember{} // copies from before the choice
					panicking := p.isPanicking()
					for _, member := range p.members {
						if p.isUsable(member, request, now, panicking) {
							usable[member] = *member
						}
					}
					addr, ok := p.Pick(request, now)
					if ok != (len(usable) > 0) {
						t.Fatalf("Pick found a member: %t, but %d members are usable", ok, len(usable))
					}
					if !ok {
						break
					}
					inFlight = append(inFlight, addr)
					chosen, wasUsable := usable[p.byAddr[addr]]
					if !wasUsable {
						t.Fatalf("%s was chosen but was not usable", addr)
					}
					for _, member := range usable {
						isProbe := member.isEjected || member.MaxFails > 0 && member.fails >= member.MaxFails
						isAtFullWeight := !member.slowStarting || now-member.rampStart >= member.SlowStart
						if !isProbe && isAtFullWeight && member.effectiveWeight >= member.Weight && compareLoad(&member, &chosen) < 0 {
							t.Fatalf("%s was chosen with %d in flight at weight %d, but %s has %d at weight %d", addr, chosen.inFlight,
								chosen.Weight, member.Addr, member.inFlight, member.Weight)
						}
					}
				}
			}
		}
	})
}

// TestRankingBalance checks that each member of a large pool with several weights gets its share by weight of 10^6
// choices, within 2.
func TestRankingBalance(t *testing.T) {
	const n, picks = 300, 1_000_000
	weights, total := make([]int, n), 0
	for i := range weights {
		weights[i] = 1 + i%4
		total += weights[i]
	}
	p := newPool(t, LeastConn, disableEjection, weights...)
	counts := map[string]int{}
	for range picks {
		counts[pick(p, "", 0)]++ // no attempt ends, so the attempts in flight equal the choices
	}
	for i, m := range p.members {
		want := float64(picks) * float64(weights[i]) / float64(total)
		if deviation := math.Abs(float64(counts[m.Addr]) - want); deviation > 2 {
			t.Fatalf("member of weight %d was chosen %d times, want %.1f within 2", weights[i], counts[m.Addr], want)
		}
	}
}

// TestRankingSlowStart checks that a recovering member of a large pool gets its growing share of the choices and no
// more.
func TestRankingSlowStart(t *testing.T) {
	weights := make([]int, 100)
	for i := range weights {
		weights[i] = 10
	}
	p := newPool(t, LeastConn, func(c *Config) {
		disableEjection(c)
		c.Members[0].SlowStart = 10 * time.Second
	}, weights...)
	recovering := p.members[0]
	recovering.slowStarting = true
	recovering.rampStart = 0
	countTurns := func(now time.Duration) (n int) {
		for range 100_000 {
			addr := pick(p, "", now)
			if addr == recovering.Addr {
				n++
			}
			p.Finish(addr, Succeeded, time.Millisecond, now)
		}
		return n
	}
	for _, c := range []struct {
		now      time.Duration
		min, max int
	}{{time.Second, 50, 150}, {5 * time.Second, 400, 600}, {20 * time.Second, 1000, 1000}} {
		if n := countTurns(c.now); n < c.min || n > c.max {
			t.Errorf("after %v: the member got %d choices, its full share is 1,000; want %d to %d", c.now, n, c.min, c.max)
		}
	}
}
