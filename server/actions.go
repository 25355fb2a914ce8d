package server

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// The statuses of answers.
const (
	statusOK            = 200
	statusBadRequest    = 400
	statusTooLarge      = 413
	statusInternalError = 500
	statusUnavailable   = 503
)

// actions carries out what the module decides.
type actions struct{ *Server }

// Run implements admission.Actions.
func (a actions) Run(id admission.RequestID) {
	t := a.attempts[id]
	if t == nil || t.isAnswered || t.state == runInFlight {
		return
	}
	if t.hasKey && t.atMostOnce && !a.keys.claim(t, a.told.Admission.Classes[t.class].KeyWindow+keyWindowSlack) {
		// A second run would break the rule on single effect, whatever led to it.
		a.counters.secondRunsPrevented++
		a.log.Error("second run prevented", zap.String("request", t.requestID))
		a.annotateCapture("second run of %d prevented", id)
		a.answer(t, gateway.Response{Status: statusInternalError})
		a.deferEvent(func() { a.module.RunFinished(a.moduleTime(), id, admission.Failed) })
		return
	}
	a.counters.runs++
	t.state = runInFlight
	if t.hasKey && t.atMostOnce && a.durable != nil {
		a.durable.runAfterIntent(t)
		return
	}
	a.backend.Submit(t)
}

// Refuse implements admission.Actions.
func (a actions) Reject(id admission.RequestID, stayAway time.Duration, last bool) {
	t := a.attempts[id]
	if t == nil || t.isAnswered {
		return
	}
	if t.atMostOnce && (t.state != runPending || t.hasKey && a.keys.hasRun(t)) {
		// A refusal says that nothing ran.
		a.counters.rejectionsPrevented++
		a.log.Error("refusal after a run prevented", zap.String("request", t.requestID))
		a.annotateCapture("refusal of %d after its run prevented", id)
		a.Fail(id)
		return
	}
	a.answer(t, rejection(stayAway, last))
	t.isStopRequested = t.isIntentPending
	a.withdraw(t)
	a.forget(t)
}

// rejection is an answer that says when to come back, where that is honoured, and whether to try no other server.
func rejection(stayAway time.Duration, last bool) gateway.Response {
	r := gateway.Response{Status: statusUnavailable}
	if stayAway > 0 {
		ms := (stayAway + time.Millisecond - 1) / time.Millisecond
		r.Headers = append(r.Headers, gateway.Field{Name: "Back-Off-Ms", Value: strconv.FormatInt(int64(ms), 10)})
	}
	if last {
		r.Headers = append(r.Headers, gateway.Field{Name: "Final-Refusal", Value: "1"})
	}
	return r
}

// Fail implements admission.Actions.
func (a actions) Fail(id admission.RequestID) {
	if t := a.attempts[id]; t != nil && !t.isAnswered {
		a.answer(t, gateway.Response{Status: statusInternalError})
		t.isStopRequested = t.isIntentPending
		a.withdraw(t)
		a.forget(t)
	}
}

// withdraw takes back the run of a try that the interpreter never heard of, and tells whether it did.
func (a actions) withdraw(t *attempt) bool {
	if t.state != runInFlight || t.isIntentPending || !a.backend.Withdraw(t.requestID) {
		return false
	}
	t.state = runFailed
	a.releaseKey(t)
	a.deferEvent(func() { a.failRun(t, admission.Cancelled) })
	return true
}

// Halt implements admission.Actions.
func (a actions) Stop(id admission.RequestID) {
	t := a.attempts[id]
	switch {
	case t == nil || t.state != runInFlight || a.withdraw(t):
	case t.isIntentPending:
		t.isStopRequested = true
	default:
		a.backend.Stop(t.requestID)
	}
}

// Keep implements admission.Actions.
func (a actions) KeepKey(id admission.RequestID, lifetime time.Duration) {
	if t := a.attempts[id]; t != nil && t.hasKey {
		a.keys.hold(t, a.clock.now+lifetime)
	}
}

// Forget implements admission.Actions.
func (a actions) ReleaseKey(id admission.RequestID) {
	a.keys.release(id)
}

// Reuse implements admission.Actions.
func (a actions) ReplayResult(id admission.RequestID) {
	t := a.attempts[id]
	if t == nil || t.isAnswered {
		return
	}
	source := a.keys.originalOf(t)
	if source != nil && (source.state == runInFlight || source.state == runPending && !source.isAnswered) {
		source.waiters = append(source.waiters, t)
		return
	}
	a.deferEvent(func() { a.replayResult(t, source) })
}

// Say implements admission.Actions.
func (a actions) AdvertiseLoad(value float64) {
	a.advertisedLoad = strconv.FormatFloat(value, 'f', 4, 64)
}

// Health implements admission.Actions.
func (a actions) SetHealth(good, fromStore bool) { a.isHealthy, a.healthFromStore = good, fromStore }

// CloseIdle implements admission.Actions.
func (a actions) CloseIdleConnections(idle time.Duration) {
	a.idleTimeout = idle
	a.loop.CancelTimer(a.idleScanTimer)
	a.scheduleIdleScan()
}

// After implements admission.Actions.
func (a actions) SetTimer(wait time.Duration, token uint32) {
	a.loop.AfterFunc(wait, func() { a.timerFired(token) })
}

// Log implements admission.Actions.
func (a actions) Log(line string) { a.log.Info("decision", zap.String("text", line)) }

// Call implements admission.Actions; the module hears of no calls, as Awaits ends the requests that come to one.
func (a actions) Call(id admission.RequestID, _ time.Duration) { a.noCalls(id) }

// Skip implements admission.Actions, as Call.
func (a actions) SkipCall(id admission.RequestID) { a.noCalls(id) }

// noCalls reports a decision that nothing can have led to.
func (a actions) noCalls(id admission.RequestID) {
	a.log.Error("call without a dependency", zap.Uint32("id", uint32(id)))
}
