package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// crowdOver is the time over which the platform takes the mean of the running requests of a server.
const crowdOver = 1500 * time.Millisecond

// TestFleetTerms restarts a third of 20 and of 30 servers within a second, cold and as slow as the settings allow, while
// gateways send near what the fleet can do and come again after refusals. No server runs more than the crowd that it
// survives by the settings at its age, nine in ten are ready within 10 s, none serves nobody, and no more than one
// request in 500, and five, stays without an answer.
func TestFleetTerms(t *testing.T) {
	for _, servers := range []int{20, 30} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			s := Defaults()
			s.Name, s.Servers, s.Gateways, s.Duration = "fleet", servers, 8, 25*time.Second
			s.MeanRunTime, s.Rate, s.IdempotentShare = 100*time.Millisecond, 16*float64(servers), 0.1
			const died = 3 * time.Second
			for n := range servers / 3 {
				s.Incidents = append(s.Incidents, Incident{Kind: Crash, At: died + time.Duration(n)*time.Second/10, Duration: time.Second, Server: 3*n + 1})
			}
			r, err := newRunner(&s, uint64(servers))
			if err != nil {
				t.Fatal(err)
			}
			r.coldRestarts = true
			ready := map[string]time.Duration{} // by server, after it came back
			r.sim.HandleDatagrams(loadReportAddr, func(p []byte) {
				r.handleLoadReport(p)
				name := strings.Fields(string(p))[1]
				for _, n := range r.nodes {
					if n.name() == name && n.incarnation == 2 && ready[name] == 0 && strings.HasSuffix(string(p), "true") {
						ready[name] = r.sim.Elapsed() - n.startedAt
					}
				}
			})
			set := r.site.Admission
			before := make([]int, servers) // runs of each server until it was restarted
			running := make([][]int, servers)
			const step = 25 * time.Millisecond
			var look func()
			look = func() {
				now := r.sim.Elapsed()
				for i, n := range r.nodes {
					share := 1.0 // of full speed
					if n.incarnation == 1 {
						before[i] = n.runs
					} else if n.incarnation > 1 {
						share = min(1, set.InitialCapacity+(1-set.InitialCapacity)*float64(now-n.startedAt)/float64(set.WarmUpTime))
						n.slowdown = 1 / share
					}
					running[i] = append(running[i], n.interpreter.RunningCount())
					last := running[i][max(0, len(running[i])-int(crowdOver/step)):]
					sum := 0
					for _, k := range last {
						sum += k
					}
					most := float64(set.Cores) * (1 + (set.MaxConcurrencyFactor-1)*share)
					if mean := float64(sum) / float64(len(last)); mean > most {
						t.Errorf("%s ran %.1f in the mean of %v until %v, it survives %.1f", n.name(), mean, crowdOver, now, most)
					}
				}
				if now < startupTime+s.Duration {
					r.sim.After(step, look)
				}
			}
			r.sim.After(0, look)
			report := r.execute()
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
			for i, n := range r.nodes {
				if n.runs == before[i] || n.incarnation > 1 && before[i] == 0 {
					t.Errorf("%s ran nothing in one of its lives: %d before the restart, %d in all", n.name(), before[i], n.runs)
				}
			}
			t.Logf("%d requests, share %.3f, %d unanswered, %d lost", report.Requests, report.ServedShare, report.Unanswered, report.Lost)
		})
	}
}
