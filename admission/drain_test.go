package admission

import (
	"testing"
	"time"
)

func TestDrainGrace(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.Drain(time.Second, 4*time.Second)
	in.Settle(time.Second)
	inside, past := testRequest(1, 0), testRequest(2, 0)
	inside.QueueingDelay, past.QueueingDelay = 10*ms, 9*ms
	in.Request(3*time.Second+10*ms, inside)
	in.Request(3*time.Second+10*ms, past)
	in.Settle(3*time.Second + 10*ms)
	expectActions(t, rec, "run reject", "reject 2 1s false", "run 1")
	in.Settle(5*time.Second - ms)
	expectActions(t, rec, "fail", "fail 1")
}

func TestNoRunOfArrivalsAfterDrainGrace(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	in.Drain(0, 4*time.Second)
	arrival := testRequest(1, 0)
	in.Request(2*time.Second+ms, arrival)
	in.RunFinished(2*time.Second+2*ms, 1000, OK)
	in.Settle(2*time.Second + 2*ms)
	expectActions(t, rec, "run reject", "reject 1 1s false")
}

// TestGracePeriod checks that the grace period counts from the drain notice, and that callers are asked to use
// another server two polls before its end, or a quarter of the period before its end if that is shorter.
func TestGracePeriod(t *testing.T) {
	none := drainState{}
	if none.isPastGrace(time.Hour, time.Second) || none.isGraceEnding(time.Hour, time.Second) {
		t.Error("a grace period ends without a drain")
	}
	d := drainState{isDraining: true, noticedAt: time.Minute}
	for _, c := range []struct {
		grace, left time.Duration
	}{{2 * time.Second, 200 * ms}, {400 * ms, 100 * ms}} {
		end := time.Minute + c.grace
		if d.isPastGrace(end, c.grace) || !d.isPastGrace(end+1, c.grace) {
			t.Errorf("grace period of %v: isPastGrace does not change after its end", c.grace)
		}
		if d.isGraceEnding(end-c.left-1, c.grace) || !d.isGraceEnding(end-c.left, c.grace) {
			t.Errorf("grace period of %v: isGraceEnding does not change %v before its end", c.grace, c.left)
		}
	}
}
