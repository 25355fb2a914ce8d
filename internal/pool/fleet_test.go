package pool

import (
	"container/heap"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// fleet is some processes that send to the same members, each by a pool of its own that knows nothing of the others.
type fleet struct {
	pools   []*Pool
	members int
	rate    float64 // requests a second of all processes
	took    time.Duration
	to      map[string][]time.Duration // when requests came to each member
	now     time.Duration
	open    endings
	refuse  map[string]bool // members that are down
}

// ending is a request under way.
type ending struct {
	at   time.Duration
	pool *Pool
	addr string
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const fleetSlowStart = 10 * time.Second

// newFleet is so many processes and members of a method.
func newFleet(t *testing.T, method BalancingPolicy, processes, members int, rate float64, seed uint64) *fleet {
	t.Helper()
	f := &fleet{members: members, rate: rate, took: 30 * time.Millisecond, to: map[string][]time.Duration{}, refuse: map[string]bool{}}
	for n := range processes {
		p, err := New(f.config(method, members), rng(seed*1000+uint64(n)), 0)
		if err != nil {
			t.Fatal(err)
		}
		f.pools = append(f.pools, p)
	}
	return f
}

func (f *fleet) config(method BalancingPolicy, members int) Config {
	c := DefaultConfig()
	c.Name, c.BalancingPolicy = "p", method
	for i := range members {
		m := DefaultMember(fmt.Sprintf("10.0.0.%d:80", i+1))
		m.SlowStart = fleetSlowStart
		c.Members = append(c.Members, m)
	}
	return c
}

// play has requests come until a time, from all processes, by chance.
func (f *fleet) play(until time.Duration, seed uint64) {
	chance := rng(seed)
	for {
		next := f.now + time.Duration(chance.ExpFloat64()/f.rate*1e9)
		for len(f.open) > 0 && f.open[0].at <= min(next, until) {
			e := heap.Pop(&f.open).(ending)
			e.pool.Finish(e.addr, Succeeded, f.took, e.at)
		}
		if next > until {
			f.now = until
			return
		}
		f.now = next
		p := f.pools[chance.IntN(len(f.pools))]
		addr, ok := p.Pick(&Request{HashKey: fmt.Appendf(nil, "%d", chance.Uint64())}, f.now)
		if !ok {
			continue
		}
		if f.refuse[addr] {
			p.Finish(addr, Failed, time.Millisecond, f.now)
			continue
		}
		f.to[addr] = append(f.to[addr], f.now)
		heap.Push(&f.open, ending{f.now + time.Duration(float64(f.took)*chance.ExpFloat64()), p, addr})
	}
}

// most is the largest number of requests that came to a member within a window over what may come, N + 2·√N + 2, N being
// its part of the requests while it grows to its weight from a time on. What comes to it later is no matter of its start:
// keys that are hashed fall as they may.
func (f *fleet) most(addr string, from, window time.Duration) (over float64, worst string) {
	times := f.to[addr]
	first := 0
	over = math.Inf(-1)
	for last, at := range times {
		if at > from+fleetSlowStart {
			break
		}
		for times[first] < at-window {
			first++
		}
		mean := min(float64(at-window/2-from)/float64(fleetSlowStart), 1)
		n := f.rate * window.Seconds() * max(mean, 0) / float64(f.members-1)
		if at < from+window { // part of the window lies before the member came
			grown := float64(at-from) / float64(fleetSlowStart)
			n = f.rate * (at - from).Seconds() * grown / 2 / float64(f.members-1)
		}
		got := float64(last - first + 1)
		if most := n + 2*math.Sqrt(n) + 2; got-most > over {
			over, worst = got-most, fmt.Sprintf("%.0f requests in the %v before %v, where %.1f may come", got, window, at, most)
		}
	}
	return over, worst
}

// TestFleetColdMember has 20 and 30 processes learn of a member at once, as it joins and as it comes back, by each method:
// all together send it no more than N + 2·√N + 2 in any second, and it is not left out.
func TestFleetColdMember(t *testing.T) {
	const members, rate, window = 10, 400, time.Second
	for method := RoundRobin; method <= RandomTwo; method++ {
		for _, processes := range []int{1, 20, 30} {
			for _, how := range []string{"joins", "comes back"} {
				t.Run(strings.ReplaceAll(fmt.Sprint(method, " ", processes, " ", how), " ", "-"), func(t *testing.T) {
					broken, sum := 0, 0
					for seed := range uint64(10) {
						f := newFleet(t, method, processes, members, rate, seed)
						f.took = 20 * time.Millisecond
						cold := fmt.Sprintf("10.0.0.%d:80", members)
						from := time.Second
						if how == "joins" {
							for _, p := range f.pools {
								p.Update(f.config(method, members-1), 0)
							}
							f.play(from, seed)
							for _, p := range f.pools {
								p.Update(f.config(method, members), f.now)
							}
						} else {
							f.refuse[cold] = true
							f.play(5*time.Second, seed) // all of them learn that it is down
							delete(f.refuse, cold)
							from = earliest(f.pools, cold)
						}
						f.play(from+3*fleetSlowStart, seed+100)
						sum += len(f.to[cold])
						if over, worst := f.most(cold, from, window); over > 0 {
							broken++
							t.Logf("seed %d: %s", seed, worst)
						}
					}
					if broken > 0 {
						t.Errorf("%d of 10 plays went over", broken)
					}
					if fair := rate * 2 * fleetSlowStart.Seconds() / members * 10; float64(sum) < fair/2 {
						t.Errorf("the member got %d requests, its fair part of the last 20 s alone is %.0f", sum, fair)
					}
				})
			}
		}
	}
}

// earliest is when the first of some processes may try a member again.
func earliest(pools []*Pool, addr string) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, p := range pools {
		if m := p.findMember(addr); m.fails >= m.MaxFails {
			first = min(first, m.lastChecked+m.FailTimeout)
		}
	}
	return first
}

// TestFleetServesAll has many processes with little to send each, that start at once: no member is left without requests.
func TestFleetServesAll(t *testing.T) {
	for method := RoundRobin; method <= RandomTwo; method++ {
		for _, processes := range []int{20, 30} {
			f := newFleet(t, method, processes, 25, 100, uint64(method))
			f.play(20*time.Second, uint64(processes))
			for _, m := range f.pools[0].members {
				if n := len(f.to[m.Addr]); n < 20 { // a quarter of the fair part
					t.Errorf("%v, %d processes: %s got %d of 2,000 requests", method, processes, m.Addr, n)
				}
			}
		}
	}
}
