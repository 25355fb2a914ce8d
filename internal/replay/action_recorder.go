package replay

import (
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ActionRecorder is the host's side of a replay: it keeps the actions that the last event led to and carries out none.
type ActionRecorder struct {
	Actions []capture.Record
	now     time.Duration
}

// begin forgets the actions of the event before.
func (s *ActionRecorder) begin(now time.Duration) { s.Actions, s.now = s.Actions[:0], now }

func (s *ActionRecorder) add(r capture.Record) {
	r.At = s.now
	s.Actions = append(s.Actions, r)
}

// Run implements admission.Actions.
func (s *ActionRecorder) Run(id admission.RequestID) {
	s.add(capture.Record{Kind: capture.KindRun, ID: id})
}

// Refuse implements admission.Actions.
func (s *ActionRecorder) Reject(id admission.RequestID, stayAway time.Duration, last bool) {
	s.add(capture.Record{Kind: capture.KindReject, ID: id, Duration: stayAway, Flag: last})
}

// Fail implements admission.Actions.
func (s *ActionRecorder) Fail(id admission.RequestID) {
	s.add(capture.Record{Kind: capture.KindFail, ID: id})
}

// Call implements admission.Actions.
func (s *ActionRecorder) Call(id admission.RequestID, timeout time.Duration) {
	s.add(capture.Record{Kind: capture.KindCall, ID: id, Duration: timeout})
}

// Skip implements admission.Actions.
func (s *ActionRecorder) SkipCall(id admission.RequestID) {
	s.add(capture.Record{Kind: capture.KindSkipCall, ID: id})
}

// Halt implements admission.Actions.
func (s *ActionRecorder) Stop(id admission.RequestID) {
	s.add(capture.Record{Kind: capture.KindStop, ID: id})
}

// Keep implements admission.Actions.
func (s *ActionRecorder) KeepKey(id admission.RequestID, lifetime time.Duration) {
	s.add(capture.Record{Kind: capture.KindKeepKey, ID: id, Duration: lifetime})
}

// Forget implements admission.Actions.
func (s *ActionRecorder) ReleaseKey(id admission.RequestID) {
	s.add(capture.Record{Kind: capture.KindReleaseKey, ID: id})
}

// Reuse implements admission.Actions.
func (s *ActionRecorder) ReplayResult(id admission.RequestID) {
	s.add(capture.Record{Kind: capture.KindReplayResult, ID: id})
}

// Say implements admission.Actions.
func (s *ActionRecorder) AdvertiseLoad(value float64) {
	s.add(capture.Record{Kind: capture.KindAdvertiseLoad, Value: value})
}

// Health implements admission.Actions.
func (s *ActionRecorder) SetHealth(good, fromStore bool) {
	s.add(capture.Record{Kind: capture.KindSetHealth, Flag: good, FromStore: fromStore})
}

// CloseIdle implements admission.Actions.
func (s *ActionRecorder) CloseIdleConnections(idle time.Duration) {
	s.add(capture.Record{Kind: capture.KindCloseIdleConnections, Duration: idle})
}

// AfterEvent implements admission.Actions.
func (s *ActionRecorder) SetTimer(wait time.Duration, token uint32) {
	s.add(capture.Record{Kind: capture.KindSetTimer, Duration: wait, Token: token})
}

// Log implements admission.Actions.
func (s *ActionRecorder) Log(line string) { s.add(capture.Record{Kind: capture.KindLog, Text: line}) }
