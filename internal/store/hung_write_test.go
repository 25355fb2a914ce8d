package store

import (
	"cmp"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
)

// TestStuckWrite has a write never end: on a disk that is well, and on one that fails, it is given up, so that another engine
// takes the place of this one; while the disk itself stands still it is waited for.
func TestStuckWrite(t *testing.T) {
	const patience = time.Millisecond
	for _, disk := range []error{nil, syscall.ENOSPC} {
		e := &engine{failed: make(chan struct{})}
		err := e.writeWithTimeout(func(*pebble.DB) error { select {} }, func() error { return disk }, patience)
		if want := cmp.Or(disk, errWriteHung); !errors.Is(err, want) {
			t.Errorf("a write that does not end: %v, want %v", err, want)
		}
	}
	e := &engine{failed: make(chan struct{})}
	slow := make(chan struct{})
	standing := func() error { // until the write has gone on
		close(slow)
		select {}
	}
	if err := e.writeWithTimeout(func(*pebble.DB) error { <-slow; return nil }, standing, patience); err != nil {
		t.Errorf("a write on a disk that stood still: %v", err)
	}
}
