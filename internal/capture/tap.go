package capture

import (
	"time"

	"tillerusher/admission"
)

// Module is the decision module as a tap uses it: it receives events, and Snapshot appends its state to a slice.
type Module interface {
	admission.Events
	Snapshot(to []byte) []byte
}

// Tap records the events and actions that a host and its module exchange. It implements the interfaces of both: it records
// each event before it passes it to the module, and each action before it passes it to the host. Like the module, it must be
// used by one goroutine only.
type Tap struct {
	recorder *Recorder
	module   Module
	actions  admission.Actions
	now      time.Duration // time of the last event
}

// NewTap returns a tap that passes actions to the host's actions. The caller must create the module with the tap as its
// actions, and then pass the module to Attach.
func NewTap(recorder *Recorder, actions admission.Actions) *Tap {
	return &Tap{recorder: recorder, actions: actions}
}

// Attach sets the module and starts the recording with a snapshot of its state. It must be called before the module's first
// event.
func (t *Tap) Attach(m Module, now time.Duration) {
	t.module, t.now = m, now
	t.recorder.endRound(now, m.Snapshot)
}

// NameRequest records the Request-Id of the next request and its idempotency key, if any.
func (t *Tap) NameRequest(id admission.RequestID, requestID, key string) {
	t.recorder.add(&Record{Kind: KindRequestNames, At: t.now, ID: id, Text: requestID, Key: key})
}

// Annotate records a note of the host, such as a change of the interpreter's link.
func (t *Tap) Annotate(text string) {
	t.recorder.add(&Record{Kind: KindAnnotation, At: t.now, Text: text})
}

// record passes the record of an event or an action to the recorder.
func (t *Tap) record(r Record) {
	t.now = r.At
	t.recorder.add(&r)
}

// Request implements admission.Events.
func (t *Tap) Request(now time.Duration, q admission.Request) {
	t.record(Record{Kind: KindRequest, At: now, ID: q.ID, Request: q})
	t.module.Request(now, q)
}

// Cancel implements admission.Events.
func (t *Tap) Cancel(now time.Duration, id admission.RequestID) {
	t.record(Record{Kind: KindCancel, At: now, ID: id})
	t.module.Cancel(now, id)
}

// RunFinished implements admission.Events.
func (t *Tap) RunFinished(now time.Duration, id admission.RequestID, o admission.Outcome) {
	t.record(Record{Kind: KindRunFinished, At: now, ID: id, Outcome: o})
	t.module.RunFinished(now, id, o)
}

// CallRequested implements admission.Events.
func (t *Tap) CallRequested(now time.Duration, id admission.RequestID) {
	t.record(Record{Kind: KindCallRequested, At: now, ID: id})
	t.module.CallRequested(now, id)
}

// CallFinished implements admission.Events.
func (t *Tap) CallFinished(now time.Duration, id admission.RequestID, o admission.Outcome, took time.Duration) {
	t.record(Record{Kind: KindCallFinished, At: now, ID: id, Outcome: o, Duration: took})
	t.module.CallFinished(now, id, o, took)
}

// Drain implements admission.Events.
func (t *Tap) Drain(now, left time.Duration) {
	t.record(Record{Kind: KindDrain, At: now, Duration: left})
	t.module.Drain(now, left)
}

// Timer implements admission.Events.
func (t *Tap) Timer(now time.Duration, token uint32, g admission.Gauges) {
	t.record(Record{Kind: KindTimer, At: now, Token: token, Gauges: g})
	t.module.Timer(now, token, g)
}

// Settle implements admission.Events.
func (t *Tap) Settle(now time.Duration) {
	t.record(Record{Kind: KindSettle, At: now})
	t.module.Settle(now)
	t.recorder.endRound(now, t.module.Snapshot)
}

// Run implements admission.Actions.
func (t *Tap) Run(id admission.RequestID) {
	t.record(Record{Kind: KindRun, At: t.now, ID: id})
	t.actions.Run(id)
}

// Reject implements admission.Actions.
func (t *Tap) Reject(id admission.RequestID, retryAfter time.Duration, noRetry bool) {
	t.record(Record{Kind: KindReject, At: t.now, ID: id, Duration: retryAfter, Flag: noRetry})
	t.actions.Reject(id, retryAfter, noRetry)
}

// Fail implements admission.Actions.
func (t *Tap) Fail(id admission.RequestID) {
	t.record(Record{Kind: KindFail, At: t.now, ID: id})
	t.actions.Fail(id)
}

// Call implements admission.Actions.
func (t *Tap) Call(id admission.RequestID, timeout time.Duration) {
	t.record(Record{Kind: KindCall, At: t.now, ID: id, Duration: timeout})
	t.actions.Call(id, timeout)
}

// SkipCall implements admission.Actions.
func (t *Tap) SkipCall(id admission.RequestID) {
	t.record(Record{Kind: KindSkipCall, At: t.now, ID: id})
	t.actions.SkipCall(id)
}

// Stop implements admission.Actions.
func (t *Tap) Stop(id admission.RequestID) {
	t.record(Record{Kind: KindStop, At: t.now, ID: id})
	t.actions.Stop(id)
}

// KeepKey implements admission.Actions.
func (t *Tap) KeepKey(id admission.RequestID, lifetime time.Duration) {
	t.record(Record{Kind: KindKeepKey, At: t.now, ID: id, Duration: lifetime})
	t.actions.KeepKey(id, lifetime)
}

// ReleaseKey implements admission.Actions.
func (t *Tap) ReleaseKey(id admission.RequestID) {
	t.record(Record{Kind: KindReleaseKey, At: t.now, ID: id})
	t.actions.ReleaseKey(id)
}

// ReplayResult implements admission.Actions.
func (t *Tap) ReplayResult(id admission.RequestID) {
	t.record(Record{Kind: KindReplayResult, At: t.now, ID: id})
	t.actions.ReplayResult(id)
}

// AdvertiseLoad implements admission.Actions.
func (t *Tap) AdvertiseLoad(value float64) {
	t.record(Record{Kind: KindAdvertiseLoad, At: t.now, Value: value})
	t.actions.AdvertiseLoad(value)
}

// SetHealth implements admission.Actions.
func (t *Tap) SetHealth(healthy, fromStore bool) {
	t.record(Record{Kind: KindSetHealth, At: t.now, Flag: healthy, FromStore: fromStore})
	t.actions.SetHealth(healthy, fromStore)
}

// CloseIdleConnections implements admission.Actions.
func (t *Tap) CloseIdleConnections(idle time.Duration) {
	t.record(Record{Kind: KindCloseIdleConnections, At: t.now, Duration: idle})
	t.actions.CloseIdleConnections(idle)
}

// SetTimer implements admission.Actions.
func (t *Tap) SetTimer(wait time.Duration, token uint32) {
	t.record(Record{Kind: KindSetTimer, At: t.now, Duration: wait, Token: token})
	t.actions.SetTimer(wait, token)
}

// Log implements admission.Actions.
func (t *Tap) Log(line string) {
	t.record(Record{Kind: KindLog, At: t.now, Text: line})
	t.actions.Log(line)
}
