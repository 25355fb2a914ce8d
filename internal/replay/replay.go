// Package replay feeds captures to the decision module again, in virtual time: to check that its decisions are the same
// (Run), to explain them (Explain, InspectAt), to simulate other settings or another version (Simulate), and to reduce
// captures to the relevant part (Cut, Shrink).
package replay

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Result is the outcome of a replay.
type Result struct {
	Segments         int           `json:"segments"`
	Records          uint64        `json:"records"`
	Events           uint64        `json:"events"`
	Actions          uint64        `json:"actions"`
	Requests         uint64        `json:"requests"`
	Rejected         uint64        `json:"refused"`
	Failed           uint64        `json:"failed"`
	Runs             uint64        `json:"runs"`
	Restarts         int           `json:"restarts"` // times that it began from a snapshot instead of continuing
	Duration         time.Duration `json:"spanned"`  // by the module's clock
	Skipped          uint64        `json:"skipped"`  // events behind damage, before which the module's state is unknown
	MatchedSnapshots int           `json:"states"`   // snapshots that were equal to the state that the replay had reached
	FirstDifference  *Difference   `json:"first,omitempty"`
}

// countAction counts a recorded action.
func (r *Result) countAction(action *capture.Record) {
	r.Actions++
	switch action.Kind {
	case capture.KindRun:
		r.Runs++
	case capture.KindReject:
		r.Rejected++
	case capture.KindFail:
		r.Failed++
	}
}

// Difference is a record at which the replayed decisions differ from the recorded ones.
type Difference struct {
	Segment      string               `json:"segment"`
	RecordNumber uint64               `json:"number"` // of the event's record, within the run of the server
	Event        *capture.Record      `json:"event,omitempty"`
	Recorded     *capture.Record      `json:"recorded,omitempty"` // nil: no further action was recorded
	Replayed     *capture.Record      `json:"replayed,omitempty"` // nil: no further action was decided
	StateDiffers bool                 `json:"state,omitempty"`    // the difference is in the snapshot at the segment's start
	StateBefore  admission.Inspection `json:"before"`             // before the event
}

// String names the place and both actions.
func (d *Difference) String() string {
	if d.StateDiffers {
		return fmt.Sprintf("%s: the state at its start is not the one that the replay had come to", d.Segment)
	}
	return fmt.Sprintf("%s: record %d: at %s the record has %s, the replay has %s", d.Segment, d.RecordNumber,
		FormatRecord(d.Event), FormatRecord(d.Recorded), FormatRecord(d.Replayed))
}

// Visitor follows a replay. Its functions may be nil. An error that one returns ends the replay, capture.ErrStop without an
// error of Run.
type Visitor struct {
	// BeforeEvent is called with the module in its state before the event.
	BeforeEvent func(at capture.Position, event *capture.Record, module *admission.Instance) error
	// AfterEvent is called with the actions that the event caused, if they are the recorded ones.
	AfterEvent func(at capture.Position, event *capture.Record, actions []capture.Record, module *admission.Instance) error
	// OnAnnotation is called with records that are neither events nor actions.
	OnAnnotation func(at capture.Position, annotation *capture.Record) error
}

// errDiffers ends a replay at its first difference.
var errDiffers = errors.New("replay: the decisions differ")

// Run replays the segments in order. It keeps the module's state from one segment to the next where no record is missing
// between them. Elsewhere, and at every segment if fresh is set, it begins from the segment's snapshot.
func Run(segments []*capture.Segment, fresh bool, visitor Visitor) (*Result, error) {
	replay := &replayer{visitor: visitor}
	var previous *capture.Segment
	for _, segment := range segments {
		err := replay.replaySegment(segment, previous, fresh)
		if errors.Is(err, errDiffers) || errors.Is(err, capture.ErrStop) {
			return &replay.result, nil
		}
		if err != nil {
			return &replay.result, fmt.Errorf("%s: %w", segment.Path, err)
		}
		previous = segment
	}
	return &replay.result, nil
}

// replayer is the state of Run.
type replayer struct {
	visitor     Visitor
	result      Result
	module      *admission.Instance // nil where its state is not known
	recorder    ActionRecorder
	snapshotBuf []byte // scratch buffer of compareSnapshot

	isComparing bool           // an event was delivered, whose actions are being compared
	event       capture.Record // that event
	eventAt     capture.Position
	compared    int // actions of the recorder that were compared
}

// replaySegment replays one segment.
func (r *replayer) replaySegment(segment, previous *capture.Segment, fresh bool) error {
	r.result.Segments++
	continues := r.module != nil && segment.IsContinuationOf(previous)
	if continues && segment.Snapshot != nil {
		if err := r.compareSnapshot(segment); err != nil {
			return err
		}
	}
	if !continues || fresh {
		if err := r.restore(segment); err != nil {
			return err
		}
	}
	if err := r.replayRecords(segment); err != nil {
		return err
	}
	if segment.Complete {
		return r.finishEvent()
	}
	r.isComparing = false // the last event's actions may not all have been recorded
	return nil
}

// compareSnapshot compares the state that the replay has reached with the segment's snapshot.
func (r *replayer) compareSnapshot(segment *capture.Segment) error {
	r.snapshotBuf = r.module.Snapshot(r.snapshotBuf[:0])
	if !bytes.Equal(r.snapshotBuf, segment.Snapshot) {
		r.result.FirstDifference = &Difference{Segment: segment.Path, RecordNumber: segment.Meta.FirstRecord, StateDiffers: true,
			StateBefore: r.module.Inspect()}
		return errDiffers
	}
	r.result.MatchedSnapshots++
	return nil
}

// restore sets the module's state to the segment's snapshot.
func (r *replayer) restore(segment *capture.Segment) error {
	r.module, r.isComparing = nil, false
	r.result.Restarts++
	if segment.Snapshot == nil {
		return nil // it is damaged, and the segment's events are skipped
	}
	module, err := admission.Restore(segment.Snapshot, &r.recorder)
	if err != nil {
		return err
	}
	r.module = module
	return nil
}

// replayRecords replays the records of a segment.
func (r *replayer) replayRecords(segment *capture.Segment) error {
	last := segment.Meta.ModuleTime
	var recordErr error // kept, since ForEach returns nil where it is stopped by capture.ErrStop
	err := segment.ForEach(func(at capture.Position, record *capture.Record) error {
		if at.AfterDamage {
			r.module, r.isComparing = nil, false // the state behind missing records is unknown
		}
		last = max(last, record.At)
		recordErr = r.replayRecord(at, record)
		return recordErr
	})
	r.result.Duration += last - segment.Meta.ModuleTime
	if err != nil {
		return err
	}
	return recordErr
}

// replayRecord replays the next record.
func (r *replayer) replayRecord(at capture.Position, record *capture.Record) error {
	r.result.Records++
	switch {
	case record.Kind.IsEvent():
		if err := r.finishEvent(); err != nil {
			return err
		}
		return r.deliverEvent(at, record)
	case record.Kind.IsAction():
		r.result.countAction(record)
		return r.compareAction(record)
	case r.visitor.OnAnnotation != nil:
		return r.visitor.OnAnnotation(at, record)
	}
	return nil
}

// deliverEvent passes an event to the module.
func (r *replayer) deliverEvent(at capture.Position, event *capture.Record) error {
	r.result.Events++
	if event.Kind == capture.KindRequest {
		r.result.Requests++
	}
	if r.module == nil {
		r.result.Skipped++
		return nil
	}
	r.event, r.eventAt = *event, at
	r.isComparing, r.compared = true, 0
	if r.visitor.BeforeEvent != nil {
		if err := r.visitor.BeforeEvent(at, event, r.module); err != nil {
			return err
		}
	}
	r.recorder.reset(event.At)
	Deliver(r.module, event)
	return nil
}

// compareAction compares a recorded action with the next one that the module decided.
func (r *replayer) compareAction(recorded *capture.Record) error {
	if !r.isComparing {
		return nil
	}
	if r.compared >= len(r.recorder.Actions) || r.recorder.Actions[r.compared] != *recorded {
		return r.reportDifference(recorded)
	}
	r.compared++
	return nil
}

// finishEvent ends an event: the module may not have decided more actions than were recorded.
func (r *replayer) finishEvent() error {
	if !r.isComparing {
		return nil
	}
	r.isComparing = false
	if r.compared < len(r.recorder.Actions) {
		return r.reportDifference(nil)
	}
	if r.visitor.AfterEvent != nil {
		return r.visitor.AfterEvent(r.eventAt, &r.event, r.recorder.Actions, r.module)
	}
	return nil
}

// reportDifference sets the result's difference. recorded is nil where no further action was recorded.
func (r *replayer) reportDifference(recorded *capture.Record) error {
	event := r.event
	difference := &Difference{Segment: r.eventAt.Segment.Path, RecordNumber: r.eventAt.Number, Event: &event}
	if recorded != nil {
		copied := *recorded
		difference.Recorded = &copied
	}
	if r.compared < len(r.recorder.Actions) {
		replayed := r.recorder.Actions[r.compared]
		difference.Replayed = &replayed
	}
	difference.StateBefore = r.inspectBeforeEvent()
	r.result.FirstDifference = difference
	return errDiffers
}

// inspectBeforeEvent replays the segment again, up to the event that differs, and returns the module's state there.
func (r *replayer) inspectBeforeEvent() (state admission.Inspection) {
	second := replayer{}
	if second.restore(r.eventAt.Segment) != nil || second.module == nil {
		return state
	}
	r.eventAt.Segment.ForEach(func(at capture.Position, record *capture.Record) error {
		if at.Number == r.eventAt.Number {
			state = second.module.Inspect()
			return capture.ErrStop
		}
		if record.Kind.IsEvent() {
			Deliver(second.module, record)
		}
		return nil
	})
	return state
}
