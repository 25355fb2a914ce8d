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

// loadReportAddr is where servers say whether they accept.
var loadReportAddr = netip.MustParseAddrPort("10.9.0.1:7000")

// startTime is what true clocks show when a rehearsal begins.
var startTime = time.Date(2026, 3, 16, 1, 0, 0, 0, time.UTC)

// startupTime is how long callers wait for servers to come up, and settleTime how long a day goes on after the last request, for
// answers and drains.
const (
	startupTime = time.Second
	settleTime  = 5 * time.Second
	// After the day and its calm each server is asked for a lookup and a reservation.
	probeTimeout       = 3 * time.Second
	maxNamedViolations = 20 // breaches that a report names
)

// SecondStats is what happened in one second.
type SecondStats struct {
	Requests int `json:"requests"`
	Served   int `json:"served"` // of those, by any of their tries
}

// Report is what came of a day. Latencies are in milliseconds, of served requests from when they came.
type Report struct {
	Scenario          string        `json:"scenario"`
	Seed              uint64        `json:"seed"`
	Requests          int           `json:"requests"`
	Attempts          int           `json:"tries"`
	Served            int           `json:"served"` // tries
	Rejected          int           `json:"refused"`
	Failed            int           `json:"failed"`
	Lost              int           `json:"lost"`
	Unsent            int           `json:"unsent"`
	Unanswered        int           `json:"unanswered"`
	Runs              int           `json:"runs"`
	ServedShare       float64       `json:"share"`
	P50               float64       `json:"p50_ms"`
	P99               float64       `json:"p99_ms"`
	RecoverySeconds   float64       `json:"recovered_s"` // after the last incident; -1 is never, and 0 where there is none
	Violations        []string      `json:"breaches"`
	ViolationCount    int           `json:"breaches_in_all"`
	UnmetExpectations []string      `json:"missed"` // expectations
	Seconds           []SecondStats `json:"seconds"`
	Simulation        simnet.Stats  `json:"world"`
}

// runner is one under way.
type runner struct {
	scenario     *Scenario
	site         *settings.Site
	sim          *simnet.Simulation
	rng          *rand.Rand
	nodes        []*node
	gateways     []*gateway
	checker      *invariant.Checker
	accepting    map[string]bool
	inFlight     map[string]*attempt
	probeIDs     map[string]bool // ids of tries that are no caller's
	requests     []*request
	attempts     int
	loadFactor   float64
	isFinished   bool // no further tries are made
	coldRestarts bool // interpreters that come back after a death are cold, as the platform's are
	latency      *hdrhistogram.Histogram
	report       *Report
}

// Run plays a scenario. The same seed gives the same report.
func Run(s *Scenario, seed uint64) (*Report, error) {
	r, err := newRunner(s, seed)
	if err != nil {
		return nil, err
	}
	return r.execute(), nil
}

// newRunner has everything stand ready.
func newRunner(s *Scenario, seed uint64) (*runner, error) {
	site, err := settings.Parse([]byte(fake.SiteSettings))
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	r := &runner{scenario: s, site: site, sim: simnet.New(seed, startTime), rng: rand.New(rand.NewPCG(seed, 1)), checker: invariant.New(fake.IdempotencyWindow),
		accepting: map[string]bool{}, inFlight: map[string]*attempt{}, probeIDs: map[string]bool{}, loadFactor: 1, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		report: &Report{Scenario: s.Name, Seed: seed}}
	r.sim.Network = s.Network
	r.sim.HandleDatagrams(loadReportAddr, r.handleLoadReport)
	for n := range s.Servers {
		r.nodes = append(r.nodes, newNode(r, n+1))
	}
	for n := range s.Gateways {
		heeds := float64(n) < s.RetryAfterShare*float64(s.Gateways)
		r.gateways = append(r.gateways, newGateway(r, n+1, heeds, rand.New(rand.NewPCG(seed, uint64(n)+2))))
	}
	for _, i := range s.Incidents {
		r.scheduleIncident(i)
	}
	r.sim.After(startupTime, r.generateRequest)
	return r, nil
}

// execute goes through the day.
func (r *runner) execute() *Report {
	s := r.scenario
	end := startupTime + s.Duration + fake.ReserveDeadline
	r.sim.Run(end)
	r.isFinished = true
	end += s.Cooldown
	r.sim.Run(end)
	probes := r.startProbes()
	end += probeTimeout
	r.sim.Run(end)
	for _, p := range probes {
		p.verify()
	}
	for _, n := range r.nodes {
		n.drain(nil)
	}
	r.sim.Run(end + settleTime)
	return r.buildReport()
}

// log takes in an announcement.
func (r *runner) handleLoadReport(p []byte) {
	words := strings.Fields(string(p))
	if len(words) == 3 && words[0] == "announce" {
		r.accepting[words[1]] = words[2] == "true"
	}
}

// recordViolation notes a broken rule.
func (r *runner) recordViolation(format string, args ...any) {
	r.report.ViolationCount++
	if len(r.report.Violations) < maxNamedViolations {
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("at %v: ", r.sim.Elapsed())+fmt.Sprintf(format, args...))
	}
}

// recordRun hears of a run.
func (r *runner) recordRun(id string) {
	r.report.Runs++
	if !r.probeIDs[id] {
		r.checker.RecordRun(id)
	}
}

// markDown has nobody wait for a server that is gone. What its callers see of it comes by the network.
func (r *runner) markDown(n *node) { r.accepting[n.name()] = false }

// generateRequest has a request come, and plans the next.
func (r *runner) generateRequest() {
	if r.sim.Elapsed() >= startupTime+r.scenario.Duration {
		return
	}
	number := len(r.requests)
	q := &request{tenant: "central", arrivedAt: r.sim.Elapsed()}
	if r.rng.Float64() < 0.3 {
		q.tenant = "northern"
	}
	if r.rng.Float64() < r.scenario.IdempotentShare {
		q.key = fmt.Sprintf("%016x%016x", r.rng.Uint64(), number)
	}
	q.body = fake.WorkBody(fmt.Sprint(number), time.Duration(r.rng.ExpFloat64()*float64(r.scenario.MeanRunTime)))
	r.requests = append(r.requests, q)
	r.secondOf(q).Requests++
	r.gateways[r.rng.IntN(len(r.gateways))].send(q)
	r.sim.After(time.Duration(r.rng.ExpFloat64()/(r.scenario.Rate*r.loadFactor)*float64(time.Second)), r.generateRequest)
}

// secondOf is that in which a request came.
func (r *runner) secondOf(q *request) *SecondStats {
	n := int((q.arrivedAt - startupTime) / time.Second)
	for len(r.report.Seconds) <= n {
		r.report.Seconds = append(r.report.Seconds, SecondStats{})
	}
	return &r.report.Seconds[n]
}

// isServed notes that a request was served.
func (r *runner) recordServed(q *request) {
	if q.key != "" && !r.isFinished && r.rng.Float64() < r.scenario.DuplicateShare {
		r.sim.After(time.Duration(r.rng.Int64N(int64(2*time.Second))), func() {
			if !r.isFinished {
				q.attempts--
				r.gateways[r.rng.IntN(len(r.gateways))].send(q)
			}
		})
	}
	if q.isServed {
		return
	}
	q.isServed = true
	r.secondOf(q).Served++
	r.latency.RecordValue(min(max((r.sim.Elapsed()-q.arrivedAt).Microseconds(), 1), time.Minute.Microseconds()))
}

// scheduleIncident has an incident happen.
func (r *runner) scheduleIncident(i Incident) {
	nodes := r.nodes
	if i.Server > 0 {
		nodes = nodes[i.Server-1 : i.Server]
	}
	if i.Kind == LoadSpike {
		r.sim.After(startupTime+i.At, func() { r.loadFactor *= i.Factor })
		r.sim.After(startupTime+i.At+i.Duration, func() { r.loadFactor /= i.Factor })
		return
	}
	for k, n := range nodes {
		at := startupTime + i.At + time.Duration(k)*i.Stagger
		r.sim.After(at, func() { r.applyIncident(i, n) })
	}
}

// applyIncident has an incident happen to a server.
func (r *runner) applyIncident(i Incident, n *node) {
	w := r.sim
	switch i.Kind {
	case Crash:
		n.kill()
		w.After(i.Duration, n.start)
	case Restart:
		n.drain(func() { w.After(i.Duration, n.start) })
	case SlowInterpreter:
		n.slowdown *= i.Factor
		w.After(i.Duration, func() { n.slowdown /= i.Factor })
	case Partition:
		w.SetPartitioned(n.host, n.interpreterHost, true)
		w.After(i.Duration, func() { w.SetPartitioned(n.host, n.interpreterHost, false) })
	case ConfigReload:
		for k := range 10 {
			w.After(time.Duration(k)*i.Duration/10, func() {
				if n.server != nil {
					n.addressChanges++
					n.server.Reload(n.config())
				}
			})
		}
	case MachinePause:
		n.process.Pause(i.Duration)
		n.pausedUntil = w.Elapsed() + i.Duration
		r.checker.ExcusePause(i.Duration)
	case LinkLoss:
		if r.rng.IntN(2) == 0 && n.latestLink != nil {
			n.latestLink.Reset() // and what is on its way is lost
		}
		n.interpreter.CutLink()
	case MalformedInput:
		for range 5 {
			newRogueClient(r, n, r.malformedRequest(), i.Duration)
		}
	case ConnectionFlood:
		for range r.scenario.MaxOpenFiles + 50 {
			newRogueClient(r, n, nil, i.Duration)
		}
	case SlowReaders, ConnectionResets:
		for _, g := range r.gateways {
			c := g.conns[n.number-1]
			switch {
			case !c.isConnected:
			case i.Kind == SlowReaders:
				c.startSlowReads()
			default:
				c.stream.Reset()
				c.Closed(fmt.Errorf("reset"))
			}
		}
	}
}

// malformedRequest is what is no request: chance, the begin of a request, or a request with a byte changed.
func (r *runner) malformedRequest() []byte {
	whole := fake.Request{Method: "POST", Path: "/v1/part-lookup", Body: []byte("x"), Headers: map[string]string{"Request-Id": "00000000000000ff"}}.Encode(1)
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

// buildReport puts the report together.
func (r *runner) buildReport() *Report {
	p := r.report
	p.Requests = len(r.requests)
	served := 0
	for _, q := range r.requests {
		if q.isServed {
			served++
		}
	}
	p.ServedShare = float64(served) / float64(max(p.Requests, 1))
	ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
	p.P50, p.P99, p.Unanswered = ms(50), ms(99), len(r.inFlight)
	for _, g := range r.gateways {
		for _, c := range g.conns {
			if c.readsSlowly {
				p.Unanswered -= len(c.inFlight) // the answers are there, and nobody reads them
			}
		}
	}
	for _, n := range r.nodes {
		if ended, _ := n.process.Exited(); !ended {
			r.recordViolation("%s has not ended", n.name())
		}
	}
	for _, b := range r.checker.Violations(r.sim.Now()) {
		r.recordViolation("%s", b)
	}
	p.Simulation = r.sim.Stats
	p.RecoverySeconds = r.recoverySeconds()
	e := r.scenario.Expect
	if p.ServedShare < e.MinServedShare {
		p.UnmetExpectations = append(p.UnmetExpectations, fmt.Sprintf("a share of %.3f, expected at least %.3f", p.ServedShare, e.MinServedShare))
	}
	if e.MaxRecoveryTime > 0 && (p.RecoverySeconds < 0 || p.RecoverySeconds > e.MaxRecoveryTime.Seconds()) {
		p.UnmetExpectations = append(p.UnmetExpectations, fmt.Sprintf("recovered after %.0f s, expected within %v", p.RecoverySeconds, e.MaxRecoveryTime))
	}
	return p
}

// recoverySeconds is how many seconds after the last incident the share was back to 95 % of before the first.
func (r *runner) recoverySeconds() float64 {
	if len(r.scenario.Incidents) == 0 {
		return 0
	}
	first, last := r.scenario.Duration, time.Duration(0)
	for _, i := range r.scenario.Incidents {
		first, last = min(first, i.At), max(last, i.At+i.Duration)
	}
	var before SecondStats
	for n, s := range r.report.Seconds {
		if time.Duration(n+1)*time.Second <= first {
			before.Requests, before.Served = before.Requests+s.Requests, before.Served+s.Served
		}
	}
	share := func(s SecondStats) float64 { return float64(s.Served) / float64(max(s.Requests, 1)) }
	from := int((last + time.Second - 1) / time.Second)
	for n := from; n < len(r.report.Seconds); n++ {
		if s := r.report.Seconds[n]; s.Requests > 0 && share(s) >= 0.95*share(before) {
			return float64(n - from)
		}
	}
	return -1
}
