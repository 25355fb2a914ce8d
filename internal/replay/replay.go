// Package replay feeds captures to the decision module again, in virtual time: to see that it decides the same, to
// explain what it decided, to see what it would have decided, and to cut captures down to what matters.
package replay

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Result is what became of a replay.
type Result struct {
	Segments         int           `json:"segments"`
	Records          uint64        `json:"records"`
	Events           uint64        `json:"events"`
	Actions          uint64        `json:"actions"`
	Requests         uint64        `json:"requests"`
	Rejected         uint64        `json:"refused"`
	Failed           uint64        `json:"failed"`
	Runs             uint64        `json:"runs"`
	Restarts         int           `json:"restarts"` // times that it began from a snapshot instead of going on
	Duration         time.Duration `json:"spanned"`  // of the module's clock, in nanoseconds
	Skipped          uint64        `json:"skipped"`  // events behind damage, which no state precedes
	MatchedSnapshots int           `json:"states"`   // snapshots that were the very state that the replay had come to
	FirstDifference  *Difference   `json:"first,omitempty"`
}

// Difference is where a replay did not decide what was recorded.
type Difference struct {
	Segment      string               `json:"segment"`
	RecordNumber uint64               `json:"number"` // of the event's record within the run
	Event        *capture.Record      `json:"event,omitempty"`
	Recorded     *capture.Record      `json:"recorded,omitempty"` // nil: nothing more was recorded
	Replayed     *capture.Record      `json:"replayed,omitempty"` // nil: nothing more was decided
	StateDiffers bool                 `json:"state,omitempty"`    // the state at the segment's start is another one
	StateBefore  admission.Inspection `json:"before"`             // what the module knew before the event
}

// String names the place and both actions.
func (d *Difference) String() string {
	if d.StateDiffers {
		return fmt.Sprintf("%s: the state at its start is not the one that the replay had come to", d.Segment)
	}
	return fmt.Sprintf("%s: record %d: at %s the record has %s, the replay has %s", d.Segment, d.RecordNumber, FormatRecord(d.Event),
		FormatRecord(d.Recorded), FormatRecord(d.Replayed))
}

// Visitor follows a replay. Before is called with the module as it is before each event, After with the actions
// that the event led to. Nil functions are not called. An error ends the replay.
type Visitor struct {
	BeforeEvent  func(p capture.Position, event *capture.Record, in *admission.Instance) error
	AfterEvent   func(p capture.Position, event *capture.Record, actions []capture.Record, in *admission.Instance) error
	OnAnnotation func(p capture.Position, note *capture.Record) error
}

// errDiffers ends a replay at its first difference.
var errDiffers = errors.New("replay: the decisions differ")

// Run replays the segments in their order. It goes on from one to the next where nothing is missing between them,
// and begins from a segment's own snapshot elsewhere, or at each where fresh is set.
func Run(segments []*capture.Segment, fresh bool, v Visitor) (*Result, error) {
	m := &machine{visitor: v}
	var before *capture.Segment
	for _, s := range segments {
		err := m.segment(s, before, fresh)
		if err == errDiffers || errors.Is(err, capture.ErrStop) {
			return &m.result, nil
		}
		if err != nil {
			return &m.result, fmt.Errorf("%s: %w", s.Path, err)
		}
		before = s
	}
	return &m.result, nil
}

// machine is a replay under way.
type machine struct {
	visitor Visitor
	result  Result
	in      *admission.Instance // nil where no state is known
	sink    ActionRecorder
	event   capture.Record // the last event, whose actions are compared
	at      capture.Position
	open    bool // an event was fed
	next    int  // of the replayed actions, to be compared
	scratch []byte
}

// segment replays one segment.
func (m *machine) segment(s, before *capture.Segment, fresh bool) error {
	m.result.Segments++
	goesOn := m.in != nil && s.IsContinuationOf(before)
	if goesOn && s.Snapshot != nil {
		m.scratch = m.in.Snapshot(m.scratch[:0])
		if !bytes.Equal(m.scratch, s.Snapshot) {
			m.result.FirstDifference = &Difference{Segment: s.Path, RecordNumber: s.Meta.FirstRecord, StateDiffers: true, StateBefore: m.in.Inspect()}
			return errDiffers
		}
		m.result.MatchedSnapshots++
	}
	if !goesOn || fresh {
		if err := m.restore(s); err != nil {
			return err
		}
	}
	last := s.Meta.ModuleTime
	var stopped error // Each ends the segment without an error, and the replay is to end too
	err := s.ForEach(func(p capture.Position, r *capture.Record) error {
		if p.AfterDamage {
			m.in, m.open = nil, false // what is missing may have changed anything
		}
		last = max(last, r.At)
		stopped = m.record(p, r)
		return stopped
	})
	m.result.Duration += last - s.Meta.ModuleTime
	if err == nil {
		err = stopped
	}
	if err != nil {
		return err
	}
	if s.Complete {
		return m.close()
	}
	m.open = false // the last event's actions may not all have been recorded
	return nil
}

// restore takes the state at a segment's start.
func (m *machine) restore(s *capture.Segment) error {
	m.in, m.open = nil, false
	m.result.Restarts++
	if s.Snapshot == nil {
		return nil // damaged: its events are skipped
	}
	in, err := admission.Restore(s.Snapshot, &m.sink)
	if err != nil {
		return err
	}
	m.in = in
	return nil
}

// record takes the next record.
func (m *machine) record(p capture.Position, r *capture.Record) error {
	m.result.Records++
	switch {
	case r.Kind.IsEvent():
		if err := m.close(); err != nil {
			return err
		}
		return m.feed(p, r)
	case r.Kind.IsAction():
		m.result.count(r)
		if !m.open {
			return nil
		}
		if m.next >= len(m.sink.Actions) || m.sink.Actions[m.next] != *r {
			return m.differs(r)
		}
		m.next++
		return nil
	case m.visitor.OnAnnotation != nil:
		return m.visitor.OnAnnotation(p, r)
	}
	return nil
}

// feed tells the module of an event.
func (m *machine) feed(p capture.Position, r *capture.Record) error {
	m.result.Events++
	if r.Kind == capture.KindRequest {
		m.result.Requests++
	}
	if m.in == nil {
		m.result.Skipped++
		return nil
	}
	m.event, m.at, m.open, m.next = *r, p, true, 0
	if m.visitor.BeforeEvent != nil {
		if err := m.visitor.BeforeEvent(p, r, m.in); err != nil {
			return err
		}
	}
	m.sink.begin(r.At)
	Deliver(m.in, r)
	return nil
}

// close ends an event: no action may be left that was not recorded.
func (m *machine) close() error {
	if !m.open {
		return nil
	}
	m.open = false
	if m.next < len(m.sink.Actions) {
		return m.differs(nil)
	}
	if m.visitor.AfterEvent != nil {
		return m.visitor.AfterEvent(m.at, &m.event, m.sink.Actions, m.in)
	}
	return nil
}

// differs notes the first difference.
func (m *machine) differs(recorded *capture.Record) error {
	event := m.event
	d := &Difference{Segment: m.at.Segment.Path, RecordNumber: m.at.Number, Event: &event}
	if recorded != nil {
		r := *recorded
		d.Recorded = &r
	}
	if m.next < len(m.sink.Actions) {
		a := m.sink.Actions[m.next]
		d.Replayed = &a
	}
	d.StateBefore = m.stateBefore()
	m.result.FirstDifference = d
	return errDiffers
}

// stateBefore replays the segment once more up to the event that differs.
func (m *machine) stateBefore() (known admission.Inspection) {
	again := machine{}
	if again.restore(m.at.Segment) != nil || again.in == nil {
		return known
	}
	stop := m.at.Number
	m.at.Segment.ForEach(func(p capture.Position, r *capture.Record) error {
		if p.Number == stop {
			known = again.in.Inspect()
			return capture.ErrStop
		}
		if r.Kind.IsEvent() {
			Deliver(again.in, r)
		}
		return nil
	})
	return known
}

// count adds what an action did.
func (r *Result) count(a *capture.Record) {
	r.Actions++
	switch a.Kind {
	case capture.KindRun:
		r.Runs++
	case capture.KindReject:
		r.Rejected++
	case capture.KindFail:
		r.Failed++
	}
}

// Deliver tells a module of a recorded event.
func Deliver(m admission.Events, r *capture.Record) {
	switch r.Kind {
	case capture.KindRequest:
		m.Request(r.At, r.Request)
	case capture.KindCancel:
		m.Cancel(r.At, r.ID)
	case capture.KindRunFinished:
		m.RunFinished(r.At, r.ID, r.Outcome)
	case capture.KindCallRequested:
		m.CallRequested(r.At, r.ID)
	case capture.KindCallFinished:
		m.CallFinished(r.At, r.ID, r.Outcome, r.Duration)
	case capture.KindDrain:
		m.Drain(r.At, r.Duration)
	case capture.KindTimer:
		m.Timer(r.At, r.Token, r.Gauges)
	case capture.KindSettle:
		m.Settle(r.At)
	}
}
