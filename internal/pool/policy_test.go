package pool

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestSmoothRoundRobin checks the sequence from nginx's commit message for the weights 5, 1 and 1: a a b a c a a.
func TestSmoothRoundRobin(t *testing.T) {
	p := newPool(t, RoundRobin, nil, 5, 1, 1)
	got := ""
	for range 14 {
		got += string(rune('a' + p.byAddr[pick(p, "", 0)].index))
	}
	if got != "aabacaaaabacaa" {
		t.Errorf("chose %s, want aabacaaaabacaa", got)
	}
}

// TestRotation checks that members of equal weight take turns as in smooth round robin, also after failures, and that
// one request isn't sent to a member twice.
func TestRotation(t *testing.T) {
	p := newPool(t, RoundRobin, disableEjection, 1, 1, 1, 1, 1)
	counts, random := map[string]int{}, newRand(5)
	for i := range 5000 {
		now := time.Duration(i) * 100 * time.Millisecond
		addr := pick(p, "", now)
		counts[addr]++
		outcome := Succeeded
		if i%1000 < 5 && random.IntN(2) == 0 {
			outcome = Failed
		}
		p.Finish(addr, outcome, time.Millisecond, now)
	}
	if !p.rotation.isActive {
		t.Error("rotation is not active, want it active while all members are available")
	}
	for addr, n := range counts {
		if n < 800 || n > 1200 { // each failure makes a member unavailable for a hundred choices
			t.Errorf("%s was chosen %d times of 5,000, want 800 to 1,200", addr, n)
		}
	}
	request := &Request{}
	attempted := map[string]bool{}
	for range 5 {
		addr, ok := p.Pick(request, time.Hour)
		if !ok || attempted[addr] {
			t.Errorf("attempt went to \"%s\", want a member that the request has not attempted", addr)
		}
		attempted[addr] = true
	}
	if addr, ok := p.Pick(request, time.Hour); ok {
		t.Errorf("a request that has attempted all members got %s, want none", addr)
	}
}

// TestBalance compares the distribution of a million choices by each policy with the weights.
func TestBalance(t *testing.T) {
	const picks = 1_000_000
	weights := []int{1, 2, 3, 10}
	for _, policy := range []BalancingPolicy{RoundRobin, LeastConn, IPHash, Hash, HashConsistent, RandomTwo} {
		p := newPool(t, policy, nil, weights...)
		counts := map[string]int{}
		random := newRand(7)
		for range picks {
			key := [4]byte{byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()), 1}
			addr, ok := p.Pick(&Request{HashKey: key[:]}, 0)
			if !ok {
				t.Fatal("no member was chosen")
			}
			counts[addr]++
			if policy != LeastConn && policy != RandomTwo {
				p.Finish(addr, Succeeded, time.Millisecond, 0)
			}
		}
		for i, w := range weights {
			want := float64(picks) * float64(w) / 16
			deviation := math.Abs(float64(counts[p.members[i].Addr])-want) / want
			// Round robin and least_conn are exact; the others vary with the random draws and the hashes.
			limit := map[BalancingPolicy]float64{RoundRobin: 0, LeastConn: 0.0001, RandomTwo: 0.001, IPHash: 0.02, Hash: 0.02,
				HashConsistent: 0.15}[policy]
			if deviation > limit {
				t.Errorf("%v: member of weight %d got %d of %d, relative deviation %.4f over the limit", policy, w,
					counts[p.members[i].Addr], picks, deviation)
			}
		}
	}
}

// TestConsistentHashMoves checks that few keys move when a member is removed: at most 1.2 times its share of the keys, and
// no keys of other members.
func TestConsistentHashMoves(t *testing.T) {
	for _, n := range []int{5, 20, 100} {
		weights := make([]int, n)
		for i := range weights {
			weights[i] = 1
		}
		p := newPool(t, HashConsistent, nil, weights...)
		cfg := p.cfg
		const keys = 100_000
		before := make([]string, keys)
		for k := range before {
			before[k] = pick(p, fmt.Sprint("key", k), 0)
		}
		removed := cfg.Members[n/2].Addr
		cfg.Members = append(append([]Member(nil), cfg.Members[:n/2]...), cfg.Members[n/2+1:]...)
		if err := p.Update(cfg, 0); err != nil {
			t.Fatal(err)
		}
		moved, unrelated := 0, 0
		for k := range before {
			if after := pick(p, fmt.Sprint("key", k), 0); after != before[k] {
				moved++
				if before[k] != removed {
					unrelated++
				}
			}
		}
		if share := float64(moved) / keys; share > 1.2/float64(n) || unrelated > 0 {
			t.Errorf("%d members: %.4f of the keys moved, %d of them from members that were not removed", n, share, unrelated)
		}
	}
}
