package store

import (
	"cmp"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
)

// TestHungWrite has a write never end: on a disk that works, and on one that fails, it is abandoned, so that another
// engine replaces this one; while the disk itself stalls the write is waited for.
func TestHungWrite(t *testing.T) {
	const timeout = time.Millisecond
	for _, disk := range []error{nil, syscall.ENOSPC} {
		e := &engine{failed: make(chan struct{})}
		err := e.writeWithTimeout(func(*pebble.DB) error { select {} }, func() error { return disk }, timeout)
		if want := cmp.Or(disk, errWriteHung); !errors.Is(err, want) {
			t.Errorf("a write that does not end: %v, want %v", err, want)
		}
	}
	e := &engine{failed: make(chan struct{})}
	slow := make(chan struct{})
	stalledProbe := func() error { // until the write went on
		close(slow)
		select {}
	}
	if err := e.writeWithTimeout(func(*pebble.DB) error { <-slow; return nil }, stalledProbe, timeout); err != nil {
		t.Errorf("a write on a disk that stalled: %v", err)
	}
}
