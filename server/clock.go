package server

import "time"

// clock is the module's clock: the Unix clock since the start, but never going back. After the system's clock was set
// back it advances with the monotonic one, and so is ahead of the system's: deadlines are then met early, not late.
type clock struct {
	origin, last time.Time
	now          time.Duration
}

// newClock starts at zero.
func newClock(now time.Time) clock { return clock{origin: now.Round(0), last: now} }

// read updates the clock from a time of time.Now, which has both a Unix and a monotonic reading.
func (c *clock) read(now time.Time) time.Duration {
	unix := now.Round(0).Sub(c.origin)
	c.now = max(unix, c.now+max(now.Sub(c.last), 0))
	c.last = now
	return c.now
}
