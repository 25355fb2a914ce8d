package server

import "time"

// clock is the module's clock: the Unix time since the start of the server, except that it never goes back. After the
// system clock is set back, it advances with the monotonic clock and so is ahead of the system clock: deadlines are then
// met early, not late.
type clock struct {
	origin, last time.Time
	now          time.Duration
}

// newClock returns a clock that reads zero at the given time.
func newClock(now time.Time) clock { return clock{origin: now.Round(0), last: now} }

// read advances the clock to a time from time.Now, which has both a Unix and a monotonic reading, and returns the clock's
// reading.
func (c *clock) read(now time.Time) time.Duration {
	unix := now.Round(0).Sub(c.origin)
	c.now = max(unix, c.now+max(now.Sub(c.last), 0))
	c.last = now
	return c.now
}
