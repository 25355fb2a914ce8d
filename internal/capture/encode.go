package capture

import (
	"encoding/binary"
	"math"
	"time"

	"tillerusher/admission"
)

// maxText bounds the texts of a record; longer ones are truncated.
const maxText = 1 << 10

// maxRecordSize is more than the bytes of any record.
const maxRecordSize = 2*maxText + 256

// appendRecord adds the bytes of a record. Times are stored as the difference to lastEvent, the time of the event before,
// which becomes that of this one.
func appendRecord(b []byte, lastEvent *time.Duration, r *Record) []byte {
	b = append(b, byte(r.Kind))
	if r.Kind.IsEvent() {
		b = appendInt(b, int64(r.At-*lastEvent))
		*lastEvent = r.At
		return appendEvent(b, r)
	}
	if r.Kind.IsAction() {
		return appendAction(b, r)
	}
	return appendNote(b, r)
}

// appendEvent adds the fields of an event.
func appendEvent(b []byte, r *Record) []byte {
	switch r.Kind {
	case KindRequest:
		return appendRequest(b, &r.Request)
	case KindCancel, KindCallRequested:
		return appendID(b, r.ID)
	case KindRunFinished:
		return append(appendID(b, r.ID), byte(r.Outcome))
	case KindCallFinished:
		b = append(appendID(b, r.ID), byte(r.Outcome))
		return appendInt(b, int64(r.Duration))
	case KindDrain:
		return appendInt(b, int64(r.Duration))
	case KindTimer:
		b = appendUint(b, uint64(r.Token))
		b = appendFloat(b, r.Gauges.Utilization)
		return appendFloat(b, r.Gauges.Runnable)
	}
	return b
}

// appendRequest adds the fields of a request.
func appendRequest(b []byte, q *admission.Request) []byte {
	b = appendID(b, q.ID)
	b = appendInt(b, int64(q.Class))
	b = appendInt(b, int64(q.Tenant))
	b = appendInt(b, int64(q.Caller))
	b = appendUint(b, q.ResourceID)
	b = appendInt(b, int64(q.QueueingDelay))
	b = appendInt(b, int64(q.RemainingTime))
	b = appendBool(b, q.IsRetry)
	b = appendID(b, q.RetryOf)
	b = appendFloat(b, q.SizeKB)
	return appendInt(b, int64(q.Work))
}

// appendAction adds the fields of an action.
func appendAction(b []byte, r *Record) []byte {
	switch r.Kind {
	case KindRun, KindFail, KindSkipCall, KindStop, KindReleaseKey, KindReplayResult:
		return appendID(b, r.ID)
	case KindReject:
		b = appendInt(appendID(b, r.ID), int64(r.Duration))
		return appendBool(b, r.Flag)
	case KindCall, KindKeepKey:
		return appendInt(appendID(b, r.ID), int64(r.Duration))
	case KindAdvertiseLoad:
		return appendFloat(b, r.Value)
	case KindSetHealth:
		return appendBool(appendBool(b, r.Flag), r.FromStore)
	case KindCloseIdleConnections:
		return appendInt(b, int64(r.Duration))
	case KindSetTimer:
		b = appendInt(b, int64(r.Duration))
		return appendUint(b, uint64(r.Token))
	case KindLog:
		return appendText(b, r.Text)
	}
	return b
}

// appendNote adds the fields of a note.
func appendNote(b []byte, r *Record) []byte {
	switch r.Kind {
	case KindRequestNames:
		b = appendID(b, r.ID)
		return appendHex(appendHex(b, r.Text), r.Key)
	case KindAnnotation:
		return appendText(b, r.Text)
	}
	return b
}

func appendID(b []byte, id admission.RequestID) []byte { return appendUint(b, uint64(id)) }

// appendInt and appendUint must not be inlined, or their loops would stand in the code of a record thirty times.
//
//go:noinline
func appendInt(b []byte, v int64) []byte { return binary.AppendVarint(b, v) }

//go:noinline
func appendUint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }

func appendFloat(b []byte, v float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxText)]
	return append(appendUint(b, uint64(len(s))), s...)
}

// appendHex adds a text that is mostly hex digits. Where it is, the number is twice the length in bytes plus one, and the
// bytes that the digits stand for follow; else it is twice the length, and the text itself follows.
func appendHex(b []byte, s string) []byte {
	s = s[:min(len(s), maxText)]
	if len(s)%2 != 0 || !isLowerHex(s) {
		return append(binary.AppendUvarint(b, uint64(len(s))<<1), s...)
	}
	b = binary.AppendUvarint(b, uint64(len(s)/2)<<1|1)
	for i := 0; i < len(s); i += 2 {
		b = append(b, hexDigit(s[i])<<4|hexDigit(s[i+1]))
	}
	return b
}

// isLowerHex tells whether a text consists of lower-case hex digits, which decode to the same text.
func isLowerHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// hexDigit returns the value of a lower-case hex digit.
func hexDigit(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'a' + 10
}
