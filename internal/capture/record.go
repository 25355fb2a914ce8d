package capture

import (
	"time"

	"tillerusher/admission"
)

// Record is one event, action or note. Which fields mean something depends on the kind; the JSON keys are part of the format.
type Record struct {
	Kind      Kind                `json:"kind"`
	At        time.Duration       `json:"at"` // the module's clock; an action has that of its event
	ID        admission.RequestID `json:"id,omitempty"`
	Request   admission.Request   `json:"asked,omitzero"`  // KindRequest
	Outcome   admission.Outcome   `json:"outcome"`         // KindRunFinished, KindCallFinished
	Duration  time.Duration       `json:"span,omitempty"`  // see below
	Token     uint32              `json:"token,omitempty"` // KindTimer, KindSetTimer
	Gauges    admission.Gauges    `json:"gauges,omitzero"` // KindTimer
	Value     float64             `json:"value,omitempty"` // KindAdvertiseLoad
	Flag      bool                `json:"yes,omitempty"`   // KindReject: the caller should not retry elsewhere; KindSetHealth: healthy
	FromStore bool                `json:"stored,omitempty"`
	Text      string              `json:"text,omitempty"` // KindLog, KindAnnotation; KindRequestNames: the Request-Id
	Key       string              `json:"key,omitempty"`  // KindRequestNames: the idempotency key, where there is one
}

// Record.Duration is, by kind:
//
//	KindCallFinished          how long the call took
//	KindDrain                 the time left
//	KindReject                the retry-after advice
//	KindCall                  the timeout
//	KindKeepKey               how long the key is kept
//	KindCloseIdleConnections  the idle time
//	KindSetTimer              the wait
