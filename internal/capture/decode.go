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

// errBadRecord is returned for bytes that are not a valid record. Its text is part of values of Damage.Reason.
var errBadRecord = errors.New("capture: not a record")

// floatSize is the encoded size of a float64 in bytes. It is the largest of the fixed-size fields.
const floatSize = 8

// decoder decodes records from the content of a block. After malformed input isMalformed stays true, and decoded values are
// meaningless.
type decoder struct {
	rest        []byte        // not decoded yet
	lastEvent   time.Duration // time of the previous event
	isMalformed bool
}

// next decodes the next record. It returns an error that wraps errBadRecord if the input is malformed.
func (d *decoder) next(record *Record) error {
	*record = Record{Kind: Kind(d.byte())}
	switch {
	case record.Kind.IsEvent():
		d.lastEvent += d.duration()
		record.At = d.lastEvent
		d.event(record)
	case record.Kind.IsAction():
		record.At = d.lastEvent
		d.action(record)
	default:
		record.At = d.lastEvent
		d.note(record)
	}
	if d.isMalformed {
		return fmt.Errorf("%w: %v", errBadRecord, record.Kind)
	}
	return nil
}

// event decodes the fields of an event.
func (d *decoder) event(record *Record) {
	switch record.Kind {
	case KindRequest:
		d.request(&record.Request)
		record.ID = record.Request.ID
	case KindCancel, KindCallRequested:
		record.ID = d.id()
	case KindRunFinished:
		record.ID = d.id()
		record.Outcome = admission.Outcome(d.byte())
	case KindCallFinished:
		record.ID = d.id()
		record.Outcome = admission.Outcome(d.byte())
		record.Duration = d.duration()
	case KindDrain:
		record.Duration = d.duration()
	case KindTimer:
		record.Token = uint32(d.uvarint())
		record.Gauges.Utilization = d.float()
		record.Gauges.Runnable = d.float()
	}
}

// request decodes the fields of a request.
func (d *decoder) request(request *admission.Request) {
	request.ID = d.id()
	request.Class = int(d.varint())
	request.Tenant = int(d.varint())
	request.Caller = int(d.varint())
	request.ResourceID = d.uvarint()
	request.QueueingDelay = d.duration()
	request.RemainingTime = d.duration()
	request.IsRetry = d.bool()
	request.RetryOf = d.id()
	request.SizeKB = d.float()
	request.Work = d.duration()
}

// action decodes the fields of an action.
func (d *decoder) action(record *Record) {
	switch record.Kind {
	case KindRun, KindFail, KindSkipCall, KindStop, KindReleaseKey, KindReplayResult:
		record.ID = d.id()
	case KindReject:
		record.ID = d.id()
		record.Duration = d.duration()
		record.Flag = d.bool()
	case KindCall, KindKeepKey:
		record.ID = d.id()
		record.Duration = d.duration()
	case KindAdvertiseLoad:
		record.Value = d.float()
	case KindSetHealth:
		record.Flag = d.bool()
		record.FromStore = d.bool()
	case KindCloseIdleConnections:
		record.Duration = d.duration()
	case KindSetTimer:
		record.Duration = d.duration()
		record.Token = uint32(d.uvarint())
	case KindLog:
		record.Text = d.text()
	}
}

// note decodes the fields of a note. A record of any other kind is malformed.
func (d *decoder) note(record *Record) {
	switch record.Kind {
	case KindRequestNames:
		record.ID = d.id()
		record.Text = d.hex()
		record.Key = d.hex()
	case KindAnnotation:
		record.Text = d.text()
	default:
		d.isMalformed = true
	}
}

// take returns the next n bytes. If there are fewer, or earlier input was malformed, it sets isMalformed and returns zeros, at
// most floatSize of them.
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

// hex decodes a text that appendHex encoded.
func (d *decoder) hex() string {
	n := d.uvarint()
	length, isHex := n>>1, n&1 == 1
	if length > maxText {
		d.isMalformed = true
		return ""
	}
	content := d.take(int(length))
	if isHex {
		return hex.EncodeToString(content)
	}
	return string(content)
}
