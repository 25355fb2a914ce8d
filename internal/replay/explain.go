package replay

import (
	"fmt"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Ending says how a request ended.
type Ending string

// The endings.
const (
	Open    Ending = "open"    // no answer is in the capture
	Served  Ending = "served"  // by its own run
	Reused  Ending = "reused"  // by the run of another try
	Refused Ending = "refused" //
	Failed  Ending = "failed"  //
	Left    Ending = "left"    // its caller went away
	Errored Ending = "errored" // its run ended without a result
)

// Step is one thing that happened to a request.
type Step struct {
	At   time.Duration `json:"at"`
	Unix time.Time     `json:"unix"`
	Text string        `json:"text"`
}

// Story is what became of one try, and what the module knew when it decided.
type Story struct {
	ID       admission.RequestID  `json:"id"`
	Wire     string               `json:"request_id,omitempty"`
	Key      string               `json:"key,omitempty"`
	Class    string               `json:"class"`
	Tenant   string               `json:"tenant,omitempty"`
	Asked    admission.Request    `json:"asked"`
	At       time.Duration        `json:"at"` // read, by the module's clock
	Unix     time.Time            `json:"unix"`
	Weighing *admission.Weighing  `json:"weighing,omitempty"` // nil where no state is known
	Known    *admission.Insight   `json:"known,omitempty"`    // when it was read
	Steps    []Step               `json:"steps"`
	Ending   Ending               `json:"ending"`
	EndAt    time.Duration        `json:"end_at"`
	OnRead   bool                 `json:"on_read"`          // it ended as it was read
	Judged   *admission.Judgement `json:"judged,omitempty"` // how it looked when it was answered later
	EndKnown *admission.Insight   `json:"end_known,omitempty"`
	Late     time.Duration        `json:"late,omitempty"`   // served so much after its aim
	AimAt    time.Duration        `json:"aim_at,omitempty"` // when an answer stopped earning its full worth
	answered bool
	endMark  mark
	readMark mark
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

// ErrUnknown says that a capture has nothing of what was asked for.
var ErrUnknown = fmt.Errorf("replay: not in the capture")

// Explain tells the stories of all tries with the Request-Id or the key, or of the one with the module's number
// where it is written as #N.
func Explain(segments []*capture.Segment, name string) ([]*Story, error) {
	var stories []*Story
	byOwner := map[owner]*Story{}
	number := admission.RequestID(0)
	if text, ok := strings.CutPrefix(name, "#"); ok {
		if _, err := fmt.Sscanf(text, "%d", &number); err != nil {
			return nil, fmt.Errorf("replay: %q is no number of a request", name)
		}
	}
	var event mark // of the event whose actions follow
	for _, s := range segments {
		names := map[admission.RequestID]capture.Record{}
		err := s.Each(func(p capture.Position, r *capture.Record) error {
			if r.Kind.Event() {
				event = mark{s, p.Number}
			}
			if r.Kind == capture.Names {
				if strings.EqualFold(r.Text, name) || r.Key != "" && strings.EqualFold(r.Key, name) || r.ID == number {
					names[r.ID] = *r
				}
				return nil
			}
			if r.Kind == capture.Request && (r.ID == number || names[r.ID].Kind != 0) {
				n := names[r.ID]
				story := &Story{ID: r.ID, Wire: n.Text, Key: n.Key, Class: nameOf(s.Meta.Classes, r.Asked.Class),
					Tenant: nameOf(s.Meta.Tenants, r.Asked.Tenant), Asked: r.Asked, At: r.At, Unix: s.Unix(r.At), Ending: Open,
					readMark: event}
				stories = append(stories, story)
				byOwner[owner{s.Meta.Run, r.ID}] = story
				return nil
			}
			if r.Kind == capture.Settle || r.Kind == capture.Timer || r.ID == 0 {
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
		return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
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
func (s *Story) step(segment *capture.Segment, r *capture.Record, event mark) {
	s.Steps = append(s.Steps, Step{r.At, segment.Unix(r.At), stepText(r)})
	if s.answered {
		return
	}
	if s.Ending, s.answered = ending(s.Ending, r); s.answered {
		s.EndAt, s.endMark, s.OnRead = r.At, event, event == s.readMark
	}
}

// ending is how a try that has not ended stands after a record of it, and whether that is its end.
func ending(now Ending, r *capture.Record) (e Ending, ended bool) {
	switch r.Kind {
	case capture.Refuse:
		return Refused, true
	case capture.Fail:
		return Failed, true
	case capture.Gone:
		return Left, true
	case capture.Reuse:
		return Reused, false
	case capture.Done:
		switch {
		case r.Outcome != admission.OK:
			return Errored, true
		case now == Reused:
			return Reused, true
		}
		return Served, true
	}
	return now, false
}

// stepText says a step in words.
func stepText(r *capture.Record) string {
	switch r.Kind {
	case capture.Run:
		return "was run"
	case capture.Refuse:
		text := fmt.Sprintf("was refused, to stay away for %v", r.Span.Round(time.Millisecond))
		if r.Yes {
			text += " and try no other server"
		}
		return text
	case capture.Fail:
		return "was answered as failed"
	case capture.Gone:
		return "its caller went away"
	case capture.Keep:
		return fmt.Sprintf("its key was kept for %v", r.Span.Round(time.Millisecond))
	case capture.Forget:
		return "its key was given up"
	case capture.Reuse:
		return "was to be answered by the run of the try it repeats"
	case capture.Halt:
		return "its run was stopped"
	case capture.Done:
		return "ended: " + outcomes[min(int(r.Outcome), len(outcomes)-1)]
	}
	return Text(r)
}

// look replays the capture and takes down what the module knew when it decided on the stories.
func look(segments []*capture.Segment, stories []*Story) error {
	reads, ends := map[mark][]*Story{}, map[mark][]*Story{}
	for _, s := range stories {
		reads[s.readMark] = append(reads[s.readMark], s)
		if s.answered && !s.OnRead {
			ends[s.endMark] = append(ends[s.endMark], s)
		}
	}
	_, err := Run(segments, false, Visitor{Before: func(p capture.Position, r *capture.Record, in *admission.Instance) error {
		at := mark{p.Segment, p.Number}
		for _, s := range reads[at] {
			weighing, known := in.Weigh(r.At, s.Asked), in.Inspect()
			s.Weighing, s.Known, s.AimAt = &weighing, &known, weighing.Useful
		}
		for _, s := range ends[at] {
			known := in.Inspect()
			s.EndKnown = &known
			if j, ok := in.Judge(r.At, s.ID); ok {
				s.Judged, s.AimAt = &j, j.Useful
			}
		}
		return nil
	}})
	for _, s := range stories {
		if s.AimAt > 0 && s.answered && (s.Ending == Served || s.Ending == Reused) {
			s.Late = max(s.EndAt-s.AimAt, 0)
		}
	}
	return err
}

// Moment is what the module knew at a time.
type Moment struct {
	At    time.Duration         `json:"at"`
	Unix  time.Time             `json:"unix"`
	Known admission.Insight     `json:"known"`
	Held  []admission.RequestID `json:"held"`
	Cores []admission.RequestID `json:"on_cores"`
	Near  []Decision            `json:"near"` // decisions within the span around it
}

// Decision is one answer or run near a moment.
type Decision struct {
	At   time.Duration       `json:"at"`
	ID   admission.RequestID `json:"id"`
	Wire string              `json:"request_id,omitempty"`
	Text string              `json:"text"`
}

// mostNear bounds the decisions that are told of a moment.
const mostNear = 200

// At tells what the module knew before the first event at or after the time of its clock, and what it decided within
// the span around it. The segments are those of one start of the server.
func At(segments []*capture.Segment, at, span time.Duration) (*Moment, error) {
	var m *Moment
	var near []Decision
	names := map[admission.RequestID]string{}
	_, err := Run(segments, false, Visitor{
		Note: func(_ capture.Position, r *capture.Record) error {
			if r.Kind == capture.Names {
				names[r.ID] = r.Text
			}
			return nil
		},
		Before: func(p capture.Position, r *capture.Record, in *admission.Instance) error {
			if m == nil && r.At >= at {
				m = &Moment{At: r.At, Unix: p.Segment.Unix(r.At), Known: in.Inspect()}
				m.Held, m.Cores = in.Queue()
			}
			return nil
		},
		After: func(_ capture.Position, r *capture.Record, actions []capture.Record, _ *admission.Instance) error {
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
		return nil, fmt.Errorf("%w: the time %v of the module's clock", ErrUnknown, at)
	}
	m.Near = near
	return m, nil
}

// decides tells whether an action settles what becomes of a request.
func decides(k capture.Kind) bool {
	return k == capture.Run || k == capture.Refuse || k == capture.Fail || k == capture.Reuse
}

// Locate finds the start of the server that was at work at a Unix time, and the time of its module's clock then.
func Locate(segments []*capture.Segment, unix time.Time) ([]*capture.Segment, time.Duration, error) {
	for i := len(segments) - 1; i >= 0; i-- {
		if s := segments[i]; !unix.Before(s.Meta.Unix) {
			return Start(segments, s.Meta.Run), s.Clock(unix), nil
		}
	}
	return nil, 0, fmt.Errorf("%w: %v is before its first segment", ErrUnknown, unix.UTC().Format(time.RFC3339))
}

// Start is the segments of one start of the server; "" is that of the last segment.
func Start(segments []*capture.Segment, run string) []*capture.Segment {
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
