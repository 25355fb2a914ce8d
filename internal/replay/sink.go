package replay

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Sink is the host's side of a replay: it keeps the actions that the last event led to and carries out none.
type Sink struct {
	Actions []capture.Record
	now     time.Duration
}

// begin forgets the actions of the event before.
func (s *Sink) begin(now time.Duration) { s.Actions, s.now = s.Actions[:0], now }

func (s *Sink) add(r capture.Record) {
	r.At = s.now
	s.Actions = append(s.Actions, r)
}

// Run implements admission.Actions.
func (s *Sink) Run(id admission.RequestID) { s.add(capture.Record{Kind: capture.Run, ID: id}) }

// Refuse implements admission.Actions.
func (s *Sink) Refuse(id admission.RequestID, stayAway time.Duration, last bool) {
	s.add(capture.Record{Kind: capture.Refuse, ID: id, Span: stayAway, Yes: last})
}

// Fail implements admission.Actions.
func (s *Sink) Fail(id admission.RequestID) { s.add(capture.Record{Kind: capture.Fail, ID: id}) }

// Call implements admission.Actions.
func (s *Sink) Call(id admission.RequestID, timeout time.Duration) {
	s.add(capture.Record{Kind: capture.Call, ID: id, Span: timeout})
}

// Skip implements admission.Actions.
func (s *Sink) Skip(id admission.RequestID) { s.add(capture.Record{Kind: capture.Skip, ID: id}) }

// Halt implements admission.Actions.
func (s *Sink) Halt(id admission.RequestID) { s.add(capture.Record{Kind: capture.Halt, ID: id}) }

// Keep implements admission.Actions.
func (s *Sink) Keep(id admission.RequestID, lifetime time.Duration) {
	s.add(capture.Record{Kind: capture.Keep, ID: id, Span: lifetime})
}

// Forget implements admission.Actions.
func (s *Sink) Forget(id admission.RequestID) { s.add(capture.Record{Kind: capture.Forget, ID: id}) }

// Reuse implements admission.Actions.
func (s *Sink) Reuse(id admission.RequestID) { s.add(capture.Record{Kind: capture.Reuse, ID: id}) }

// Say implements admission.Actions.
func (s *Sink) Say(value float64) { s.add(capture.Record{Kind: capture.Say, Value: value}) }

// Health implements admission.Actions.
func (s *Sink) Health(good, fromStore bool) {
	s.add(capture.Record{Kind: capture.Health, Yes: good, Stored: fromStore})
}

// CloseIdle implements admission.Actions.
func (s *Sink) CloseIdle(idle time.Duration) {
	s.add(capture.Record{Kind: capture.CloseIdle, Span: idle})
}

// After implements admission.Actions.
func (s *Sink) After(wait time.Duration, token uint32) {
	s.add(capture.Record{Kind: capture.After, Span: wait, Token: token})
}

// Log implements admission.Actions.
func (s *Sink) Log(line string) { s.add(capture.Record{Kind: capture.Log, Text: line}) }
