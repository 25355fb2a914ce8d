package replay

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Predicate is a property of a replay of an excerpt.
type Predicate interface {
	EventObserver
	// Matched reports whether the replay had the property.
	Matched() bool
}

// The kinds of predicates.
const (
	predicateRejected     = "refused"
	predicateFailed       = "failed"
	predicateRun          = "run"
	predicateLog          = "log"
	predicateStuckBacklog = "jam"
)

// predicateActions are the actions that predicates on a request match.
var predicateActions = map[string]capture.Kind{
	predicateRejected: capture.KindReject,
	predicateFailed:   capture.KindFail,
	predicateRun:      capture.KindRun,
}

// ParsePredicate reads a predicate and returns a function that makes a new one for each replay:
//
//	refused:ID  failed:ID  run:ID    the module's request ID is rejected, failed or run
//	log:TEXT                          the module logs a line with the text
//	jam:DURATION                      for so long requests are queued and none runs, though nothing is stalled
func ParsePredicate(text string) (func() Predicate, error) {
	kind, argument, _ := strings.Cut(text, ":")
	switch {
	case predicateActions[kind] != 0:
		id, err := strconv.ParseUint(strings.TrimPrefix(argument, "#"), 10, 32)
		if err != nil {
			return nil, fmt.Errorf("predicate %q: %q is no number of a request", text, argument)
		}
		return newActionPredicate(func(a *capture.Record) bool {
			return a.Kind == predicateActions[kind] && a.ID == admission.RequestID(id)
		}), nil
	case kind == predicateLog && argument != "":
		return newActionPredicate(func(a *capture.Record) bool {
			return a.Kind == capture.KindLog && strings.Contains(a.Text, argument)
		}), nil
	case kind == predicateStuckBacklog:
		duration, err := time.ParseDuration(argument)
		if err != nil || duration <= 0 {
			return nil, fmt.Errorf("predicate %q: %q is no time such as 500ms", text, argument)
		}
		return func() Predicate { return &StuckBacklog{MinDuration: duration} }, nil
	}
	return nil, fmt.Errorf("predicate %q: want refused:ID, failed:ID, run:ID, log:TEXT or jam:DURATION", text)
}

// actionPredicate matches a replay with an action that the function returns true for.
type actionPredicate struct {
	matches func(action *capture.Record) bool
	matched bool
}

func newActionPredicate(matches func(action *capture.Record) bool) func() Predicate {
	return func() Predicate { return &actionPredicate{matches: matches} }
}

// ObserveEvent implements EventObserver.
func (p *actionPredicate) ObserveEvent(_ *capture.Record, actions []capture.Record, _ *admission.Instance) {
	for i := range actions {
		p.matched = p.matched || p.matches(&actions[i])
	}
}

// Matched implements Predicate.
func (p *actionPredicate) Matched() bool { return p.matched }

// StuckBacklog matches a replay in which requests are queued and none runs, although the module does not see a stall.
type StuckBacklog struct {
	MinDuration time.Duration // how long it has to last

	longest time.Duration
	since   time.Duration // when the current backlog got stuck
	isStuck bool
}

// ObserveEvent implements EventObserver.
func (b *StuckBacklog) ObserveEvent(event *capture.Record, _ []capture.Record, module *admission.Instance) {
	if event.Kind != capture.KindSettle {
		return
	}
	state := module.Inspect()
	if state.Queued == 0 || state.Running > 0 || state.Calling > 0 || state.Stalled {
		b.isStuck = false
		return
	}
	if !b.isStuck {
		b.isStuck, b.since = true, event.At
	}
	b.longest = max(b.longest, event.At-b.since)
}

// Matched implements Predicate.
func (b *StuckBacklog) Matched() bool { return b.longest >= b.MinDuration }
