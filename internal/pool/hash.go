package pool

import (
	"hash/crc32"
	"net"
	"slices"
	"sort"
	"strconv"
	"time"
)

// chooseRoundRobin is nginx's smooth weighted round robin: each usable member gains its weight, the one with the most is
// chosen and pays the sum of all.
func (p *Pool) chooseRoundRobin(from []*member, usable func(*member) bool) *member {
	var best *member
	total, calm := 0, true
	for _, m := range from {
		if !usable(m) {
			calm = false
			continue
		}
		calm = calm && m.effectiveWeight == m.Weight && !m.slowStarting
		m.currentWeight += m.effectiveWeight
		total += m.effectiveWeight
		if m.effectiveWeight < m.Weight {
			m.effectiveWeight++
		}
		if best == nil || m.currentWeight > best.currentWeight {
			best = m
		}
	}
	if best != nil {
		best.currentWeight -= total
	}
	if calm && p.even && p.failing+p.ejected == 0 && len(from) == p.primaries {
		p.startRotation(best)
	}
	return best
}

// startRotation goes over to a plain rotation, which is what smooth round robin comes to among members of one weight that can
// all be had: a choice then costs the same whatever the size of the pool. It goes on behind the member chosen last.
func (p *Pool) startRotation(last *member) {
	p.rotating = true
	for i, m := range p.members[:p.primaries] {
		if m == last {
			p.turn = (i + 1) % p.primaries
		}
		m.currentWeight = 0
	}
}

// stopRotation ends a rotation: the members get what smooth round robin would have left them with, as if it had begun with
// the first.
func (p *Pool) stopRotation() {
	if !p.rotating {
		return
	}
	p.rotating = false
	for i, m := range p.members[:p.primaries] {
		m.currentWeight = p.turn * m.Weight
		if i < p.turn {
			m.currentWeight -= p.primaries * m.Weight
		}
	}
}

// nextInRotation is the member whose turn it is, past those that a request has been to.
func (p *Pool) nextInRotation(r *Request) *member {
	for range p.primaries {
		m := p.members[p.turn]
		p.turn = (p.turn + 1) % p.primaries
		if !r.attempted[m] {
			return m
		}
	}
	return nil
}

// chooseLeastConn is the member with the fewest open tries for its weight, by round robin among equals.
func (p *Pool) chooseLeastConn(from []*member, now time.Duration, usable func(*member) bool) *member {
	if p.ranks != nil && from[0] == p.members[0] {
		return p.chooseRanked(now, usable)
	}
	var best *member
	many := false
	for _, m := range from {
		if !usable(m) {
			continue
		}
		switch {
		case best == nil || m.inFlight*best.Weight < best.inFlight*m.Weight:
			best, many = m, false
		case m.inFlight*best.Weight == best.inFlight*m.Weight:
			many = true
		}
	}
	if !many {
		return best
	}
	least := best
	return p.chooseRoundRobin(from, func(m *member) bool {
		return usable(m) && m.inFlight*least.Weight == least.inFlight*m.Weight
	})
}

// chooseRandomTwo is the less loaded of two members that are drawn by weight.
func (p *Pool) chooseRandomTwo(from []*member, usable func(*member) bool) *member {
	a, b := p.drawByWeight(usable, nil), (*member)(nil)
	if a != nil {
		b = p.drawByWeight(usable, a)
	}
	switch {
	case a == nil || b == nil:
		return p.chooseRoundRobin(from, usable)
	case b.inFlight*a.Weight < a.inFlight*b.Weight:
		return b
	}
	return a
}

// maxDraws is how often a usable member is drawn for, before round robin is asked.
const maxDraws = 20

// drawByWeight draws a usable primary member by weight, but not the one named.
func (p *Pool) drawByWeight(usable func(*member) bool, not *member) *member {
	for range maxDraws {
		m := p.members[p.place(p.rng.IntN(p.sum[p.primaries-1]))]
		if m != not && usable(m) {
			return m
		}
	}
	return nil
}

// heapIndex is the primary member that a number below the sum of weights falls on.
func (p *Pool) place(w int) int {
	return sort.SearchInts(p.sum, w+1)
}

// chooseByIPHash is nginx's ip_hash: the first three bytes of an IPv4 address, or all of an IPv6 one.
func (p *Pool) chooseByIPHash(r *Request, usable func(*member) bool) *member {
	key := r.HashKey
	if len(key) == net.IPv4len {
		key = key[:3]
	}
	hash := uint32(89)
	for range maxDraws {
		for _, b := range key {
			hash = (hash*113 + uint32(b)) % 6271
		}
		if m := p.members[p.place(int(hash)%p.sum[p.primaries-1])]; usable(m) {
			return m
		}
	}
	return p.chooseRoundRobin(p.members[:p.primaries], usable)
}

// chooseByHash is nginx's hash without consistent.
func (p *Pool) chooseByHash(r *Request, usable func(*member) bool) *member {
	for range maxDraws {
		text := r.HashKey
		if r.rehashes > 0 {
			text = append([]byte(strconv.Itoa(r.rehashes)), r.HashKey...)
		}
		r.hash += (crc32.ChecksumIEEE(text) >> 16) & 0x7fff
		r.rehashes++
		if m := p.members[p.place(int(r.hash)%p.sum[p.primaries-1])]; usable(m) {
			return m
		}
	}
	return p.chooseRoundRobin(p.members[:p.primaries], usable)
}

// ringPoint is a place of a member on the ring of the consistent hash.
type ringPoint struct {
	hash   uint32
	member *member
}

// pointsPerWeight is how many points a member has for each unit of its weight.
const pointsPerWeight = 160

// maxRingPoints bounds the ring; above it all have fewer points in proportion.
const maxRingPoints = 4 << 20

// prepareChoices computes what choices by hash need.
func (p *Pool) prepareChoices() {
	p.sum = p.sum[:0]
	total := 0
	p.even = p.cfg.BalancingPolicy == RoundRobin
	for _, m := range p.members[:p.primaries] {
		p.even = p.even && m.Weight == p.members[0].Weight && !m.Down && m.MaxConns == 0
		total += m.Weight
		p.sum = append(p.sum, total)
	}
	p.ring = nil
	if p.cfg.BalancingPolicy != HashConsistent {
		return
	}
	scale := min(1, float64(maxRingPoints)/(float64(total)*pointsPerWeight))
	for _, m := range p.members[:p.primaries] {
		p.ring = m.appendRingPoints(p.ring, max(int(float64(m.Weight)*pointsPerWeight*scale), 1))
	}
	slices.SortStableFunc(p.ring, func(a, b ringPoint) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	p.ring = slices.CompactFunc(p.ring, func(a, b ringPoint) bool { return a.hash == b.hash })
}

// appendRingPoints adds a member's points as nginx and Cache::Memcached::Fast compute them: the CRC-32 of the host, a zero byte,
// the port and the hash of the point before.
func (m *member) appendRingPoints(ring []ringPoint, n int) []ringPoint {
	host, port, err := net.SplitHostPort(m.Addr)
	if err != nil {
		host, port = m.Addr, ""
	}
	base := crc32.ChecksumIEEE(append(append([]byte(host), 0), port...))
	before := uint32(0)
	for range n {
		hash := crc32.Update(base, crc32.IEEETable, []byte{byte(before), byte(before >> 8), byte(before >> 16), byte(before >> 24)})
		ring = append(ring, ringPoint{hash, m})
		before = hash
	}
	return ring
}

// chooseOnRing is the member of the first point at or behind the key's hash that can be had.
func (p *Pool) chooseOnRing(r *Request, usable func(*member) bool) *member {
	hash := crc32.ChecksumIEEE(r.HashKey)
	start := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= hash })
	seen := map[*member]bool(nil)
	for i := range p.ring {
		m := p.ring[(start+i)%len(p.ring)].member
		if seen[m] {
			continue
		}
		if usable(m) {
			return m
		}
		if seen == nil {
			seen = map[*member]bool{}
		}
		if seen[m] = true; len(seen) == p.primaries {
			break
		}
	}
	return nil
}
