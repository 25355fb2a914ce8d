package simulatorwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"tillerusher/admission"
)

// EventCode is the code of a kind of event.
type EventCode uint8

// The codes of events.
const (
	EventAttach        EventCode = 1 // an instance starts; carries its settings
	EventCallFinished  EventCode = 2 // a downstream call ended
	EventDetach        EventCode = 3 // the instance's process died
	EventDrain         EventCode = 4 // the process will be stopped after the duration
	EventRunFinished   EventCode = 5 // a run or a replay ended
	EventCallRequested EventCode = 6 // a run waits for a decision on a downstream call
	EventTimer         EventCode = 7 // a timer fired; carries the gauges
	EventRequest       EventCode = 8 // a request was read
	EventCancel        EventCode = 9 // a request's caller no longer waits
)

// Flag bits of a request.
const (
	flagHasWork = 1 << 0
	flagIsRetry = 1 << 1
)

// Offsets of the fields in an event's record. The fields after the instance depend on the kind of event.
const (
	offsetCode     = 0
	offsetInstance = 1
	offsetID       = 5

	offsetSettingsFrom   = 13
	offsetSettingsLength = 17

	offsetOutcome  = 9
	offsetTook     = 10
	offsetTimeLeft = 5

	offsetTimerToken = 5
	offsetGaugeCount = 9
	offsetGauges     = 10
	gaugeSize        = 4

	offsetResource      = 9
	offsetQueueingDelay = 17
	offsetClass         = 25
	offsetRemainingTime = 26
	offsetFlags         = 34
	offsetTenant        = 36
	offsetCaller        = 40
	offsetRetryOf       = 42
	offsetSizeKB        = 46
	offsetWork          = 50
)

// outcomes maps the outcome codes of the protocol to outcomes.
var outcomes = map[byte]admission.Outcome{
	0:   admission.OK,
	255: admission.Failed,
	254: admission.Rejected,
	253: admission.TimedOut,
	252: admission.Unreachable,
	251: admission.Reset,
	250: admission.Cancelled,
	249: admission.NotStarted,
}

// errSettingsOutside is the error for an attach event whose settings extend past the end of the batch.
var errSettingsOutside = errors.New("settings extend outside the tail of the batch")

// Event is a decoded event. The code determines which fields are set.
type Event struct {
	Code       EventCode
	InstanceID uint32
	RequestID  admission.RequestID
	TimerToken uint32
	Duration   time.Duration // how long a run or call took, or the time until the process is stopped
	Outcome    admission.Outcome
	Request    admission.Request
	Gauges     []float64
	Settings   []byte // valid until the next batch is read
}

// eventRecord is the encoded record of one event.
type eventRecord []byte

func (r eventRecord) uint16(offset int) uint16 { return binary.LittleEndian.Uint16(r[offset:]) }

func (r eventRecord) uint32(offset int) uint32 { return binary.LittleEndian.Uint32(r[offset:]) }

func (r eventRecord) uint64(offset int) uint64 { return binary.LittleEndian.Uint64(r[offset:]) }

func (r eventRecord) float32(offset int) float64 {
	return float64(math.Float32frombits(r.uint32(offset)))
}

func (r eventRecord) duration(offset int) time.Duration { return time.Duration(r.uint64(offset)) }

// decodeEvent decodes one event. tail is the tail of its batch, which holds the settings of attach events.
func decodeEvent(record eventRecord, tail []byte) (Event, error) {
	event := Event{
		Code:       EventCode(record[offsetCode]),
		InstanceID: record.uint32(offsetInstance),
		RequestID:  admission.RequestID(record.uint32(offsetID)),
	}
	var err error
	switch event.Code {
	case EventAttach:
		event.Settings, err = record.settings(tail)
	case EventCallFinished, EventRunFinished:
		event.Outcome, err = record.outcome()
		event.Duration = record.duration(offsetTook)
	case EventDrain:
		event.Duration = record.duration(offsetTimeLeft)
	case EventTimer:
		event.TimerToken = record.uint32(offsetTimerToken)
		event.Gauges, err = record.gauges()
	case EventRequest:
		event.Request = record.request(event.RequestID)
	case EventDetach, EventCallRequested, EventCancel:
	default:
		err = fmt.Errorf("unknown event code %d", record[offsetCode])
	}
	return event, err
}

// settings returns the part of the tail that an attach event refers to.
func (r eventRecord) settings(tail []byte) ([]byte, error) {
	from := uint64(r.uint32(offsetSettingsFrom))
	length := uint64(r.uint32(offsetSettingsLength))
	if from+length > uint64(len(tail)) {
		return nil, errSettingsOutside
	}
	return tail[from : from+length], nil
}

// outcome returns the outcome of a run or call.
func (r eventRecord) outcome() (admission.Outcome, error) {
	outcome, isKnown := outcomes[r[offsetOutcome]]
	if !isKnown {
		return outcome, fmt.Errorf("unknown outcome code %d", r[offsetOutcome])
	}
	return outcome, nil
}

// gauges returns the gauge readings of a timer event.
func (r eventRecord) gauges() ([]float64, error) {
	count := int(r[offsetGaugeCount])
	if offsetGauges+gaugeSize*count > len(r) {
		return nil, fmt.Errorf("%d gauges do not fit in the record", count)
	}
	var gauges []float64
	for i := range count {
		gauges = append(gauges, r.float32(offsetGauges+gaugeSize*i))
	}
	return gauges, nil
}

// request returns the request of a request event.
func (r eventRecord) request(id admission.RequestID) admission.Request {
	flags := r.uint16(offsetFlags)
	request := admission.Request{
		ID:            id,
		Class:         int(r[offsetClass]),
		Tenant:        int(r.uint32(offsetTenant)),
		Caller:        int(r.uint16(offsetCaller)),
		ResourceID:    r.uint64(offsetResource),
		QueueingDelay: r.duration(offsetQueueingDelay),
		RemainingTime: r.duration(offsetRemainingTime),
		IsRetry:       flags&flagIsRetry != 0,
		RetryOf:       admission.RequestID(r.uint32(offsetRetryOf)),
		SizeKB:        r.float32(offsetSizeKB),
	}
	if flags&flagHasWork != 0 {
		request.Work = r.duration(offsetWork)
	}
	return request
}
