package admission

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestStallIsReportedAndEnds(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	now := time.Duration(0)
	for id := RequestID(1); id <= 10; id++ {
		in.Request(now, testRequest(id, 0))
		in.Settle(now)
		now += 100 * ms
		in.RunFinished(now, id, OK)
	}
	n := fillCores(in, rec, now, 0)
	in.Request(now, testRequest(50, 1))
	in.Settle(now)
	rec.take()
	logs := 0
	var all []string
	for i := 0; i < 40; i++ { // four seconds without an end of a run
		now += 100 * ms
		rec.lines = nil
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
		in.Settle(now)
		for _, l := range rec.lines {
			if strings.HasPrefix(l, "log ") {
				logs++
			}
		}
		all = append(all, rec.lines...)
	}
	rec.lines = all
	if logs != 1 || !in.stall.isStalled {
		t.Errorf("%d running: %d log lines, stalled %v, want 1 and true", n, logs, in.stall.isStalled)
	}
	if got := strings.Join(rec.take("health", "reject"), ","); !strings.Contains(got, "health false true") || !strings.Contains(got, "reject 50 ") {
		t.Errorf("actions %q, want health false true and reject 50", got)
	}
	in.RunFinished(now, 1000, OK)
	in.Timer(now+100*ms, 0, Gauges{Utilization: 1, Runnable: -1})
	if in.stall.isStalled {
		t.Error("the stall did not end when a run ended")
	}
}

func TestPausedProcessIsNotStalled(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	for id := RequestID(1); id <= 10; id++ {
		in.Request(0, testRequest(id, 0))
		in.Settle(0)
		learnRun(in, 0, 0.1, 0.1)
		in.RunFinished(0, id, OK)
	}
	fillCores(in, rec, 0, 0)
	in.Timer(5*time.Second, 0, Gauges{Utilization: 1, Runnable: -1})
	if in.stall.isStalled {
		t.Error("a pause of the whole process counts as a stall")
	}
}

func TestFirstShortRunIsNotStall(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.RunFinished(10*ms, 1000, OK)
	for now := 100 * ms; now <= 700*ms; now += 100 * ms {
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
	}
	if in.stall.isStalled {
		t.Error("0.7 s without an end of a run, after one short run, count as a stall")
	}
}

// TestIndependentRunsStallAfterTheLongestRun uses runs that do not share cores. Many simultaneous long runs are not a
// stall, but it is a stall if no run ends for several times the longest run.
func TestIndependentRunsStallAfterTheLongestRun(t *testing.T) {
	for _, independent := range []bool{false, true} {
		settings := testSettings()
		settings.IndependentRuns, settings.Cores = independent, 8
		in, rec := newTestInstance(t, settings)
		now, id := time.Duration(0), RequestID(0)
		run := func(took time.Duration) {
			id++
			in.Request(now, testRequest(id, 0))
			in.Settle(now)
			now += took
			in.RunFinished(now, id, OK)
			in.Settle(now)
		}
		run(800 * time.Millisecond)
		for range 200 {
			run(5 * time.Millisecond)
		}
		for range settings.Cores { // all later runs are long
			id++
			in.Request(now, testRequest(id, 0))
			in.Settle(now)
		}
		polls := func(n int) {
			for range n {
				now += pollInterval
				in.Timer(now, 0, Gauges{Utilization: 1, Runnable: float64(settings.Cores)})
				in.Settle(now)
			}
		}
		polls(7)
		if in.stall.isStalled == independent {
			t.Errorf("independent runs %v: stalled is %v after 0.7 s without an end of a run", independent, in.stall.isStalled)
		}
		polls(25)
		if !in.stall.isStalled {
			t.Errorf("independent runs %v: not stalled after 3.2 s without an end of a run", independent)
		}
		rec.take()
	}
}

func TestStallFailsSafeRuns(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	for id := RequestID(1); id <= 10; id++ {
		in.Request(0, testRequest(id, 0))
		in.Settle(0)
		learnRun(in, 0, 0.1, 0.1)
		in.RunFinished(0, id, OK)
	}
	in.Request(0, testRequest(50, 0))
	in.Request(0, testRequest(51, 1))
	in.Settle(0)
	rec.take()
	for now := 100 * ms; !in.stall.isStalled && now < 5*time.Second; now += 100 * ms {
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
		in.Settle(now)
	}
	expectActions(t, rec, "fail reject", "fail 50")
}

// TestStalledRunsDoNotRaiseExpectedRunTime lets all runs hang. Their duration until the stall is detected does not
// measure the run time of their class.
func TestStalledRunsDoNotRaiseExpectedRunTime(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	for range 10 {
		id := driver.request(1, nil)
		driver.advance(100 * ms)
		driver.module.RunFinished(driver.now, id, OK)
	}
	driver.isSaturated = true
	driver.request(1, nil)
	driver.request(1, nil)
	before := driver.module.expectedRunTime(&request{class: 1})
	for range 100 {
		driver.advance(100 * ms)
		if driver.module.stall.isStalled {
			break
		}
	}
	if !driver.module.stall.isStalled {
		t.Fatal("no stall was detected, so that the test checks nothing")
	}
	if after := driver.module.expectedRunTime(&request{class: 1}); after > before {
		t.Errorf("expected run time %v before the stall and %v after it, want no increase", before, after)
	}
	if n := driver.module.Inspect().Classes[1].Rejections[Stalled]; n != 0 {
		t.Errorf("%d requests were rejected for the stall, want none: running requests are failed instead", n)
	}
	driver.request(1, nil)
	if n := driver.module.Inspect().Classes[1].Rejections[Stalled]; n != 1 {
		t.Errorf("%d requests were rejected for the stall, want only the request that arrived during it", n)
	}
}

// TestLongestRunDecays checks that the longest run halves in its half-life.
func TestLongestRunDecays(t *testing.T) {
	d := stallDetector{longestRun: 8}
	for range longestRunHalfLife / pollInterval {
		d.decayLongestRun()
	}
	if math.Abs(d.longestRun-4) > 1e-9 {
		t.Errorf("longest run %v s after one half-life, want 4 s", d.longestRun)
	}
}
