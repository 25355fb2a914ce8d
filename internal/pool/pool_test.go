package pool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// of is a pool of members a, b, c and so on with these weights.
func of(t testing.TB, method BalancingPolicy, change func(c *Config), weights ...int) *Pool {
	t.Helper()
	c := DefaultConfig()
	c.Name, c.BalancingPolicy = "p", method
	for i, w := range weights {
		m := DefaultMember(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1))
		m.Weight = w
		c.Members = append(c.Members, m)
	}
	if change != nil {
		change(&c)
	}
	p, err := New(c, rng(1), 0)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// selectMember chooses for a new request.
func pick(p *Pool, key string, now time.Duration) string {
	addr, _ := p.Pick(&Request{HashKey: []byte(key)}, now)
	return addr
}

// TestSmooth has the sequence that nginx's own commit message states for weights 5, 1 and 1: a a b a c a a.
func TestSmooth(t *testing.T) {
	p := of(t, RoundRobin, nil, 5, 1, 1)
	got := ""
	for range 14 {
		got += string(rune('a' + p.byAddr[pick(p, "", 0)].index))
	}
	if got != "aabacaaaabacaa" {
		t.Errorf("chosen %s", got)
	}
}

// TestBalance compares a million choices of each method with what its weights say.
func TestBalance(t *testing.T) {
	const picks = 1_000_000
	weights := []int{1, 2, 3, 10}
	for _, method := range []BalancingPolicy{RoundRobin, LeastConn, IPHash, Hash, HashConsistent, RandomTwo} {
		p := of(t, method, nil, weights...)
		counts := map[string]int{}
		r := rng(7)
		for range picks {
			key := [4]byte{byte(r.Uint32()), byte(r.Uint32()), byte(r.Uint32()), 1}
			addr, ok := p.Pick(&Request{HashKey: key[:]}, 0)
			if !ok {
				t.Fatal("no member")
			}
			counts[addr]++
			if method != LeastConn && method != RandomTwo {
				p.Finish(addr, Succeeded, time.Millisecond, 0)
			}
		}
		for i, w := range weights {
			want := float64(picks) * float64(w) / 16
			off := math.Abs(float64(counts[p.members[i].Addr])-want) / want
			// Exact for round robin and least_conn; by chance or by the hashes' grain elsewhere.
			most := map[BalancingPolicy]float64{RoundRobin: 0, LeastConn: 0.0001, RandomTwo: 0.001, IPHash: 0.02, Hash: 0.02,
				HashConsistent: 0.15}[method]
			if off > most {
				t.Errorf("%v: member of weight %d got %d of %d, %.4f off", method, w, counts[p.members[i].Addr], picks, off)
			}
		}
	}
}

// TestConsistentMoves has no more keys move than must when a member leaves: at most 1.2 of its part.
func TestConsistentMoves(t *testing.T) {
	for _, n := range []int{5, 20, 100} {
		weights := make([]int, n)
		for i := range weights {
			weights[i] = 1
		}
		p := of(t, HashConsistent, nil, weights...)
		cfg := p.cfg
		const keys = 100_000
		before := make([]string, keys)
		for k := range before {
			before[k] = pick(p, fmt.Sprint("key", k), 0)
		}
		gone := cfg.Members[n/2].Addr
		cfg.Members = append(append([]Member(nil), cfg.Members[:n/2]...), cfg.Members[n/2+1:]...)
		if err := p.Update(cfg, 0); err != nil {
			t.Fatal(err)
		}
		moved, foreign := 0, 0
		for k := range before {
			if after := pick(p, fmt.Sprint("key", k), 0); after != before[k] {
				moved++
				if before[k] != gone {
					foreign++
				}
			}
		}
		if part := float64(moved) / keys; part > 1.2/float64(n) || foreign > 0 {
			t.Errorf("%d members: %.4f of the keys moved, %d of them of members that stayed", n, part, foreign)
		}
	}
}

// TestFailures leaves a member out after its failures, tries it once after its time, and takes it back.
func TestFailures(t *testing.T) {
	p := of(t, RoundRobin, func(c *Config) { c.EjectionErrorRate, c.EjectionLatencyFactor = 0, 0 }, 1, 1)
	bad := p.members[0].Addr
	fail := func(now time.Duration) {
		for range 2 {
			if addr := pick(p, "", now); addr == bad {
				p.Finish(addr, Failed, 0, now)
			} else {
				p.Finish(addr, Succeeded, 0, now)
			}
		}
	}
	fail(time.Second)
	for range 10 {
		if addr := pick(p, "", 2*time.Second); addr == bad {
			t.Fatal("a member that is out was chosen")
		}
	}
	now := 12 * time.Second
	seen := 0
	for range 10 {
		if pick(p, "", now) == bad {
			seen++
		}
	}
	if seen != 1 {
		t.Errorf("%d tries probe a member that may be back, want one", seen)
	}
	p.Finish(bad, Succeeded, 0, now)
	what := ""
	for _, c := range p.TakeChanges() {
		what += c.State + " "
	}
	if what != "out probing in " {
		t.Errorf("changes: %s", what)
	}
}

// TestRotation has a pool of equals go in turn, as smooth round robin does, also over failures and back.
func TestRotation(t *testing.T) {
	p := of(t, RoundRobin, func(c *Config) { c.EjectionErrorRate, c.EjectionLatencyFactor = 0, 0 }, 1, 1, 1, 1, 1)
	counts, r := map[string]int{}, rng(5)
	for i := range 5000 {
		now := time.Duration(i) * 100 * time.Millisecond
		addr := pick(p, "", now)
		counts[addr]++
		o := Succeeded
		if i%1000 < 5 && r.IntN(2) == 0 {
			o = Failed
		}
		p.Finish(addr, o, time.Millisecond, now)
	}
	if !p.rotating {
		t.Error("a calm pool does not go in turn")
	}
	for addr, n := range counts {
		if n < 800 || n > 1200 { // each failure takes a member out for a hundred choices
			t.Errorf("%s was chosen %d times of 5,000", addr, n)
		}
	}
	q := &Request{}
	seen := map[string]bool{}
	for range 5 {
		addr, ok := p.Pick(q, time.Hour)
		if !ok || seen[addr] {
			t.Errorf("a request went to %s twice, or nowhere", addr)
		}
		seen[addr] = true
	}
	if addr, ok := p.Pick(q, time.Hour); ok {
		t.Errorf("a request that has been to all goes to %s", addr)
	}
}

// TestAlone never leaves out the only member, and TestNoMaxFails one whose failures do not count.
func TestAlone(t *testing.T) {
	p := of(t, RoundRobin, nil, 1)
	for range 100 {
		addr := pick(p, "", 0)
		if addr == "" {
			t.Fatal("the only member is left out")
		}
		p.Finish(addr, Failed, 0, 0)
	}
	p = of(t, RoundRobin, func(c *Config) { c.Members[0].MaxFails, c.EjectionErrorRate = 0, 0 }, 1, 1)
	seen := 0
	for range 100 {
		addr := pick(p, "", 0)
		if addr == p.members[0].Addr {
			seen++
			p.Finish(addr, Failed, 0, 0)
		} else {
			p.Finish(addr, Succeeded, 0, 0)
		}
	}
	if seen != 50 {
		t.Errorf("max_fails=0: %d of 100", seen)
	}
}

// TestLimits has connections bounded, backups used last, and members that are down never.
func TestLimits(t *testing.T) {
	p := of(t, LeastConn, func(c *Config) {
		c.Members[0].MaxConns, c.Members[1].Down, c.Members[2].Backup, c.Members[2].MaxConns = 2, true, true, 1
	}, 1, 1, 1)
	a, c := p.cfg.Members[0].Addr, p.cfg.Members[2].Addr
	got := []string{pick(p, "", 0), pick(p, "", 0), pick(p, "", 0), pick(p, "", 0)}
	if !reflect.DeepEqual(got, []string{a, a, c, ""}) {
		t.Errorf("chosen %q", got)
	}
}

// TestWeightsOverTheSum has weights whose sum is over 2^31.
func TestWeightsOverTheSum(t *testing.T) {
	for _, method := range []BalancingPolicy{RoundRobin, LeastConn, IPHash, Hash, RandomTwo} {
		p := of(t, method, nil, maxWeight, maxWeight, maxWeight-1)
		seen := map[string]bool{}
		for i := range 300 {
			seen[pick(p, fmt.Sprint("k", i), 0)] = true
		}
		// nginx's hashes have 13 and 15 bits, so with such weights all falls on the first member there, too.
		if few := method == IPHash || method == Hash; len(seen) != 3 && !few || seen[""] {
			t.Errorf("%v: chosen %v", method, seen)
		}
	}
}

// TestNext decides on further tries: never of what may have run and must not run twice, and within the bounds.
func TestNext(t *testing.T) {
	p := of(t, RoundRobin, func(c *Config) { c.MaxAttempts, c.RetryTimeout = 2, time.Second }, 1, 1, 1)
	r := &Request{}
	p.Pick(r, 0)
	for f, want := range map[Failure]RetryDecision{
		{ConnectionError, true, true}: MayHaveRun, {ConnectionError, false, true}: Retry, {HTTP500, true, false}: NotRetryable, {Timeout, true, false}: Retry,
		{Rejection, true, true}: Retry,
	} {
		if got := p.DecideRetry(r, f, DefaultRetryOn|NonIdempotent, 0); got != want {
			t.Errorf("%+v: %v, want %v", f, got, want)
		}
	}
	if got := p.DecideRetry(r, Failure{Condition: ConnectionError}, DefaultRetryOn, time.Second); got != RetryTimeExceeded {
		t.Errorf("after its time: %v", got)
	}
	p.Pick(r, 0)
	if got := p.DecideRetry(r, Failure{Condition: ConnectionError}, DefaultRetryOn, 0); got != AttemptsExhausted {
		t.Errorf("after its tries: %v", got)
	}
}

// TestRetryStorm has every member fail three tries in ten for ten seconds: the load on them stays under 1.2 of what is
// offered with the budget.
func TestRetryStorm(t *testing.T) {
	load := func(share float64) float64 {
		p := of(t, RoundRobin, func(c *Config) { c.RetryRatio, c.MinRetriesPerSecond, c.EjectionErrorRate = share, 0, 0 }, 1, 1, 1, 1, 1)
		r, tries, firsts := rng(3), 0, 0
		for i := range 10_000 {
			now := time.Duration(i) * time.Millisecond
			req := &Request{}
			firsts++
			for {
				addr, ok := p.Pick(req, now)
				if !ok {
					break
				}
				tries++
				if r.Float64() >= 0.8 { // a retried one fails as often: the outage is everywhere
					p.Finish(addr, Succeeded, time.Millisecond, now)
					break
				}
				p.Finish(addr, Neutral, time.Millisecond, now)
				if p.DecideRetry(req, Failure{Condition: ConnectionError}, DefaultRetryOn, now) != Retry {
					break
				}
			}
		}
		return float64(tries) / float64(firsts)
	}
	with, without := load(0.15), load(0)
	t.Logf("load over what is offered: %.3f with the budget, %.3f without", with, without)
	if with > 1.2 || without < 2 {
		t.Errorf("load over what is offered: %.3f with the budget, %.3f without", with, without)
	}
}

// TestEjection takes out a member that is nine times as slow and one that fails, no more than may be out, and lets them
// back by a probe.
func TestEjection(t *testing.T) {
	p := of(t, RoundRobin, func(c *Config) {
		for i := range c.Members {
			c.Members[i].MaxFails = 0
		}
	}, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	slow, failing := p.cfg.Members[2].Addr, map[string]bool{}
	for _, m := range p.cfg.Members[4:6] {
		failing[m.Addr] = true
	}
	now := time.Duration(0)
	step := func(bad bool) (chosen string) {
		now += time.Millisecond
		addr := pick(p, "", now)
		took, o := 10*time.Millisecond, Succeeded
		if bad && addr == slow {
			took = 90 * time.Millisecond
		}
		if bad && failing[addr] && int(now/time.Millisecond)%10 < 8 {
			o = Failed
		}
		p.Finish(addr, o, took, now)
		return addr
	}
	for range 2000 {
		step(true)
	}
	if !p.byAddr[slow].isEjected || p.ejected != 3 {
		t.Errorf("%d are ejected, the slow one %t; want 3 of 10 with it", p.ejected, p.byAddr[slow].isEjected)
	}
	for range 60_000 {
		step(false)
	}
	if p.ejected != 0 {
		t.Errorf("%d members did not come back", p.ejected)
	}
}

// TestUpdate keeps what is known of members that stay, has those that left end their tries, and counts them to zero.
func TestUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := DefaultConfig()
		c.Name, c.BalancingPolicy = "p", BalancingPolicy(rapid.IntRange(0, int(RandomTwo)).Draw(t, "method"))
		members := func() (list []Member) {
			for i := range 6 {
				if rapid.Bool().Draw(t, "in") || i == 0 {
					list = append(list, DefaultMember(fmt.Sprintf("10.0.0.%d:80", i)))
				}
			}
			return list
		}
		c.Members = members()
		p, err := New(c, rng(1), 0)
		if err != nil {
			t.Fatal(err)
		}
		open, now := map[string]int{}, time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c.Members = members()
				if err := p.Update(c, now); err != nil {
					t.Fatal(err)
				}
			case 1, 2, 3, 4:
				addr := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 5).Draw(t, "addr"))
				if open[addr] > 0 {
					open[addr]--
					p.Finish(addr, Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), time.Millisecond, now)
				}
			default:
				addr, ok := p.Pick(&Request{HashKey: []byte{1, 2, 3, byte(rapid.IntRange(0, 255).Draw(t, "key"))}}, now)
				if !ok {
					break
				}
				open[addr]++
				if p.byAddr[addr] == nil {
					t.Fatalf("%s is chosen, which left", addr)
				}
			}
			for addr, n := range open {
				if p.InFlight(addr) != n {
					t.Fatalf("%s has %d open, want %d", addr, p.InFlight(addr), n)
				}
			}
		}
		if len(p.draining) > 6 {
			t.Fatal("members that left are kept")
		}
	})
}

// BenchmarkPick is a choice and its end in pools of all sizes.
func BenchmarkPick(b *testing.B) {
	for _, method := range []BalancingPolicy{RoundRobin, LeastConn, Hash, HashConsistent, RandomTwo} {
		for _, n := range []int{10, 1000, 20000} {
			b.Run(fmt.Sprintf("%v/%d", method, n), func(b *testing.B) {
				weights := make([]int, n)
				for i := range weights {
					weights[i] = 1
				}
				p := of(b, method, nil, weights...)
				key := []byte("12345678")
				i := 0
				for b.Loop() {
					i++
					key[0], key[1] = byte(i), byte(i>>8)
					addr, _ := p.Pick(&Request{HashKey: key}, 0)
					p.Finish(addr, Succeeded, time.Millisecond, 0)
				}
			})
		}
	}
}
