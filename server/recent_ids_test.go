package server

import (
	"testing"
	"time"
)

// TestRecentIDs tells IDs that come again within the time from new ones, and holds a bounded number.
func TestRecentIDs(t *testing.T) {
	m := newRecentIDs(10*time.Second, 100)
	if !m.add(1, 0) || m.add(1, time.Second) || m.add(1, 10*time.Second) {
		t.Error("an id is new once within its time")
	}
	if !m.add(2, 11*time.Second) || !m.add(3, 31*time.Second) || !m.add(1, 41*time.Second) {
		t.Error("an id was remembered for too long")
	}
	for id := range uint64(1000) {
		m.add(1000+id, 42*time.Second)
		if n := len(m.recent) + len(m.older); n > 100 {
			t.Fatalf("%d ids remembered", n)
		}
	}
	if m.add(1999, 42*time.Second) {
		t.Error("the newest id was forgotten")
	}
}
