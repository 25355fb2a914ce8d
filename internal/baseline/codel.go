package baseline

import (
	"time"

	"tillerusher/admission"
)

// The figures of CoDel with an adaptive LIFO, as Facebook uses them (Maurer, "Fail at Scale", ACM Queue 13(8), 2015).
const (
	codelTarget   = 5 * time.Millisecond   // a wait while a line stands
	codelInterval = 100 * time.Millisecond // a wait otherwise, and how long a line must stand
)

// codel turns away what waited too long, and runs the newest first while a line stands.
type codel struct {
	*base
	run   int
	empty time.Duration // when no line stood last
}

// CoDel is controlled delay with an adaptive LIFO: three requests for every two cores run.
func CoDel(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newBase(s, a)
	b.policy = &codel{base: b, run: max(s.Cores*3/2, 1)}
	return b, nil
}

func (c *codel) admit(*request) verdict { return hold }

// stands tells whether a line has stood for an interval.
func (c *codel) stands() bool { return c.now-c.empty > codelInterval }

func (c *codel) next() *request {
	if len(c.hold) <= 1 && c.running < c.run {
		c.empty = c.now
	}
	c.drop()
	if c.running >= c.run || len(c.hold) == 0 {
		return nil
	}
	if c.stands() {
		return c.hold[len(c.hold)-1]
	}
	return c.hold[0]
}

// drop turns away what waited too long.
func (c *codel) drop() {
	limit := codelInterval
	if c.stands() {
		limit = codelTarget
	}
	for i := 0; i < len(c.hold); {
		if r := c.hold[i]; c.now-r.came > limit+r.QueueingDelay {
			c.turnAway(r)
		} else {
			i++
		}
	}
}

func (c *codel) ended(*request, bool) {}
func (c *codel) look(admission.Gauges) {
	if len(c.hold) == 0 {
		c.empty = c.now
	}
	c.drop()
}
