package replay

import (
	"errors"
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Span is a part of a capture, by the module's clock.
type Span struct{ From, To time.Duration }

// SpanOf is the span from the reading of the requests in the stories to the last of their answers.
func SpanOf(stories []*RequestTrace) Span {
	s := Span{From: stories[0].ReadAt}
	for _, st := range stories {
		s.From, s.To = min(s.From, st.ReadAt), max(s.To, st.ReadAt, st.EndAt)
	}
	return s
}

// Excerpt is a part of a capture in memory: the state at its start, and its records.
type Excerpt struct {
	Meta     capture.Meta
	Snapshot []byte
	Records  []capture.Record
}

// ErrEmptySpan says that a span has no records.
var ErrEmptySpan = errors.New("replay: the span has no records")

// Cut takes the smallest piece that holds a span: from the last moment before it at which the module was between two
// rounds, to the end of the round in which it ends. The segments are those of one start of the server.
func Cut(segments []*capture.Segment, s Span) (*Excerpt, error) {
	var p *Excerpt
	var notes []capture.Record // before the event that comes next
	between := true
	take := func(at capture.Position, event *capture.Record, in *admission.Instance) {
		if p != nil || !between || event.At < s.From {
			return
		}
		meta := at.Segment.Meta
		meta.ModuleTime, meta.UnixTime, meta.FirstRecord = event.At, at.Segment.UnixTime(event.At), at.Number-uint64(len(notes))
		meta.Gap, meta.Segment = nil, 1
		p = &Excerpt{Meta: meta, Snapshot: in.Snapshot(nil), Records: notes}
	}
	r, err := Run(segments, false, Visitor{
		BeforeEvent: func(at capture.Position, event *capture.Record, in *admission.Instance) error {
			take(at, event, in)
			notes = nil
			return nil
		},
		OnAnnotation: func(_ capture.Position, n *capture.Record) error {
			if p != nil {
				p.Records = append(p.Records, *n)
			} else {
				notes = append(notes, *n)
			}
			return nil
		},
		AfterEvent: func(_ capture.Position, event *capture.Record, actions []capture.Record, _ *admission.Instance) error {
			between = event.Kind == capture.KindSettle
			if p == nil {
				return nil
			}
			p.Records = append(append(p.Records, *event), actions...)
			if between && event.At >= s.To {
				return capture.ErrStop
			}
			return nil
		}})
	switch {
	case err != nil:
		return nil, err
	case r.FirstDifference != nil:
		return nil, fmt.Errorf("replay: this program decides otherwise before the span ends, use --redecide: %v", r.FirstDifference)
	case p == nil || len(p.Records) == 0:
		return nil, ErrEmptySpan
	}
	return p, nil
}

// Write writes the piece as a segment; comment says what it is.
func (p *Excerpt) Write(path, comment string) error {
	m := p.Meta
	m.Comment = comment
	return capture.WriteSegment(path, m, p.Snapshot, func(add func(*capture.Record)) error {
		for i := range p.Records {
			add(&p.Records[i])
		}
		return nil
	})
}

// LoadExcerpt reads a piece from a segment.
func LoadExcerpt(s *capture.Segment) (*Excerpt, error) {
	if s.Snapshot == nil || len(s.Damage) > 0 {
		return nil, fmt.Errorf("%s: damaged", s.Path)
	}
	p := &Excerpt{Meta: s.Meta, Snapshot: s.Snapshot}
	err := s.ForEach(func(_ capture.Position, r *capture.Record) error {
		p.Records = append(p.Records, *r)
		return nil
	})
	return p, err
}

// Join reads the events of whole segments into one piece, whatever the recorded actions were.
func Join(segments []*capture.Segment, s Span) (*Excerpt, error) {
	var p *Excerpt
	for _, seg := range segments {
		last := seg.Meta.ModuleTime
		if n := len(seg.Blocks); n > 0 {
			last = seg.Blocks[n-1].BaseTime
		}
		if p == nil && last < s.From && seg != segments[len(segments)-1] {
			continue
		}
		next, err := LoadExcerpt(seg)
		if err != nil {
			return nil, err
		}
		if p == nil {
			p = next
		} else {
			p.Records = append(p.Records, next.Records...)
		}
	}
	if p == nil {
		return nil, ErrEmptySpan
	}
	for i := range p.Records {
		if r := &p.Records[i]; s.To > 0 && r.Kind == capture.KindSettle && r.At >= s.To {
			p.Records = p.Records[:i+1]
			break
		}
	}
	return p, nil
}

// EventObserver hears of each event that a piece is fed with: the module before and after it, and what it decided.
type EventObserver interface {
	ObserveEvent(event *capture.Record, actions []capture.Record, in *admission.Instance)
}

// Replay feeds the piece's events to this program's module, tells watch of them, and returns the piece with this
// program's actions in place of the recorded ones.
func (p *Excerpt) Replay(watch EventObserver) (*Excerpt, error) {
	var sink ActionRecorder
	in, err := admission.Restore(p.Snapshot, &sink)
	if err != nil {
		return nil, err
	}
	out := &Excerpt{Meta: p.Meta, Snapshot: p.Snapshot}
	for i := range p.Records {
		r := &p.Records[i]
		switch {
		case r.Kind.IsEvent():
			sink.begin(r.At)
			Deliver(in, r)
			out.Records = append(append(out.Records, *r), sink.Actions...)
			if watch != nil {
				watch.ObserveEvent(r, sink.Actions, in)
			}
		case !r.Kind.IsAction():
			out.Records = append(out.Records, *r)
		}
	}
	return out, nil
}
