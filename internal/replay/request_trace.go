package replay

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrNotInCapture is returned if a capture does not contain the request or the time that the caller asks for.
var ErrNotInCapture = errors.New("replay: not in the capture")

// Step is one event of, or action on, a request.
type Step struct {
	At       time.Duration `json:"at"`
	UnixTime time.Time     `json:"unix"`
	Text     string        `json:"text"`
}

// RequestTrace is the history of one attempt, with the module's state when it decided on the attempt. Times are those of the
// module's clock unless their names say Unix.
type RequestTrace struct {
	ID                admission.RequestID        `json:"id"`
	WireID            string                     `json:"request_id,omitempty"`
	Key               string                     `json:"key,omitempty"`
	Class             string                     `json:"class"`
	Tenant            string                     `json:"tenant,omitempty"`
	Request           admission.Request          `json:"asked"`
	ReadAt            time.Duration              `json:"at"`
	UnixTime          time.Time                  `json:"unix"`               // wall clock when it was read
	AdmissionCheck    *admission.AdmissionCheck  `json:"weighing,omitempty"` // nil if the module's state is unknown
	StateOnRead       *admission.Inspection      `json:"known,omitempty"`
	Steps             []Step                     `json:"steps"`
	Status            EndStatus                  `json:"ending"`
	EndAt             time.Duration              `json:"end_at"`
	EndedOnRead       bool                       `json:"on_read"`             // the event of its arrival ended it
	DecisionAtEnd     *admission.RequestDecision `json:"judged,omitempty"`    // set only if a later event ended it
	StateAtEnd        *admission.Inspection      `json:"end_known,omitempty"` // set only if a later event ended it
	Lateness          time.Duration              `json:"late,omitempty"`      // how long after its latency objective it was served
	ObjectiveDeadline time.Duration              `json:"aim_at,omitempty"`

	hasEnded  bool
	readEvent eventRef
	endEvent  eventRef
}

// eventRef identifies the record of an event.
type eventRef struct {
	segment *capture.Segment
	number  uint64
}

// requestRef identifies a request in a capture that may be of several runs of the server.
type requestRef struct {
	run string
	id  admission.RequestID
}

// Explain returns the traces of all attempts that have name as their Request-Id or idempotency key, or if name is #NUMBER, of
// the requests with the module's number. It returns an error that wraps ErrNotInCapture if there are none.
func Explain(segments []*capture.Segment, name string) ([]*RequestTrace, error) {
	collector := traceCollector{name: name, byRequest: map[requestRef]*RequestTrace{}}
	if text, ok := strings.CutPrefix(name, "#"); ok {
		if _, err := fmt.Sscanf(text, "%d", &collector.number); err != nil {
			return nil, fmt.Errorf("replay: %q is not the number of a request", name)
		}
	}
	for _, s := range segments {
		if err := collector.collect(s); err != nil {
			return nil, err
		}
	}
	if len(collector.traces) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotInCapture, name)
	}
	return collector.traces, addDecisions(segments, collector.traces)
}

// traceCollector builds the traces of the matching requests from a capture's records.
type traceCollector struct {
	name   string              // Request-Id or idempotency key
	number admission.RequestID // 0 if requests are not selected by number

	traces    []*RequestTrace
	byRequest map[requestRef]*RequestTrace
	event     eventRef // the last event, whose actions follow
}

// collect adds the records of a segment to the traces.
func (c *traceCollector) collect(segment *capture.Segment) error {
	names := map[admission.RequestID]capture.Record{} // names of matching requests whose arrival follows
	return segment.ForEach(func(at capture.Position, record *capture.Record) error {
		if record.Kind.IsEvent() {
			c.event = eventRef{segment, at.Number}
		}
		switch record.Kind {
		case capture.KindRequestNames:
			if c.matches(record) {
				names[record.ID] = *record
			}
			return nil
		case capture.KindRequest:
			name, isNamed := names[record.ID]
			if record.ID == c.number || isNamed {
				c.begin(segment, record, name)
				return nil
			}
		case capture.KindSettle, capture.KindTimer:
			return nil
		}
		if trace := c.byRequest[requestRef{segment.Meta.Run, record.ID}]; trace != nil && record.ID != 0 {
			trace.addStep(segment, record, c.event)
		}
		return nil
	})
}

// matches reports whether names has the wanted Request-Id, idempotency key or number.
func (c *traceCollector) matches(names *capture.Record) bool {
	return strings.EqualFold(names.Text, c.name) || names.Key != "" && strings.EqualFold(names.Key, c.name) || names.ID == c.number
}

// begin starts a trace with the event of a request's arrival. name is the record of the request's names, or the zero Record.
func (c *traceCollector) begin(segment *capture.Segment, event *capture.Record, name capture.Record) {
	trace := &RequestTrace{
		ID:        event.ID,
		WireID:    name.Text,
		Key:       name.Key,
		Class:     nameOf(segment.Meta.Classes, event.Request.Class),
		Tenant:    nameOf(segment.Meta.Tenants, event.Request.Tenant),
		Request:   event.Request,
		ReadAt:    event.At,
		UnixTime:  segment.UnixTime(event.At),
		Status:    StatusOpen,
		readEvent: c.event,
	}
	c.traces = append(c.traces, trace)
	c.byRequest[requestRef{segment.Meta.Run, event.ID}] = trace
}

// addStep adds a record of the request to its trace. event is the event that the record is or belongs to.
func (t *RequestTrace) addStep(segment *capture.Segment, record *capture.Record, event eventRef) {
	t.Steps = append(t.Steps, Step{record.At, segment.UnixTime(record.At), stepText(record)})
	if t.hasEnded {
		return
	}
	t.Status, t.hasEnded = statusAfter(t.Status, record)
	if t.hasEnded {
		t.EndAt = record.At
		t.endEvent = event
		t.EndedOnRead = event == t.readEvent
	}
}

// addDecisions replays the capture and adds the module's state when it decided on the requests to their traces.
func addDecisions(segments []*capture.Segment, traces []*RequestTrace) error {
	readBy, endedBy := map[eventRef][]*RequestTrace{}, map[eventRef][]*RequestTrace{}
	for _, t := range traces {
		readBy[t.readEvent] = append(readBy[t.readEvent], t)
		if t.hasEnded && !t.EndedOnRead {
			endedBy[t.endEvent] = append(endedBy[t.endEvent], t)
		}
	}
	inspect := func(at capture.Position, event *capture.Record, module *admission.Instance) error {
		ref := eventRef{at.Segment, at.Number}
		for _, t := range readBy[ref] {
			t.inspectOnRead(event.At, module)
		}
		for _, t := range endedBy[ref] {
			t.inspectAtEnd(event.At, module)
		}
		return nil
	}
	_, err := Run(segments, false, Visitor{BeforeEvent: inspect})
	for _, t := range traces {
		wasServed := t.hasEnded && (t.Status == StatusServed || t.Status == StatusReplayed)
		if wasServed && t.ObjectiveDeadline > 0 {
			t.Lateness = max(t.EndAt-t.ObjectiveDeadline, 0)
		}
	}
	return err
}

// inspectOnRead stores the module's state before the event of the request's arrival, and the admission check.
func (t *RequestTrace) inspectOnRead(now time.Duration, module *admission.Instance) {
	check, state := module.CheckAdmission(now, t.Request), module.Inspect()
	t.AdmissionCheck, t.StateOnRead = &check, &state
	t.ObjectiveDeadline = check.ObjectiveDeadline
}

// inspectAtEnd stores the module's state before the event that ended the request, and the decision on the request if the
// module still has it.
func (t *RequestTrace) inspectAtEnd(now time.Duration, module *admission.Instance) {
	state := module.Inspect()
	t.StateAtEnd = &state
	if decision, ok := module.InspectRequest(now, t.ID); ok {
		t.DecisionAtEnd, t.ObjectiveDeadline = &decision, decision.ObjectiveDeadline
	}
}
