package simnet

import (
	"net/netip"
	"time"
)

// NetworkConfig is the behavior of the network and its faults. Shares are between 0 and 1. The JSON keys are printed by
// cataloguectl.
type NetworkConfig struct {
	Delay               time.Duration // least delay of a segment
	Jitter              time.Duration // largest random delay on top of it
	PartialIO           float64       `json:"Partial"` // share of reads and writes that transfer a part of what they could
	DatagramLoss        float64       `json:"Lost"`    // share of datagrams
	DatagramDuplication float64       `json:"Doubled"` // share of datagrams
}

// SetPartitioned cuts the network between two machines, or heals it. While it is cut, segments of streams wait and datagrams
// are lost.
func (s *Simulation) SetPartitioned(a, b netip.Addr, isPartitioned bool) {
	s.partitions[[2]netip.Addr{a, b}] = isPartitioned
	s.partitions[[2]netip.Addr{b, a}] = isPartitioned
}

// isReachable reports whether the network carries anything between two machines.
func (s *Simulation) isReachable(a, b netip.Addr) bool { return !s.partitions[[2]netip.Addr{a, b}] }

// HandleDatagrams has handle called with each datagram that arrives at an address.
func (s *Simulation) HandleDatagrams(at netip.AddrPort, handle func(payload []byte)) {
	s.datagramHandlers[at] = handle
}

// sendDatagram delivers a datagram, loses it or delivers it twice.
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

// segmentDelay draws the delay of one segment.
func (s *Simulation) segmentDelay() time.Duration {
	return s.Network.Delay + time.Duration(s.rng.Int64N(int64(s.Network.Jitter)+1))
}

// partialLength returns n, or less where the network faults make a transfer partial, which it counts.
func (s *Simulation) partialLength(n int, count *uint64) int {
	if n > 1 && s.Network.PartialIO > 0 && s.rng.Float64() < s.Network.PartialIO {
		*count++
		return 1 + s.rng.IntN(n-1)
	}
	return n
}
