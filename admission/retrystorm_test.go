package admission

import (
	"math"
	"testing"
	"time"
)

func TestRetryStormForbidsRetries(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.stall.isStalled = true
	for id := RequestID(1); id <= 20; id++ {
		arrival := testRequest(id, 0)
		arrival.IsRetry = true
		in.Request(0, arrival)
	}
	in.stall.isStalled = false
	in.drain.isDraining = true
	in.drain.noticedAt = -time.Hour
	rec.take()
	in.Request(0, testRequest(50, 0))
	expectActions(t, rec, "reject", "reject 50 1s true")
	for id := RequestID(60); id <= 80; id++ {
		in.Request(0, testRequest(id, 0))
	}
	if got := rec.take("reject"); got[len(got)-1] != "reject 80 1s false" {
		t.Errorf("after the storm: %q, want reject 80 1s false", got[len(got)-1])
	}
}

func TestUnreadBacklogIsARetryStorm(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.stall.isStalled = true
	for id := RequestID(1); id <= 20; id++ {
		arrival := testRequest(id, 0)
		arrival.QueueingDelay = time.Second
		in.Request(time.Second, arrival)
	}
	in.stall.isStalled, in.drain.isDraining, in.drain.noticedAt = false, true, -time.Hour
	rec.take()
	in.Request(time.Second, testRequest(50, 0))
	expectActions(t, rec, "reject", "reject 50 1s true")
}

// TestTrafficMonitor checks that each arrival has the weight learnWeight, and that a negative delay counts as 0.
func TestTrafficMonitor(t *testing.T) {
	var m trafficMonitor
	m.countArrival(true, 12*time.Second)
	if math.Abs(m.retryShare-learnWeight) > 1e-12 || math.Abs(m.readDelay-1) > 1e-12 {
		t.Errorf("after one retry: share %v, delay %v, want %v and 1", m.retryShare, m.readDelay, learnWeight)
	}
	m.countArrival(false, -time.Second)
	if math.Abs(m.retryShare-learnWeight*(1-learnWeight)) > 1e-12 || math.Abs(m.readDelay-(1-learnWeight)) > 1e-12 {
		t.Errorf("after one more arrival: share %v, delay %v, want both multiplied by %v", m.retryShare, m.readDelay, 1-learnWeight)
	}
}
