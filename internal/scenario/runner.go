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

// loadReportAddr is the address to which servers send load reports.
var loadReportAddr = netip.MustParseAddrPort("10.9.0.1:7000")

// startTime is the wall-clock time at which every simulation begins.
var startTime = time.Date(2026, 3, 16, 1, 0, 0, 0, time.UTC)

// The lengths of the phases that the scenario does not set. The phases are, in this order: startup, load, the longest
// deadline of a request, cooldown, probes, drain.
const (
	startupTime  = time.Second     // until the first request
	probeTimeout = 3 * time.Second // for the answers to the probes
	drainTime    = 5 * time.Second // for the drain of all servers
)

// trafficStream is the second seed of the random numbers for requests and incidents. The second seeds of the gateways follow
// it.
const trafficStream = 1

// maxLatency is the maximum latency in the histogram. Higher latencies are recorded as maxLatency.
const maxLatency = time.Minute

// runner is the state of a running scenario.
type runner struct {
	scenario *Scenario
	site     *settings.Site
	sim      *simnet.Simulation
	rng      *rand.Rand

	nodes        []*node
	gateways     []*gateway
	accepting    map[string]bool // by name of the server, from its latest load report
	coldRestarts bool            // whether interpreters are cold after a crash, as on the platform

	requests   []*request
	attempts   int                 // number of attempts so far, including probes; also the Request-Id of the last one
	inFlight   map[string]*attempt // by Request-Id
	probeIDs   map[string]bool     // Request-Ids of probes, which the checker does not record
	loadFactor float64             // product of the factors of the current load spikes
	isFinished bool                // no further attempts are made

	checker *invariant.Checker
	latency *hdrhistogram.Histogram // in microseconds
	report  *Report
}

// Run runs a scenario and returns its report. The same scenario and seed give the same report.
func Run(scenario *Scenario, seed uint64) (*Report, error) {
	r, err := newRunner(scenario, seed)
	if err != nil {
		return nil, err
	}
	return r.execute(), nil
}

// newRunner creates the cluster and its gateways, and schedules the load and the incidents.
func newRunner(scenario *Scenario, seed uint64) (*runner, error) {
	site, err := settings.Parse([]byte(fake.SiteSettings))
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	r := &runner{
		scenario:   scenario,
		site:       site,
		sim:        simnet.New(seed, startTime),
		rng:        rand.New(rand.NewPCG(seed, trafficStream)),
		accepting:  map[string]bool{},
		inFlight:   map[string]*attempt{},
		probeIDs:   map[string]bool{},
		loadFactor: 1,
		checker:    invariant.New(fake.IdempotencyWindow),
		latency:    hdrhistogram.New(1, maxLatency.Microseconds(), 3),
		report:     &Report{Scenario: scenario.Name, Seed: seed},
	}
	r.sim.Network = scenario.Network
	r.sim.HandleDatagrams(loadReportAddr, r.handleLoadReport)
	for n := range scenario.Servers {
		r.nodes = append(r.nodes, newNode(r, n+1))
	}
	for n := range scenario.Gateways {
		rng := rand.New(rand.NewPCG(seed, trafficStream+1+uint64(n)))
		honorsRetryAfter := float64(n) < scenario.RetryAfterShare*float64(scenario.Gateways)
		r.gateways = append(r.gateways, newGateway(r, n+1, honorsRetryAfter, rng))
	}
	for _, incident := range scenario.Incidents {
		r.scheduleIncident(incident)
	}
	r.sim.After(startupTime, r.generateRequest)
	return r, nil
}

// execute runs all phases and returns the report.
func (r *runner) execute() *Report {
	end := startupTime + r.scenario.Duration + fake.ReserveDeadline
	r.sim.Run(end)
	r.isFinished = true
	end += r.scenario.Cooldown
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
	r.sim.Run(end + drainTime)
	return r.buildReport()
}

// handleLoadReport records whether a server accepts requests. A load report is "announce NAME true" or "announce NAME false".
func (r *runner) handleLoadReport(payload []byte) {
	fields := strings.Fields(string(payload))
	if len(fields) == 3 && fields[0] == "announce" {
		r.accepting[fields[1]] = fields[2] == "true"
	}
}

// markDown records that a server has exited and accepts no requests.
func (r *runner) markDown(n *node) { r.accepting[n.name()] = false }

// recordViolation adds a violation at the current time to the report.
func (r *runner) recordViolation(format string, args ...any) {
	r.report.addViolation(r.sim.Elapsed(), fmt.Sprintf(format, args...))
}

// recordRun records that an interpreter started to run an attempt.
func (r *runner) recordRun(id string) {
	r.report.Runs++
	if !r.probeIDs[id] {
		r.checker.RecordRun(id)
	}
}

// nextAttemptID returns a new Request-Id.
func (r *runner) nextAttemptID() string {
	r.attempts++
	return fmt.Sprintf("%016x", r.attempts)
}
