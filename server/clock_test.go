package server

import (
	"testing"
	"time"
)

// TestClock checks that the clock follows the Unix clock, and advances with the monotonic clock after the Unix clock is
// set back. Times without a monotonic reading simulate a Unix clock that is set.
func TestClock(t *testing.T) {
	start := time.Now()
	c := newClock(start)
	if got := c.read(start.Add(time.Second)); got != time.Second {
		t.Errorf("one second after the start: %v, want 1s", got)
	}
	if got := c.read(start.Round(0).Add(time.Minute)); got != time.Minute {
		t.Errorf("after the clock was set forward: %v", got)
	}
	setBack := start.Round(0).Add(10 * time.Second)
	if got := c.read(setBack); got != time.Minute {
		t.Errorf("after the clock was set back: %v", got)
	}
	if got := c.read(setBack.Add(2 * time.Second)); got != time.Minute+2*time.Second {
		t.Errorf("two seconds later: %v, want 1m2s", got)
	}
	if got := c.read(setBack); got != time.Minute+2*time.Second {
		t.Errorf("after the Unix clock was set back again: %v", got)
	}
}
