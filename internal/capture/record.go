package capture

import (
	"time"

	"tillerusher/admission"
)

// Record is one event, action or note. Its kind determines which fields are used. The JSON keys are part of the format.
type Record struct {
	Kind      Kind                `json:"kind"`
	At        time.Duration       `json:"at"` // module's clock; actions and notes have the time of the event before them
	ID        admission.RequestID `json:"id,omitempty"`
	Request   admission.Request   `json:"asked,omitzero"`   // KindRequest
	Outcome   admission.Outcome   `json:"outcome"`          // KindRunFinished, KindCallFinished
	Duration  time.Duration       `json:"span,omitempty"`   // depends on the kind, see below
	Token     uint32              `json:"token,omitempty"`  // KindTimer, KindSetTimer
	Gauges    admission.Gauges    `json:"gauges,omitzero"`  // KindTimer
	Value     float64             `json:"value,omitempty"`  // KindAdvertiseLoad
	Flag      bool                `json:"yes,omitempty"`    // KindReject: do not retry elsewhere; KindSetHealth: healthy
	FromStore bool                `json:"stored,omitempty"` // KindSetHealth: checks are answered from this setting alone
	Text      string              `json:"text,omitempty"`   // KindLog, KindAnnotation; KindRequestNames: the Request-Id
	Key       string              `json:"key,omitempty"`    // KindRequestNames: the idempotency key, if any
}

// The meaning of Record.Duration, by kind:
//
//	KindCallFinished          how long the call took
//	KindDrain                 the time left
//	KindReject                the retry-after advice
//	KindCall                  the timeout
//	KindKeepKey               how long the key is kept
//	KindCloseIdleConnections  the idle time
//	KindSetTimer              the wait
