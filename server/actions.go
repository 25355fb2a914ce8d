package server

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"tillerusher/admission"
)

// actions implements admission.Actions: it carries out the module's decisions. It enforces two rules whatever the module
// decides: an at-most-once request is not run twice, and it is not rejected if it may have run.
type actions struct{ *Server }

// Run implements admission.Actions.
func (ac actions) Run(id admission.RequestID) {
	attempt := ac.attempts.byID[id]
	if attempt == nil || attempt.isAnswered || attempt.state == runInFlight {
		return
	}
	isProtected := attempt.HasKey && attempt.AtMostOnce
	if isProtected && !ac.keys.claim(attempt, ac.keyWindow(attempt.Class)) {
		ac.preventSecondRun(attempt)
		return
	}
	ac.counters.runsStarted++
	attempt.state = runInFlight
	if isProtected && ac.durable != nil {
		ac.durable.runAfterIntent(attempt)
		return
	}
	attempt.Runner.Run(&attempt.Request)
}

// preventSecondRun fails an attempt whose request has already run. The end of the run that the module ordered is
// reported only after the module has returned, because the module must not be called while it acts.
func (ac actions) preventSecondRun(a *attempt) {
	ac.counters.secondRunsPrevented++
	ac.log.Error("second run prevented", zap.String("request", a.RequestID))
	ac.Annotate("second run of %d prevented", a.id)
	ac.answerFailed(a)
	ac.deferEvent(func() { ac.module.events.RunFinished(ac.eventTime(), a.id, admission.Failed) })
}

// Reject implements admission.Actions.
func (ac actions) Reject(id admission.RequestID, retryAfter time.Duration, isFinal bool) {
	attempt := ac.attempts.byID[id]
	if attempt == nil || attempt.isAnswered {
		return
	}
	if attempt.AtMostOnce && (attempt.state != runPending || attempt.HasKey && ac.keys.hasRun(attempt)) {
		// To the caller, a rejection means that nothing ran.
		ac.counters.rejectionsPrevented++
		ac.log.Error("rejection after a run prevented", zap.String("request", attempt.RequestID))
		ac.Annotate("refusal of %d after its run prevented", id)
		ac.Fail(id)
		return
	}
	ac.answer(attempt, rejection(retryAfter, isFinal))
	ac.cancelRun(attempt)
}

// Fail implements admission.Actions.
func (ac actions) Fail(id admission.RequestID) {
	if a := ac.attempts.byID[id]; a != nil && !a.isAnswered {
		ac.answerFailed(a)
		ac.cancelRun(a)
	}
}

// cancelRun keeps the run of an answered attempt from starting, if that is still possible.
func (ac actions) cancelRun(a *attempt) {
	a.isStopRequested = a.isIntentPending
	ac.withdraw(a)
	ac.removeIfDone(a)
}

// withdraw cancels a run that the backend has not started, and reports whether it did.
func (ac actions) withdraw(a *attempt) bool {
	if a.state != runInFlight || a.isIntentPending || !ac.backend.Withdraw(a.RequestID) {
		return false
	}
	a.state = runFailed
	ac.releaseKey(a)
	ac.deferEvent(func() { ac.failRun(a, admission.Cancelled) })
	return true
}

// Stop implements admission.Actions.
func (ac actions) Stop(id admission.RequestID) {
	a := ac.attempts.byID[id]
	switch {
	case a == nil || a.state != runInFlight || ac.withdraw(a):
	case a.isIntentPending:
		a.isStopRequested = true
	default:
		ac.backend.Stop(a.RequestID)
	}
}

// KeepKey implements admission.Actions.
func (ac actions) KeepKey(id admission.RequestID, lifetime time.Duration) {
	if a := ac.attempts.byID[id]; a != nil && a.HasKey {
		ac.keys.hold(a, ac.clock.now+lifetime)
	}
}

// ReleaseKey implements admission.Actions.
func (ac actions) ReleaseKey(id admission.RequestID) { ac.keys.release(id) }

// ReplayResult implements admission.Actions.
func (ac actions) ReplayResult(id admission.RequestID) {
	a := ac.attempts.byID[id]
	if a == nil || a.isAnswered {
		return
	}
	original := ac.keys.originalOf(a)
	if original != nil && (original.state == runInFlight || original.state == runPending && !original.isAnswered) {
		original.waiters = append(original.waiters, a)
		return
	}
	ac.deferEvent(func() { ac.replayResult(a, original) })
}

// AdvertiseLoad implements admission.Actions.
func (ac actions) AdvertiseLoad(load float64) {
	ac.load.advertised = strconv.FormatFloat(load, 'f', loadDecimals, 64)
}

// SetHealth implements admission.Actions.
func (ac actions) SetHealth(isHealthy, isFixed bool) {
	ac.health.isHealthy, ac.health.isFixed = isHealthy, isFixed
}

// CloseIdleConnections implements admission.Actions.
func (ac actions) CloseIdleConnections(idle time.Duration) { ac.conns.setIdleTimeout(idle) }

// SetTimer implements admission.Actions.
func (ac actions) SetTimer(wait time.Duration, token uint32) {
	ac.loop.AfterFunc(wait, func() { ac.timerFired(token) })
}

// Log implements admission.Actions.
func (ac actions) Log(line string) { ac.log.Info("decision", zap.String("text", line)) }

// Call implements admission.Actions. The module never calls it: callRequested ends each request whose run wants a
// downstream call, and does not report the call to the module.
func (ac actions) Call(id admission.RequestID, _ time.Duration) { ac.logUnexpectedCall(id) }

// SkipCall implements admission.Actions. As with Call, the module never calls it.
func (ac actions) SkipCall(id admission.RequestID) { ac.logUnexpectedCall(id) }

// logUnexpectedCall logs a decision on a downstream call that was not reported to the module.
func (ac actions) logUnexpectedCall(id admission.RequestID) {
	ac.log.Error("call without a dependency", zap.Uint32("id", uint32(id)))
}
