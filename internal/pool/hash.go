package pool

import (
	"cmp"
	"hash/crc32"
	"net"
	"slices"
	"sort"
	"strconv"
)

// hashTables are what choices by hash and by draw look up. They change with the configuration only.
type hashTables struct {
	weightSums []int       // of the weights up to and including each primary member
	ring       []ringPoint // for HashConsistent, by hash
}

// ringPoint is one of a member's points on the ring of the consistent hash.
type ringPoint struct {
	hash   uint32
	member *poolMember
}

// totalWeight returns the sum of the primary members' weights.
func (h *hashTables) totalWeight() int { return h.weightSums[len(h.weightSums)-1] }

// memberAtWeight returns the primary member in whose part of the sum of all weights a number falls.
func (p *Pool) memberAtWeight(n int) *poolMember {
	return p.members[sort.SearchInts(p.hashing.weightSums, n+1)]
}

// prepareChoices computes what choices need of the configuration.
func (p *Pool) prepareChoices() {
	p.rotation.isPossible = p.canRotate()
	p.hashing.weightSums = p.hashing.weightSums[:0]
	total := 0
	for _, member := range p.primaryMembers() {
		total += member.Weight
		p.hashing.weightSums = append(p.hashing.weightSums, total)
	}
	p.hashing.ring = nil
	if p.cfg.BalancingPolicy == HashConsistent {
		p.hashing.ring = newRing(p.primaryMembers(), total)
	}
}

// The parameters of nginx's ip_hash (ngx_http_upstream_ip_hash_module): three of the four bytes of an IPv4 address count,
// so that a client keeps its member within its network.
const (
	ipHashBytesIPv4  = 3
	ipHashSeed       = 89
	ipHashMultiplier = 113
	ipHashModulus    = 6271
)

// chooseByIPHash is nginx's ip_hash. It rehashes if the member is unusable.
func (p *Pool) chooseByIPHash(request *Request, usable func(*poolMember) bool) *poolMember {
	key := request.HashKey
	if len(key) == net.IPv4len {
		key = key[:ipHashBytesIPv4]
	}
	hash := uint32(ipHashSeed)
	for range maxDraws {
		for _, b := range key {
			hash = (hash*ipHashMultiplier + uint32(b)) % ipHashModulus
		}
		if member := p.memberAtWeight(int(hash) % p.hashing.totalWeight()); usable(member) {
			return member
		}
	}
	return p.chooseRoundRobin(p.primaryMembers(), usable)
}

// chooseByHash is nginx's hash without consistent. It rehashes if the member is unusable, with the count of rehashes
// before the key; a retry goes on where the attempt before stopped.
func (p *Pool) chooseByHash(request *Request, usable func(*poolMember) bool) *poolMember {
	for range maxDraws {
		key := request.HashKey
		if request.rehashes > 0 {
			key = append([]byte(strconv.Itoa(request.rehashes)), request.HashKey...)
		}
		request.hash += (crc32.ChecksumIEEE(key) >> 16) & 0x7fff
		request.rehashes++
		if member := p.memberAtWeight(int(request.hash) % p.hashing.totalWeight()); usable(member) {
			return member
		}
	}
	return p.chooseRoundRobin(p.primaryMembers(), usable)
}

// pointsPerWeight is how many points a member has on the ring for each unit of its weight, as in nginx.
const pointsPerWeight = 160

// maxRingPoints bounds the ring. Above it all members have fewer points, in proportion.
const maxRingPoints = 4 << 20

// newRing returns the points of all members in order, each hash once: of equal ones the first member's stays.
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

// appendRingPoints adds points of a member as nginx and Cache::Memcached::Fast compute them: the CRC-32 of the host, a
// zero byte, the port and the hash of the point before.
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

// chooseOnRing is nginx's hash consistent: the member of the first point at or behind the key's hash that is usable.
func (p *Pool) chooseOnRing(request *Request, usable func(*poolMember) bool) *poolMember {
	ring := p.hashing.ring
	hash := crc32.ChecksumIEEE(request.HashKey)
	start := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= hash })
	var unusable map[*poolMember]bool // made only if the first member is one
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
