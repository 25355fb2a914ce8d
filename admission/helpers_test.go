package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// testSettings returns settings of two servers with two cores each, and three classes: safe requests, requests with
// keys and requests that are not idempotent.
func testSettings() Settings {
	return Settings{Servers: 2, Callers: 2, Cores: 2, Tick: 5 * time.Millisecond,
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 1, LateWeight: 0.2, SkippedCallWeight: 0.5},
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 1, Effect: IdempotentByKey, KeyWindow: 10 * time.Second},
			{LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second, Weight: 1, Effect: NonIdempotent},
		},
		Tenants:  []Tenant{{Quota: 4}, {Quota: 4}},
		MemoryKB: 10000, KeyKB: 20, RunningMemoryFactor: 4, MaxConcurrencyFactor: 6, InitialCapacity: 0.25,
		WarmUpTime: 10 * time.Second, DrainGracePeriod: 2 * time.Second,
		StopMode: StopDiscard, Downstream: DependencyTier, Feedback: FeedbackWeight,
		MaxRetryAfter: time.Second, HasDeadlines: true}
}

// newTestInstance returns an Instance whose first event was at time 0.
func newTestInstance(t *testing.T, settings Settings) (*Instance, *recorder) {
	t.Helper()
	rec := &recorder{}
	in, err := New(settings, rec)
	if err != nil {
		t.Fatal(err)
	}
	in.Settle(0)
	rec.take()
	return in, rec
}

// ms abbreviates time.Millisecond.
const ms = time.Millisecond

// testRequest returns a request of the class.
func testRequest(id RequestID, class int) Request {
	return Request{ID: id, Class: class, SizeKB: 30, RemainingTime: 6 * time.Second}
}

// expectActions compares the actions since the last take that begin with one of the words with the wanted actions.
func expectActions(t *testing.T, rec *recorder, words string, want ...string) {
	t.Helper()
	got := rec.take(strings.Fields(words)...)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// fillCores runs as many requests of the class as the limit allows, from ID 1000 on, and returns their number.
func fillCores(in *Instance, rec *recorder, now time.Duration, class int) int {
	for i := 0; ; i++ {
		in.Request(now, testRequest(RequestID(1000+i), class))
		in.Settle(now)
		if len(rec.take("run")) == 0 {
			in.Cancel(now, RequestID(1000+i))
			in.Settle(now)
			return i
		}
	}
}

// learnRun updates the estimates of the class with a run of the given times in seconds.
func learnRun(in *Instance, class int, coreTime, wallTime float64) {
	in.classes[class].runTime.learn(in.clock.now, in.longestObjective, coreTime, wallTime)
}
