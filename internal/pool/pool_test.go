package pool

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newRand returns a source of random numbers with the seed.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// newPool returns a pool with one member for each weight. If change is not nil, it can modify the configuration.
func newPool(t testing.TB, policy BalancingPolicy, change func(c *Config), weights ...int) *Pool {
	t.Helper()
	c := DefaultConfig()
	c.Name = "p"
	c.BalancingPolicy = policy
	for i, w := range weights {
		m := DefaultMember(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1))
		m.Weight = w
		c.Members = append(c.Members, m)
	}
	if change != nil {
		change(&c)
	}
	p, err := New(c, newRand(1), 0)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// disableEjection disables outlier ejection; it is passed to newPool.
func disableEjection(c *Config) { c.EjectionErrorRate, c.EjectionLatencyFactor = 0, 0 }

// pick returns the member chosen for a new request, or "" if there is none.
func pick(p *Pool, key string, now time.Duration) string {
	addr, _ := p.Pick(&Request{HashKey: []byte(key)}, now)
	return addr
}

// TestMemberLimits checks MaxConns, and that backups are used last and members that are down never.
func TestMemberLimits(t *testing.T) {
	p := newPool(t, LeastConn, func(c *Config) {
		c.Members[0].MaxConns, c.Members[1].Down, c.Members[2].Backup, c.Members[2].MaxConns = 2, true, true, 1
	}, 1, 1, 1)
	a, c := p.cfg.Members[0].Addr, p.cfg.Members[2].Addr
	got := []string{pick(p, "", 0), pick(p, "", 0), pick(p, "", 0), pick(p, "", 0)}
	if !reflect.DeepEqual(got, []string{a, a, c, ""}) {
		t.Errorf("chose %q, want the first member twice, then the backup, then none", got)
	}
}

// TestMaxWeights checks the policies with weights whose sum exceeds 2^31.
func TestMaxWeights(t *testing.T) {
	for _, policy := range []BalancingPolicy{RoundRobin, LeastConn, IPHash, Hash, RandomTwo} {
		p := newPool(t, policy, nil, maxWeight, maxWeight, maxWeight-1)
		chosen := map[string]bool{}
		for i := range 300 {
			chosen[pick(p, fmt.Sprint("k", i), 0)] = true
		}
		// The hashes of ip_hash and hash have 13 and 15 bits, so the first member gets all requests, as in nginx.
		if isShortHash := policy == IPHash || policy == Hash; len(chosen) != 3 && !isShortHash || chosen[""] {
			t.Errorf("%v: chose %v, want all 3 members unless the hash is short, and a member for each request", policy, chosen)
		}
	}
}

// TestUpdate checks that Update keeps the counts of attempts in flight at members that are still configured, and at
// removed members until these attempts have ended.
func TestUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Name = "p"
		config.BalancingPolicy = BalancingPolicy(rapid.IntRange(0, int(RandomTwo)).Draw(t, "method"))
		members := func() (list []Member) {
			for i := range 6 {
				if rapid.Bool().Draw(t, "include") || i == 0 {
					list = append(list, DefaultMember(fmt.Sprintf("10.0.0.%d:80", i)))
				}
			}
			return list
		}
		config.Members = members()
		p, err := New(config, newRand(1), 0)
		if err != nil {
			t.Fatal(err)
		}
		inFlight, now := map[string]int{}, time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				config.Members = members()
				if err := p.Update(config, now); err != nil {
					t.Fatal(err)
				}
			case 1, 2, 3, 4:
				addr := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, 5).Draw(t, "addr"))
				if inFlight[addr] > 0 {
					inFlight[addr]--
					p.Finish(addr, Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), time.Millisecond, now)
				}
			default:
				addr, ok := p.Pick(&Request{HashKey: []byte{1, 2, 3, byte(rapid.IntRange(0, 255).Draw(t, "key"))}}, now)
				if !ok {
					break
				}
				inFlight[addr]++
				if p.byAddr[addr] == nil {
					t.Fatalf("%s was chosen after its removal from the configuration", addr)
				}
			}
			for addr, n := range inFlight {
				if p.InFlight(addr) != n {
					t.Fatalf("%s has %d attempts in flight, want %d", addr, p.InFlight(addr), n)
				}
			}
		}
		if len(p.draining) > 6 {
			t.Fatal("more members are draining than were ever configured")
		}
	})
}

// BenchmarkPick measures Pick and Finish in pools of 10 to 20,000 members.
func BenchmarkPick(b *testing.B) {
	for _, policy := range []BalancingPolicy{RoundRobin, LeastConn, Hash, HashConsistent, RandomTwo} {
		for _, n := range []int{10, 1000, 20000} {
			b.Run(fmt.Sprintf("%v/%d", policy, n), func(b *testing.B) {
				weights := make([]int, n)
				for i := range weights {
					weights[i] = 1
				}
				p := newPool(b, policy, nil, weights...)
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
