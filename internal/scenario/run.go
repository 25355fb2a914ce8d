package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/internal/fake"
	"tillerusher/internal/invariant"
	"tillerusher/internal/settings"
	"tillerusher/internal/simnet"
)

// announceAt is where servers say whether they accept.
var announceAt = netip.MustParseAddrPort("10.9.0.1:7000")

// begin is what true clocks show when a rehearsal begins.
var begin = time.Date(2026, 3, 16, 1, 0, 0, 0, time.UTC)

// warm is how long callers wait for servers to come up, and settleFor how long a day goes on after the last request, for
// answers and drains.
const (
	warm      = time.Second
	settleFor = 5 * time.Second
	// After the day and its calm each server is asked for a lookup and a reservation.
	probeFor  = 3 * time.Second
	mostNamed = 20 // breaches that a report names
)

// Second is what happened in one second.
type Second struct {
	Requests int `json:"requests"`
	Served   int `json:"served"` // of those, by any of their tries
}

// Report is what came of a day. Latencies are in milliseconds, of served requests from when they came.
type Report struct {
	Scenario   string        `json:"scenario"`
	Seed       uint64        `json:"seed"`
	Requests   int           `json:"requests"`
	Tries      int           `json:"tries"`
	Served     int           `json:"served"` // tries
	Refused    int           `json:"refused"`
	Failed     int           `json:"failed"`
	Lost       int           `json:"lost"`
	Unsent     int           `json:"unsent"`
	Unanswered int           `json:"unanswered"`
	Runs       int           `json:"runs"`
	Share      float64       `json:"share"`
	P50        float64       `json:"p50_ms"`
	P99        float64       `json:"p99_ms"`
	Recovered  float64       `json:"recovered_s"` // after the last incident; -1 is never, and 0 where there is none
	Breaches   []string      `json:"breaches"`
	BreachesN  int           `json:"breaches_in_all"`
	Missed     []string      `json:"missed"` // expectations
	Seconds    []Second      `json:"seconds"`
	World      simnet.Counts `json:"world"`
}

// run is one under way.
type run struct {
	scenario  *Scenario
	told      *settings.Told
	world     *simnet.World
	rng       *rand.Rand
	nodes     []*node
	gateways  []*gateway
	observer  *invariant.Observer
	accepting map[string]bool
	open      map[string]*try
	probes    map[string]bool // ids of tries that are no caller's
	requests  []*request
	tries     int
	jump      float64
	over      bool // no further tries are made
	cold      bool // interpreters that come back after a death are cold, as the platform's are
	latency   *hdrhistogram.Histogram
	report    *Report
}

// Run plays a scenario. The same seed gives the same report.
func Run(s *Scenario, seed uint64) (*Report, error) {
	r, err := newRun(s, seed)
	if err != nil {
		return nil, err
	}
	return r.play(), nil
}

// newRun has everything stand ready.
func newRun(s *Scenario, seed uint64) (*run, error) {
	told, err := settings.Parse([]byte(fake.Settings))
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	r := &run{scenario: s, told: told, world: simnet.New(seed, begin), rng: rand.New(rand.NewPCG(seed, 1)), observer: invariant.New(fake.Window),
		accepting: map[string]bool{}, open: map[string]*try{}, probes: map[string]bool{}, jump: 1, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		report: &Report{Scenario: s.Name, Seed: seed}}
	r.world.Net = s.Net
	r.world.Hear(announceAt, r.heard)
	for n := range s.Servers {
		r.nodes = append(r.nodes, newNode(r, n+1))
	}
	for n := range s.Gateways {
		heeds := float64(n) < s.Heeds*float64(s.Gateways)
		r.gateways = append(r.gateways, newGateway(r, n+1, heeds, rand.New(rand.NewPCG(seed, uint64(n)+2))))
	}
	for _, i := range s.Incidents {
		r.plan(i)
	}
	r.world.After(warm, r.arrive)
	return r, nil
}

// play goes through the day.
func (r *run) play() *Report {
	s := r.scenario
	end := warm + s.Length + fake.ReserveDeadline
	r.world.Run(end)
	r.over = true
	end += s.Calm
	r.world.Run(end)
	probes := r.probe()
	end += probeFor
	r.world.Run(end)
	for _, p := range probes {
		p.judge()
	}
	for _, n := range r.nodes {
		n.leave(nil)
	}
	r.world.Run(end + settleFor)
	return r.finish()
}

// heard takes in an announcement.
func (r *run) heard(p []byte) {
	words := strings.Fields(string(p))
	if len(words) == 3 && words[0] == "announce" {
		r.accepting[words[1]] = words[2] == "true"
	}
}

// breach notes a broken rule.
func (r *run) breach(format string, args ...any) {
	r.report.BreachesN++
	if len(r.report.Breaches) < mostNamed {
		r.report.Breaches = append(r.report.Breaches, fmt.Sprintf("at %v: ", r.world.Elapsed())+fmt.Sprintf(format, args...))
	}
}

// ran hears of a run.
func (r *run) ran(id string) {
	r.report.Runs++
	if !r.probes[id] {
		r.observer.Ran(id)
	}
}

// died has nobody wait for a server that is gone. What its callers see of it comes by the network.
func (r *run) died(n *node) { r.accepting[n.name()] = false }

// arrive has a request come, and plans the next.
func (r *run) arrive() {
	if r.world.Elapsed() >= warm+r.scenario.Length {
		return
	}
	number := len(r.requests)
	q := &request{tenant: "central", came: r.world.Elapsed()}
	if r.rng.Float64() < 0.3 {
		q.tenant = "northern"
	}
	if r.rng.Float64() < r.scenario.Keyed {
		q.key = fmt.Sprintf("%016x%016x", r.rng.Uint64(), number)
	}
	q.body = fake.WorkBody(fmt.Sprint(number), time.Duration(r.rng.ExpFloat64()*float64(r.scenario.Work)))
	r.requests = append(r.requests, q)
	r.second(q).Requests++
	r.gateways[r.rng.IntN(len(r.gateways))].send(q)
	r.world.After(time.Duration(r.rng.ExpFloat64()/(r.scenario.Rate*r.jump)*float64(time.Second)), r.arrive)
}

// second is that in which a request came.
func (r *run) second(q *request) *Second {
	n := int((q.came - warm) / time.Second)
	for len(r.report.Seconds) <= n {
		r.report.Seconds = append(r.report.Seconds, Second{})
	}
	return &r.report.Seconds[n]
}

// served notes that a request was served.
func (r *run) served(q *request) {
	if q.key != "" && !r.over && r.rng.Float64() < r.scenario.Repeats {
		r.world.After(time.Duration(r.rng.Int64N(int64(2*time.Second))), func() {
			if !r.over {
				q.tries--
				r.gateways[r.rng.IntN(len(r.gateways))].send(q)
			}
		})
	}
	if q.served {
		return
	}
	q.served = true
	r.second(q).Served++
	r.latency.RecordValue(min(max((r.world.Elapsed()-q.came).Microseconds(), 1), time.Minute.Microseconds()))
}

// plan has an incident happen.
func (r *run) plan(i Incident) {
	nodes := r.nodes
	if i.Server > 0 {
		nodes = nodes[i.Server-1 : i.Server]
	}
	if i.Kind == Jump {
		r.world.After(warm+i.At, func() { r.jump *= i.Times })
		r.world.After(warm+i.At+i.For, func() { r.jump /= i.Times })
		return
	}
	for k, n := range nodes {
		at := warm + i.At + time.Duration(k)*i.Apart
		r.world.After(at, func() { r.happen(i, n) })
	}
}

// happen has an incident happen to a server.
func (r *run) happen(i Incident, n *node) {
	w := r.world
	switch i.Kind {
	case Death:
		n.kill()
		w.After(i.For, n.start)
	case Deploy:
		n.leave(func() { w.After(i.For, n.start) })
	case Slow:
		n.slow *= i.Times
		w.After(i.For, func() { n.slow /= i.Times })
	case Partition:
		w.Cut(n.host, n.vm, true)
		w.After(i.For, func() { w.Cut(n.host, n.vm, false) })
	case Reload:
		for k := range 10 {
			w.After(time.Duration(k)*i.For/10, func() {
				if n.server != nil {
					n.moved++
					n.server.Reload(n.config())
				}
			})
		}
	case Standing:
		n.process.Pause(i.For)
		n.stood = w.Elapsed() + i.For
		r.observer.Excuse(i.For)
	case Cut:
		if r.rng.IntN(2) == 0 && n.newest != nil {
			n.newest.Reset() // and what is on its way is lost
		}
		n.interpreter.Cut()
	case Garbage:
		for range 5 {
			newStranger(r, n, r.garbage(), i.For)
		}
	case Flood:
		for range r.scenario.Files + 50 {
			newStranger(r, n, nil, i.For)
		}
	case Trickle, Resets:
		for _, g := range r.gateways {
			c := g.conns[n.number-1]
			switch {
			case !c.up:
			case i.Kind == Trickle:
				c.trickle()
			default:
				c.stream.Reset()
				c.Closed(fmt.Errorf("reset"))
			}
		}
	}
}

// garbage is what is no request: chance, the begin of a request, or a request with a byte changed.
func (r *run) garbage() []byte {
	whole := fake.Request{Method: "POST", Path: "/v1/part-lookup", Body: []byte("x"), Fields: map[string]string{"Request-Id": "00000000000000ff"}}.Records(1)
	switch r.rng.IntN(3) {
	case 0:
		b := make([]byte, 1+r.rng.IntN(200))
		for n := range b {
			b[n] = byte(r.rng.Uint32())
		}
		return b
	case 1:
		return whole[:r.rng.IntN(len(whole))]
	}
	whole[r.rng.IntN(len(whole))] ^= byte(1 + r.rng.IntN(255))
	return whole
}

// finish puts the report together.
func (r *run) finish() *Report {
	p := r.report
	p.Requests = len(r.requests)
	served := 0
	for _, q := range r.requests {
		if q.served {
			served++
		}
	}
	p.Share = float64(served) / float64(max(p.Requests, 1))
	ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	p.P50, p.P99, p.Unanswered = ms(50), ms(99), len(r.open)
	for _, g := range r.gateways {
		for _, c := range g.conns {
			if c.slow {
				p.Unanswered -= len(c.open) // the answers are there, and nobody reads them
			}
		}
	}
	for _, n := range r.nodes {
		if ended, _ := n.process.Ended(); !ended {
			r.breach("%s has not ended", n.name())
		}
	}
	for _, b := range r.observer.Breaches(r.world.Now()) {
		r.breach("%s", b)
	}
	p.World = r.world.Count
	p.Recovered = r.recovered()
	e := r.scenario.Expect
	if p.Share < e.Share {
		p.Missed = append(p.Missed, fmt.Sprintf("a share of %.3f, expected at least %.3f", p.Share, e.Share))
	}
	if e.Recovered > 0 && (p.Recovered < 0 || p.Recovered > e.Recovered.Seconds()) {
		p.Missed = append(p.Missed, fmt.Sprintf("recovered after %.0f s, expected within %v", p.Recovered, e.Recovered))
	}
	return p
}

// recovered is how many seconds after the last incident the share was back to 95 % of before the first.
func (r *run) recovered() float64 {
	if len(r.scenario.Incidents) == 0 {
		return 0
	}
	first, last := r.scenario.Length, time.Duration(0)
	for _, i := range r.scenario.Incidents {
		first, last = min(first, i.At), max(last, i.At+i.For)
	}
	var before Second
	for n, s := range r.report.Seconds {
		if time.Duration(n+1)*time.Second <= first {
			before.Requests, before.Served = before.Requests+s.Requests, before.Served+s.Served
		}
	}
	share := func(s Second) float64 { return float64(s.Served) / float64(max(s.Requests, 1)) }
	from := int((last + time.Second - 1) / time.Second)
	for n := from; n < len(r.report.Seconds); n++ {
		if s := r.report.Seconds[n]; s.Requests > 0 && share(s) >= 0.95*share(before) {
			return float64(n - from)
		}
	}
	return -1
}
