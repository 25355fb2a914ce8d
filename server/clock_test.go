package server

import (
	"testing"
	"time"
)

// TestClock follows the Unix clock, and advances with the monotonic one where the Unix clock is set back.
// Times without a monotonic reading are those of a clock that is set.
func TestClock(t *testing.T) {
	start := time.Now()
	c := newClock(start)
	if got := c.read(start.Add(time.Second)); got != time.Second {
		t.Errorf("a second after the start: %v", got)
	}
	if got := c.read(start.Round(0).Add(time.Minute)); got != time.Minute {
		t.Errorf("after the clock was set forward: %v", got)
	}
	back := start.Round(0).Add(10 * time.Second)
	if got := c.read(back); got != time.Minute {
		t.Errorf("after the clock was set back: %v", got)
	}
	if got := c.read(back.Add(2 * time.Second)); got != time.Minute+2*time.Second {
		t.Errorf("two seconds later: %v", got)
	}
	if got := c.read(back); got != time.Minute+2*time.Second {
		t.Errorf("the clock went back to %v", got)
	}
}
