// Package invariant checks a server from outside against rules that do not depend on the server's decisions: each request
// is answered exactly once and by its deadline, a successful answer carries the result of its own run, an idempotency key
// runs at most once within its window, and a request that must not take effect twice is never both run and rejected. The
// checker records the attempts, answers and runs, and lists every violation. It shares no state and no code with the server.
package invariant

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is the result that an answer reports to the caller.
type Outcome uint8

// The outcomes that the rules distinguish.
const (
	Served   Outcome = iota // the answer carries the result of a run
	Rejected                // the request did not run: the caller may send it again
	Failed                  // any other answer: the request may have taken effect
)

// Attempt describes one attempt of a request from the caller's side.
type Attempt struct {
	ID           string // unique for every attempt, also among retries of one request
	Key          string // idempotency key, which all attempts of a request share; "" if it has none
	AtMostOnce   bool   // whether the request must not take effect twice
	ExpectedBody string // the only correct body of a successful answer
	Received     time.Time
	Deadline     time.Time // latest time of the answer
}

// attemptState is the state of an attempt that was sent.
type attemptState struct {
	Attempt
	pauseWhenSent time.Duration // the checker's totalPause when the attempt was sent
	answers       int
	outcome       Outcome // of the last answer
	runs          int
	isClosed      bool // Violations skips the attempt: its violation was reported, or no answer can arrive
}

// Checker collects the violations of one server. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	window     time.Duration            // an idempotency key must not run twice within it
	totalPause time.Duration            // total time for which the machine was paused
	attempts   map[string]*attemptState // by attempt ID
	order      []*attemptState          // all attempts in the order in which they were sent
	lastRun    map[string]*attemptState // by idempotency key
	violations []string
}

// New returns a checker. An idempotency key may run again after the window.
func New(window time.Duration) *Checker {
	return &Checker{window: window, attempts: map[string]*attemptState{}, lastRun: map[string]*attemptState{}}
}

// addViolation appends a violation. The caller holds the lock.
func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// ExcusePause extends the deadlines of all unanswered attempts by a time for which the whole machine was paused.
// RecordAnswer applies the extension; Violations does not apply it to attempts without an answer.
func (c *Checker) ExcusePause(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalPause += pause
}

// RecordSent records that an attempt was completely written to the server.
func (c *Checker) RecordSent(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[attempt.ID] != nil {
		c.addViolation("try %s was sent twice: the caller is at fault", attempt.ID)
		return
	}
	state := &attemptState{Attempt: attempt, pauseWhenSent: c.totalPause}
	c.attempts[attempt.ID] = state
	c.order = append(c.order, state)
}

// RecordAnswer records an answer of the server to the attempt with the ID, and checks it.
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
	pausedMeanwhile := c.totalPause - attempt.pauseWhenSent
	if deadline := attempt.Deadline.Add(pausedMeanwhile); at.After(deadline) {
		c.addViolation("try %s was answered %v late", id, at.Sub(deadline))
	}
}

// RecordLost records that no answer to the attempt can arrive any more, for example because the server was killed.
func (c *Checker) RecordLost(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if attempt := c.attempts[id]; attempt != nil {
		attempt.isClosed = true
	}
}

// RecordRun records that the interpreter started to run the attempt, and checks that it may run.
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

// Violations returns all violations so far. It first adds those that no single event shows: attempts that have no answer
// and whose deadline is before now, and attempts with AtMostOnce that ran and were rejected.
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
