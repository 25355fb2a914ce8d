package pool

import (
	"container/heap"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// fleet simulates several processes that send requests to the same members. Each process has its own pool and no
// information about the other processes.
type fleet struct {
	pools       []*Pool
	members     int
	rate        float64                    // requests per second of all processes
	meanLatency time.Duration              // of exponentially distributed latencies
	arrivals    map[string][]time.Duration // arrival times of the successful requests at each member
	now         time.Duration
	inFlight    completionHeap
	failing     map[string]bool // members at which every attempt fails
}

// completion is the scheduled end of an attempt in flight.
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

// newFleet returns a fleet whose pools use the policy.
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

// config returns the configuration of each pool, with the given number of members.
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

// run simulates requests that arrive at random until the given time, each sent by a random process.
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

// maxExcess returns the largest excess over the limit among the windows of a member's arrivals, and describes the worst
// window. The limit for a window is N + 2·√N + 2, where N is the member's expected number of requests while its share
// grows from 0 at the time from. Arrivals after the slow start are ignored, because hashed keys aren't spread evenly.
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
		meanRampShare := min(float64(at-window/2-from)/float64(fleetSlowStart), 1)
		expected := f.rate * window.Seconds() * max(meanRampShare, 0) / float64(f.members-1)
		if at < from+window { // the window begins before the slow start
			rampShare := float64(at-from) / float64(fleetSlowStart)
			expected = f.rate * (at - from).Seconds() * rampShare / 2 / float64(f.members-1)
		}
		requests := float64(last - first + 1)
		if limit := expected + 2*math.Sqrt(expected) + 2; requests-limit > excess {
			excess = requests - limit
			worst = fmt.Sprintf("%.0f requests in the %v before %v, limit %.1f", requests, window, at, limit)
		}
	}
	return excess, worst
}

// TestFleetSlowStart checks, for each policy, that a member isn't overloaded when 1, 20 or 30 processes start to use it at
// the same time, after it joins or recovers: together they send it at most N + 2·√N + 2 requests in any second, where N
// is its growing share. It also gets at least half of its fair share of the last 20 s.
func TestFleetSlowStart(t *testing.T) {
	const members, rate, window = 10, 400, time.Second
	for policy := RoundRobin; policy <= RandomTwo; policy++ {
		for _, processes := range []int{1, 20, 30} {
			for _, event := range []string{"joins", "recovers"} {
				t.Run(strings.ReplaceAll(fmt.Sprint(policy, " ", processes, " ", event), " ", "-"), func(t *testing.T) {
					violations, requests := 0, 0
					for seed := range uint64(10) {
						f := newFleet(t, policy, processes, members, rate, seed)
						f.meanLatency = 20 * time.Millisecond
						rampingUp := fmt.Sprintf("10.0.0.%d:80", members)
						from := time.Second
						if event == "joins" {
							for _, p := range f.pools {
								p.Update(f.config(policy, members-1), 0)
							}
							f.run(from, seed)
							for _, p := range f.pools {
								p.Update(f.config(policy, members), f.now)
							}
						} else {
							f.failing[rampingUp] = true
							f.run(5*time.Second, seed) // all processes see the member fail
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
						t.Errorf("%d of 10 runs exceeded the limit, want 0", violations)
					}
					if fair := rate * 2 * fleetSlowStart.Seconds() / members * 10; float64(requests) < fair/2 {
						t.Errorf("the member got %d requests, want at least half of its fair share of the last 20 s, which is %.0f", requests, fair)
					}
				})
			}
		}
	}
}

// earliestProbe returns the earliest time at which one of the pools may probe the failed member. Pools in which it hasn't
// reached MaxFails are ignored.
func earliestProbe(pools []*Pool, addr string) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, p := range pools {
		if m := p.findMember(addr); m.fails >= m.MaxFails {
			first = min(first, m.lastChecked+m.FailTimeout)
		}
	}
	return first
}

// TestFleetServesAll checks that no member is left without requests when many processes with little traffic start at the
// same time.
func TestFleetServesAll(t *testing.T) {
	for policy := RoundRobin; policy <= RandomTwo; policy++ {
		for _, processes := range []int{20, 30} {
			f := newFleet(t, policy, processes, 25, 100, uint64(policy))
			f.run(20*time.Second, uint64(processes))
			for _, m := range f.pools[0].members {
				if n := len(f.arrivals[m.Addr]); n < 20 { // a quarter of the fair share of 80
					t.Errorf("%v, %d processes: %s got %d of 2,000 requests, want at least 20", policy, processes, m.Addr, n)
				}
			}
		}
	}
}
