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
	*host
	runLimit  int
	lastEmpty time.Duration // when no line stood last
}

// CoDel is controlled delay with an adaptive LIFO: three requests for every two cores run.
func CoDel(s admission.Settings, a admission.Actions) (admission.Events, error) {
	b := newHost(s, a)
	b.policy = &codel{host: b, runLimit: max(s.Cores*3/2, 1)}
	return b, nil
}

func (c *codel) admit(*request) verdict { return verdictQueue }

// hasStandingQueue tells whether a line has stood for an interval.
func (c *codel) hasStandingQueue() bool { return c.now-c.lastEmpty > codelInterval }

func (c *codel) nextToRun() *request {
	if len(c.queue) <= 1 && c.running < c.runLimit {
		c.lastEmpty = c.now
	}
	c.rejectExpired()
	if c.running >= c.runLimit || len(c.queue) == 0 {
		return nil
	}
	if c.hasStandingQueue() {
		return c.queue[len(c.queue)-1]
	}
	return c.queue[0]
}

// rejectExpired turns away what waited too long.
func (c *codel) rejectExpired() {
	limit := codelInterval
	if c.hasStandingQueue() {
		limit = codelTarget
	}
	for i := 0; i < len(c.queue); {
		if r := c.queue[i]; c.now-r.arrivedAt > limit+r.QueueingDelay {
			c.reject(r)
		} else {
			i++
		}
	}
}

func (c *codel) runEnded(*request, bool) {}
func (c *codel) poll(admission.Gauges) {
	if len(c.queue) == 0 {
		c.lastEmpty = c.now
	}
	c.rejectExpired()
}
