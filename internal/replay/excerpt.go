package replay

import (
	"errors"
	"fmt"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// ErrEmptySpan is returned if a span has no records.
var ErrEmptySpan = errors.New("replay: the span has no records")

// Span is a period of the module's clock.
type Span struct{ From, To time.Duration }

// SpanOf returns the span from the time at which the first attempt was read to the last end of an attempt. traces must not be
// empty.
func SpanOf(traces []*RequestTrace) Span {
	span := Span{From: traces[0].ReadAt}
	for _, t := range traces {
		span.From = min(span.From, t.ReadAt)
		span.To = max(span.To, t.ReadAt, t.EndAt)
	}
	return span
}

// Excerpt is a part of a capture in memory. It has a snapshot of the module at its start, and the records from there.
type Excerpt struct {
	Meta     capture.Meta
	Snapshot []byte
	Records  []capture.Record
}

// Cut returns the smallest excerpt with the rounds of events of a span. The excerpt starts between two rounds, before the
// first round that starts in the span or after it, and ends with the round in which the span ends. Cut replays the segments,
// which must be of one run of the server, and returns an error if the decisions differ before the span ends.
func Cut(segments []*capture.Segment, span Span) (*Excerpt, error) {
	cut := cutter{span: span, isBetweenRounds: true}
	result, err := Run(segments, false, Visitor{
		BeforeEvent:  cut.beforeEvent,
		OnAnnotation: cut.onAnnotation,
		AfterEvent:   cut.afterEvent,
	})
	switch {
	case err != nil:
		return nil, err
	case result.FirstDifference != nil:
		return nil, fmt.Errorf("replay: decisions differ from the recorded ones before the span ends, use --redecide: %v",
			result.FirstDifference)
	case cut.excerpt == nil || len(cut.excerpt.Records) == 0:
		return nil, ErrEmptySpan
	}
	return cut.excerpt, nil
}

// cutter collects an excerpt during a replay.
type cutter struct {
	span            Span
	excerpt         *Excerpt         // nil before its first event
	annotations     []capture.Record // notes since the last event, while excerpt is nil
	isBetweenRounds bool
}

// beforeEvent starts the excerpt at the first event of the span that starts a round.
func (c *cutter) beforeEvent(at capture.Position, event *capture.Record, module *admission.Instance) error {
	if c.excerpt == nil && c.isBetweenRounds && event.At >= c.span.From {
		meta := at.Segment.Meta
		meta.ModuleTime, meta.UnixTime = event.At, at.Segment.UnixTime(event.At)
		meta.FirstRecord = at.Number - uint64(len(c.annotations))
		meta.Gap, meta.Segment = nil, 1
		c.excerpt = &Excerpt{Meta: meta, Snapshot: module.Snapshot(nil), Records: c.annotations}
	}
	c.annotations = nil
	return nil
}

// onAnnotation adds a note to the excerpt, or keeps it until the next event, which may start the excerpt.
func (c *cutter) onAnnotation(_ capture.Position, annotation *capture.Record) error {
	if c.excerpt != nil {
		c.excerpt.Records = append(c.excerpt.Records, *annotation)
	} else {
		c.annotations = append(c.annotations, *annotation)
	}
	return nil
}

// afterEvent adds the event and its actions to the excerpt, and stops the replay at the end of the span.
func (c *cutter) afterEvent(_ capture.Position, event *capture.Record, actions []capture.Record, _ *admission.Instance) error {
	c.isBetweenRounds = event.Kind == capture.KindSettle
	if c.excerpt == nil {
		return nil
	}
	c.excerpt.Records = append(c.excerpt.Records, *event)
	c.excerpt.Records = append(c.excerpt.Records, actions...)
	if c.isBetweenRounds && event.At >= c.span.To {
		return capture.ErrStop
	}
	return nil
}

// LoadExcerpt returns an excerpt with all records of a segment. It returns an error if the segment is damaged.
func LoadExcerpt(s *capture.Segment) (*Excerpt, error) {
	if s.Snapshot == nil || len(s.Damage) > 0 {
		return nil, fmt.Errorf("%s: segment is damaged", s.Path)
	}
	e := &Excerpt{Meta: s.Meta, Snapshot: s.Snapshot}
	err := s.ForEach(func(_ capture.Position, r *capture.Record) error {
		e.Records = append(e.Records, *r)
		return nil
	})
	return e, err
}

// Join joins complete segments into one excerpt with the events of a span. Unlike Cut, it does not replay the segments, so the
// recorded actions do not matter. A span whose end is 0 extends to the end of the last segment.
func Join(segments []*capture.Segment, span Span) (*Excerpt, error) {
	var joined *Excerpt
	for i, s := range segments {
		isLast := i == len(segments)-1
		if joined == nil && lastBlockTime(s) < span.From && !isLast {
			continue
		}
		next, err := LoadExcerpt(s)
		if err != nil {
			return nil, err
		}
		if joined == nil {
			joined = next
		} else {
			joined.Records = append(joined.Records, next.Records...)
		}
	}
	if joined == nil {
		return nil, ErrEmptySpan
	}
	joined.truncate(span.To)
	return joined, nil
}

// lastBlockTime returns the module's clock at the event before the segment's last block, or at the segment's start if it has no
// blocks.
func lastBlockTime(s *capture.Segment) time.Duration {
	if n := len(s.Blocks); n > 0 {
		return s.Blocks[n-1].BaseTime
	}
	return s.Meta.ModuleTime
}

// truncate removes the records after the first round that ends at or after the end. It removes nothing if the end is 0.
func (e *Excerpt) truncate(end time.Duration) {
	if end <= 0 {
		return
	}
	for i := range e.Records {
		if r := &e.Records[i]; r.Kind == capture.KindSettle && r.At >= end {
			e.Records = e.Records[:i+1]
			return
		}
	}
}

// Write writes the excerpt to a new file as a segment with the comment. It returns an error if the file exists.
func (e *Excerpt) Write(path, comment string) error {
	meta := e.Meta
	meta.Comment = comment
	return capture.WriteSegment(path, meta, e.Snapshot, func(add func(*capture.Record)) error {
		for i := range e.Records {
			add(&e.Records[i])
		}
		return nil
	})
}

// EventObserver observes the events of an excerpt during a replay.
type EventObserver interface {
	// ObserveEvent is called after the event, with the actions that it caused and the module in its new state.
	ObserveEvent(event *capture.Record, actions []capture.Record, module *admission.Instance)
}

// Replay passes the excerpt's events to a module that is restored from its snapshot. It returns an excerpt that has the actions
// of this module instead of the recorded ones. The observer may be nil.
func (e *Excerpt) Replay(observer EventObserver) (*Excerpt, error) {
	var recorder ActionRecorder
	module, err := admission.Restore(e.Snapshot, &recorder)
	if err != nil {
		return nil, err
	}
	replayed := &Excerpt{Meta: e.Meta, Snapshot: e.Snapshot}
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind.IsAction() {
			continue
		}
		replayed.Records = append(replayed.Records, *r)
		if !r.Kind.IsEvent() {
			continue
		}
		recorder.reset(r.At)
		Deliver(module, r)
		replayed.Records = append(replayed.Records, recorder.Actions...)
		if observer != nil {
			observer.ObserveEvent(r, recorder.Actions, module)
		}
	}
	return replayed, nil
}
