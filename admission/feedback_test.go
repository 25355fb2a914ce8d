package admission

import (
	"testing"
	"time"
)

// TestBacklogReducesTrafficWeight checks that the traffic weight falls to 0 if requests wait to be read, and to one
// half if only the cores are saturated.
func TestBacklogReducesTrafficWeight(t *testing.T) {
	for _, c := range []struct {
		readDelay, least, most float64
	}{{0, 0.5, 0.5}, {10, 0, 0.1}} {
		settings := testSettings()
		settings.Feedback = FeedbackLevel
		in, _ := newTestInstance(t, settings)
		in.classes[0].runTime.coreTime, in.classes[0].queued[0] = 1, 1000
		for range 100 {
			in.limiter.utilization, in.traffic.readDelay = 1, c.readDelay
			in.updateFeedback()
		}
		if in.feedback.trafficWeight < c.least || in.feedback.trafficWeight > c.most {
			t.Errorf("read delay %v s: traffic weight %v, want %v to %v", c.readDelay, in.feedback.trafficWeight, c.least, c.most)
		}
	}
}

func TestCreditExcludesUnreadRequests(t *testing.T) {
	settings := testSettings()
	settings.Feedback = FeedbackCredit
	in, rec := newTestInstance(t, settings)
	for i := 1; i <= 200; i++ {
		arrival := testRequest(RequestID(i), 0)
		arrival.QueueingDelay = 2 * time.Second
		in.Request(time.Duration(i)*50*ms, arrival)
		in.Settle(time.Duration(i) * 50 * ms)
		in.RunFinished(time.Duration(i)*50*ms+ms, arrival.ID, OK)
	}
	in.classes[0].runTime.coreTime = 1
	rec.take()
	in.Timer(10100*ms, 0, Gauges{Utilization: 1, Runnable: -1})
	expectActions(t, rec, "advertise", "advertise 0.000")
}

// TestAdvertisedLoadWhileDraining checks that a draining server advertises its load as before during the grace
// period, and asks for no traffic only just before the end of the period. Callers that learn of the drain late are
// then still served, and the other servers do not get the load earlier than necessary.
func TestAdvertisedLoadWhileDraining(t *testing.T) {
	for feedback, want := range map[Feedback][2][]string{FeedbackNone: {}, FeedbackLevel: {{"advertise 0.000"}, {"advertise 1.000"}},
		FeedbackCredit: {{"advertise 2.000"}, {"advertise 0.000"}}, FeedbackWeight: {{"advertise 1.000"}, {"advertise 0.000"}}} {
		settings := testSettings()
		settings.Feedback = feedback
		in, rec := newTestInstance(t, settings)
		learnRun(in, 0, 1, 1)
		in.Timer(0, 0, Gauges{Utilization: 0.5, Runnable: -1})
		in.Drain(0, 4*time.Second)
		in.Timer(100*ms, 0, Gauges{Utilization: 0.5, Runnable: -1})
		expectActions(t, rec, "advertise idle", want[0]...)
		in.Timer(settings.DrainGracePeriod-100*ms, 0, Gauges{Utilization: 0.5, Runnable: -1})
		expectActions(t, rec, "advertise idle", append([]string{"idle 10ms"}, want[1]...)...)
	}
}

func TestIdleConnectionsCloseWhenCallersSendRarely(t *testing.T) {
	for _, c := range []struct {
		callers int
		retry   bool
		idle    time.Duration
		want    []string
	}{{300, false, 30 * time.Second, []string{"idle 4s"}}, {300, true, 30 * time.Second, []string{"idle 30s"}},
		{2, false, 30 * time.Second, []string{"idle 30s"}}, {300, false, 0, nil},
		{300, false, time.Second, []string{"idle 1s"}}} {
		settings := testSettings()
		settings.Callers, settings.CallerIdleTimeout = c.callers, c.idle
		in, rec := newTestInstance(t, settings)
		for id := RequestID(1); id <= 20; id++ {
			arrival := testRequest(id, 0)
			arrival.IsRetry = c.retry
			in.Request(0, arrival)
		}
		in.schedule.nextPoll = 0
		rec.take()
		in.Timer(0, 0, Gauges{Utilization: 0.5, Runnable: -1})
		in.schedule.nextPoll = 0
		in.Timer(0, 0, Gauges{Utilization: 0.5, Runnable: -1})
		expectActions(t, rec, "idle", c.want...)
	}
}

// TestCreditDoesNotDependOnTheOrderOfClasses checks that the same traffic of a class with short runs and a class with
// long runs gives the same credit in both orders of the classes.
func TestCreditDoesNotDependOnTheOrderOfClasses(t *testing.T) {
	credit := func(first, second float64) string {
		settings := twoClassSettings()
		settings.Feedback = FeedbackCredit
		settings.Classes[0] = settings.Classes[1]
		driver := newDriver(t, settings)
		for i, run := range []float64{first, second} {
			learnRun(driver.module, i, run, run)
			id := driver.request(i, nil)
			driver.advance(ms)
			driver.module.RunFinished(driver.now, id, Failed)
		}
		driver.advance(200 * ms)
		advertised := driver.recorder.take("advertise")
		return advertised[len(advertised)-1]
	}
	if a, b := credit(0.1, 1), credit(1, 0.1); a != b {
		t.Errorf("credit with the short runs first: %s; with the long runs first: %s; want the same", a, b)
	}
}
