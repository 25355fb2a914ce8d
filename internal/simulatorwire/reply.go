package simulatorwire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"tillerusher/admission"
)

// actionCode is the code of a kind of record in a reply.
type actionCode byte

// The codes of records in replies.
const (
	actionLog                  actionCode = 65
	actionSkipCall             actionCode = 66
	actionCloseIdleConnections actionCode = 67
	actionAdvertiseLoad        actionCode = 68
	actionSetTimer             actionCode = 69
	actionReplayResult         actionCode = 70
	actionCall                 actionCode = 71
	actionReject               actionCode = 72
	actionKeepKey              actionCode = 73
	actionSetHealth            actionCode = 74
	actionException            actionCode = 75
	actionStop                 actionCode = 76
	actionRun                  actionCode = 77
	actionReleaseKey           actionCode = 78
	actionFail                 actionCode = 79
)

// Offsets of the fields in an action's record. The ID of the request is the first field of an action about a request.
const (
	offsetFirstField    = 5 // the first field after the instance
	offsetAfterID       = 9 // the field after the ID of the request
	offsetNoRetry       = 17
	offsetTextLength    = 9
	offsetFromStore     = 6
	offsetSetTimerToken = 13
)

// Offsets of the fields in a reply's header.
const (
	offsetReplyCount  = 0
	offsetReplyLength = 4
)

// Reply collects the actions of one batch.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
}

// Reset removes all records and texts from the reply.
func (r *Reply) Reset() {
	r.records = r.records[:0]
	r.tail = r.tail[:0]
	r.count = 0
}

// add appends a record and returns its bytes, which are valid until the next record is added.
func (r *Reply) add(code actionCode, instance uint32) []byte {
	var blank [actionSize]byte
	r.records = append(r.records, blank[:]...)
	r.count++
	record := r.records[len(r.records)-actionSize:]
	record[offsetCode] = byte(code)
	binary.LittleEndian.PutUint32(record[offsetInstance:], instance)
	return record
}

// addText appends a record and adds its text to the tail.
func (r *Reply) addText(code actionCode, instance uint32, text string) {
	record := r.add(code, instance)
	binary.LittleEndian.PutUint32(record[offsetFirstField:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(record[offsetTextLength:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// AddException adds a record that reports a failure of the instance, such as rejected settings or a panic.
func (r *Reply) AddException(instance uint32, text string) {
	r.addText(actionException, instance, text)
}

// Flush writes the reply with a single call of Write.
func (r *Reply) Flush(out io.Writer) error {
	size := len(r.records) + len(r.tail)
	frame := make([]byte, replyHeaderSize, replyHeaderSize+size)
	binary.LittleEndian.PutUint32(frame[offsetReplyCount:], r.count)
	binary.LittleEndian.PutUint32(frame[offsetReplyLength:], uint32(size))
	frame = append(frame, r.records...)
	frame = append(frame, r.tail...)
	_, err := out.Write(frame)
	return err
}

// Actions adds the actions of one instance to a reply. It implements admission.Actions.
type Actions struct {
	Reply      *Reply
	InstanceID uint32
}

var _ admission.Actions = (*Actions)(nil)

// add appends a record that is not about a request.
func (a *Actions) add(code actionCode) []byte { return a.Reply.add(code, a.InstanceID) }

// addRequest appends a record about a request.
func (a *Actions) addRequest(code actionCode, id admission.RequestID) []byte {
	record := a.add(code)
	binary.LittleEndian.PutUint32(record[offsetFirstField:], uint32(id))
	return record
}

// putDuration writes a duration in nanoseconds. It writes a negative duration as 0.
func putDuration(to []byte, d time.Duration) {
	binary.LittleEndian.PutUint64(to, uint64(max(d, 0)))
}

// putBool writes 1 for true. The byte must be 0 before, which is the value for false.
func putBool(to []byte, value bool) {
	if value {
		to[0] = 1
	}
}

// Run implements admission.Actions.
func (a *Actions) Run(id admission.RequestID) { a.addRequest(actionRun, id) }

// Reject implements admission.Actions.
func (a *Actions) Reject(id admission.RequestID, retryAfter time.Duration, noRetry bool) {
	record := a.addRequest(actionReject, id)
	putDuration(record[offsetAfterID:], retryAfter)
	putBool(record[offsetNoRetry:], noRetry)
}

// Fail implements admission.Actions.
func (a *Actions) Fail(id admission.RequestID) { a.addRequest(actionFail, id) }

// Call implements admission.Actions.
func (a *Actions) Call(id admission.RequestID, timeout time.Duration) {
	record := a.addRequest(actionCall, id)
	putDuration(record[offsetAfterID:], timeout)
}

// SkipCall implements admission.Actions.
func (a *Actions) SkipCall(id admission.RequestID) { a.addRequest(actionSkipCall, id) }

// Stop implements admission.Actions.
func (a *Actions) Stop(id admission.RequestID) { a.addRequest(actionStop, id) }

// KeepKey implements admission.Actions.
func (a *Actions) KeepKey(id admission.RequestID, lifetime time.Duration) {
	record := a.addRequest(actionKeepKey, id)
	putDuration(record[offsetAfterID:], lifetime)
}

// ReleaseKey implements admission.Actions.
func (a *Actions) ReleaseKey(id admission.RequestID) { a.addRequest(actionReleaseKey, id) }

// ReplayResult implements admission.Actions.
func (a *Actions) ReplayResult(id admission.RequestID) { a.addRequest(actionReplayResult, id) }

// AdvertiseLoad implements admission.Actions.
func (a *Actions) AdvertiseLoad(value float64) {
	record := a.add(actionAdvertiseLoad)
	binary.LittleEndian.PutUint32(record[offsetFirstField:], math.Float32bits(float32(value)))
}

// SetHealth implements admission.Actions.
func (a *Actions) SetHealth(healthy, fromStore bool) {
	record := a.add(actionSetHealth)
	putBool(record[offsetFirstField:], healthy)
	putBool(record[offsetFromStore:], fromStore)
}

// CloseIdleConnections implements admission.Actions.
func (a *Actions) CloseIdleConnections(idle time.Duration) {
	record := a.add(actionCloseIdleConnections)
	putDuration(record[offsetFirstField:], idle)
}

// SetTimer implements admission.Actions.
func (a *Actions) SetTimer(wait time.Duration, token uint32) {
	record := a.add(actionSetTimer)
	putDuration(record[offsetFirstField:], wait)
	binary.LittleEndian.PutUint32(record[offsetSetTimerToken:], token)
}

// Log implements admission.Actions.
func (a *Actions) Log(line string) { a.Reply.addText(actionLog, a.InstanceID, line) }
