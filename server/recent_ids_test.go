package server

import (
	"testing"
	"time"
)

// TestRecentIDs checks that an ID that arrives again within the retention is not new, and that the set is bounded.
func TestRecentIDs(t *testing.T) {
	ids := newRecentIDs(10*time.Second, 100)
	if !ids.add(1, 0) || ids.add(1, time.Second) || ids.add(1, 10*time.Second) {
		t.Error("want an ID to be new once within the retention")
	}
	if !ids.add(2, 11*time.Second) || !ids.add(3, 31*time.Second) || !ids.add(1, 41*time.Second) {
		t.Error("an ID was stored for too long")
	}
	for id := range uint64(1000) {
		ids.add(1000+id, 42*time.Second)
		if n := len(ids.recent) + len(ids.older); n > 100 {
			t.Fatalf("%d IDs stored, want at most 100", n)
		}
	}
	if ids.add(1999, 42*time.Second) {
		t.Error("the newest ID is not stored")
	}
}
