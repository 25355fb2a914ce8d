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

// loadReportAddr is where servers report their load.
var loadReportAddr = netip.MustParseAddrPort("10.9.0.1:7000")

// startTime is the wall-clock time at which every simulation begins.
var startTime = time.Date(2026, 3, 16, 1, 0, 0, 0, time.UTC)

// The phases of a run, in the order in which they follow the start: startup, load, the longest deadline, cooldown, probes, drain.
const (
	startupTime  = time.Second     // until the first request
	probeTimeout = 3 * time.Second // for the answers to the probes
	settleTime   = 5 * time.Second // for the drain of all servers
)

// trafficStream is the stream of the seed's random numbers that draws requests and incidents. Those of the gateways follow it.
const trafficStream = 1

// maxLatency is the largest latency that the histogram holds; larger ones count as it.
const maxLatency = time.Minute

// runner is a scenario that is running.
type runner struct {
	scenario *Scenario
	site     *settings.Site
	sim      *simnet.Simulation
	rng      *rand.Rand

	nodes        []*node
	gateways     []*gateway
	accepting    map[string]bool // by server, as it last reported
	coldRestarts bool            // whether interpreters that come back after a crash are cold, as the platform's are

	requests   []*request
	attempts   int                 // sent so far, probes included; the last one's Request-Id
	inFlight   map[string]*attempt // by Request-Id
	probeIDs   map[string]bool     // Request-Ids of probes, of which the checker knows nothing
	loadFactor float64             // of the load spikes of the moment
	isFinished bool                // no further attempts are made

	checker *invariant.Checker
	latency *hdrhistogram.Histogram // in microseconds
	report  *Report
}

// Run runs a scenario. The same seed gives the same report.
func Run(scenario *Scenario, seed uint64) (*Report, error) {
	r, err := newRunner(scenario, seed)
	if err != nil {
		return nil, err
	}
	return r.execute(), nil
}

// newRunner builds the cluster and its callers, and schedules the load and the incidents.
func newRunner(scenario *Scenario, seed uint64) (*runner, error) {
	site, err := settings.Parse([]byte(fake.SiteSettings))
	if err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	run := &runner{
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
	run.sim.Network = scenario.Network
	run.sim.HandleDatagrams(loadReportAddr, run.handleLoadReport)
	for n := range scenario.Servers {
		run.nodes = append(run.nodes, newNode(run, n+1))
	}
	for n := range scenario.Gateways {
		rng := rand.New(rand.NewPCG(seed, trafficStream+1+uint64(n)))
		honorsRetryAfter := float64(n) < scenario.RetryAfterShare*float64(scenario.Gateways)
		run.gateways = append(run.gateways, newGateway(run, n+1, honorsRetryAfter, rng))
	}
	for _, incident := range scenario.Incidents {
		run.scheduleIncident(incident)
	}
	run.sim.After(startupTime, run.generateRequest)
	return run, nil
}

// execute runs all phases.
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
	r.sim.Run(end + settleTime)
	return r.buildReport()
}

// handleLoadReport notes whether a server accepts requests: "announce NAME true".
func (r *runner) handleLoadReport(payload []byte) {
	fields := strings.Fields(string(payload))
	if len(fields) == 3 && fields[0] == "announce" {
		r.accepting[fields[1]] = fields[2] == "true"
	}
}

// markDown notes that a server has gone and accepts nothing.
func (r *runner) markDown(n *node) { r.accepting[n.name()] = false }

// recordViolation notes that a rule was violated now.
func (r *runner) recordViolation(format string, args ...any) {
	r.report.addViolation(r.sim.Elapsed(), fmt.Sprintf(format, args...))
}

// recordRun notes that an interpreter was commanded to run an attempt.
func (r *runner) recordRun(id string) {
	r.report.Runs++
	if !r.probeIDs[id] {
		r.checker.RecordRun(id)
	}
}

// nextAttemptID returns a Request-Id that was not used before.
func (r *runner) nextAttemptID() string {
	r.attempts++
	return fmt.Sprintf("%016x", r.attempts)
}
