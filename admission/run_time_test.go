package admission

import (
	"math"
	"testing"
	"time"
)

// TestSlowClassIsRunAgainOnSaturatedCores lets the first runs of a class exceed its objective, and another class
// saturate the cores from then on. The first class must be run again after a while, because only a run can show that
// it is fast.
func TestSlowClassIsRunAgainOnSaturatedCores(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	for range 10 {
		id := driver.request(0, nil)
		driver.advance(1400 * ms)
		driver.module.RunFinished(driver.now, id, OK)
	}
	driver.isSaturated = true
	for range 10 {
		driver.request(1, nil)
	}
	driver.advance(100 * ms)
	running := driver.startedRuns()
	quick, quickRuns := map[RequestID]bool{}, 0
	for range 600 { // a minute: a run of the other class ends every 100 ms, a run of this class ends after 10 ms
		driver.request(1, nil)
		quick[driver.request(0, nil)] = true
		driver.advance(100 * ms)
		for _, id := range driver.startedRuns() {
			if quick[id] {
				quickRuns++
				driver.module.RunFinished(driver.now+10*ms, id, OK)
			} else {
				running = append(running, id)
			}
		}
		if len(running) > 0 {
			driver.module.RunFinished(driver.now+10*ms, running[0], OK)
			running = running[1:]
		}
	}
	if quickRuns < 60 {
		t.Errorf("%d of the 600 requests of the class in a minute were run, want at least 60", quickRuns)
	}
}

// TestTimedOutRunsRaiseExpectedRunTime lets runs of a class last until their deadlines, as on a server that became
// slow. The expected run time must grow although no run succeeds.
func TestTimedOutRunsRaiseExpectedRunTime(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	learnRun(driver.module, 0, 0.1, 0.1)
	for range 20 {
		driver.request(0, nil)
		driver.advance(1500 * ms)
	}
	if expected := driver.module.expectedRunTime(&request{class: 0}); expected < 600*ms {
		t.Errorf("expected run time %v after 20 runs that lasted until their deadline of 1.5 s, want at least 0.6 s", expected)
	}
}

// TestFailingClassYieldsCores lets no run of one class serve its caller, as if its downstream calls could not be
// made, while requests of the other class overload the cores. Once the failures are counted, the other class must get
// the cores. As soon as runs of the first class succeed, it must be run again.
func TestFailingClassYieldsCores(t *testing.T) {
	driver := newDriver(t, twoClassSettings())
	runs := [2]int{}
	class := map[RequestID]int{}
	var running []RequestID
	for step := range 1500 { // two and a half minutes; a run ends every 100 ms, and one request of each class arrives
		served := step >= 900
		driver.isSaturated = len(running) >= 2
		for c := range 2 {
			class[driver.request(c, nil)] = c
		}
		driver.advance(100 * ms)
		for _, id := range driver.startedRuns() {
			running = append(running, id)
			if step >= 300 && step < 900 || step >= 1250 {
				runs[class[id]]++
			}
		}
		if len(running) > 0 {
			id := running[0]
			running = running[1:]
			if class[id] == 0 && !served {
				driver.module.Cancel(driver.now, id)
				driver.module.RunFinished(driver.now, id, Cancelled)
			} else {
				driver.module.RunFinished(driver.now, id, OK)
			}
		}
		if step == 899 {
			if part := float64(runs[0]) / float64(runs[0]+runs[1]); part > 0.1 {
				t.Errorf("fraction %.2f of the runs is of the failing class, want at most 0.1", part)
			}
			runs = [2]int{}
		}
	}
	if part := float64(runs[0]) / float64(runs[0]+runs[1]); part < 0.2 {
		t.Errorf("fraction %.2f of the runs is of the class after its runs succeed again, want at least 0.2", part)
	}
}

// TestLearnedTimeDecays checks that a learned time is kept for four objectives and halves in each further one.
func TestLearnedTimeDecays(t *testing.T) {
	for age, want := range map[time.Duration]float64{0: 8, 8 * time.Second: 8, 10 * time.Second: 4, 12 * time.Second: 2} {
		if got := decayLearned(8, age, 2*time.Second); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %v: %v, want %v", age, got, want)
		}
	}
}
