package simnet

import (
	"net/netip"
	"time"
)

// NetworkConfig configures the network's delays and faults. Shares are between 0 and 1. cataloguectl prints the JSON keys.
type NetworkConfig struct {
	Delay               time.Duration // minimum delay of a segment
	Jitter              time.Duration // maximum random delay that is added to Delay
	PartialIO           float64       `json:"Partial"` // share of reads and writes that transfer fewer bytes than they could
	DatagramLoss        float64       `json:"Lost"`    // share of datagrams that are lost
	DatagramDuplication float64       `json:"Doubled"` // share of datagrams that are delivered twice
}

// SetPartitioned starts or ends a network partition between two machines. During a partition, segments of streams wait and
// datagrams are lost.
func (s *Simulation) SetPartitioned(a, b netip.Addr, isPartitioned bool) {
	s.partitions[[2]netip.Addr{a, b}] = isPartitioned
	s.partitions[[2]netip.Addr{b, a}] = isPartitioned
}

// isReachable reports whether there is no partition between two machines.
func (s *Simulation) isReachable(a, b netip.Addr) bool { return !s.partitions[[2]netip.Addr{a, b}] }

// HandleDatagrams registers handle for the datagrams that arrive at an address, in place of any earlier handler.
func (s *Simulation) HandleDatagrams(at netip.AddrPort, handle func(payload []byte)) {
	s.datagramHandlers[at] = handle
}

// sendDatagram delivers a datagram once or twice, or drops it.
func (s *Simulation) sendDatagram(from netip.Addr, to netip.AddrPort, payload []byte) {
	payload = append([]byte(nil), payload...)
	copies := 1
	switch {
	case !s.isReachable(from, to.Addr()), s.rng.Float64() < s.Network.DatagramLoss:
		s.Stats.DatagramsLost++
		return
	case s.rng.Float64() < s.Network.DatagramDuplication:
		s.Stats.DatagramsDoubled++
		copies = 2
	}
	for range copies {
		s.After(s.segmentDelay(), func() {
			if handle := s.datagramHandlers[to]; handle != nil {
				handle(payload)
			}
		})
	}
}

// segmentDelay returns a random delay for one segment or datagram.
func (s *Simulation) segmentDelay() time.Duration {
	return s.Network.Delay + time.Duration(s.rng.Int64N(int64(s.Network.Jitter)+1))
}

// partialLength returns how many of n bytes a read or write transfers. If the configured faults make the transfer partial,
// it returns less than n and increments count.
func (s *Simulation) partialLength(n int, count *uint64) int {
	if n > 1 && s.Network.PartialIO > 0 && s.rng.Float64() < s.Network.PartialIO {
		*count++
		return 1 + s.rng.IntN(n-1)
	}
	return n
}
