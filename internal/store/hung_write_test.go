package store

import (
	"cmp"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
)

// TestHungWrite checks that a write that never ends is abandoned, on a disk that works and on one that fails, so that a new
// engine can replace this one. While the disk itself stalls, writeWithTimeout must wait for the write.
func TestHungWrite(t *testing.T) {
	const timeout = time.Millisecond
	for _, disk := range []error{nil, syscall.ENOSPC} {
		e := &engine{failed: make(chan struct{})}
		err := e.writeWithTimeout(func(*pebble.DB) error { select {} }, func() error { return disk }, timeout)
		if want := cmp.Or(disk, errWriteHung); !errors.Is(err, want) {
			t.Errorf("write that never ends: error %v, want %v", err, want)
		}
	}
	e := &engine{failed: make(chan struct{})}
	probeStarted := make(chan struct{})
	stalledProbe := func() error { // lets the write end and never returns
		close(probeStarted)
		select {}
	}
	if err := e.writeWithTimeout(func(*pebble.DB) error { <-probeStarted; return nil }, stalledProbe, timeout); err != nil {
		t.Errorf("write on a stalled disk: %v", err)
	}
}
