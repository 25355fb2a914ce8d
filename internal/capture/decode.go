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

// errBadRecord reports bytes that are no record.
var errBadRecord = errors.New("capture: not a record")

// floatSize is the bytes of a float64, the longest number of fixed size.
const floatSize = 8

// decoder takes records from the bytes of a block. After malformed bytes all its values are zero.
type decoder struct {
	rest        []byte
	lastEvent   time.Duration
	isMalformed bool
}

// next decodes one record.
func (d *decoder) next(r *Record) error {
	*r = Record{Kind: Kind(d.byte())}
	switch {
	case r.Kind.IsEvent():
		d.lastEvent += d.duration()
		r.At = d.lastEvent
		d.event(r)
	case r.Kind.IsAction():
		r.At = d.lastEvent
		d.action(r)
	default:
		r.At = d.lastEvent
		d.note(r)
	}
	if d.isMalformed {
		return fmt.Errorf("%w: %v", errBadRecord, r.Kind)
	}
	return nil
}

// event decodes the fields of an event.
func (d *decoder) event(r *Record) {
	switch r.Kind {
	case KindRequest:
		d.request(&r.Request)
		r.ID = r.Request.ID
	case KindCancel, KindCallRequested:
		r.ID = d.id()
	case KindRunFinished:
		r.ID = d.id()
		r.Outcome = admission.Outcome(d.byte())
	case KindCallFinished:
		r.ID = d.id()
		r.Outcome = admission.Outcome(d.byte())
		r.Duration = d.duration()
	case KindDrain:
		r.Duration = d.duration()
	case KindTimer:
		r.Token = uint32(d.uvarint())
		r.Gauges.Utilization = d.float()
		r.Gauges.Runnable = d.float()
	}
}

// request decodes the fields of a request.
func (d *decoder) request(q *admission.Request) {
	q.ID = d.id()
	q.Class = int(d.varint())
	q.Tenant = int(d.varint())
	q.Caller = int(d.varint())
	q.ResourceID = d.uvarint()
	q.QueueingDelay = d.duration()
	q.RemainingTime = d.duration()
	q.IsRetry = d.bool()
	q.RetryOf = d.id()
	q.SizeKB = d.float()
	q.Work = d.duration()
}

// action decodes the fields of an action.
func (d *decoder) action(r *Record) {
	switch r.Kind {
	case KindRun, KindFail, KindSkipCall, KindStop, KindReleaseKey, KindReplayResult:
		r.ID = d.id()
	case KindReject:
		r.ID = d.id()
		r.Duration = d.duration()
		r.Flag = d.bool()
	case KindCall, KindKeepKey:
		r.ID = d.id()
		r.Duration = d.duration()
	case KindAdvertiseLoad:
		r.Value = d.float()
	case KindSetHealth:
		r.Flag = d.bool()
		r.FromStore = d.bool()
	case KindCloseIdleConnections:
		r.Duration = d.duration()
	case KindSetTimer:
		r.Duration = d.duration()
		r.Token = uint32(d.uvarint())
	case KindLog:
		r.Text = d.text()
	}
}

// note decodes the fields of a note; a kind that is none either is unknown.
func (d *decoder) note(r *Record) {
	switch r.Kind {
	case KindRequestNames:
		r.ID = d.id()
		r.Text = d.hex()
		r.Key = d.hex()
	case KindAnnotation:
		r.Text = d.text()
	default:
		d.isMalformed = true
	}
}

// take returns the next bytes, or zeros where there are too few.
func (d *decoder) take(n int) []byte {
	if d.isMalformed || n > len(d.rest) {
		d.isMalformed = true
		return make([]byte, min(n, floatSize))
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
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

func (d *decoder) float() float64 {
	return math.Float64frombits(binary.LittleEndian.Uint64(d.take(floatSize)))
}

func (d *decoder) text() string {
	n := d.uvarint()
	if n > maxText {
		d.isMalformed = true
		return ""
	}
	return string(d.take(int(n)))
}

// hex decodes what appendHex wrote.
func (d *decoder) hex() string {
	n := d.uvarint()
	length, isHex := n>>1, n&1 == 1
	if length > maxText {
		d.isMalformed = true
		return ""
	}
	b := d.take(int(length))
	if isHex {
		return hex.EncodeToString(b)
	}
	return string(b)
}
