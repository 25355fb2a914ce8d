package baseline

import (
	"time"

	"tillerusher/admission"
)

// Parameters of CoDel with an adaptive LIFO as Facebook uses them (Maurer, "Fail at Scale", ACM Queue 13(8), 2015).
const (
	codelTarget   = 5 * time.Millisecond   // longest time in the queue while there is a standing queue
	codelInterval = 100 * time.Millisecond // longest time in the queue otherwise; a queue not empty for longer is standing
)

// runsPerTwoCores is the limit of running requests per two cores in CoDel and WeightPriority.
const runsPerTwoCores = 3

// codel rejects requests that were queued for too long. While there is a standing queue it allows less time in the queue
// and runs the newest request first.
type codel struct {
	*host
	runLimit  int
	lastEmpty time.Duration // when the queue was last empty
}

// CoDel returns a policy that implements controlled delay with an adaptive LIFO. It runs up to three requests per two
// cores.
func CoDel(s admission.Settings, a admission.Actions) (admission.Events, error) {
	h := newHost(s, a)
	h.policy = &codel{host: h, runLimit: max(s.Cores*runsPerTwoCores/2, 1)}
	return h, nil
}

func (c *codel) admit(*request) verdict { return verdictQueue }

// hasStandingQueue reports whether the queue has not been empty for longer than codelInterval.
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

// rejectExpired rejects requests that were queued for too long. The delay before they were read doesn't count.
func (c *codel) rejectExpired() {
	limit := codelInterval
	if c.hasStandingQueue() {
		limit = codelTarget
	}
	for i := 0; i < len(c.queue); {
		if r := c.queue[i]; c.now-r.arrivedAt > limit+r.QueueingDelay {
			c.reject(r) // which removes it from the queue
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
