// Package wire reads batches of events and writes replies in the simulator's binary framing. It translates
// and decides nothing.
package simulatorwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"tillerusher/admission"
)

// Sizes of the framing in bytes.
const (
	batchHeader = 16
	replyHeader = 8
	eventSize   = 64
	actionSize  = 24
	maxBatch    = 1 << 30 // a length above this is taken for a broken frame
)

// EventCode is the kind of an event.
type EventCode uint8

// The events.
const (
	EventAttach        EventCode = 1
	EventCallFinished  EventCode = 2
	EventDetach        EventCode = 3
	EventDrain         EventCode = 4
	EventRunFinished   EventCode = 5
	EventCallRequested EventCode = 6
	EventTimer         EventCode = 7
	EventRequest       EventCode = 8
	EventCancel        EventCode = 9
)

// Flag bits of a call event.
const (
	optHint  = 1
	optRetry = 2
)

// Event is one decoded record; which fields mean something depends on the code.
type Event struct {
	Code       EventCode
	InstanceID uint32
	RequestID  admission.RequestID
	TimerToken uint32
	Duration   time.Duration // time since the start, or until the process stops
	Outcome    admission.Outcome
	Request    admission.Request
	Gauges     []float64
	Settings   []byte
}

// Batch is one decoded frame.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// outcomes translates the codes of the wire.
var outcomes = map[byte]admission.Outcome{
	0: admission.OK, 255: admission.Failed, 254: admission.Rejected, 253: admission.TimedOut,
	252: admission.Unreachable, 251: admission.Reset, 250: admission.Cancelled, 249: admission.NotStarted,
}

// Reader decodes batches from a stream.
type Reader struct {
	in   io.Reader
	body []byte
}

// NewReader returns a Reader of the stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next fills the batch with the next frame; it returns io.EOF at a clean end of input. The events' byte
// slices are valid until the next call.
func (r *Reader) Next(b *Batch) error {
	var head [batchHeader]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.New("frame: input ends within a header")
		}
		return err
	}
	size := int64(binary.LittleEndian.Uint32(head[8:])) - 4
	count := int64(binary.LittleEndian.Uint32(head[12:]))
	if size < 0 || size > maxBatch {
		return fmt.Errorf("frame: impossible length %d", size+4)
	}
	if count*eventSize > size {
		return fmt.Errorf("frame: %d records do not fit in %d bytes", count, size)
	}
	if int64(cap(r.body)) < size {
		r.body = make([]byte, size)
	}
	r.body = r.body[:size]
	if _, err := io.ReadFull(r.in, r.body); err != nil {
		return errors.New("frame: input ends within a batch")
	}
	b.Now = time.Duration(binary.LittleEndian.Uint64(head[:]))
	b.Events = b.Events[:0]
	tail := r.body[count*eventSize:]
	for i := int64(0); i < count; i++ {
		e, err := decode(r.body[i*eventSize:(i+1)*eventSize], tail)
		if err != nil {
			return fmt.Errorf("frame: record %d: %w", i, err)
		}
		b.Events = append(b.Events, e)
	}
	return nil
}

// decode reads one event record.
func decode(p, tail []byte) (Event, error) {
	u32 := func(at int) uint32 { return binary.LittleEndian.Uint32(p[at:]) }
	u64 := func(at int) uint64 { return binary.LittleEndian.Uint64(p[at:]) }
	f32 := func(at int) float64 { return float64(math.Float32frombits(u32(at))) }
	e := Event{Code: EventCode(p[0]), InstanceID: u32(1), RequestID: admission.RequestID(u32(5))}
	var known bool
	switch e.Code {
	case EventAttach:
		from, length := uint64(u32(13)), uint64(u32(17))
		if from+length > uint64(len(tail)) {
			return e, errors.New("settings lie outside the tail")
		}
		e.Settings = tail[from : from+length]
	case EventCallFinished, EventRunFinished:
		if e.Outcome, known = outcomes[p[9]]; !known {
			return e, fmt.Errorf("unknown outcome %d", p[9])
		}
		e.Duration = time.Duration(u64(10))
	case EventDrain:
		e.Duration = time.Duration(u64(5))
	case EventTimer:
		e.TimerToken = u32(5)
		n := int(p[9])
		if 10+4*n > len(p) {
			return e, fmt.Errorf("%d gauges do not fit", n)
		}
		for i := 0; i < n; i++ {
			e.Gauges = append(e.Gauges, f32(10+4*i))
		}
	case EventRequest:
		opts := binary.LittleEndian.Uint16(p[34:])
		e.Request = admission.Request{
			ID: e.RequestID, ResourceID: u64(9), QueueingDelay: time.Duration(u64(17)), Class: int(p[25]),
			RemainingTime: time.Duration(u64(26)), IsRetry: opts&optRetry != 0, Tenant: int(u32(36)),
			Caller: int(binary.LittleEndian.Uint16(p[40:])), RetryOf: admission.RequestID(u32(42)),
			SizeKB: f32(46),
		}
		if opts&optHint != 0 {
			e.Request.Work = time.Duration(u64(50))
		}
	case EventDetach, EventCallRequested, EventCancel:
	default:
		return e, fmt.Errorf("unknown event code %d", p[0])
	}
	return e, nil
}

// Reply collects the actions of one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset empties the reply.
func (r *Reply) Reset() { r.records, r.tail, r.count = r.records[:0], r.tail[:0], 0 }

// add appends one record and returns its bytes.
func (r *Reply) add(code byte, instance uint32) []byte {
	var blank [actionSize]byte
	r.records = append(r.records, blank[:]...)
	r.count++
	p := r.records[len(r.records)-actionSize:]
	p[0] = code
	binary.LittleEndian.PutUint32(p[1:], instance)
	return p
}

// Flush writes the reply in one piece.
func (r *Reply) Flush(out io.Writer) error {
	frame := make([]byte, replyHeader, replyHeader+len(r.records)+len(r.tail))
	binary.LittleEndian.PutUint32(frame, r.count)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(r.records)+len(r.tail)))
	frame = append(append(frame, r.records...), r.tail...)
	_, err := out.Write(frame)
	return err
}

// AddException reports that the decision code failed.
func (r *Reply) AddException(instance uint32, text string) { r.text(75, instance, text) }

// text appends a record whose text is in the tail.
func (r *Reply) text(code byte, instance uint32, text string) {
	p := r.add(code, instance)
	binary.LittleEndian.PutUint32(p[5:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(p[9:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Actions writes one instance's actions into a reply; it implements admission.Actions.
type Actions struct {
	Reply      *Reply
	InstanceID uint32
}

func (a *Actions) request(code byte, id admission.RequestID) []byte {
	p := a.Reply.add(code, a.InstanceID)
	binary.LittleEndian.PutUint32(p[5:], uint32(id))
	return p
}

func putTime(p []byte, d time.Duration) { binary.LittleEndian.PutUint64(p, uint64(max(d, 0))) }

func putBool(p []byte, on bool) {
	if on {
		p[0] = 1
	}
}

// Run implements admission.Actions.
func (a *Actions) Run(id admission.RequestID) { a.request(77, id) }

// Refuse implements admission.Actions.
func (a *Actions) Reject(id admission.RequestID, stayAway time.Duration, last bool) {
	p := a.request(72, id)
	putTime(p[9:], stayAway)
	putBool(p[17:], last)
}

// Fail implements admission.Actions.
func (a *Actions) Fail(id admission.RequestID) { a.request(79, id) }

// EventRequest implements admission.Actions.
func (a *Actions) Call(id admission.RequestID, timeout time.Duration) {
	putTime(a.request(71, id)[9:], timeout)
}

// Skip implements admission.Actions.
func (a *Actions) SkipCall(id admission.RequestID) { a.request(66, id) }

// Halt implements admission.Actions.
func (a *Actions) Stop(id admission.RequestID) { a.request(76, id) }

// Keep implements admission.Actions.
func (a *Actions) KeepKey(id admission.RequestID, lifetime time.Duration) {
	putTime(a.request(73, id)[9:], lifetime)
}

// Forget implements admission.Actions.
func (a *Actions) ReleaseKey(id admission.RequestID) { a.request(78, id) }

// Reuse implements admission.Actions.
func (a *Actions) ReplayResult(id admission.RequestID) { a.request(70, id) }

// Say implements admission.Actions.
func (a *Actions) AdvertiseLoad(value float64) {
	p := a.Reply.add(68, a.InstanceID)
	binary.LittleEndian.PutUint32(p[5:], math.Float32bits(float32(value)))
}

// Health implements admission.Actions.
func (a *Actions) SetHealth(good, fromStore bool) {
	p := a.Reply.add(74, a.InstanceID)
	putBool(p[5:], good)
	putBool(p[6:], fromStore)
}

// CloseIdle implements admission.Actions.
func (a *Actions) CloseIdleConnections(idle time.Duration) {
	putTime(a.Reply.add(67, a.InstanceID)[5:], idle)
}

// After implements admission.Actions.
func (a *Actions) SetTimer(wait time.Duration, token uint32) {
	p := a.Reply.add(69, a.InstanceID)
	putTime(p[5:], wait)
	binary.LittleEndian.PutUint32(p[13:], token)
}

// Log implements admission.Actions.
func (a *Actions) Log(line string) { a.Reply.text(65, a.InstanceID, line) }
