package pool

import (
	"hash/crc32"
	"net"
	"slices"
	"sort"
	"strconv"
	"time"
)

// roundRobin is nginx's smooth weighted round robin: each usable member gains its weight, the one with the most is
// chosen and pays the sum of all.
func (p *Pool) roundRobin(from []*member, usable func(*member) bool) *member {
	var best *member
	total, calm := 0, true
	for _, m := range from {
		if !usable(m) {
			calm = false
			continue
		}
		calm = calm && m.effective == m.Weight && !m.slow
		m.current += m.effective
		total += m.effective
		if m.effective < m.Weight {
			m.effective++
		}
		if best == nil || m.current > best.current {
			best = m
		}
	}
	if best != nil {
		best.current -= total
	}
	if calm && p.even && p.failing+p.ejected == 0 && len(from) == p.primary {
		p.rotate(best)
	}
	return best
}

// rotate goes over to a plain rotation, which is what smooth round robin comes to among members of one weight that can
// all be had: a choice then costs the same whatever the size of the pool. It goes on behind the member chosen last.
func (p *Pool) rotate(last *member) {
	p.rotating = true
	for i, m := range p.members[:p.primary] {
		if m == last {
			p.turn = (i + 1) % p.primary
		}
		m.current = 0
	}
}

// settle ends a rotation: the members get what smooth round robin would have left them with, as if it had begun with
// the first.
func (p *Pool) settle() {
	if !p.rotating {
		return
	}
	p.rotating = false
	for i, m := range p.members[:p.primary] {
		m.current = p.turn * m.Weight
		if i < p.turn {
			m.current -= p.primary * m.Weight
		}
	}
}

// next is the member whose turn it is, past those that a request has been to.
func (p *Pool) next(r *Request) *member {
	for range p.primary {
		m := p.members[p.turn]
		p.turn = (p.turn + 1) % p.primary
		if !r.tried[m] {
			return m
		}
	}
	return nil
}

// leastConn is the member with the fewest open tries for its weight, by round robin among equals.
func (p *Pool) leastConn(from []*member, now time.Duration, usable func(*member) bool) *member {
	if p.ranks != nil && from[0] == p.members[0] {
		return p.leastRanked(now, usable)
	}
	var best *member
	many := false
	for _, m := range from {
		if !usable(m) {
			continue
		}
		switch {
		case best == nil || m.conns*best.Weight < best.conns*m.Weight:
			best, many = m, false
		case m.conns*best.Weight == best.conns*m.Weight:
			many = true
		}
	}
	if !many {
		return best
	}
	least := best
	return p.roundRobin(from, func(m *member) bool {
		return usable(m) && m.conns*least.Weight == least.conns*m.Weight
	})
}

// randomTwo is the less loaded of two members that are drawn by weight.
func (p *Pool) randomTwo(from []*member, usable func(*member) bool) *member {
	a, b := p.draw(usable, nil), (*member)(nil)
	if a != nil {
		b = p.draw(usable, a)
	}
	switch {
	case a == nil || b == nil:
		return p.roundRobin(from, usable)
	case b.conns*a.Weight < a.conns*b.Weight:
		return b
	}
	return a
}

// draws is how often a usable member is drawn for, before round robin is asked.
const draws = 20

// draw draws a usable primary member by weight, but not the one named.
func (p *Pool) draw(usable func(*member) bool, not *member) *member {
	for range draws {
		m := p.members[p.place(p.rng.IntN(p.sum[p.primary-1]))]
		if m != not && usable(m) {
			return m
		}
	}
	return nil
}

// place is the primary member that a number below the sum of weights falls on.
func (p *Pool) place(w int) int {
	return sort.SearchInts(p.sum, w+1)
}

// ipHash is nginx's ip_hash: the first three bytes of an IPv4 address, or all of an IPv6 one.
func (p *Pool) ipHash(r *Request, usable func(*member) bool) *member {
	key := r.HashKey
	if len(key) == net.IPv4len {
		key = key[:3]
	}
	hash := uint32(89)
	for range draws {
		for _, b := range key {
			hash = (hash*113 + uint32(b)) % 6271
		}
		if m := p.members[p.place(int(hash)%p.sum[p.primary-1])]; usable(m) {
			return m
		}
	}
	return p.roundRobin(p.members[:p.primary], usable)
}

// plainHash is nginx's hash without consistent.
func (p *Pool) plainHash(r *Request, usable func(*member) bool) *member {
	for range draws {
		text := r.HashKey
		if r.again > 0 {
			text = append([]byte(strconv.Itoa(r.again)), r.HashKey...)
		}
		r.hash += (crc32.ChecksumIEEE(text) >> 16) & 0x7fff
		r.again++
		if m := p.members[p.place(int(r.hash)%p.sum[p.primary-1])]; usable(m) {
			return m
		}
	}
	return p.roundRobin(p.members[:p.primary], usable)
}

// point is a place of a member on the ring of the consistent hash.
type point struct {
	hash   uint32
	member *member
}

// pointsOf is how many points a member has for each unit of its weight.
const pointsOf = 160

// maxPoints bounds the ring; above it all have fewer points in proportion.
const maxPoints = 4 << 20

// prepare computes what choices by hash need.
func (p *Pool) prepare() {
	p.sum = p.sum[:0]
	total := 0
	p.even = p.cfg.BalancingPolicy == RoundRobin
	for _, m := range p.members[:p.primary] {
		p.even = p.even && m.Weight == p.members[0].Weight && !m.Down && m.MaxConns == 0
		total += m.Weight
		p.sum = append(p.sum, total)
	}
	p.ring = nil
	if p.cfg.BalancingPolicy != HashConsistent {
		return
	}
	scale := min(1, float64(maxPoints)/(float64(total)*pointsOf))
	for _, m := range p.members[:p.primary] {
		p.ring = m.points(p.ring, max(int(float64(m.Weight)*pointsOf*scale), 1))
	}
	slices.SortStableFunc(p.ring, func(a, b point) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		}
		return 0
	})
	p.ring = slices.CompactFunc(p.ring, func(a, b point) bool { return a.hash == b.hash })
}

// points adds a member's points as nginx and Cache::Memcached::Fast compute them: the CRC-32 of the host, a zero byte,
// the port and the hash of the point before.
func (m *member) points(ring []point, n int) []point {
	host, port, err := net.SplitHostPort(m.Addr)
	if err != nil {
		host, port = m.Addr, ""
	}
	base := crc32.ChecksumIEEE(append(append([]byte(host), 0), port...))
	before := uint32(0)
	for range n {
		hash := crc32.Update(base, crc32.IEEETable, []byte{byte(before), byte(before >> 8), byte(before >> 16), byte(before >> 24)})
		ring = append(ring, point{hash, m})
		before = hash
	}
	return ring
}

// consistent is the member of the first point at or behind the key's hash that can be had.
func (p *Pool) consistent(r *Request, usable func(*member) bool) *member {
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
		if seen[m] = true; len(seen) == p.primary {
			break
		}
	}
	return nil
}
