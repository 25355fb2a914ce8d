package capture

import (
	"time"

	"tillerusher/admission"
)

// Module is what a tap records: the decision module, whose state can be taken.
type Module interface {
	admission.Events
	Snapshot(to []byte) []byte
}

// Tap stands between a host and its module. It records each event and passes it on, and each action that the
// event leads to on its way back, so that the host and the module notice nothing.
type Tap struct {
	rec    *Recorder
	module Module
	do     admission.Actions
	now    time.Duration
}

// NewTap returns a tap before the host's actions. The module is made with the tap as its actions, and then given
// to Attach.
func NewTap(rec *Recorder, do admission.Actions) *Tap { return &Tap{rec: rec, do: do} }

// Attach sets the module, whose state before its first event begins the record.
func (t *Tap) Attach(m Module, now time.Duration) {
	t.module, t.now = m, now
	t.rec.round(now, m.Snapshot)
}

// Names notes the Request-Id of the request that comes next, and its key where it has one.
func (t *Tap) Names(id admission.RequestID, wire, key string) {
	t.rec.add(&Record{Kind: Names, At: t.now, ID: id, Text: wire, Key: key})
}

// Remark notes something of the host.
func (t *Tap) Remark(text string) { t.rec.add(&Record{Kind: Remark, At: t.now, Text: text}) }

func (t *Tap) event(r Record) {
	t.now = r.At
	t.rec.add(&r)
}

// Request implements admission.Events.
func (t *Tap) Request(now time.Duration, q admission.Request) {
	t.event(Record{Kind: Request, At: now, ID: q.ID, Asked: q})
	t.module.Request(now, q)
}

// Gone implements admission.Events.
func (t *Tap) Gone(now time.Duration, id admission.RequestID) {
	t.event(Record{Kind: Gone, At: now, ID: id})
	t.module.Gone(now, id)
}

// Done implements admission.Events.
func (t *Tap) Done(now time.Duration, id admission.RequestID, o admission.Outcome) {
	t.event(Record{Kind: Done, At: now, ID: id, Outcome: o})
	t.module.Done(now, id, o)
}

// Blocked implements admission.Events.
func (t *Tap) Blocked(now time.Duration, id admission.RequestID) {
	t.event(Record{Kind: Blocked, At: now, ID: id})
	t.module.Blocked(now, id)
}

// Called implements admission.Events.
func (t *Tap) Called(now time.Duration, id admission.RequestID, o admission.Outcome, took time.Duration) {
	t.event(Record{Kind: Called, At: now, ID: id, Outcome: o, Span: took})
	t.module.Called(now, id, o, took)
}

// Drain implements admission.Events.
func (t *Tap) Drain(now, left time.Duration) {
	t.event(Record{Kind: Drain, At: now, Span: left})
	t.module.Drain(now, left)
}

// Timer implements admission.Events.
func (t *Tap) Timer(now time.Duration, token uint32, g admission.Gauges) {
	t.event(Record{Kind: Timer, At: now, Token: token, Gauges: g})
	t.module.Timer(now, token, g)
}

// Settle implements admission.Events.
func (t *Tap) Settle(now time.Duration) {
	t.event(Record{Kind: Settle, At: now})
	t.module.Settle(now)
	t.rec.round(now, t.module.Snapshot)
}

// Run implements admission.Actions.
func (t *Tap) Run(id admission.RequestID) {
	t.event(Record{Kind: Run, At: t.now, ID: id})
	t.do.Run(id)
}

// Refuse implements admission.Actions.
func (t *Tap) Refuse(id admission.RequestID, stayAway time.Duration, last bool) {
	t.event(Record{Kind: Refuse, At: t.now, ID: id, Span: stayAway, Yes: last})
	t.do.Refuse(id, stayAway, last)
}

// Fail implements admission.Actions.
func (t *Tap) Fail(id admission.RequestID) {
	t.event(Record{Kind: Fail, At: t.now, ID: id})
	t.do.Fail(id)
}

// Call implements admission.Actions.
func (t *Tap) Call(id admission.RequestID, timeout time.Duration) {
	t.event(Record{Kind: Call, At: t.now, ID: id, Span: timeout})
	t.do.Call(id, timeout)
}

// Skip implements admission.Actions.
func (t *Tap) Skip(id admission.RequestID) {
	t.event(Record{Kind: Skip, At: t.now, ID: id})
	t.do.Skip(id)
}

// Halt implements admission.Actions.
func (t *Tap) Halt(id admission.RequestID) {
	t.event(Record{Kind: Halt, At: t.now, ID: id})
	t.do.Halt(id)
}

// Keep implements admission.Actions.
func (t *Tap) Keep(id admission.RequestID, lifetime time.Duration) {
	t.event(Record{Kind: Keep, At: t.now, ID: id, Span: lifetime})
	t.do.Keep(id, lifetime)
}

// Forget implements admission.Actions.
func (t *Tap) Forget(id admission.RequestID) {
	t.event(Record{Kind: Forget, At: t.now, ID: id})
	t.do.Forget(id)
}

// Reuse implements admission.Actions.
func (t *Tap) Reuse(id admission.RequestID) {
	t.event(Record{Kind: Reuse, At: t.now, ID: id})
	t.do.Reuse(id)
}

// Say implements admission.Actions.
func (t *Tap) Say(value float64) {
	t.event(Record{Kind: Say, At: t.now, Value: value})
	t.do.Say(value)
}

// Health implements admission.Actions.
func (t *Tap) Health(good, fromStore bool) {
	t.event(Record{Kind: Health, At: t.now, Yes: good, Stored: fromStore})
	t.do.Health(good, fromStore)
}

// CloseIdle implements admission.Actions.
func (t *Tap) CloseIdle(idle time.Duration) {
	t.event(Record{Kind: CloseIdle, At: t.now, Span: idle})
	t.do.CloseIdle(idle)
}

// After implements admission.Actions.
func (t *Tap) After(wait time.Duration, token uint32) {
	t.event(Record{Kind: After, At: t.now, Span: wait, Token: token})
	t.do.After(wait, token)
}

// Log implements admission.Actions.
func (t *Tap) Log(line string) {
	t.event(Record{Kind: Log, At: t.now, Text: line})
	t.do.Log(line)
}
