package replay

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Predicate is a condition on the replay of an excerpt, which it observes.
type Predicate interface {
	EventObserver
	// Matched reports whether the condition was true for the replay so far.
	Matched() bool
}

// The kinds of predicates, as ParsePredicate reads them.
const (
	predicateRejected     = "refused"
	predicateFailed       = "failed"
	predicateRun          = "run"
	predicateLog          = "log"
	predicateStuckBacklog = "jam"
)

// predicateActions are the kinds of actions that the predicates on a request match.
var predicateActions = map[string]capture.Kind{
	predicateRejected: capture.KindReject,
	predicateFailed:   capture.KindFail,
	predicateRun:      capture.KindRun,
}

// ParsePredicate parses a predicate. It returns a function that returns a new predicate, because each replay needs its own:
//
//	refused:ID  failed:ID  run:ID    the request with the module's number ID is rejected, failed or run
//	log:TEXT                         the module logs a line that contains TEXT
//	jam:DURATION                     for DURATION, requests are queued and none runs or waits for a call, although the
//	                                 module detects no stall
func ParsePredicate(text string) (func() Predicate, error) {
	kind, argument, _ := strings.Cut(text, ":")
	switch {
	case predicateActions[kind] != 0:
		id, err := strconv.ParseUint(strings.TrimPrefix(argument, "#"), 10, 32)
		if err != nil {
			return nil, fmt.Errorf("predicate %q: %q is not the number of a request", text, argument)
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
			return nil, fmt.Errorf("predicate %q: %q is not a positive duration such as 500ms", text, argument)
		}
		return func() Predicate { return &StuckBacklog{MinDuration: duration} }, nil
	}
	return nil, fmt.Errorf("predicate %q: want refused:ID, failed:ID, run:ID, log:TEXT or jam:DURATION", text)
}

// actionPredicate matches a replay if the function matches returns true for one of its actions.
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

// StuckBacklog matches a replay in which requests are queued for a minimum duration while none runs and none waits for a call,
// although the module does not detect a stall.
type StuckBacklog struct {
	MinDuration time.Duration // minimum duration of the backlog

	longest time.Duration // longest duration so far
	since   time.Duration // start of the current stuck backlog
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
