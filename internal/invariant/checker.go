// Package rules is an outside observer of a server: it is told what was sent, answered and run, and names every
// breach of the rules that hold whatever the server decides. It shares no state and no code with the server.
package invariant

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome says how a try was answered.
type Outcome uint8

// The answers.
const (
	Served Outcome = iota
	Rejected
	Failed
)

// Attempt is one try of a request.
type Attempt struct {
	ID           string // new with every try
	Key          string // the same for all tries of a keyed request; "" elsewhere
	AtMostOnce   bool   // it has an effect that must come once
	ExpectedBody string // the only right body of an answer
	Received     time.Time
	Deadline     time.Time // when its answer must be there
}

// tried is what is known of a try.
type tried struct {
	Attempt
	excused  time.Duration // of the observer, when it was sent
	answers  int
	answer   Outcome
	runs     int
	reported bool
}

// Checker is told what happens. Any goroutine may tell it.
type Checker struct {
	mu       sync.Mutex
	window   time.Duration // in which a keyed request must not run twice
	excused  time.Duration // for which the machine stood still, in all
	tries    map[string]*tried
	order    []*tried
	ran      map[string]*tried // by key, the last that ran
	breaches []string
}

// New returns an observer; keyed requests may come again within the window.
func New(window time.Duration) *Checker {
	return &Checker{window: window, tries: map[string]*tried{}, ran: map[string]*tried{}}
}

// breach notes one, with the lock held.
func (o *Checker) breach(format string, args ...any) {
	o.breaches = append(o.breaches, fmt.Sprintf(format, args...))
}

// ExcusePause says that the machine stood still for a while, which is not counted against answers that are open.
func (o *Checker) ExcusePause(pause time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.excused += pause
}

// RecordSent says that the whole try was written to the server.
func (o *Checker) RecordSent(t Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tries[t.ID] != nil {
		o.breach("try %s was sent twice: the caller is at fault", t.ID)
		return
	}
	r := &tried{Attempt: t, excused: o.excused}
	o.tries[t.ID] = r
	o.order = append(o.order, r)
}

// RecordAnswer says that an answer came.
func (o *Checker) RecordAnswer(id string, a Outcome, body string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tries[id]
	if t == nil {
		o.breach("an answer to try %s, which was not sent", id)
		return
	}
	t.answers++
	t.answer = a
	if t.answers > 1 {
		o.breach("try %s was answered %d times", id, t.answers)
	}
	if a == Served && body != t.ExpectedBody {
		o.breach("try %s was served with %q, which no run of it made", id, body)
	}
	if due := t.Deadline.Add(o.excused - t.excused); at.After(due) {
		o.breach("try %s was answered %v late", id, at.Sub(due))
	}
}

// RecordLost says that no answer can come any more, since the server was killed.
func (o *Checker) RecordLost(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.tries[id]; t != nil {
		t.reported = true
	}
}

// RecordRun says that the interpreter began a run.
func (o *Checker) RecordRun(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tries[id]
	if t == nil {
		o.breach("a run of try %s, which was not sent", id)
		return
	}
	t.runs++
	if t.AtMostOnce && t.runs > 1 {
		o.breach("try %s ran %d times", id, t.runs)
	}
	if t.Key == "" {
		return
	}
	if before := o.ran[t.Key]; before != nil && before != t && t.Received.Sub(before.Received) < o.window {
		o.breach("key %s ran twice within its window, as tries %s and %s", t.Key, before.ID, id)
	}
	o.ran[t.Key] = t
}

// Violations looks for what was never answered, and for refusals of what ran, and returns all breaches so far.
func (o *Checker) Violations(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.order {
		switch {
		case t.reported:
		case t.answers == 0 && now.After(t.Deadline):
			t.reported = true
			o.breach("try %s was not answered", t.ID)
		case t.answers > 0 && t.answer == Rejected && t.runs > 0 && t.AtMostOnce:
			t.reported = true
			o.breach("try %s ran and was refused", t.ID)
		}
	}
	return slices.Clone(o.breaches)
}
