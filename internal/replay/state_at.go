package replay

import (
	"fmt"
	"slices"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// StateAt is the module's state at a time, with its decisions around that time.
type StateAt struct {
	At        time.Duration         `json:"at"`
	UnixTime  time.Time             `json:"unix"`
	State     admission.Inspection  `json:"known"`
	Queued    []admission.RequestID `json:"held"`
	Running   []admission.RequestID `json:"on_cores"`
	Decisions []Decision            `json:"near"`
}

// Decision is an answer to a request or the start of its run.
type Decision struct {
	At     time.Duration       `json:"at"`
	ID     admission.RequestID `json:"id"`
	WireID string              `json:"request_id,omitempty"`
	Text   string              `json:"text"`
}

// maxDecisions is the maximum number of StateAt.Decisions.
const maxDecisions = 200

// InspectAt returns the module's state before the first event at or after a time of its clock, and the first maxDecisions
// decisions from span before that time to span after it. All segments must be of one run of the server. InspectAt returns an
// error that wraps ErrNotInCapture if there is no such event.
func InspectAt(segments []*capture.Segment, at, span time.Duration) (*StateAt, error) {
	inspection := inspector{at: at, span: span, wireIDs: map[admission.RequestID]string{}}
	_, err := Run(segments, false, Visitor{
		OnAnnotation: inspection.onAnnotation,
		BeforeEvent:  inspection.beforeEvent,
		AfterEvent:   inspection.afterEvent,
	})
	if err != nil {
		return nil, err
	}
	if inspection.found == nil {
		return nil, fmt.Errorf("%w: the time %v of the module's clock", ErrNotInCapture, at)
	}
	inspection.found.Decisions = inspection.decisions
	return inspection.found, nil
}

// inspector has the functions of InspectAt's Visitor and their state.
type inspector struct {
	at, span  time.Duration
	found     *StateAt
	decisions []Decision
	wireIDs   map[admission.RequestID]string
}

func (i *inspector) onAnnotation(_ capture.Position, r *capture.Record) error {
	if r.Kind == capture.KindRequestNames {
		i.wireIDs[r.ID] = r.Text
	}
	return nil
}

func (i *inspector) beforeEvent(at capture.Position, event *capture.Record, module *admission.Instance) error {
	if i.found == nil && event.At >= i.at {
		i.found = &StateAt{At: event.At, UnixTime: at.Segment.UnixTime(event.At), State: module.Inspect()}
		i.found.Queued, i.found.Running = module.Queue()
	}
	return nil
}

func (i *inspector) afterEvent(_ capture.Position, event *capture.Record, actions []capture.Record, _ *admission.Instance) error {
	if event.At > i.at+i.span {
		return capture.ErrStop
	}
	for n := range actions {
		a := &actions[n]
		if a.At >= i.at-i.span && isDecision(a.Kind) && len(i.decisions) < maxDecisions {
			i.decisions = append(i.decisions, Decision{a.At, a.ID, i.wireIDs[a.ID], stepText(a)})
		}
	}
	return nil
}

// isDecision reports whether an action decides on a request.
func isDecision(k capture.Kind) bool {
	switch k {
	case capture.KindRun, capture.KindReject, capture.KindFail, capture.KindReplayResult:
		return true
	}
	return false
}

// Locate returns the segments of the run of the server that was active at a wall clock time, and that time converted to the
// module's clock. It returns an error that wraps ErrNotInCapture if the time is before the first segment.
func Locate(segments []*capture.Segment, unix time.Time) ([]*capture.Segment, time.Duration, error) {
	for _, s := range slices.Backward(segments) {
		if !unix.Before(s.Meta.UnixTime) {
			return SegmentsOfRun(segments, s.Meta.Run), s.ModuleTime(unix), nil
		}
	}
	return nil, 0, fmt.Errorf("%w: %v is before its first segment", ErrNotInCapture, unix.UTC().Format(time.RFC3339))
}

// SegmentsOfRun returns the segments of one run of the server. An empty run is the run of the last segment.
func SegmentsOfRun(segments []*capture.Segment, run string) []*capture.Segment {
	if run == "" && len(segments) > 0 {
		run = segments[len(segments)-1].Meta.Run
	}
	var ofRun []*capture.Segment
	for _, s := range segments {
		if s.Meta.Run == run {
			ofRun = append(ofRun, s)
		}
	}
	return ofRun
}
