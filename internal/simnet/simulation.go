// Package simos is an operating system and a network that are simulated: processes with descriptors and epoll, streams,
// datagrams and a clock, all in one thread and in virtual time, from one seed. A process is what loop.System asks for, so
// the real server runs on it, loop and all; the parties round it are actors, which are called when something comes.
//
// What a call does follows the manual pages of epoll(7), tcp(7), connect(2), accept(2), read(2), write(2) and shutdown(2).
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Network is how the network does. Parts are of 1.
type NetworkConfig struct {
	Delay               time.Duration // least time that a segment takes
	Jitter              time.Duration // and up to so much more
	PartialIO           float64       `json:"Partial"` // of reads and writes that take a part of what they could
	DatagramLoss        float64       `json:"Lost"`    // of datagrams
	DatagramDuplication float64       `json:"Doubled"` // of datagrams
}

// Stats count what happened, faults by their kind.
type Stats struct {
	Events, Rounds, Segments, Connections   uint64
	PartialReads, PartialWrites             uint64
	Refused, Resets, OutOfFiles             uint64
	DatagramsLost, DatagramsDoubled, Pauses uint64
	Kills, PartitionsHeld                   uint64
}

// eventCounter is something that happens at a time; of two at one time the one that was planned first goes first.
type event struct {
	at   time.Duration
	seq  uint64
	fire func() // nil once it is cancelled
}

type eventQueue []*event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventQueue) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// Simulation is all there is. Nothing of it may be used by two goroutines at once.
type Simulation struct {
	Network NetworkConfig
	Stats   Stats

	startTime        time.Time
	now              time.Duration
	seq              uint64
	queue            eventQueue
	rng              *rand.Rand
	listeners        map[netip.AddrPort]*socket // listening
	datagramHandlers map[netip.AddrPort]func(p []byte)
	partitions       map[[2]netip.Addr]bool // pairs of machines between which nothing passes
	lastPort         uint16
}

// New returns an empty world whose clock shows a time.
func New(seed uint64, origin time.Time) *Simulation {
	return &Simulation{startTime: origin.Round(0), rng: rand.New(rand.NewPCG(seed, 0x5eed)), listeners: map[netip.AddrPort]*socket{},
		datagramHandlers: map[netip.AddrPort]func([]byte){}, partitions: map[[2]netip.Addr]bool{}, Network: NetworkConfig{Delay: 50 * time.Microsecond, Jitter: 150 * time.Microsecond}}
}

// Now is the time that true clocks show.
func (w *Simulation) Now() time.Time { return w.startTime.Add(w.now) }

// Elapsed is the time since the world began.
func (w *Simulation) Elapsed() time.Duration { return w.now }

// After has something happen after a while, unless it is cancelled before.
func (w *Simulation) After(wait time.Duration, fire func()) (cancel func()) {
	w.seq++
	e := &event{at: w.now + max(wait, 0), seq: w.seq, fire: fire}
	heap.Push(&w.queue, e)
	return func() { e.fire = nil }
}

// Run has all happen that does until a time since the beginning.
func (w *Simulation) Run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		if e.fire == nil {
			continue
		}
		w.now = e.at
		w.Stats.Events++
		e.fire()
	}
	w.now = max(w.now, until)
}

// segmentDelay is what one segment takes.
func (w *Simulation) segmentDelay() time.Duration {
	return w.Network.Delay + time.Duration(w.rng.Int64N(int64(w.Network.Jitter)+1))
}

// partialLength is n, or a part of it where the network does so now.
func (w *Simulation) partialLength(n int, count *uint64) int {
	if n > 1 && w.Network.PartialIO > 0 && w.rng.Float64() < w.Network.PartialIO {
		*count++
		return 1 + w.rng.IntN(n-1)
	}
	return n
}

// SetPartitioned has nothing pass between two machines, or pass again. Streams hold on to what was sent; datagrams are lost.
func (w *Simulation) SetPartitioned(a, b netip.Addr, cut bool) {
	w.partitions[[2]netip.Addr{a, b}], w.partitions[[2]netip.Addr{b, a}] = cut, cut
}

// isReachable tells whether anything passes between two machines.
func (w *Simulation) isReachable(a, b netip.Addr) bool { return !w.partitions[[2]netip.Addr{a, b}] }

// Add adds the counts of another world.
func (c *Stats) Add(o Stats) {
	c.Events, c.Rounds, c.Segments, c.Connections = c.Events+o.Events, c.Rounds+o.Rounds, c.Segments+o.Segments, c.Connections+o.Connections
	c.PartialReads, c.PartialWrites = c.PartialReads+o.PartialReads, c.PartialWrites+o.PartialWrites
	c.Refused, c.Resets, c.OutOfFiles = c.Refused+o.Refused, c.Resets+o.Resets, c.OutOfFiles+o.OutOfFiles
	c.DatagramsLost, c.DatagramsDoubled, c.Pauses = c.DatagramsLost+o.DatagramsLost, c.DatagramsDoubled+o.DatagramsDoubled, c.Pauses+o.Pauses
	c.Kills, c.PartitionsHeld = c.Kills+o.Kills, c.PartitionsHeld+o.PartitionsHeld
}
