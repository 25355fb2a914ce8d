package clustersim

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"tillerusher/admission"
)

// submitRequest is what a client wants: a first try and whatever further tries its gateway makes.
type request struct {
	number     uint64
	class      int
	tenant     int
	resourceID uint64
	key        uint64  // attempt a keyed one
	work       float64 // seconds on a core of speed 1
	sizeKB     float64
	rank       float64
	weight     float64 // attempt a served one
	createdAt  time.Duration
	isResend   bool // it was served before: only that it does not run again counts

	gateway       *gateway
	triedServers  []int // servers, in order
	attempts      int
	openAttempts  int    // attempts without an answer
	pinnedServer  int    // the server that may have run it, or -1: a keyed one can go nowhere else
	finished      bool   // served, or given up
	deadlineEvent *event // when the client does
	retryEvent    *event // when the next try is made
}

// attempt is one try of a request at a server.
type attempt struct {
	number       uint64 // attempt all tries
	request      *request
	server       *server
	generation   int // attempt the server, when it was sent
	isRetry      bool
	sentAt       time.Duration
	arrivedAt    time.Duration
	resultKnown  bool   // the gateway has its answer, or knows that none comes
	timeoutEvent *event // when the gateway looks elsewhere meanwhile

	// IncidentKind the server knows of it.
	id           admission.RequestID
	state        attemptState
	job          *job
	answered     bool
	succeeded    bool // it ran to its end
	original     *attempt
	followers    []*attempt // original that wait for its end
	readAt       time.Duration
	rejectReason admission.Reason // for which it would be turned away on arrival
}

// rejectReasonText is the reason of its refusal, as far as it is told.
func (v *attempt) rejectReasonText(now time.Duration) string {
	switch {
	case now > v.readAt:
		return "it was held, and its time ran short"
	case v.rejectReason == admission.Admitted:
		return "it was given up right after it was taken in"
	}
	return v.rejectReason.String()
}

// attemptState is where a try is at its server.
type attemptState uint8

const (
	stateUnread attemptState = iota
	stateQueued
	stateRunning
	stateFollowing // the end of the try that it repeats
	stateEnded
)

// newRandom is the source of chance for one cause. Streams of one seed are independent of each other.
func newRandom(seed uint64, cause string, n int) *rand.Rand {
	h := uint64(14695981039346656037)
	for i := range len(cause) {
		h = (h ^ uint64(cause[i])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h^uint64(n)*0x9e3779b97f4a7c15))
}

// workSampler draws the work of a class's requests.
func (c *Class) workSampler(rng *rand.Rand) func() float64 {
	mean := c.MeanWork.Seconds()
	switch c.Distribution {
	case Exponential:
		return distuv.Exponential{Rate: 1 / mean, Src: rng}.Rand
	case LogNormal:
		s2 := math.Log(1 + c.CV*c.CV)
		return distuv.LogNormal{Mu: math.Log(mean) - s2/2, Sigma: math.Sqrt(s2), Src: rng}.Rand
	case Pareto:
		return distuv.Pareto{Xm: mean * (c.CV - 1) / c.CV, Alpha: c.CV, Src: rng}.Rand
	}
	return func() float64 { return mean }
}

// pickWeighted draws one of several by their shares.
func pickWeighted(rng *rand.Rand, shares []float64) int {
	total := 0.0
	for _, s := range shares {
		total += s
	}
	x := rng.Float64() * total
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// requestSource make up first tries.
type requestSource struct {
	sim            *simulation
	classShares    []float64
	rankBands      []int // attempt ranks, one for each class: equal in width, in the order of their worth
	tenantShares   []float64
	gatewayShares  []float64
	workSamplers   []func() float64
	resourceZipf   *rand.Zipf
	classRandom    *rand.Rand
	sizeRandom     *rand.Rand
	gatewayRandom  *rand.Rand
	resourceRandom *rand.Rand
	quotas         []tokenBucket
	count          uint64
}

// tokenBucket is how much of a tenant's traffic counts in full: what comes at its rate, and a second's worth at once.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   time.Duration
}

// remove counts a request and tells whether it counts in full.
func (q *tokenBucket) take(now time.Duration) bool {
	if q.rate == 0 {
		return true
	}
	q.tokens = min(q.tokens+q.rate*(now-q.refilledAt).Seconds(), q.rate)
	q.refilledAt = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func newRequestSource(s *simulation) *requestSource {
	c := &requestSource{sim: s, classRandom: newRandom(s.seed, "kinds", 0), sizeRandom: newRandom(s.seed, "sizes", 0), gatewayRandom: newRandom(s.seed, "ways", 0),
		resourceRandom: newRandom(s.seed, "subjects", 0)}
	for i := range s.config.Classes {
		class := &s.config.Classes[i]
		c.classShares = append(c.classShares, class.Share)
		c.workSamplers = append(c.workSamplers, class.workSampler(newRandom(s.seed, "work", i)))
	}
	c.rankBands = classRankBands(s.config.Classes)
	for _, t := range s.config.Tenants {
		c.tenantShares = append(c.tenantShares, t.Share)
		c.quotas = append(c.quotas, tokenBucket{rate: t.Quota, tokens: t.Quota})
	}
	for _, g := range s.config.Gateways {
		for range g.Count {
			c.gatewayShares = append(c.gatewayShares, g.Share/float64(g.Count))
		}
	}
	if s.config.Skew > 1 {
		c.resourceZipf = rand.NewZipf(c.resourceRandom, s.config.Skew, 1, uint64(s.config.ResourceCount-1))
	}
	return c
}

// rankBands are the places of classes in the order of their worth, the least first.
func classRankBands(classes []Class) []int {
	places := make([]int, len(classes))
	for i := range classes {
		for j := range classes {
			if classes[j].Weight < classes[i].Weight || classes[j].Weight == classes[i].Weight && j < i {
				places[i]++
			}
		}
	}
	return places
}

// retryOrComplete makes a request that comes now.
func (c *requestSource) next() *request {
	w := &c.sim.config
	c.count++
	r := &request{number: c.count, createdAt: c.sim.now, pinnedServer: -1, class: pickWeighted(c.classRandom, c.classShares)}
	r.rank = (float64(c.rankBands[r.class]) + c.classRandom.Float64()) / float64(len(c.rankBands))
	class := &w.Classes[r.class]
	r.work = c.workSamplers[r.class]()
	hold := w.Servers.RequestKB
	r.sizeKB = hold[0] + (hold[1]-hold[0])*c.sizeRandom.Float64()
	r.weight = class.Weight * r.work
	if len(c.tenantShares) > 0 {
		r.tenant = pickWeighted(c.classRandom, c.tenantShares)
		if !c.quotas[r.tenant].take(r.createdAt) {
			r.weight *= w.Servers.OverQuotaWeight
		}
	}
	if c.resourceZipf != nil {
		r.resourceID = c.resourceZipf.Uint64() + 1
	} else {
		r.resourceID = uint64(c.resourceRandom.IntN(w.ResourceCount)) + 1
	}
	if class.IdempotentByKey {
		r.key = r.number
	}
	r.gateway = c.sim.gateways[pickWeighted(c.gatewayRandom, c.gatewayShares)]
	return r
}
