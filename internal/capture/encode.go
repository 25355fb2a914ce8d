package capture

import (
	"encoding/binary"
	"math"
	"time"

	"tillerusher/admission"
)

// maxText is the maximum length of a text of a record in bytes. Longer texts are truncated.
const maxText = 1 << 10

// maxRecordSize is larger than the encoded size of any record, in bytes.
const maxRecordSize = 2*maxText + 256

// appendRecord appends the encoded record to dst. The time of an event is stored as the difference to *lastEvent, the time of
// the previous event; appendRecord then sets *lastEvent to the time of this event.
func appendRecord(dst []byte, lastEvent *time.Duration, record *Record) []byte {
	dst = append(dst, byte(record.Kind))
	if record.Kind.IsEvent() {
		dst = appendInt(dst, int64(record.At-*lastEvent))
		*lastEvent = record.At
		return appendEvent(dst, record)
	}
	if record.Kind.IsAction() {
		return appendAction(dst, record)
	}
	return appendNote(dst, record)
}

// appendEvent appends the fields of an event.
func appendEvent(dst []byte, record *Record) []byte {
	switch record.Kind {
	case KindRequest:
		return appendRequest(dst, &record.Request)
	case KindCancel, KindCallRequested:
		return appendID(dst, record.ID)
	case KindRunFinished:
		return append(appendID(dst, record.ID), byte(record.Outcome))
	case KindCallFinished:
		dst = append(appendID(dst, record.ID), byte(record.Outcome))
		return appendInt(dst, int64(record.Duration))
	case KindDrain:
		return appendInt(dst, int64(record.Duration))
	case KindTimer:
		dst = appendUint(dst, uint64(record.Token))
		dst = appendFloat(dst, record.Gauges.Utilization)
		return appendFloat(dst, record.Gauges.Runnable)
	}
	return dst
}

// appendRequest appends the fields of a request.
func appendRequest(dst []byte, request *admission.Request) []byte {
	dst = appendID(dst, request.ID)
	dst = appendInt(dst, int64(request.Class))
	dst = appendInt(dst, int64(request.Tenant))
	dst = appendInt(dst, int64(request.Caller))
	dst = appendUint(dst, request.ResourceID)
	dst = appendInt(dst, int64(request.QueueingDelay))
	dst = appendInt(dst, int64(request.RemainingTime))
	dst = appendBool(dst, request.IsRetry)
	dst = appendID(dst, request.RetryOf)
	dst = appendFloat(dst, request.SizeKB)
	return appendInt(dst, int64(request.Work))
}

// appendAction appends the fields of an action.
func appendAction(dst []byte, record *Record) []byte {
	switch record.Kind {
	case KindRun, KindFail, KindSkipCall, KindStop, KindReleaseKey, KindReplayResult:
		return appendID(dst, record.ID)
	case KindReject:
		dst = appendInt(appendID(dst, record.ID), int64(record.Duration))
		return appendBool(dst, record.Flag)
	case KindCall, KindKeepKey:
		return appendInt(appendID(dst, record.ID), int64(record.Duration))
	case KindAdvertiseLoad:
		return appendFloat(dst, record.Value)
	case KindSetHealth:
		return appendBool(appendBool(dst, record.Flag), record.FromStore)
	case KindCloseIdleConnections:
		return appendInt(dst, int64(record.Duration))
	case KindSetTimer:
		dst = appendInt(dst, int64(record.Duration))
		return appendUint(dst, uint64(record.Token))
	case KindLog:
		return appendText(dst, record.Text)
	}
	return dst
}

// appendNote appends the fields of a note.
func appendNote(dst []byte, record *Record) []byte {
	switch record.Kind {
	case KindRequestNames:
		dst = appendID(dst, record.ID)
		return appendHex(appendHex(dst, record.Text), record.Key)
	case KindAnnotation:
		return appendText(dst, record.Text)
	}
	return dst
}

func appendID(b []byte, id admission.RequestID) []byte { return appendUint(b, uint64(id)) }

// appendInt and appendUint must not be inlined: the compiler would copy their loops into the encoder thirty times.
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

// appendHex appends a text that usually is an even number of lower-case hex digits. Such a text is stored as its decoded bytes,
// after a uvarint of twice their number plus one. Any other text is stored unchanged, after a uvarint of twice its length.
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

// isLowerHex reports whether a text consists of lower-case hex digits only, so that decoding and encoding it returns the same
// text.
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
