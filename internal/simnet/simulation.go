package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// The default delays of a segment, as on one Ethernet segment.
const (
	defaultDelay  = 50 * time.Microsecond
	defaultJitter = 150 * time.Microsecond
)

// rngStream is the second seed of the simulation's random number generator. It makes the simulation's random numbers
// independent of those that its user draws from the same seed.
const rngStream = 0x5eed

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
	partitions       map[[2]netip.Addr]bool // pairs of machines that cannot reach each other, in both orders
	lastPort         uint16                 // ephemeral port that was allocated last
}

// New returns an empty simulation whose clock shows startTime.
func New(seed uint64, startTime time.Time) *Simulation {
	return &Simulation{
		Network:          NetworkConfig{Delay: defaultDelay, Jitter: defaultJitter},
		startTime:        startTime.Round(0), // strips the monotonic clock reading
		rng:              rand.New(rand.NewPCG(seed, rngStream)),
		listeners:        map[netip.AddrPort]*socket{},
		datagramHandlers: map[netip.AddrPort]func([]byte){},
		partitions:       map[[2]netip.Addr]bool{},
	}
}

// Now returns the virtual wall-clock time.
func (s *Simulation) Now() time.Time { return s.startTime.Add(s.now) }

// Elapsed returns the virtual time since the start of the simulation.
func (s *Simulation) Elapsed() time.Duration { return s.now }

// After schedules a call of fire after a delay. A negative delay counts as zero. cancel prevents the call if it has not
// happened yet.
func (s *Simulation) After(wait time.Duration, fire func()) (cancel func()) {
	s.seq++
	e := &event{at: s.now + max(wait, 0), seq: s.seq, fire: fire}
	heap.Push(&s.queue, e)
	return func() { e.fire = nil }
}

// Run processes all events up to and including the time until, which is measured from the start of the simulation, and
// advances the clock to it.
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

// event is a scheduled call. Events at the same time run in the order in which they were scheduled.
type event struct {
	at   time.Duration
	seq  uint64
	fire func() // nil if the event was cancelled
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
