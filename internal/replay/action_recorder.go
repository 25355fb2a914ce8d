package replay

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ActionRecorder implements admission.Actions for a replay. It records the actions of the last event and has no other effect.
type ActionRecorder struct {
	Actions []capture.Record
	now     time.Duration // time of the last event
}

// reset removes the actions of the previous event and sets the time of the next actions.
func (a *ActionRecorder) reset(now time.Duration) { a.Actions, a.now = a.Actions[:0], now }

func (a *ActionRecorder) add(r capture.Record) {
	r.At = a.now
	a.Actions = append(a.Actions, r)
}

// Run implements admission.Actions.
func (a *ActionRecorder) Run(id admission.RequestID) {
	a.add(capture.Record{Kind: capture.KindRun, ID: id})
}

// Reject implements admission.Actions.
func (a *ActionRecorder) Reject(id admission.RequestID, retryAfter time.Duration, isFinal bool) {
	a.add(capture.Record{Kind: capture.KindReject, ID: id, Duration: retryAfter, Flag: isFinal})
}

// Fail implements admission.Actions.
func (a *ActionRecorder) Fail(id admission.RequestID) {
	a.add(capture.Record{Kind: capture.KindFail, ID: id})
}

// Call implements admission.Actions.
func (a *ActionRecorder) Call(id admission.RequestID, timeout time.Duration) {
	a.add(capture.Record{Kind: capture.KindCall, ID: id, Duration: timeout})
}

// SkipCall implements admission.Actions.
func (a *ActionRecorder) SkipCall(id admission.RequestID) {
	a.add(capture.Record{Kind: capture.KindSkipCall, ID: id})
}

// Stop implements admission.Actions.
func (a *ActionRecorder) Stop(id admission.RequestID) {
	a.add(capture.Record{Kind: capture.KindStop, ID: id})
}

// KeepKey implements admission.Actions.
func (a *ActionRecorder) KeepKey(id admission.RequestID, lifetime time.Duration) {
	a.add(capture.Record{Kind: capture.KindKeepKey, ID: id, Duration: lifetime})
}

// ReleaseKey implements admission.Actions.
func (a *ActionRecorder) ReleaseKey(id admission.RequestID) {
	a.add(capture.Record{Kind: capture.KindReleaseKey, ID: id})
}

// ReplayResult implements admission.Actions.
func (a *ActionRecorder) ReplayResult(id admission.RequestID) {
	a.add(capture.Record{Kind: capture.KindReplayResult, ID: id})
}

// AdvertiseLoad implements admission.Actions.
func (a *ActionRecorder) AdvertiseLoad(value float64) {
	a.add(capture.Record{Kind: capture.KindAdvertiseLoad, Value: value})
}

// SetHealth implements admission.Actions.
func (a *ActionRecorder) SetHealth(isHealthy, fromStore bool) {
	a.add(capture.Record{Kind: capture.KindSetHealth, Flag: isHealthy, FromStore: fromStore})
}

// CloseIdleConnections implements admission.Actions.
func (a *ActionRecorder) CloseIdleConnections(idle time.Duration) {
	a.add(capture.Record{Kind: capture.KindCloseIdleConnections, Duration: idle})
}

// SetTimer implements admission.Actions.
func (a *ActionRecorder) SetTimer(wait time.Duration, token uint32) {
	a.add(capture.Record{Kind: capture.KindSetTimer, Duration: wait, Token: token})
}

// Log implements admission.Actions.
func (a *ActionRecorder) Log(line string) {
	a.add(capture.Record{Kind: capture.KindLog, Text: line})
}

// Deliver passes a recorded event to a module.
func Deliver(module admission.Events, event *capture.Record) {
	switch event.Kind {
	case capture.KindRequest:
		module.Request(event.At, event.Request)
	case capture.KindCancel:
		module.Cancel(event.At, event.ID)
	case capture.KindRunFinished:
		module.RunFinished(event.At, event.ID, event.Outcome)
	case capture.KindCallRequested:
		module.CallRequested(event.At, event.ID)
	case capture.KindCallFinished:
		module.CallFinished(event.At, event.ID, event.Outcome, event.Duration)
	case capture.KindDrain:
		module.Drain(event.At, event.Duration)
	case capture.KindTimer:
		module.Timer(event.At, event.Token, event.Gauges)
	case capture.KindSettle:
		module.Settle(event.At)
	}
}
