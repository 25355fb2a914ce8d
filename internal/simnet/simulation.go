package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// The default delay of a segment, as on one Ethernet segment.
const (
	defaultDelay  = 50 * time.Microsecond
	defaultJitter = 150 * time.Microsecond
)

// streamSeed separates the simulation's random numbers from those that its user draws from the same seed.
const streamSeed = 0x5eed

// Simulation is the clock, the event queue and the network that all processes and handlers share. It is not safe for
// concurrent use: processes are coroutines of the goroutine that calls Run.
type Simulation struct {
	Network NetworkConfig
	Stats   Stats

	startTime time.Time
	now       time.Duration // since startTime
	seq       uint64
	queue     eventQueue
	rng       *rand.Rand

	listeners        map[netip.AddrPort]*socket
	datagramHandlers map[netip.AddrPort]func(payload []byte)
	partitions       map[[2]netip.Addr]bool // pairs of machines that can't reach each other, in both orders
	lastPort         uint16                 // of the ephemeral ports given out
}

// New returns an empty simulation whose clock shows startTime.
func New(seed uint64, startTime time.Time) *Simulation {
	return &Simulation{
		Network:          NetworkConfig{Delay: defaultDelay, Jitter: defaultJitter},
		startTime:        startTime.Round(0), // without the monotonic reading
		rng:              rand.New(rand.NewPCG(seed, streamSeed)),
		listeners:        map[netip.AddrPort]*socket{},
		datagramHandlers: map[netip.AddrPort]func([]byte){},
		partitions:       map[[2]netip.Addr]bool{},
	}
}

// Now returns the virtual wall-clock time.
func (s *Simulation) Now() time.Time { return s.startTime.Add(s.now) }

// Elapsed returns the virtual time since the simulation began.
func (s *Simulation) Elapsed() time.Duration { return s.now }

// After schedules fire to be called once wait has passed, unless cancel is called before.
func (s *Simulation) After(wait time.Duration, fire func()) (cancel func()) {
	s.seq++
	e := &event{at: s.now + max(wait, 0), seq: s.seq, fire: fire}
	heap.Push(&s.queue, e)
	return func() { e.fire = nil }
}

// Run processes all events up to the time until, which counts from the simulation's begin.
func (s *Simulation) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*event)
		if e.fire == nil {
			continue
		}
		s.now = e.at
		s.Stats.Events++
		e.fire()
	}
	s.now = max(s.now, until)
}

// event is a scheduled call. Events of the same time run in the order in which they were scheduled.
type event struct {
	at   time.Duration
	seq  uint64
	fire func() // nil once it is cancelled
}

// eventQueue is a min-heap of events by time and sequence number.
type eventQueue []*event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}
