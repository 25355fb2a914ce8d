// Package invariant checks a server from outside against the rules that hold whatever the server decides: each request is
// answered once and by its deadline, a successful answer carries the result of its own run, an idempotency key runs once
// within its window, and a request with an effect is never both run and rejected. The checker records what was sent,
// answered and run, and lists every violation. It shares no state and no code with the server.
package invariant

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is how an attempt was answered.
type Outcome uint8

// The outcomes that the rules distinguish.
const (
	Served   Outcome = iota // with the result of a run
	Rejected                // without a run: the caller may send the request again
	Failed                  // otherwise; the request may have taken effect
)

// Attempt is one attempt of a request, as its caller knows it.
type Attempt struct {
	ID           string // differs for every attempt, retries of one request included
	Key          string // the idempotency key that all attempts of a request share; "" without one
	AtMostOnce   bool   // whether its effect must not come twice
	ExpectedBody string // the only correct body of a successful answer
	Received     time.Time
	Deadline     time.Time // the latest time of its answer
}

// attemptState is the recorded state of an attempt that was sent.
type attemptState struct {
	Attempt
	pausesBefore time.Duration // the checker's pauses when the attempt was sent
	answers      int
	outcome      Outcome // of the last answer
	runs         int
	isClosed     bool // its final violation was reported, or no answer can come
}

// Checker collects the violations of one server. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	window     time.Duration            // in which an idempotency key must not run twice
	pauses     time.Duration            // total time for which the machine stood still
	attempts   map[string]*attemptState // by attempt ID
	order      []*attemptState          // all attempts in the order in which they were sent
	lastRun    map[string]*attemptState // by idempotency key
	violations []string
}

// New returns a checker. An idempotency key may run again once the window has passed.
func New(window time.Duration) *Checker {
	return &Checker{window: window, attempts: map[string]*attemptState{}, lastRun: map[string]*attemptState{}}
}

// addViolation appends a violation. The caller holds the lock.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// ExcusePause extends the deadlines of all unanswered attempts by a time for which the whole machine stood still.
func (c *Checker) ExcusePause(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses += pause
}

// RecordSent records that an attempt was completely written to the server.
func (c *Checker) RecordSent(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[attempt.ID] != nil {
		c.addViolation("try %s was sent twice: the caller is at fault", attempt.ID)
		return
	}
	state := &attemptState{Attempt: attempt, pausesBefore: c.pauses}
	c.attempts[attempt.ID] = state
	c.order = append(c.order, state)
}

// RecordAnswer records an answer of the server to the attempt with the ID.
func (c *Checker) RecordAnswer(id string, outcome Outcome, body string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		c.addViolation("an answer to try %s, which was not sent", id)
		return
	}
	attempt.answers++
	attempt.outcome = outcome
	if attempt.answers > 1 {
		c.addViolation("try %s was answered %d times", id, attempt.answers)
	}
	if outcome == Served && body != attempt.ExpectedBody {
		c.addViolation("try %s was served with %q, which no run of it made", id, body)
	}
	pausedMeanwhile := c.pauses - attempt.pausesBefore
	if deadline := attempt.Deadline.Add(pausedMeanwhile); at.After(deadline) {
		c.addViolation("try %s was answered %v late", id, at.Sub(deadline))
	}
}

// RecordLost records that no answer to the attempt can come any more, since the server was killed.
func (c *Checker) RecordLost(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := c.attempts[id]; attempt != nil {
		attempt.isClosed = true
	}
}

// RecordRun records that the interpreter began to run the attempt.
func (c *Checker) RecordRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.attempts[id]
	if attempt == nil {
		c.addViolation("a run of try %s, which was not sent", id)
		return
	}
	attempt.runs++
	if attempt.AtMostOnce && attempt.runs > 1 {
		c.addViolation("try %s ran %d times", id, attempt.runs)
	}
	if attempt.Key == "" {
		return
	}
	previous := c.lastRun[attempt.Key]
	if previous != nil && previous != attempt && attempt.Received.Sub(previous.Received) < c.window {
		c.addViolation("key %s ran twice within its window, as tries %s and %s", attempt.Key, previous.ID, id)
	}
	c.lastRun[attempt.Key] = attempt
}

// Violations adds those that show only afterwards, which are attempts without an answer by their deadline and rejected
// attempts that ran, and returns all violations so far.
func (c *Checker) Violations(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, attempt := range c.order {
		switch {
		case attempt.isClosed:
		case attempt.answers == 0 && now.After(attempt.Deadline):
			attempt.isClosed = true
			c.addViolation("try %s was not answered", attempt.ID)
		case attempt.answers > 0 && attempt.outcome == Rejected && attempt.runs > 0 && attempt.AtMostOnce:
			attempt.isClosed = true
			c.addViolation("try %s ran and was refused", attempt.ID)
		}
	}
	return slices.Clone(c.violations)
}
