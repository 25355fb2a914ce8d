package admission

import (
	"fmt"
	"testing"
	"time"
)

func TestCallWithEffectIsRetriedOnlyIfNotCarriedOut(t *testing.T) {
	for o, repeats := range map[Outcome]bool{Rejected: true, Unreachable: true, NotStarted: true,
		Failed: false, TimedOut: false, Reset: false} {
		for class := 0; class < 3; class++ {
			in, rec := newTestInstance(t, testSettings())
			in.Request(0, testRequest(1, class))
			in.Settle(0)
			in.CallRequested(10*ms, 1)
			in.Settle(10 * ms)
			in.CallFinished(20*ms, 1, o, 10*ms)
			in.Settle(500 * ms)
			want := "[run 1 call 1 call 1]"
			if !repeats && class > 0 {
				want = "[run 1 call 1 fail 1]"
			}
			if got := fmt.Sprint(rec.take("run", "call", "fail", "reject")); got != want {
				t.Errorf("outcome %d, class %d: actions %s, want %s", o, class, got, want)
			}
		}
	}
}

func TestAbandonedCallAccruesDebt(t *testing.T) {
	for _, end := range []string{"cancelled", "deadline"} {
		settings := testSettings()
		settings.Downstream, settings.FairCallShare, settings.CallAveragingTime,
			settings.AbandonedCallDuration = DependencyShared, 1, 5*time.Second, 200*ms
		in, rec := newTestInstance(t, settings)
		first := testRequest(1, 0)
		first.RemainingTime = 500 * ms
		in.Request(0, first)
		in.Request(0, testRequest(2, 0))
		in.Settle(0)
		in.CallRequested(10*ms, 1)
		in.Settle(10 * ms)
		in.CallRequested(20*ms, 2)
		in.Settle(20 * ms)
		expectActions(t, rec, "call", "call 1")
		now := 100 * ms
		if end == "deadline" {
			now = 490 * ms
		} else {
			in.Cancel(now, 1)
		}
		in.Settle(now)
		expectActions(t, rec, "call")
		in.Settle(now + 150*ms)
		expectActions(t, rec, "call")
		in.Settle(now + 250*ms)
		expectActions(t, rec, "call", "call 2")
	}
}

func TestSafeCallLeavesTimeForRetry(t *testing.T) {
	in, _ := newTestInstance(t, testSettings())
	for id, want := range map[RequestID]time.Duration{1: 2 * time.Second / 3, 2: 6 * time.Second} {
		arrival := testRequest(id, int(id)-1)
		in.Request(0, arrival)
		in.Settle(0)
		in.CallRequested(0, id)
		var got time.Duration
		in.actions = callTimeoutRecorder{&recorder{}, &got}
		in.Settle(0)
		if got != want {
			t.Errorf("call of class %d: timeout %v, want %v", id-1, got, want)
		}
	}
}

// TestCallsResumeAfterSlowCalls makes the calls of a class that may skip them take longer than its objective for a
// while. Calls must be made again later, because a skipped call gives no sample of whether calls are fast again.
func TestCallsResumeAfterSlowCalls(t *testing.T) {
	settings := twoClassSettings()
	settings.Downstream = DependencyTier
	settings.Classes[0].SkippedCallWeight = 0.5
	driver := newDriver(t, settings)
	call := func(took time.Duration) (called bool) {
		id := driver.request(0, nil)
		driver.module.CallRequested(driver.now, id)
		driver.module.Settle(driver.now)
		called = hasAction(driver.recorder.take("call"), "call", id)
		driver.advance(took)
		if called {
			driver.module.CallFinished(driver.now, id, OK, took)
		}
		driver.module.RunFinished(driver.now, id, OK)
		return called
	}
	for range 10 {
		if !call(1300 * ms) {
			break
		}
	}
	calls := 0
	for range 600 { // a minute
		if call(50 * ms) {
			calls++
		}
		driver.advance(50 * ms)
	}
	if calls < 300 {
		t.Errorf("%d calls for 600 requests in the minute after the slow calls, want at least 300", calls)
	}
}

// TestCallDebt checks that calls over the share accrue debt, and that time without calls reduces it, at most to 0.
func TestCallDebt(t *testing.T) {
	var calls downstreamCalls
	calls.accrueDebt(2*time.Second, 3, 1) // two more than the share
	if calls.debt != 4 {
		t.Errorf("debt %v, want 4", calls.debt)
	}
	calls.chargeAbandonedCall(500 * ms)
	calls.accrueDebt(time.Second, 0, 1)
	if calls.debt != 3.5 {
		t.Errorf("debt %v, want 3.5", calls.debt)
	}
	if calls.accrueDebt(time.Minute, 0, 1); calls.debt != 0 {
		t.Errorf("debt %v, want 0", calls.debt)
	}
}
