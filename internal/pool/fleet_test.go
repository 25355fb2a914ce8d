package pool

import (
	"container/heap"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// fleet is a number of processes that send to the same members, each by a pool of its own that knows nothing of the
// others.
type fleet struct {
	pools       []*Pool
	members     int
	rate        float64                    // requests a second of all processes
	meanLatency time.Duration              // of exponentially distributed ones
	arrivals    map[string][]time.Duration // when requests came to each member
	now         time.Duration
	inFlight    completionHeap
	failing     map[string]bool // members where every attempt fails
}

// completion is the end of an attempt in flight.
type completion struct {
	at   time.Duration
	pool *Pool
	addr string
}

// completionHeap orders completions by time.
type completionHeap []completion

// Len implements heap.Interface.
func (h completionHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *completionHeap) Push(x any) { *h = append(*h, x.(completion)) }

// Pop implements heap.Interface.
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const fleetSlowStart = 10 * time.Second

// newFleet returns a fleet of processes whose pools use the policy.
func newFleet(t *testing.T, policy BalancingPolicy, processes, members int, rate float64, seed uint64) *fleet {
	t.Helper()
	f := &fleet{
		members:     members,
		rate:        rate,
		meanLatency: 30 * time.Millisecond,
		arrivals:    map[string][]time.Duration{},
		failing:     map[string]bool{},
	}
	for n := range processes {
		p, err := New(f.config(policy, members), newRand(seed*1000+uint64(n)), 0)
		if err != nil {
			t.Fatal(err)
		}
		f.pools = append(f.pools, p)
	}
	return f
}

// config returns the configuration of each pool, with that many members.
func (f *fleet) config(policy BalancingPolicy, members int) Config {
	c := DefaultConfig()
	c.Name = "p"
	c.BalancingPolicy = policy
	for i := range members {
		m := DefaultMember(fmt.Sprintf("10.0.0.%d:80", i+1))
		m.SlowStart = fleetSlowStart
		c.Members = append(c.Members, m)
	}
	return c
}

// run has requests arrive until a time, from all processes at random.
func (f *fleet) run(until time.Duration, seed uint64) {
	random := newRand(seed)
	for {
		next := f.now + time.Duration(random.ExpFloat64()/f.rate*1e9)
		for len(f.inFlight) > 0 && f.inFlight[0].at <= min(next, until) {
			done := heap.Pop(&f.inFlight).(completion)
			done.pool.Finish(done.addr, Succeeded, f.meanLatency, done.at)
		}
		if next > until {
			f.now = until
			return
		}
		f.now = next
		p := f.pools[random.IntN(len(f.pools))]
		addr, ok := p.Pick(&Request{HashKey: fmt.Appendf(nil, "%d", random.Uint64())}, f.now)
		if !ok {
			continue
		}
		if f.failing[addr] {
			p.Finish(addr, Failed, time.Millisecond, f.now)
			continue
		}
		f.arrivals[addr] = append(f.arrivals[addr], f.now)
		latency := time.Duration(float64(f.meanLatency) * random.ExpFloat64())
		heap.Push(&f.inFlight, completion{f.now + latency, p, addr})
	}
}

// maxExcess returns by how much the requests that came to a member within a window were over the limit at most. The
// limit is N + 2·√N + 2, N being the member's share of the requests while it grows to its weight from a time on. What
// comes later than its slow start does not count: hashed keys are not spread evenly.
func (f *fleet) maxExcess(addr string, from, window time.Duration) (excess float64, worst string) {
	times := f.arrivals[addr]
	first := 0
	excess = math.Inf(-1)
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
		if limit := n + 2*math.Sqrt(n) + 2; got-limit > excess {
			excess = got - limit
			worst = fmt.Sprintf("%.0f requests in the %v before %v, where %.1f may come", got, window, at, limit)
		}
	}
	return excess, worst
}

// TestFleetSlowStart has 1, 20 and 30 processes learn of a member at once, as it joins and as it recovers, by each
// policy: all together send it no more than N + 2·√N + 2 in any second, and it gets requests.
func TestFleetSlowStart(t *testing.T) {
	const members, rate, window = 10, 400, time.Second
	for policy := RoundRobin; policy <= RandomTwo; policy++ {
		for _, processes := range []int{1, 20, 30} {
			for _, how := range []string{"joins", "comes back"} {
				t.Run(strings.ReplaceAll(fmt.Sprint(policy, " ", processes, " ", how), " ", "-"), func(t *testing.T) {
					violations, requests := 0, 0
					for seed := range uint64(10) {
						f := newFleet(t, policy, processes, members, rate, seed)
						f.meanLatency = 20 * time.Millisecond
						rampingUp := fmt.Sprintf("10.0.0.%d:80", members)
						from := time.Second
						if how == "joins" {
							for _, p := range f.pools {
								p.Update(f.config(policy, members-1), 0)
							}
							f.run(from, seed)
							for _, p := range f.pools {
								p.Update(f.config(policy, members), f.now)
							}
						} else {
							f.failing[rampingUp] = true
							f.run(5*time.Second, seed) // all of them learn that it is down
							delete(f.failing, rampingUp)
							from = earliestProbe(f.pools, rampingUp)
						}
						f.run(from+3*fleetSlowStart, seed+100)
						requests += len(f.arrivals[rampingUp])
						if excess, worst := f.maxExcess(rampingUp, from, window); excess > 0 {
							violations++
							t.Logf("seed %d: %s", seed, worst)
						}
					}
					if violations > 0 {
						t.Errorf("%d of 10 runs went over", violations)
					}
					if fair := rate * 2 * fleetSlowStart.Seconds() / members * 10; float64(requests) < fair/2 {
						t.Errorf("the member got %d requests, its fair share of the last 20 s alone is %.0f", requests, fair)
					}
				})
			}
		}
	}
}

// earliestProbe returns when the first of some pools may probe a member that failed.
func earliestProbe(pools []*Pool, addr string) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, p := range pools {
		if m := p.findMember(addr); m.fails >= m.MaxFails {
			first = min(first, m.lastChecked+m.FailTimeout)
		}
	}
	return first
}

// TestFleetServesAll starts many processes at once that send little each: no member is left without requests.
func TestFleetServesAll(t *testing.T) {
	for policy := RoundRobin; policy <= RandomTwo; policy++ {
		for _, processes := range []int{20, 30} {
			f := newFleet(t, policy, processes, 25, 100, uint64(policy))
			f.run(20*time.Second, uint64(processes))
			for _, m := range f.pools[0].members {
				if n := len(f.arrivals[m.Addr]); n < 20 { // a quarter of the fair share
					t.Errorf("%v, %d processes: %s got %d of 2,000 requests", policy, processes, m.Addr, n)
				}
			}
		}
	}
}
