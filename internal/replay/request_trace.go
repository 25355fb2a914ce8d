package replay

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Status says how a request ended.
type EndStatus string

// The endings.
const (
	StatusOpen      EndStatus = "open"    // no answer is in the capture
	StatusServed    EndStatus = "served"  // by its own run
	StatusReplayed  EndStatus = "reused"  // by the run of another try
	StatusRejected  EndStatus = "refused" //
	StatusFailed    EndStatus = "failed"  //
	StatusCancelled EndStatus = "left"    // its caller went away
	StatusErrored   EndStatus = "errored" // its run ended without a result
)

// Step is one thing that happened to a request.
type Step struct {
	At   time.Duration `json:"at"`
	Unix time.Time     `json:"unix"`
	Text string        `json:"text"`
}

// RequestTrace is what became of one try, and what the module knew when it decided.
type RequestTrace struct {
	ID                admission.RequestID       `json:"id"`
	WireID            string                    `json:"request_id,omitempty"`
	Key               string                    `json:"key,omitempty"`
	Class             string                    `json:"class"`
	Tenant            string                    `json:"tenant,omitempty"`
	Request           admission.Request         `json:"asked"`
	ReadAt            time.Duration             `json:"at"` // read, by the module's clock
	Unix              time.Time                 `json:"unix"`
	AdmissionCheck    *admission.AdmissionCheck `json:"weighing,omitempty"` // nil where no state is known
	StateOnRead       *admission.Inspection     `json:"known,omitempty"`    // when it was read
	Steps             []Step                    `json:"steps"`
	Status            EndStatus                 `json:"ending"`
	EndAt             time.Duration             `json:"end_at"`
	EndedOnRead       bool                      `json:"on_read"`          // it ended as it was read
	DecisionAtEnd     *admission.QueueDecision  `json:"judged,omitempty"` // how it looked when it was answered later
	StateAtEnd        *admission.Inspection     `json:"end_known,omitempty"`
	Lateness          time.Duration             `json:"late,omitempty"`   // served so much after its aim
	ObjectiveDeadline time.Duration             `json:"aim_at,omitempty"` // when an answer stopped earning its full worth
	answered          bool
	endMark           mark
	readMark          mark
}

// mark is the place of an event.
type mark struct {
	segment *capture.Segment
	number  uint64
}

// owner names a request over several starts of the server.
type owner struct {
	run string
	id  admission.RequestID
}

// ErrNotInCapture says that a capture has nothing of what was asked for.
var ErrNotInCapture = fmt.Errorf("replay: not in the capture")

// Explain tells the stories of all tries with the Request-Id or the key, or of the one with the module's number
// where it is written as #N.
func Explain(segments []*capture.Segment, name string) ([]*RequestTrace, error) {
	var stories []*RequestTrace
	byOwner := map[owner]*RequestTrace{}
	number := admission.RequestID(0)
	if text, ok := strings.CutPrefix(name, "#"); ok {
		if _, err := fmt.Sscanf(text, "%d", &number); err != nil {
			return nil, fmt.Errorf("replay: %q is no number of a request", name)
		}
	}
	var event mark // of the event whose actions follow
	for _, s := range segments {
		names := map[admission.RequestID]capture.Record{}
		err := s.ForEach(func(p capture.Position, r *capture.Record) error {
			if r.Kind.IsEvent() {
				event = mark{s, p.Number}
			}
			if r.Kind == capture.KindRequestNames {
				if strings.EqualFold(r.Text, name) || r.Key != "" && strings.EqualFold(r.Key, name) || r.ID == number {
					names[r.ID] = *r
				}
				return nil
			}
			if r.Kind == capture.KindRequest && (r.ID == number || names[r.ID].Kind != 0) {
				n := names[r.ID]
				story := &RequestTrace{ID: r.ID, WireID: n.Text, Key: n.Key, Class: nameOf(s.Meta.Classes, r.Request.Class),
					Tenant: nameOf(s.Meta.Tenants, r.Request.Tenant), Request: r.Request, ReadAt: r.At, Unix: s.UnixTime(r.At), Status: StatusOpen,
					readMark: event}
				stories = append(stories, story)
				byOwner[owner{s.Meta.Run, r.ID}] = story
				return nil
			}
			if r.Kind == capture.KindSettle || r.Kind == capture.KindTimer || r.ID == 0 {
				return nil
			}
			if story := byOwner[owner{s.Meta.Run, r.ID}]; story != nil {
				story.step(s, r, event)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	if len(stories) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotInCapture, name)
	}
	return stories, look(segments, stories)
}

// nameOf is the name of a number, or the number.
func nameOf(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	if len(names) == 0 {
		return ""
	}
	return fmt.Sprint(i)
}

// step takes in what happened to the request.
func (s *RequestTrace) step(segment *capture.Segment, r *capture.Record, event mark) {
	s.Steps = append(s.Steps, Step{r.At, segment.UnixTime(r.At), stepText(r)})
	if s.answered {
		return
	}
	if s.Status, s.answered = ending(s.Status, r); s.answered {
		s.EndAt, s.endMark, s.EndedOnRead = r.At, event, event == s.readMark
	}
}

// ending is how a try that has not ended stands after a record of it, and whether that is its end.
func ending(now EndStatus, r *capture.Record) (e EndStatus, ended bool) {
	switch r.Kind {
	case capture.KindReject:
		return StatusRejected, true
	case capture.KindFail:
		return StatusFailed, true
	case capture.KindCancel:
		return StatusCancelled, true
	case capture.KindReplayResult:
		return StatusReplayed, false
	case capture.KindRunFinished:
		switch {
		case r.Outcome != admission.OK:
			return StatusErrored, true
		case now == StatusReplayed:
			return StatusReplayed, true
		}
		return StatusServed, true
	}
	return now, false
}

// stepText says a step in words.
func stepText(r *capture.Record) string {
	switch r.Kind {
	case capture.KindRun:
		return "was run"
	case capture.KindReject:
		text := fmt.Sprintf("was refused, to stay away for %v", r.Duration.Round(time.Millisecond))
		if r.Flag {
			text += " and try no other server"
		}
		return text
	case capture.KindFail:
		return "was answered as failed"
	case capture.KindCancel:
		return "its caller went away"
	case capture.KindKeepKey:
		return fmt.Sprintf("its key was kept for %v", r.Duration.Round(time.Millisecond))
	case capture.KindReleaseKey:
		return "its key was given up"
	case capture.KindReplayResult:
		return "was to be answered by the run of the try it repeats"
	case capture.KindStop:
		return "its run was stopped"
	case capture.KindRunFinished:
		return "ended: " + outcomes[min(int(r.Outcome), len(outcomes)-1)]
	}
	return FormatRecord(r)
}

// look replays the capture and takes down what the module knew when it decided on the stories.
func look(segments []*capture.Segment, stories []*RequestTrace) error {
	reads, ends := map[mark][]*RequestTrace{}, map[mark][]*RequestTrace{}
	for _, s := range stories {
		reads[s.readMark] = append(reads[s.readMark], s)
		if s.answered && !s.EndedOnRead {
			ends[s.endMark] = append(ends[s.endMark], s)
		}
	}
	_, err := Run(segments, false, Visitor{BeforeEvent: func(p capture.Position, r *capture.Record, in *admission.Instance) error {
		at := mark{p.Segment, p.Number}
		for _, s := range reads[at] {
			weighing, known := in.CheckAdmission(r.At, s.Request), in.Inspect()
			s.AdmissionCheck, s.StateOnRead, s.ObjectiveDeadline = &weighing, &known, weighing.ObjectiveDeadline
		}
		for _, s := range ends[at] {
			known := in.Inspect()
			s.StateAtEnd = &known
			if j, ok := in.InspectRequest(r.At, s.ID); ok {
				s.DecisionAtEnd, s.ObjectiveDeadline = &j, j.ObjectiveDeadline
			}
		}
		return nil
	}})
	for _, s := range stories {
		if s.ObjectiveDeadline > 0 && s.answered && (s.Status == StatusServed || s.Status == StatusReplayed) {
			s.Lateness = max(s.EndAt-s.ObjectiveDeadline, 0)
		}
	}
	return err
}

// StateAt is what the module knew at a time.
type StateAt struct {
	At        time.Duration         `json:"at"`
	Unix      time.Time             `json:"unix"`
	State     admission.Inspection  `json:"known"`
	Queued    []admission.RequestID `json:"held"`
	Running   []admission.RequestID `json:"on_cores"`
	Decisions []Decision            `json:"near"` // decisions within the span around it
}

// Decision is one answer or run near a moment.
type Decision struct {
	At     time.Duration       `json:"at"`
	ID     admission.RequestID `json:"id"`
	WireID string              `json:"request_id,omitempty"`
	Text   string              `json:"text"`
}

// mostNear bounds the decisions that are told of a moment.
const mostNear = 200

// ReadAt tells what the module knew before the first event at or after the time of its clock, and what it decided within
// the span around it. The segments are those of one start of the server.
func InspectAt(segments []*capture.Segment, at, span time.Duration) (*StateAt, error) {
	var m *StateAt
	var near []Decision
	names := map[admission.RequestID]string{}
	_, err := Run(segments, false, Visitor{
		OnAnnotation: func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.KindRequestNames {
				names[r.ID] = r.Text
			}
			return nil
		},
		BeforeEvent: func(p capture.Position, r *capture.Record, in *admission.Instance) error {
			if m == nil && r.At >= at {
				m = &StateAt{At: r.At, Unix: p.Segment.UnixTime(r.At), State: in.Inspect()}
				m.Queued, m.Running = in.Queue()
			}
			return nil
		},
		AfterEvent: func(_ capture.Position, r *capture.Record, actions []capture.Record, _ *admission.Instance) error {
			if r.At > at+span {
				return capture.ErrStop
			}
			for i := range actions {
				a := &actions[i]
				if a.At >= at-span && decides(a.Kind) && len(near) < mostNear {
					near = append(near, Decision{a.At, a.ID, names[a.ID], stepText(a)})
				}
			}
			return nil
		}})
	if err != nil {
		return nil, err
	}
	if m == nil {
		return nil, fmt.Errorf("%w: the time %v of the module's clock", ErrNotInCapture, at)
	}
	m.Decisions = near
	return m, nil
}

// decides tells whether an action settles what becomes of a request.
func decides(k capture.Kind) bool {
	return k == capture.KindRun || k == capture.KindReject || k == capture.KindFail || k == capture.KindReplayResult
}

// Locate finds the start of the server that was at work at a Unix time, and the time of its module's clock then.
func Locate(segments []*capture.Segment, unix time.Time) ([]*capture.Segment, time.Duration, error) {
	for i := len(segments) - 1; i >= 0; i-- {
		if s := segments[i]; !unix.Before(s.Meta.UnixTime) {
			return SegmentsOfRun(segments, s.Meta.Run), s.ModuleTime(unix), nil
		}
	}
	return nil, 0, fmt.Errorf("%w: %v is before its first segment", ErrNotInCapture, unix.UTC().Format(time.RFC3339))
}

// SegmentsOfRun is the segments of one start of the server; "" is that of the last segment.
func SegmentsOfRun(segments []*capture.Segment, run string) []*capture.Segment {
	if run == "" && len(segments) > 0 {
		run = segments[len(segments)-1].Meta.Run
	}
	var of []*capture.Segment
	for _, s := range segments {
		if s.Meta.Run == run {
			of = append(of, s)
		}
	}
	return of
}
