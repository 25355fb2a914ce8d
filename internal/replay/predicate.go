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
	EventObserver
	// Matched tells whether it was shown.
	Matched() bool
}

// ParsePredicate returns a function that makes a fresh predicate for each run, from its text:
//
//	refused:ID  failed:ID  run:ID    the module's request ID is refused, failed or run
//	log:TEXT                          the module logs a line with the text
//	jam:DURATION                      for so long requests are held and none runs, though nothing is stalled
func ParsePredicate(text string) (func() Predicate, error) {
	kind, rest, _ := strings.Cut(text, ":")
	actions := map[string]capture.Kind{"refused": capture.KindReject, "failed": capture.KindFail, "run": capture.KindRun}
	switch {
	case actions[kind] != 0:
		id, err := strconv.ParseUint(strings.TrimPrefix(rest, "#"), 10, 32)
		if err != nil {
			return nil, fmt.Errorf("predicate %q: %q is no number of a request", text, rest)
		}
		return func() Predicate {
			return &actionPredicate{match: func(a *capture.Record) bool {
				return a.Kind == actions[kind] && a.ID == admission.RequestID(id)
			}}
		}, nil
	case kind == "log" && rest != "":
		return func() Predicate {
			return &actionPredicate{match: func(a *capture.Record) bool {
				return a.Kind == capture.KindLog && strings.Contains(a.Text, rest)
			}}
		}, nil
	case kind == "jam":
		d, err := time.ParseDuration(rest)
		if err != nil || d <= 0 {
			return nil, fmt.Errorf("predicate %q: %q is no time such as 500ms", text, rest)
		}
		return func() Predicate { return &StuckBacklog{MinDuration: d} }, nil
	}
	return nil, fmt.Errorf("predicate %q: want refused:ID, failed:ID, run:ID, log:TEXT or jam:DURATION", text)
}

// actionPredicate looks for an action.
type actionPredicate struct {
	match   func(*capture.Record) bool
	matched bool
}

// ObserveEvent implements Watch.
func (s *actionPredicate) ObserveEvent(_ *capture.Record, actions []capture.Record, _ *admission.Instance) {
	for i := range actions {
		s.matched = s.matched || s.match(&actions[i])
	}
}

// Matched implements Predicate.
func (s *actionPredicate) Matched() bool { return s.matched }

// StuckBacklog is a hold from which nothing runs while nothing keeps it from that.
type StuckBacklog struct {
	MinDuration time.Duration // how long it has to last

	Longest time.Duration // that was seen
	since   time.Duration
	on      bool
}

// ObserveEvent implements Watch.
func (j *StuckBacklog) ObserveEvent(event *capture.Record, _ []capture.Record, in *admission.Instance) {
	if event.Kind != capture.KindSettle {
		return
	}
	i := in.Inspect()
	if i.Queued == 0 || i.Running > 0 || i.Calling > 0 || i.Stalled {
		j.on = false
		return
	}
	if !j.on {
		j.on, j.since = true, event.At
	}
	j.Longest = max(j.Longest, event.At-j.since)
}

// Matched implements Predicate.
func (j *StuckBacklog) Matched() bool { return j.Longest >= j.MinDuration }
