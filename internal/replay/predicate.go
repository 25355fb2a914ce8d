package replay

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Predicate is something that a run of the module shows or does not.
type Predicate interface {
	Watch
	// Seen tells whether it was shown.
	Seen() bool
}

// ParsePredicate returns a function that makes a fresh predicate for each run, from its text:
//
//	refused:ID  failed:ID  run:ID    the module's request ID is refused, failed or run
//	log:TEXT                          the module logs a line with the text
//	jam:DURATION                      for so long requests are held and none runs, though nothing is stalled
func ParsePredicate(text string) (func() Predicate, error) {
	kind, rest, _ := strings.Cut(text, ":")
	actions := map[string]capture.Kind{"refused": capture.Refuse, "failed": capture.Fail, "run": capture.Run}
	switch {
	case actions[kind] != 0:
		id, err := strconv.ParseUint(strings.TrimPrefix(rest, "#"), 10, 32)
		if err != nil {
			return nil, fmt.Errorf("predicate %q: %q is no number of a request", text, rest)
		}
		return func() Predicate {
			return &seenAction{match: func(a *capture.Record) bool {
				return a.Kind == actions[kind] && a.ID == admission.RequestID(id)
			}}
		}, nil
	case kind == "log" && rest != "":
		return func() Predicate {
			return &seenAction{match: func(a *capture.Record) bool {
				return a.Kind == capture.Log && strings.Contains(a.Text, rest)
			}}
		}, nil
	case kind == "jam":
		d, err := time.ParseDuration(rest)
		if err != nil || d <= 0 {
			return nil, fmt.Errorf("predicate %q: %q is no time such as 500ms", text, rest)
		}
		return func() Predicate { return &Jam{Over: d} }, nil
	}
	return nil, fmt.Errorf("predicate %q: want refused:ID, failed:ID, run:ID, log:TEXT or jam:DURATION", text)
}

// seenAction looks for an action.
type seenAction struct {
	match func(*capture.Record) bool
	seen  bool
}

// Event implements Watch.
func (s *seenAction) Event(_ *capture.Record, actions []capture.Record, _ *admission.Instance) {
	for i := range actions {
		s.seen = s.seen || s.match(&actions[i])
	}
}

// Seen implements Predicate.
func (s *seenAction) Seen() bool { return s.seen }

// Jam is a hold from which nothing runs while nothing keeps it from that.
type Jam struct {
	Over time.Duration // how long it has to last

	Longest time.Duration // that was seen
	since   time.Duration
	on      bool
}

// Event implements Watch.
func (j *Jam) Event(event *capture.Record, _ []capture.Record, in *admission.Instance) {
	if event.Kind != capture.Settle {
		return
	}
	i := in.Inspect()
	if i.Held == 0 || i.Running > 0 || i.AtCall > 0 || i.Stalled {
		j.on = false
		return
	}
	if !j.on {
		j.on, j.since = true, event.At
	}
	j.Longest = max(j.Longest, event.At-j.since)
}

// Seen implements Predicate.
func (j *Jam) Seen() bool { return j.Longest >= j.Over }
