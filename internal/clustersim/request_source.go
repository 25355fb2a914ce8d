package clustersim

import (
	"math/rand/v2"
	"time"
)

// requestSource creates the requests of clients. Their properties are drawn from separate random number generators.
type requestSource struct {
	sim *simulation

	classShares         []float64
	priorityBandByClass []int // see classPriorityBands
	tenantShares        []float64
	gatewayShares       []float64
	workSamplers        []func() float64 // by class
	quotas              []tokenBucket    // by tenant
	resourceZipf        *rand.Zipf       // nil for a uniform distribution
	classRandom         *rand.Rand       // for classes, priorities and tenants
	sizeRandom          *rand.Rand
	gatewayRandom       *rand.Rand
	resourceRandom      *rand.Rand

	count uint64
}

// tokenBucket limits the rate of a tenant's requests that have full weight. It holds the tokens of one second at most.
type tokenBucket struct {
	rate       float64 // tokens per second; 0 means unlimited
	tokens     float64
	refilledAt time.Duration
}

// take takes a token and reports whether one was available.
func (b *tokenBucket) take(now time.Duration) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func newRequestSource(sim *simulation) *requestSource {
	source := &requestSource{
		sim:                 sim,
		priorityBandByClass: classPriorityBands(sim.config.Classes),
		classRandom:         newRandom(sim.seed, "kinds", 0),
		sizeRandom:          newRandom(sim.seed, "sizes", 0),
		gatewayRandom:       newRandom(sim.seed, "ways", 0),
		resourceRandom:      newRandom(sim.seed, "subjects", 0),
	}
	for i := range sim.config.Classes {
		class := &sim.config.Classes[i]
		source.classShares = append(source.classShares, class.Share)
		source.workSamplers = append(source.workSamplers, class.workSampler(newRandom(sim.seed, "work", i)))
	}
	for _, t := range sim.config.Tenants {
		source.tenantShares = append(source.tenantShares, t.Share)
		source.quotas = append(source.quotas, tokenBucket{rate: t.Quota, tokens: t.Quota})
	}
	for _, g := range sim.config.Gateways {
		for range g.Count {
			source.gatewayShares = append(source.gatewayShares, g.Share/float64(g.Count))
		}
	}
	if sim.config.ZipfExponent > 1 {
		source.resourceZipf = rand.NewZipf(source.resourceRandom, sim.config.ZipfExponent, 1, uint64(sim.config.ResourceCount-1))
	}
	return source
}

// classPriorityBands returns the priority band of each class. There is one band for each class; they have equal width and
// ascend with the weight of the class. Classes of equal weight are in the order of their indices.
func classPriorityBands(classes []Class) []int {
	positions := make([]int, len(classes))
	for i := range classes {
		for j := range classes {
			if classes[j].Weight < classes[i].Weight || classes[j].Weight == classes[i].Weight && j < i {
				positions[i]++
			}
		}
	}
	return positions
}

// nextRequest creates the request that arrives now.
func (s *requestSource) nextRequest() *request {
	config := &s.sim.config
	s.count++
	req := &request{
		number:          s.count,
		createdAt:       s.sim.now,
		class:           pickWeighted(s.classRandom, s.classShares),
		requestProgress: requestProgress{stickyServer: -1},
	}
	class := &config.Classes[req.class]
	req.priority = (float64(s.priorityBandByClass[req.class]) + s.classRandom.Float64()) / float64(len(s.priorityBandByClass))
	req.work = s.workSamplers[req.class]()
	smallest, largest := config.Servers.RequestKB[0], config.Servers.RequestKB[1]
	req.sizeKB = smallest + (largest-smallest)*s.sizeRandom.Float64()
	req.weight = class.Weight * req.work
	if len(s.tenantShares) > 0 {
		req.tenant = pickWeighted(s.classRandom, s.tenantShares)
		if !s.quotas[req.tenant].take(req.createdAt) {
			req.weight *= config.Servers.OverQuotaWeight
		}
	}
	req.resourceID = s.drawResource()
	if class.IdempotentByKey {
		req.key = req.number
	}
	req.gateway = s.sim.gateways[pickWeighted(s.gatewayRandom, s.gatewayShares)]
	return req
}

// drawResource draws a resource ID; IDs start at 1.
func (s *requestSource) drawResource() uint64 {
	if s.resourceZipf != nil {
		return s.resourceZipf.Uint64() + 1
	}
	return uint64(s.resourceRandom.IntN(s.sim.config.ResourceCount)) + 1
}
