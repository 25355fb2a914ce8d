package pool

import (
	"cmp"
	"hash/crc32"
	"net"
	"slices"
	"sort"
	"strconv"
)

// selectionTables are the lookup tables of the hash and random policies. They change only with the configuration.
type selectionTables struct {
	weightSums []int       // for each primary member, the sum of the weights up to and including its own
	ring       []ringPoint // for HashConsistent, sorted by hash
}

// ringPoint is one of a member's points on the ring of the consistent hash.
type ringPoint struct {
	hash   uint32
	member *poolMember
}

// totalWeight returns the sum of the primary members' weights.
func (h *selectionTables) totalWeight() int { return h.weightSums[len(h.weightSums)-1] }

// memberAtWeight returns the primary member whose interval of the cumulative weights contains n, 0 <= n < totalWeight.
func (p *Pool) memberAtWeight(n int) *poolMember {
	return p.members[sort.SearchInts(p.tables.weightSums, n+1)]
}

// prepareSelection computes the lookup tables, and whether a rotation is possible, from the configuration.
func (p *Pool) prepareSelection() {
	p.rotation.isPossible = p.canRotate()
	p.tables.weightSums = p.tables.weightSums[:0]
	total := 0
	for _, member := range p.primaryMembers() {
		total += member.Weight
		p.tables.weightSums = append(p.tables.weightSums, total)
	}
	p.tables.ring = nil
	if p.cfg.BalancingPolicy == HashConsistent {
		p.tables.ring = newRing(p.primaryMembers(), total)
	}
}

// The parameters of nginx's ip_hash (ngx_http_upstream_ip_hash_module). Only the first three of the four bytes of an
// IPv4 address are hashed, so that a client keeps its member when its address changes within its network.
const (
	ipHashBytesIPv4  = 3
	ipHashSeed       = 89
	ipHashMultiplier = 113
	ipHashModulus    = 6271
)

// chooseByIPHash implements nginx's ip_hash. It rehashes while the member is unusable.
func (p *Pool) chooseByIPHash(request *Request, usable func(*poolMember) bool) *poolMember {
	key := request.HashKey
	if len(key) == net.IPv4len {
		key = key[:ipHashBytesIPv4]
	}
	hash := uint32(ipHashSeed)
	for range maxSelectionTries {
		for _, b := range key {
			hash = (hash*ipHashMultiplier + uint32(b)) % ipHashModulus
		}
		if member := p.memberAtWeight(int(hash) % p.tables.totalWeight()); usable(member) {
			return member
		}
	}
	return p.chooseRoundRobin(p.primaryMembers(), usable)
}

// chooseByHash implements nginx's hash without consistent. While the member is unusable, it rehashes with the rehash
// count prepended to the key. A retry continues with the request's hash and rehash count.
func (p *Pool) chooseByHash(request *Request, usable func(*poolMember) bool) *poolMember {
	for range maxSelectionTries {
		key := request.HashKey
		if request.rehashes > 0 {
			key = append([]byte(strconv.Itoa(request.rehashes)), request.HashKey...)
		}
		request.hash += (crc32.ChecksumIEEE(key) >> 16) & 0x7fff
		request.rehashes++
		if member := p.memberAtWeight(int(request.hash) % p.tables.totalWeight()); usable(member) {
			return member
		}
	}
	return p.chooseRoundRobin(p.primaryMembers(), usable)
}

// pointsPerWeight is the number of ring points for each unit of a member's weight, as in nginx.
const pointsPerWeight = 160

// maxRingPoints limits the size of the ring. If the ring would be larger, all members' points are reduced in proportion.
const maxRingPoints = 4 << 20

// newRing returns the points of all members sorted by hash. Of points with the same hash only the first member's is kept.
func newRing(members []*poolMember, totalWeight int) []ringPoint {
	var ring []ringPoint
	scale := min(1, float64(maxRingPoints)/(float64(totalWeight)*pointsPerWeight))
	for _, member := range members {
		points := max(int(float64(member.Weight)*pointsPerWeight*scale), 1)
		ring = member.appendRingPoints(ring, points)
	}
	slices.SortStableFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return slices.CompactFunc(ring, func(a, b ringPoint) bool { return a.hash == b.hash })
}

// appendRingPoints appends points of the member as nginx and Cache::Memcached::Fast compute them: each hash is the CRC-32
// of the host, a zero byte, the port and the hash of the previous point.
func (m *poolMember) appendRingPoints(ring []ringPoint, points int) []ringPoint {
	host, port, err := net.SplitHostPort(m.Addr)
	if err != nil {
		host, port = m.Addr, ""
	}
	base := crc32.ChecksumIEEE(append(append([]byte(host), 0), port...))
	previous := uint32(0)
	for range points {
		littleEndian := []byte{byte(previous), byte(previous >> 8), byte(previous >> 16), byte(previous >> 24)}
		hash := crc32.Update(base, crc32.IEEETable, littleEndian)
		ring = append(ring, ringPoint{hash, m})
		previous = hash
	}
	return ring
}

// chooseOnRing implements nginx's hash consistent: it returns the first usable member at or after the key's hash, or nil.
func (p *Pool) chooseOnRing(request *Request, usable func(*poolMember) bool) *poolMember {
	ring := p.tables.ring
	hash := crc32.ChecksumIEEE(request.HashKey)
	start := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= hash })
	var unusable map[*poolMember]bool // allocated only if the first member is unusable
	for i := range ring {
		member := ring[(start+i)%len(ring)].member
		if unusable[member] {
			continue
		}
		if usable(member) {
			return member
		}
		if unusable == nil {
			unusable = map[*poolMember]bool{}
		}
		unusable[member] = true
		if len(unusable) == p.primaries {
			break
		}
	}
	return nil
}
