package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// concurrencyWindow is the time over which the platform averages the number of a server's running requests.
	concurrencyWindow = 1500 * time.Millisecond
	// sampleInterval is the time between two counts of the running requests.
	sampleInterval = 25 * time.Millisecond
)

// TestFleetColdRestart crashes a third of 20 and of 30 servers within a second. They restart cold and as slow as the
// settings allow, while gateways send at nearly the cluster's capacity and retry rejected requests. The test checks that no
// server runs more requests, averaged over concurrencyWindow, than it survives according to the settings at its age, that
// nine in ten restarted servers are ready within 10 s, that each server runs requests before and after its restart, and
// that the number of unanswered attempts is at most 5 plus one for each 500 requests.
func TestFleetColdRestart(t *testing.T) {
	for _, servers := range []int{20, 30} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) { testFleet(t, servers) })
	}
}

func testFleet(t *testing.T, servers int) {
	spec := fleetScenario(servers)
	r, err := newRunner(&spec, uint64(servers))
	if err != nil {
		t.Fatal(err)
	}
	r.coldRestarts = true
	ready := watchReadiness(r)
	sampler := &fleetSampler{t: t, runner: r, runsBeforeRestart: make([]int, servers), runningSamples: make([][]int, servers)}
	r.sim.After(0, sampler.sample)
	report := r.execute()
	if report.ViolationCount > 0 {
		t.Errorf("%d violations, want none; the first: %s", report.ViolationCount, report.Violations[0])
	}
	if maxUnanswered := report.Requests/500 + 5; report.Unanswered > maxUnanswered {
		t.Errorf("%d unanswered attempts of %d requests, want at most %d", report.Unanswered, report.Requests, maxUnanswered)
	}
	notReady := servers / 3
	for name, after := range ready {
		if after <= 10*time.Second {
			notReady--
		} else {
			t.Logf("%s was ready after %v", name, after)
		}
	}
	if 10*notReady > servers/3 {
		t.Errorf("%d of %d restarted servers were not ready within 10 s, want at most a tenth", notReady, servers/3)
	}
	for i, n := range r.nodes {
		if n.runs == sampler.runsBeforeRestart[i] || n.incarnation > 1 && sampler.runsBeforeRestart[i] == 0 {
			t.Errorf("%s: %d runs before the restart, %d in total, want runs both before and after it", n.name(),
				sampler.runsBeforeRestart[i], n.runs)
		}
	}
	t.Logf("%d requests, served share %.3f, %d unanswered, %d lost", report.Requests, report.ServedShare, report.Unanswered, report.Lost)
}

// fleetScenario returns a scenario in which every third server crashes, all within a second.
func fleetScenario(servers int) Scenario {
	s := Defaults()
	s.Name = "fleet"
	s.Servers = servers
	s.Gateways = 8
	s.Duration = 25 * time.Second
	s.MeanRunTime = 100 * time.Millisecond
	s.Rate = 16 * float64(servers)
	s.IdempotentShare = 0.1
	const firstCrash = 3 * time.Second
	for n := range servers / 3 {
		at := firstCrash + time.Duration(n)*time.Second/10
		s.Incidents = append(s.Incidents, Incident{Kind: Crash, At: at, Duration: time.Second, Server: 3*n + 1})
	}
	return s
}

// watchReadiness observes the load reports of a scenario. While the scenario runs, the returned map is filled with the time
// from the restart of each server to its first report that it accepts requests, by the server's name.
func watchReadiness(r *runner) map[string]time.Duration {
	ready := map[string]time.Duration{}
	r.sim.HandleDatagrams(loadReportAddr, func(payload []byte) {
		r.handleLoadReport(payload)
		name := strings.Fields(string(payload))[1]
		for _, n := range r.nodes {
			if n.name() == name && n.incarnation == 2 && ready[name] == 0 && strings.HasSuffix(string(payload), "true") {
				ready[name] = r.sim.Elapsed() - n.startedAt
			}
		}
	})
	return ready
}

// fleetSampler slows restarted servers down as far as the settings allow at their age, and checks the concurrency of all
// servers.
type fleetSampler struct {
	t                 *testing.T
	runner            *runner
	runsBeforeRestart []int   // by server: runs until its restart, or until the latest sample if it was not restarted
	runningSamples    [][]int // by server: the number of running requests at each sample
}

// sample samples all servers, and schedules the next sample until the load ends.
func (f *fleetSampler) sample() {
	now := f.runner.sim.Elapsed()
	for i, n := range f.runner.nodes {
		f.sampleNode(i, n, now)
	}
	if now < startupTime+f.runner.scenario.Duration {
		f.runner.sim.After(sampleInterval, f.sample)
	}
}

func (f *fleetSampler) sampleNode(i int, n *node, now time.Duration) {
	admission := f.runner.site.Admission
	speed := 1.0 // as a share of full speed
	if n.incarnation == 1 {
		f.runsBeforeRestart[i] = n.runs
	} else if n.incarnation > 1 {
		speed = min(1, admission.InitialCapacity+(1-admission.InitialCapacity)*float64(now-n.startedAt)/float64(admission.WarmUpTime))
		n.slowdown = 1 / speed
	}
	f.runningSamples[i] = append(f.runningSamples[i], n.interpreter.RunningCount())
	window := f.runningSamples[i][max(0, len(f.runningSamples[i])-int(concurrencyWindow/sampleInterval)):]
	sum := 0
	for _, running := range window {
		sum += running
	}
	maxConcurrency := float64(admission.Cores) * (1 + (admission.MaxConcurrencyFactor-1)*speed)
	if mean := float64(sum) / float64(len(window)); mean > maxConcurrency {
		f.t.Errorf("%s: mean of %.1f running requests in the %v before %v, want at most %.1f", n.name(), mean, concurrencyWindow, now,
			maxConcurrency)
	}
}
