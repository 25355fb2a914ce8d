package clustersim

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"tillerusher/admission"
)

// request is what a client wants: a first try and whatever further tries its gateway makes.
type request struct {
	n       uint64
	class   int
	tenant  int
	subject uint64
	key     uint64  // of a keyed one
	work    float64 // seconds on a core of speed 1
	sizeKB  float64
	rank    float64
	worth   float64 // of a served one
	at      time.Duration
	repeat  bool // it was served before: only that it does not run again counts

	gateway *gateway
	tried   []int // servers, in order
	tries   int
	open    int    // tries without an answer
	pinned  int    // the server that may have run it, or -1: a keyed one can go nowhere else
	over    bool   // served, or given up
	givesUp *event // when the client does
	later   *event // when the next try is made
}

// visit is one try of a request at a server.
type visit struct {
	n       uint64 // of all tries
	req     *request
	server  *server
	life    int // of the server, when it was sent
	again   bool
	sent    time.Duration
	arrived time.Duration
	heard   bool   // the gateway has its answer, or knows that none comes
	patient *event // when the gateway looks elsewhere meanwhile

	// IncidentKind the server knows of it.
	id       admission.RequestID
	state    phase
	job      *job
	answered bool
	ok       bool // it ran to its end
	repeats  *visit
	waiters  []*visit // repeats that wait for its end
	readAt   time.Duration
	reason   admission.Reason // for which it would be turned away on arrival
}

// why is the reason of its refusal, as far as it is told.
func (v *visit) why(now time.Duration) string {
	switch {
	case now > v.readAt:
		return "it was held, and its time ran short"
	case v.reason == admission.Admitted:
		return "it was given up right after it was taken in"
	}
	return v.reason.String()
}

// phase is where a try is at its server.
type phase uint8

const (
	unread phase = iota
	held
	running
	awaiting // the end of the try that it repeats
	ended
)

// stream is the source of chance for one cause. Streams of one seed are independent of each other.
func stream(seed uint64, cause string, n int) *rand.Rand {
	h := uint64(14695981039346656037)
	for i := range len(cause) {
		h = (h ^ uint64(cause[i])) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, h^uint64(n)*0x9e3779b97f4a7c15))
}

// works draws the work of a class's requests.
func (c *Class) works(rng *rand.Rand) func() float64 {
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

// pick draws one of several by their shares.
func pick(rng *rand.Rand, shares []float64) int {
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

// clients make up first tries.
type clients struct {
	sim      *sim
	classes  []float64
	bands    []int // of ranks, one for each class: equal in width, in the order of their worth
	tenants  []float64
	gateways []float64
	works    []func() float64
	zipf     *rand.Zipf
	kinds    *rand.Rand
	sizes    *rand.Rand
	ways     *rand.Rand
	subjects *rand.Rand
	quotas   []quota
	n        uint64
}

// quota is how much of a tenant's traffic counts in full: what comes at its rate, and a second's worth at once.
type quota struct {
	rate, tokens float64
	at           time.Duration
}

// within counts a request and tells whether it counts in full.
func (q *quota) within(now time.Duration) bool {
	if q.rate == 0 {
		return true
	}
	q.tokens = min(q.tokens+q.rate*(now-q.at).Seconds(), q.rate)
	q.at = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func newClients(s *sim) *clients {
	c := &clients{sim: s, kinds: stream(s.seed, "kinds", 0), sizes: stream(s.seed, "sizes", 0), ways: stream(s.seed, "ways", 0),
		subjects: stream(s.seed, "subjects", 0)}
	for i := range s.world.Classes {
		class := &s.world.Classes[i]
		c.classes = append(c.classes, class.Share)
		c.works = append(c.works, class.works(stream(s.seed, "work", i)))
	}
	c.bands = bands(s.world.Classes)
	for _, t := range s.world.Tenants {
		c.tenants = append(c.tenants, t.Share)
		c.quotas = append(c.quotas, quota{rate: t.Quota, tokens: t.Quota})
	}
	for _, g := range s.world.Gateways {
		for range g.Count {
			c.gateways = append(c.gateways, g.Share/float64(g.Count))
		}
	}
	if s.world.Skew > 1 {
		c.zipf = rand.NewZipf(c.subjects, s.world.Skew, 1, uint64(s.world.ResourceCount-1))
	}
	return c
}

// bands are the places of classes in the order of their worth, the least first.
func bands(classes []Class) []int {
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

// next makes a request that comes now.
func (c *clients) next() *request {
	w := &c.sim.world
	c.n++
	r := &request{n: c.n, at: c.sim.now, pinned: -1, class: pick(c.kinds, c.classes)}
	r.rank = (float64(c.bands[r.class]) + c.kinds.Float64()) / float64(len(c.bands))
	class := &w.Classes[r.class]
	r.work = c.works[r.class]()
	hold := w.Servers.RequestKB
	r.sizeKB = hold[0] + (hold[1]-hold[0])*c.sizes.Float64()
	r.worth = class.Weight * r.work
	if len(c.tenants) > 0 {
		r.tenant = pick(c.kinds, c.tenants)
		if !c.quotas[r.tenant].within(r.at) {
			r.worth *= w.Servers.OverQuotaWeight
		}
	}
	if c.zipf != nil {
		r.subject = c.zipf.Uint64() + 1
	} else {
		r.subject = uint64(c.subjects.IntN(w.ResourceCount)) + 1
	}
	if class.IdempotentByKey {
		r.key = r.n
	}
	r.gateway = c.sim.gateways[pick(c.ways, c.gateways)]
	return r
}
