// Package sickdisk is a file layer with the habits of a sick disk, for rehearsals and measurements: one that stands still now
// and then, and one that is full for a while. The programs that serve do not link it.
package faultfs

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
)

// Profile are what a disk does; the zero value is a sound one.
type Profile struct {
	StallTime      time.Duration // how long it stands still at a time
	StallInterval  time.Duration // from the begin of one such time to the next
	FullMarkerFile string        // it is full while a file of this name is there; "" is never
}

// Validate names the first value that makes no sense.
func (h Profile) Validate() error {
	switch {
	case h.StallTime < 0 || h.StallTime > 0 && h.StallInterval <= h.StallTime:
		return fmt.Errorf("sickdisk: a disk that stands still for %v every %v, want it to go on in between", h.StallTime, h.StallInterval)
	}
	return nil
}

// remainingStall is for how long a call waits that comes at a time.
func (h Profile) remainingStall(at time.Duration) time.Duration {
	if h.StallTime <= 0 {
		return 0
	}
	return max(h.StallTime-at%h.StallInterval, 0)
}

// isFull tells whether there is no room.
func (h Profile) isFull() bool {
	if h.FullMarkerFile == "" {
		return false
	}
	_, err := os.Stat(h.FullMarkerFile)
	return err == nil
}

// allocatesSpace are the calls that a full disk fails.
func allocatesSpace(op errorfs.Op) bool {
	switch op {
	case errorfs.OpCreate, errorfs.OpFileWrite, errorfs.OpFileWriteAt, errorfs.OpFilePreallocate, errorfs.OpMkdirAll, errorfs.OpReuseForRewrite:
		return true
	}
	return false
}

// Wrap gives a file layer habits. Calls that write wait while the disk stands still.
func Wrap(fsys vfs.FS, h Profile) vfs.FS {
	begun := time.Now()
	return errorfs.Wrap(fsys, errorfs.InjectorFunc(func(op errorfs.Op, _ string) error {
		if op.OpKind() != errorfs.OpKindWrite {
			return nil
		}
		if wait := h.remainingStall(time.Since(begun)); wait > 0 {
			time.Sleep(wait)
		}
		if allocatesSpace(op) && h.isFull() {
			return syscall.ENOSPC
		}
		return nil
	}))
}
