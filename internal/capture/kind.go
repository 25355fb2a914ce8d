package capture

import "fmt"

// Kind identifies the event, action or note of a record. The values are part of the format.
type Kind uint8

// The events of the module's interface.
const (
	KindRequest Kind = 1 + iota
	KindCancel
	KindRunFinished
	KindCallRequested
	KindCallFinished
	KindDrain
	KindTimer
	KindSettle
)

// The actions of the module's interface.
const (
	KindRun Kind = 16 + iota
	KindReject
	KindFail
	KindCall
	KindSkipCall
	KindStop
	KindKeepKey
	KindReleaseKey
	KindReplayResult
	KindAdvertiseLoad
	KindSetHealth
	KindCloseIdleConnections
	KindSetTimer
	KindLog
)

// The host's notes.
const (
	KindRequestNames Kind = 40 + iota // the Request-Id and the idempotency key of the next request
	KindAnnotation                    // any other information from the host
)

// kindNames are the names of kinds in text and JSON. They are part of the format: scripts select records by them.
var kindNames = [...]string{
	KindRequest:       "request",
	KindCancel:        "gone",
	KindRunFinished:   "done",
	KindCallRequested: "blocked",
	KindCallFinished:  "called",
	KindDrain:         "drain",
	KindTimer:         "timer",
	KindSettle:        "settle",

	KindRun:                  "run",
	KindReject:               "refuse",
	KindFail:                 "fail",
	KindCall:                 "call",
	KindSkipCall:             "skip",
	KindStop:                 "halt",
	KindKeepKey:              "keep",
	KindReleaseKey:           "forget",
	KindReplayResult:         "reuse",
	KindAdvertiseLoad:        "say",
	KindSetHealth:            "health",
	KindCloseIdleConnections: "close-idle",
	KindSetTimer:             "after",
	KindLog:                  "log",

	KindRequestNames: "names",
	KindAnnotation:   "remark",
}

// String returns the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// ParseKind returns the kind with the name.
func ParseKind(name string) (Kind, error) {
	for k, known := range kindNames {
		if known == name && name != "" {
			return Kind(k), nil
		}
	}
	return 0, fmt.Errorf("capture: unknown kind of record %q", name)
}

// MarshalText implements encoding.TextMarshaler with the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// IsEvent reports whether k is the kind of an event.
func (k Kind) IsEvent() bool { return k >= KindRequest && k <= KindSettle }

// IsAction reports whether k is the kind of an action.
func (k Kind) IsAction() bool { return k >= KindRun && k <= KindLog }
