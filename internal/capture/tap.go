package capture

import (
	"time"

	"tillerusher/admission"
)

// ModuleTime is what a tap records: the decision module, whose state can be taken.
type Module interface {
	admission.Events
	Snapshot(to []byte) []byte
}

// Tap stands between a host and its module. It records each event and passes it on, and each action that the
// event leads to on its way back, so that the host and the module notice nothing.
type Tap struct {
	recorder *Recorder
	module   Module
	actions  admission.Actions
	now      time.Duration
}

// NewTap returns a tap before the host's actions. The module is made with the tap as its actions, and then given
// to Attach.
func NewTap(rec *Recorder, do admission.Actions) *Tap { return &Tap{recorder: rec, actions: do} }

// Attach sets the module, whose state before its first event begins the record.
func (t *Tap) Attach(m Module, now time.Duration) {
	t.module, t.now = m, now
	t.recorder.endRound(now, m.Snapshot)
}

// KindRequestNames notes the Request-Id of the request that comes next, and its key where it has one.
func (t *Tap) NameRequest(id admission.RequestID, wire, key string) {
	t.recorder.add(&Record{Kind: KindRequestNames, At: t.now, ID: id, Text: wire, Key: key})
}

// KindAnnotation notes something of the host.
func (t *Tap) Annotate(text string) {
	t.recorder.add(&Record{Kind: KindAnnotation, At: t.now, Text: text})
}

func (t *Tap) record(r Record) {
	t.now = r.At
	t.recorder.add(&r)
}

// KindRequest implements admission.Events.
func (t *Tap) Request(now time.Duration, q admission.Request) {
	t.record(Record{Kind: KindRequest, At: now, ID: q.ID, Request: q})
	t.module.Request(now, q)
}

// KindCancel implements admission.Events.
func (t *Tap) Cancel(now time.Duration, id admission.RequestID) {
	t.record(Record{Kind: KindCancel, At: now, ID: id})
	t.module.Cancel(now, id)
}

// KindRunFinished implements admission.Events.
func (t *Tap) RunFinished(now time.Duration, id admission.RequestID, o admission.Outcome) {
	t.record(Record{Kind: KindRunFinished, At: now, ID: id, Outcome: o})
	t.module.RunFinished(now, id, o)
}

// KindCallRequested implements admission.Events.
func (t *Tap) CallRequested(now time.Duration, id admission.RequestID) {
	t.record(Record{Kind: KindCallRequested, At: now, ID: id})
	t.module.CallRequested(now, id)
}

// KindCallFinished implements admission.Events.
func (t *Tap) CallFinished(now time.Duration, id admission.RequestID, o admission.Outcome, took time.Duration) {
	t.record(Record{Kind: KindCallFinished, At: now, ID: id, Outcome: o, Duration: took})
	t.module.CallFinished(now, id, o, took)
}

// KindDrain implements admission.Events.
func (t *Tap) Drain(now, left time.Duration) {
	t.record(Record{Kind: KindDrain, At: now, Duration: left})
	t.module.Drain(now, left)
}

// KindTimer implements admission.Events.
func (t *Tap) Timer(now time.Duration, token uint32, g admission.Gauges) {
	t.record(Record{Kind: KindTimer, At: now, Token: token, Gauges: g})
	t.module.Timer(now, token, g)
}

// KindSettle implements admission.Events.
func (t *Tap) Settle(now time.Duration) {
	t.record(Record{Kind: KindSettle, At: now})
	t.module.Settle(now)
	t.recorder.endRound(now, t.module.Snapshot)
}

// KindRun implements admission.Actions.
func (t *Tap) Run(id admission.RequestID) {
	t.record(Record{Kind: KindRun, At: t.now, ID: id})
	t.actions.Run(id)
}

// KindReject implements admission.Actions.
func (t *Tap) Reject(id admission.RequestID, stayAway time.Duration, last bool) {
	t.record(Record{Kind: KindReject, At: t.now, ID: id, Duration: stayAway, Flag: last})
	t.actions.Reject(id, stayAway, last)
}

// KindFail implements admission.Actions.
func (t *Tap) Fail(id admission.RequestID) {
	t.record(Record{Kind: KindFail, At: t.now, ID: id})
	t.actions.Fail(id)
}

// KindCall implements admission.Actions.
func (t *Tap) Call(id admission.RequestID, timeout time.Duration) {
	t.record(Record{Kind: KindCall, At: t.now, ID: id, Duration: timeout})
	t.actions.Call(id, timeout)
}

// KindSkipCall implements admission.Actions.
func (t *Tap) SkipCall(id admission.RequestID) {
	t.record(Record{Kind: KindSkipCall, At: t.now, ID: id})
	t.actions.SkipCall(id)
}

// KindStop implements admission.Actions.
func (t *Tap) Stop(id admission.RequestID) {
	t.record(Record{Kind: KindStop, At: t.now, ID: id})
	t.actions.Stop(id)
}

// KindKeepKey implements admission.Actions.
func (t *Tap) KeepKey(id admission.RequestID, lifetime time.Duration) {
	t.record(Record{Kind: KindKeepKey, At: t.now, ID: id, Duration: lifetime})
	t.actions.KeepKey(id, lifetime)
}

// KindReleaseKey implements admission.Actions.
func (t *Tap) ReleaseKey(id admission.RequestID) {
	t.record(Record{Kind: KindReleaseKey, At: t.now, ID: id})
	t.actions.ReleaseKey(id)
}

// KindReplayResult implements admission.Actions.
func (t *Tap) ReplayResult(id admission.RequestID) {
	t.record(Record{Kind: KindReplayResult, At: t.now, ID: id})
	t.actions.ReplayResult(id)
}

// KindAdvertiseLoad implements admission.Actions.
func (t *Tap) AdvertiseLoad(value float64) {
	t.record(Record{Kind: KindAdvertiseLoad, At: t.now, Value: value})
	t.actions.AdvertiseLoad(value)
}

// KindSetHealth implements admission.Actions.
func (t *Tap) SetHealth(good, fromStore bool) {
	t.record(Record{Kind: KindSetHealth, At: t.now, Flag: good, FromStore: fromStore})
	t.actions.SetHealth(good, fromStore)
}

// KindCloseIdleConnections implements admission.Actions.
func (t *Tap) CloseIdleConnections(idle time.Duration) {
	t.record(Record{Kind: KindCloseIdleConnections, At: t.now, Duration: idle})
	t.actions.CloseIdleConnections(idle)
}

// KindSetTimer implements admission.Actions.
func (t *Tap) SetTimer(wait time.Duration, token uint32) {
	t.record(Record{Kind: KindSetTimer, At: t.now, Duration: wait, Token: token})
	t.actions.SetTimer(wait, token)
}

// KindLog implements admission.Actions.
func (t *Tap) Log(line string) {
	t.record(Record{Kind: KindLog, At: t.now, Text: line})
	t.actions.Log(line)
}
