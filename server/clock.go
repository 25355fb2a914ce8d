package server

import "time"

// clock is the module's: the Unix clock since the start, which never goes back. Where the system's clock is
// set back it goes on at the pace of the monotonic one, so deadlines are kept by a clock that is ahead.
type clock struct {
	origin, last time.Time
	now          time.Duration
}

// newClock starts at zero.
func newClock(now time.Time) clock { return clock{origin: now.Round(0), last: now} }

// read takes a reading of the system's clocks, which time.Now makes of both at once.
func (c *clock) read(now time.Time) time.Duration {
	unix := now.Round(0).Sub(c.origin)
	c.now = max(unix, c.now+max(now.Sub(c.last), 0))
	c.last = now
	return c.now
}
