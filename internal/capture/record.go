package capture

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"time"

	"tillerusher/admission"
)

// Kind says what a record is of.
type Kind uint8

// The events of the module's interface, its actions, and the host's notes.
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

// The actions.
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

// The host's notes: the names of the request that comes next, and anything else worth knowing of the host.
const (
	KindRequestNames Kind = 40 + iota
	KindAnnotation
)

// kindNames are the words for kinds in texts and JSON.
var kindNames = [...]string{KindRequest: "request", KindCancel: "gone", KindRunFinished: "done", KindCallRequested: "blocked", KindCallFinished: "called",
	KindDrain: "drain", KindTimer: "timer", KindSettle: "settle", KindRun: "run", KindReject: "refuse", KindFail: "fail", KindCall: "call",
	KindSkipCall: "skip", KindStop: "halt", KindKeepKey: "keep", KindReleaseKey: "forget", KindReplayResult: "reuse", KindAdvertiseLoad: "say", KindSetHealth: "health",
	KindCloseIdleConnections: "close-idle", KindSetTimer: "after", KindLog: "log", KindRequestNames: "names", KindAnnotation: "remark"}

// String is the kind's word.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// ParseKind reads a kind's word.
func ParseKind(word string) (Kind, error) {
	for k, name := range kindNames {
		if name == word && word != "" {
			return Kind(k), nil
		}
	}
	return 0, fmt.Errorf("capture: no kind of record is called %q", word)
}

// MarshalText writes the kind's word.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// IsEvent tells whether the record is of an event that the module was told.
func (k Kind) IsEvent() bool { return k >= KindRequest && k <= KindSettle }

// IsAction tells whether the record is of an action that the module called for.
func (k Kind) IsAction() bool { return k >= KindRun && k <= KindLog }

// Record is one event, action or note. Which fields mean something goes by the kind.
type Record struct {
	Kind      Kind                `json:"kind"`
	At        time.Duration       `json:"at"` // the module's clock; an action has that of its event
	ID        admission.RequestID `json:"id,omitempty"`
	Request   admission.Request   `json:"asked,omitzero"`  // Request
	Outcome   admission.Outcome   `json:"outcome"`         // Done, Called
	Duration  time.Duration       `json:"span,omitempty"`  // KindCallFinished took, Drain left, Refuse stayAway, Call timeout, Keep lifetime, KindCloseIdleConnections idle, After wait
	Token     uint32              `json:"token,omitempty"` // Timer, After
	Gauges    admission.Gauges    `json:"gauges,omitzero"` // Timer
	Value     float64             `json:"value,omitempty"` // Say
	Flag      bool                `json:"yes,omitempty"`   // KindReject last, Health good
	FromStore bool                `json:"stored,omitempty"`
	Text      string              `json:"text,omitempty"` // Log, Remark; Names: the Request-Id
	Key       string              `json:"key,omitempty"`  // Names: the key, where there is one
}

// errBadRecord says that bytes are no record.
var errBadRecord = errors.New("capture: not a record")

// maxText bounds the text of a record; longer ones are cut.
const maxText = 1 << 10

// maxRecordSize is more than the bytes of any record.
const maxRecordSize = 2*maxText + 256

// appendRecord adds a record's bytes; last is the time of the event before it and becomes that of this one.
func appendRecord(b []byte, last *time.Duration, r *Record) []byte {
	b = append(b, byte(r.Kind))
	if r.Kind.IsEvent() {
		b = appendInt(b, int64(r.At-*last))
		*last = r.At
	}
	switch r.Kind {
	case KindRequest:
		q := &r.Request
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
		b = appendInt(b, int64(q.Work))
	case KindRunFinished:
		b = append(appendID(b, r.ID), byte(r.Outcome))
	case KindCallFinished:
		b = append(appendID(b, r.ID), byte(r.Outcome))
		b = appendInt(b, int64(r.Duration))
	case KindDrain, KindCloseIdleConnections:
		b = appendInt(b, int64(r.Duration))
	case KindTimer:
		b = appendUint(b, uint64(r.Token))
		b = appendFloat(appendFloat(b, r.Gauges.Utilization), r.Gauges.Runnable)
	case KindReject:
		b = appendInt(appendID(b, r.ID), int64(r.Duration))
		b = appendBool(b, r.Flag)
	case KindCall, KindKeepKey:
		b = appendInt(appendID(b, r.ID), int64(r.Duration))
	case KindCancel, KindCallRequested, KindRun, KindFail, KindSkipCall, KindStop, KindReleaseKey, KindReplayResult:
		b = appendID(b, r.ID)
	case KindAdvertiseLoad:
		b = appendFloat(b, r.Value)
	case KindSetHealth:
		b = appendBool(appendBool(b, r.Flag), r.FromStore)
	case KindSetTimer:
		b = appendInt(b, int64(r.Duration))
		b = appendUint(b, uint64(r.Token))
	case KindLog, KindAnnotation:
		b = appendText(b, r.Text)
	case KindRequestNames:
		b = appendHex(appendHex(appendID(b, r.ID), r.Text), r.Key)
	}
	return b
}

func appendID(b []byte, id admission.RequestID) []byte { return appendUint(b, uint64(id)) }

// appendInt and appendUint are calls of their own, or their loops would stand in appendRecord thirty times.
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

// appendHex adds a text that is mostly hex digits: as twice its bytes' number plus one and the bytes that the digits
// stand for, or as twice its length and itself.
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

func isLowerHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func hexDigit(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'a' + 10
}

// decoder takes records from the bytes of a block.
type decoder struct {
	rest        []byte
	lastEvent   time.Duration // of the last event
	isMalformed bool
}

// nextBlock reads one record.
func (d *decoder) next(r *Record) error {
	*r = Record{Kind: Kind(d.byte())}
	if r.Kind.IsEvent() {
		d.lastEvent += time.Duration(d.varint())
	}
	r.At = d.lastEvent
	switch r.Kind {
	case KindRequest:
		q := &r.Request
		q.ID, q.Class, q.Tenant, q.Caller = d.id(), int(d.varint()), int(d.varint()), int(d.varint())
		q.ResourceID, q.QueueingDelay, q.RemainingTime = d.uvarint(), d.duration(), d.duration()
		q.IsRetry, q.RetryOf, q.SizeKB, q.Work = d.bool(), d.id(), d.float(), d.duration()
		r.ID = q.ID
	case KindRunFinished:
		r.ID, r.Outcome = d.id(), admission.Outcome(d.byte())
	case KindCallFinished:
		r.ID, r.Outcome, r.Duration = d.id(), admission.Outcome(d.byte()), d.duration()
	case KindDrain, KindCloseIdleConnections:
		r.Duration = d.duration()
	case KindTimer:
		r.Token, r.Gauges = uint32(d.uvarint()), admission.Gauges{Utilization: d.float(), Runnable: d.float()}
	case KindReject:
		r.ID, r.Duration, r.Flag = d.id(), d.duration(), d.bool()
	case KindCall, KindKeepKey:
		r.ID, r.Duration = d.id(), d.duration()
	case KindCancel, KindCallRequested, KindRun, KindFail, KindSkipCall, KindStop, KindReleaseKey, KindReplayResult:
		r.ID = d.id()
	case KindAdvertiseLoad:
		r.Value = d.float()
	case KindSetHealth:
		r.Flag, r.FromStore = d.bool(), d.bool()
	case KindSetTimer:
		r.Duration, r.Token = d.duration(), uint32(d.uvarint())
	case KindLog, KindAnnotation:
		r.Text = d.text()
	case KindRequestNames:
		r.ID, r.Text, r.Key = d.id(), d.hex(), d.hex()
	case KindSettle:
	default:
		d.isMalformed = true
	}
	if d.isMalformed {
		return fmt.Errorf("%w: %v", errBadRecord, r.Kind)
	}
	return nil
}

func (d *decoder) take(n int) []byte {
	if d.isMalformed || n > len(d.rest) {
		d.isMalformed = true
		return make([]byte, min(n, 8))
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) byte() byte { return d.take(1)[0] }

func (d *decoder) bool() bool { return d.byte() != 0 }

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	d.take(max(n, 0))
	d.isMalformed = d.isMalformed || n <= 0
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	d.take(max(n, 0))
	d.isMalformed = d.isMalformed || n <= 0
	return v
}

func (d *decoder) duration() time.Duration { return time.Duration(d.varint()) }

func (d *decoder) id() admission.RequestID { return admission.RequestID(d.uvarint()) }

func (d *decoder) float() float64 { return math.Float64frombits(binary.LittleEndian.Uint64(d.take(8))) }

func (d *decoder) text() string {
	n := d.uvarint()
	if n > maxText {
		d.isMalformed = true
		return ""
	}
	return string(d.take(int(n)))
}

func (d *decoder) hex() string {
	n := d.uvarint()
	if n>>1 > maxText {
		d.isMalformed = true
		return ""
	}
	if b := d.take(int(n >> 1)); n&1 == 1 {
		return hex.EncodeToString(b)
	} else {
		return string(b)
	}
}
