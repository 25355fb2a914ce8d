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
	for i := 0; i < 40; i++ { // a long fault
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
		t.Errorf("%d running: %d lines logged, stalled %v", n, logs, in.stall.isStalled)
	}
	if got := strings.Join(rec.take("health", "reject"), ","); !strings.Contains(got, "health false true") || !strings.Contains(got, "reject 50 ") {
		t.Errorf("actions %q", got)
	}
	in.RunFinished(now, 1000, OK)
	in.Timer(now+100*ms, 0, Gauges{Utilization: 1, Runnable: -1})
	if in.stall.isStalled {
		t.Error("an end of a run did not end the stall")
	}
}

func TestPausedProcessIsNoStall(t *testing.T) {
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
		t.Error("a pause of the whole process was taken for a stall of its work")
	}
}

func TestFirstShortRunIsNoStall(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.RunFinished(10*ms, 1000, OK)
	for now := 100 * ms; now <= 700*ms; now += 100 * ms {
		in.Timer(now, 0, Gauges{Utilization: 1, Runnable: -1})
	}
	if in.stall.isStalled {
		t.Error("one short run and half a second without an end were taken for a stall")
	}
}

// TestIndependentRunsStallAfterTheLongestRun has runs that do not share cores: many long runs at once are no stall, but
// no end of a run for several times the longest run is one.
func TestIndependentRunsStallAfterTheLongestRun(t *testing.T) {
	for _, apart := range []bool{false, true} {
		settings := testSettings()
		settings.IndependentRuns, settings.Cores = apart, 8
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
		for range settings.Cores { // only long runs from now on
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
		if in.stall.isStalled == apart {
			t.Errorf("apart %v: after 0.7 s without an end stalled is %v", apart, in.stall.isStalled)
		}
		polls(25)
		if !in.stall.isStalled {
			t.Errorf("apart %v: after 3.2 s without an end it is no stall", apart)
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

// TestStalledRunsAreNotLearnedFrom has all runs hang: how long they had lasted by then is no measure of their class.
func TestStalledRunsAreNotLearnedFrom(t *testing.T) {
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
		t.Fatal("nothing stalled: the test shows nothing")
	}
	if after := driver.module.expectedRunTime(&request{class: 1}); after > before {
		t.Errorf("a run was expected to take %v, and %v after a stall", before, after)
	}
	if n := driver.module.Inspect().Classes[1].Rejections[Stalled]; n != 0 {
		t.Errorf("%d requests were rejected for the stall, want none: those that ran were failed", n)
	}
	driver.request(1, nil)
	if n := driver.module.Inspect().Classes[1].Rejections[Stalled]; n != 1 {
		t.Errorf("%d requests were rejected for the stall, want the one that came in it", n)
	}
}

// TestLongestRunDecays halves the longest run in its half-life.
func TestLongestRunDecays(t *testing.T) {
	d := stallDetector{longestRun: 8}
	for range longestRunHalfLife / pollInterval {
		d.decayLongestRun()
	}
	if math.Abs(d.longestRun-4) > 1e-9 {
		t.Errorf("%v s after one half-life, want 4", d.longestRun)
	}
}
