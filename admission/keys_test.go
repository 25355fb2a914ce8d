package admission

import (
	"strings"
	"testing"
	"time"
)

func TestIdempotentRequestRunsOnce(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.Request(0, testRequest(1, 1))
	second := testRequest(2, 1)
	second.RetryOf = 1
	in.Request(0, second) // two attempts in one batch
	in.Settle(0)
	expectActions(t, rec, "keep-key run replay reject", "keep-key 1 10.01s", "run 1", "replay 2")
	in.RunFinished(ms, 1, Failed)
	in.RunFinished(ms, 2, Failed)
	third := testRequest(3, 1)
	third.RetryOf = 1
	in.Request(2*ms, third)
	in.Settle(2 * ms)
	expectActions(t, rec, "keep-key run replay reject", "replay 3")
}

func TestKeyWindowCountsFromArrival(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	arrival := testRequest(1, 1)
	arrival.QueueingDelay = 3 * time.Second
	in.Request(5*time.Second, arrival)
	expectActions(t, rec, "keep-key", "keep-key 1 7.01s")
}

func TestFollowerIsPromotedWhenOriginalNeverRan(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	first := testRequest(1, 1)
	first.RemainingTime = time.Second
	in.Request(0, first)
	second := testRequest(2, 1)
	second.RetryOf = 1
	in.Request(10*ms, second)
	in.Settle(10 * ms)
	expectActions(t, rec, "keep-key run replay", "keep-key 1 10.01s")
	in.Settle(time.Second)
	expectActions(t, rec, "reject release-key keep-key fail run", "reject 1 100ms false", "release-key 1", "keep-key 2 9.02s")
	in.RunFinished(time.Second+ms, 1000, OK)
	in.Settle(time.Second + ms)
	expectActions(t, rec, "run", "run 2")
}

func TestFollowerPastDrainGraceIsNotPromoted(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	fillCores(in, rec, 0, 0)
	first, second := testRequest(1, 1), testRequest(2, 1)
	first.RemainingTime, second.RetryOf = 2500*ms, 1
	in.Request(0, first)
	in.Drain(0, 4*time.Second)
	in.Request(2100*ms, second)
	in.Settle(2500 * ms)
	in.RunFinished(2600*ms, 1000, OK)
	in.Settle(2600 * ms)
	expectActions(t, rec, "run reject", "reject 1 1s false", "reject 2 1s false")
}

func TestRetryInBatchOfRejectionIsNewRequest(t *testing.T) {
	settings := testSettings()
	in, rec := newTestInstance(t, settings)
	in.stall.isStalled = true
	in.Request(0, testRequest(1, 1))
	in.stall.isStalled = false
	second := testRequest(2, 1)
	second.RetryOf = 1
	in.Request(0, second)
	in.Settle(0)
	expectActions(t, rec, "reject replay run", "reject 1 1s false", "run 2")
}

func TestRequestIsRejectedWithoutMemoryForKey(t *testing.T) {
	settings := testSettings()
	settings.KeyKB = settings.MemoryKB
	in, rec := newTestInstance(t, settings)
	in.Request(0, testRequest(1, 1))
	in.Request(0, testRequest(2, 0))
	in.Settle(0)
	if got := rec.take("reject", "run", "keep-key"); len(got) != 2 || !strings.HasPrefix(got[0], "reject 1 ") || got[1] != "run 2" {
		t.Errorf("actions %q, want a rejection of request 1 and a run of request 2", got)
	}
}

func TestReadsOfOneResourceShareAResult(t *testing.T) {
	settings := testSettings()
	settings.ResultFreshness = time.Second
	in, rec := newTestInstance(t, settings)
	first, second := testRequest(1, 0), testRequest(2, 0)
	first.ResourceID, second.ResourceID, second.RetryOf = 7, 7, 1
	in.Request(0, first)
	in.Settle(0)
	in.Request(ms, second)
	in.Settle(ms)
	expectActions(t, rec, "keep-key run replay", "keep-key 1 7s", "run 1", "replay 2")
}

// TestKeyCount checks that a released or expired key is subtracted from the count only once.
func TestKeyCount(t *testing.T) {
	keys := idempotencyKeys{byClass: make([][]*keyEntry, 1)}
	released := keys.keep(0, time.Second)
	keys.keep(0, 2*time.Second)
	keys.keep(0, 3*time.Second)
	keys.release(released)
	for _, step := range []struct {
		now   time.Duration
		count int
	}{{0, 2}, {2*time.Second + ms, 2}, {2*time.Second + 2*ms, 1}, {time.Minute, 0}} {
		if keys.expire(step.now, ms); keys.count != step.count {
			t.Errorf("after %v: %d keys, want %d", step.now, keys.count, step.count)
		}
	}
	if len(keys.byClass[0]) != 0 {
		t.Errorf("%d entries are left, want 0", len(keys.byClass[0]))
	}
}
