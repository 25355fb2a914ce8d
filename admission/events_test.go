package admission

import (
	"strings"
	"testing"
	"time"
)

func TestAnswersByDeadlineInEveryState(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.Request(0, testRequest(1, 0)) // will run
	in.Request(0, testRequest(2, 1)) // will be in a call
	in.Settle(0)
	in.CallRequested(10*ms, 2)
	in.Settle(10 * ms)
	expectActions(t, rec, "run call", "run 1", "run 2", "call 2")
	retry := testRequest(3, 1)
	retry.RetryOf = 2
	in.Request(20*ms, retry)
	expectActions(t, rec, "replay", "replay 3")
	fillCores(in, rec, 30*ms, 0)
	last := 6*time.Second - in.answerMargin()
	in.Settle(last - ms)
	rec.take()
	in.Settle(last)
	got := strings.Join(rec.take("fail", "stop"), ",")
	for _, want := range []string{"fail 1,stop 1", "fail 2"} {
		if !strings.Contains(got, want) {
			t.Errorf("at the deadline: actions %q, want %q among them", got, want)
		}
	}
	in.Settle(6*time.Second + 20*ms)
	if got := rec.take("fail", "reject"); len(got) == 0 || got[0] != "fail 3" {
		t.Errorf("after the deadline of the retry: actions %q, want a failure of request 3 first", got)
	}
	in.RunFinished(6*time.Second+30*ms, 2, Cancelled)
	in.Settle(6*time.Second + 30*ms)
	expectActions(t, rec, "fail reject run")
}

func TestUnknownRepeatedAndLateEventsHaveNoEffect(t *testing.T) {
	in, rec := newTestInstance(t, testSettings())
	in.RunFinished(0, 77, OK)
	in.Cancel(0, 77)
	in.CallRequested(0, 77)
	in.CallFinished(0, 77, OK, ms)
	odd := Request{ID: 1, Class: 99, Tenant: -5, Caller: -1, SizeKB: -3}
	in.Request(0, odd)
	in.Request(0, odd)
	in.Settle(0)
	in.CallFinished(0, 1, OK, ms)
	in.RunFinished(ms, 1, OK)
	in.RunFinished(ms, 1, OK)
	in.Cancel(ms, 1)
	in.Settle(ms)
	expectActions(t, rec, "run reject fail call", "run 1")
	if in.use.running != 0 || in.use.queuedKB != 0 || in.use.runningKB != 0 || in.use.offCore != 0 {
		t.Errorf("resources are still in use after all requests have ended: %+v", in)
	}
}
