// Package replay passes the events of captures to the decision module again, in virtual time. It checks that the module's
// decisions are the recorded ones (Run), explains them (Explain, InspectAt), simulates other settings or another version of the
// module (Simulate), and reduces captures to the relevant part (Cut, Shrink).
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
	Restarts         int           `json:"restarts"` // segments at which it restored the module from the snapshot instead of continuing
	Duration         time.Duration `json:"spanned"`  // on the module's clock
	Skipped          uint64        `json:"skipped"`  // events that are not replayed since the module's state is unknown after damage
	MatchedSnapshots int           `json:"states"`   // snapshots that are equal to the replayed module's state
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

// Difference is a difference between the replayed decisions and the recorded ones.
type Difference struct {
	Segment      string               `json:"segment"`
	RecordNumber uint64               `json:"number"` // number of the event's record within the run of the server
	Event        *capture.Record      `json:"event,omitempty"`
	Recorded     *capture.Record      `json:"recorded,omitempty"` // nil if no further action was recorded
	Replayed     *capture.Record      `json:"replayed,omitempty"` // nil if the module decided on no further action
	StateDiffers bool                 `json:"state,omitempty"`    // the snapshot at the segment's start differs
	StateBefore  admission.Inspection `json:"before"`             // module's state before the event
}

// String returns the segment, the number of the record, the event and both actions, or the segment whose snapshot differs.
func (d *Difference) String() string {
	if d.StateDiffers {
		return fmt.Sprintf("%s: the snapshot at its start differs from the state that the replay reached", d.Segment)
	}
	return fmt.Sprintf("%s: record %d: event %s: recorded %s, replayed %s", d.Segment, d.RecordNumber,
		FormatRecord(d.Event), FormatRecord(d.Recorded), FormatRecord(d.Replayed))
}

// Visitor is a set of functions that Run calls during a replay. Each may be nil. If one returns an error, Run stops and returns
// an error that wraps it, or nil for capture.ErrStop.
type Visitor struct {
	// BeforeEvent is called before the event is passed to the module.
	BeforeEvent func(at capture.Position, event *capture.Record, module *admission.Instance) error
	// AfterEvent is called after the event if the actions that it caused are the recorded ones.
	AfterEvent func(at capture.Position, event *capture.Record, actions []capture.Record, module *admission.Instance) error
	// OnAnnotation is called for each note, which is a record that is neither an event nor an action.
	OnAnnotation func(at capture.Position, annotation *capture.Record) error
}

// errDiffers ends a replay at its first difference.
var errDiffers = errors.New("replay: the decisions differ")

// Run replays the segments in order. It stops at the first difference between the module's actions and the recorded ones, or
// between the module's state and a segment's snapshot. It keeps the module's state from one segment to the next if no record is
// missing between them. Otherwise, and for every segment if fresh is set, it restores the module from the segment's snapshot.
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
	module      *admission.Instance // nil while its state is unknown
	recorder    ActionRecorder
	snapshotBuf []byte // scratch buffer of compareSnapshot

	isComparing bool           // event was delivered, and its actions are being compared
	event       capture.Record // the last delivered event
	eventAt     capture.Position
	compared    int // number of actions of the recorder that were compared
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
	r.isComparing = false // the record of the last event's actions may be incomplete
	return nil
}

// compareSnapshot compares the module's state with the segment's snapshot.
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

// restore restores the module from the segment's snapshot. Without a snapshot, the module is nil.
func (r *replayer) restore(segment *capture.Segment) error {
	r.module, r.isComparing = nil, false
	r.result.Restarts++
	if segment.Snapshot == nil {
		return nil // the snapshot is damaged, and the segment's events are skipped
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
	var recordErr error // kept because ForEach returns nil for capture.ErrStop
	err := segment.ForEach(func(at capture.Position, record *capture.Record) error {
		if at.AfterDamage {
			r.module, r.isComparing = nil, false // the state after missing records is unknown
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

// compareAction compares a recorded action with the module's next action.
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

// finishEvent ends the comparison of an event's actions. It reports a difference if the module decided on more actions than
// were recorded.
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

// reportDifference sets Result.FirstDifference and returns errDiffers. recorded is nil if no further action was recorded.
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

// inspectBeforeEvent replays the segment again up to the event whose actions differ, and returns the module's state before it.
func (r *replayer) inspectBeforeEvent() (state admission.Inspection) {
	rerun := replayer{}
	if rerun.restore(r.eventAt.Segment) != nil || rerun.module == nil {
		return state
	}
	r.eventAt.Segment.ForEach(func(at capture.Position, record *capture.Record) error {
		if at.Number == r.eventAt.Number {
			state = rerun.module.Inspect()
			return capture.ErrStop
		}
		if record.Kind.IsEvent() {
			Deliver(rerun.module, record)
		}
		return nil
	})
	return state
}
