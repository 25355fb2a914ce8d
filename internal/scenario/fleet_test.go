package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// concurrencyWindow is the time over which the platform takes the mean of a server's running requests.
	concurrencyWindow = 1500 * time.Millisecond
	// sampleInterval is how often the running requests are counted.
	sampleInterval = 25 * time.Millisecond
)

// TestFleetTerms restarts a third of 20 and of 30 servers within a second, cold and as slow as the settings allow, while
// gateways send near the cluster's capacity and retry after rejections. No server runs more than the concurrency that it
// survives by the settings at its age, nine in ten are ready within 10 s, each serves someone, and no more than one
// request in 500, and five, stays without an answer.
func TestFleetTerms(t *testing.T) {
	for _, servers := range []int{20, 30} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) { testFleet(t, servers) })
	}
}

func testFleet(t *testing.T, servers int) {
	spec := fleetScenario(servers)
	run, err := newRunner(&spec, uint64(servers))
	if err != nil {
		t.Fatal(err)
	}
	run.coldRestarts = true
	ready := watchReadiness(run)
	sampler := &fleetSampler{t: t, runner: run, before: make([]int, servers), running: make([][]int, servers)}
	run.sim.After(0, sampler.sample)
	report := run.execute()
	if report.ViolationCount > 0 {
		t.Errorf("%d rules were broken, the first: %s", report.ViolationCount, report.Violations[0])
	}
	if most := report.Requests/500 + 5; report.Unanswered > most {
		t.Errorf("%d of %d requests stayed without an answer, %d may", report.Unanswered, report.Requests, most)
	}
	late := servers / 3
	for name, after := range ready {
		if after <= 10*time.Second {
			late--
		} else {
			t.Logf("%s was ready after %v", name, after)
		}
	}
	if 10*late > servers/3 {
		t.Errorf("%d of %d restarted servers were not ready within 10 s", late, servers/3)
	}
	for i, n := range run.nodes {
		if n.runs == sampler.before[i] || n.incarnation > 1 && sampler.before[i] == 0 {
			t.Errorf("%s ran nothing in one of its lives: %d before the restart, %d in all", n.name(), sampler.before[i], n.runs)
		}
	}
	t.Logf("%d requests, share %.3f, %d unanswered, %d lost", report.Requests, report.ServedShare, report.Unanswered, report.Lost)
}

// fleetScenario crashes every third server within a second.
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

// watchReadiness returns how long after its restart each server reported that it accepts requests, by its name.
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

// fleetSampler slows restarted servers down as far as the settings allow at their age, and checks their concurrency.
type fleetSampler struct {
	t       *testing.T
	runner  *runner
	before  []int   // runs of each server until it was restarted
	running [][]int // samples of each server
}

// sample samples all servers, and again after an interval until the load ends.
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
	set := f.runner.site.Admission
	speed := 1.0 // as a share of full speed
	if n.incarnation == 1 {
		f.before[i] = n.runs
	} else if n.incarnation > 1 {
		speed = min(1, set.InitialCapacity+(1-set.InitialCapacity)*float64(now-n.startedAt)/float64(set.WarmUpTime))
		n.slowdown = 1 / speed
	}
	f.running[i] = append(f.running[i], n.interpreter.RunningCount())
	window := f.running[i][max(0, len(f.running[i])-int(concurrencyWindow/sampleInterval)):]
	sum := 0
	for _, running := range window {
		sum += running
	}
	most := float64(set.Cores) * (1 + (set.MaxConcurrencyFactor-1)*speed)
	if mean := float64(sum) / float64(len(window)); mean > most {
		f.t.Errorf("%s ran %.1f in the mean of %v until %v, it survives %.1f", n.name(), mean, concurrencyWindow, now, most)
	}
}
