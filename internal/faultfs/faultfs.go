// Package faultfs wraps a file layer with the faults of a disk: one that stalls periodically and one that is full for a while.
// Scenarios and measurements use it; the programs that serve do not link it.
package faultfs

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
)

// Profile is the faults of a disk; the zero value has none.
type Profile struct {
	StallTime      time.Duration // how long each stall lasts
	StallInterval  time.Duration // from the start of one stall to that of the next
	FullMarkerFile string        // the disk is full while a file of this name exists; "" is never
}

// Validate reports the first value that makes no sense.
func (p Profile) Validate() error {
	if p.StallTime < 0 || p.StallTime > 0 && p.StallInterval <= p.StallTime {
		return fmt.Errorf("sickdisk: a disk that stands still for %v every %v, want it to go on in between", p.StallTime, p.StallInterval)
	}
	return nil
}

// remainingStall returns how long a call waits that comes at a time since the start.
func (p Profile) remainingStall(at time.Duration) time.Duration {
	if p.StallTime <= 0 {
		return 0
	}
	return max(p.StallTime-at%p.StallInterval, 0)
}

// isFull tells whether the disk has no space now.
func (p Profile) isFull() bool {
	if p.FullMarkerFile == "" {
		return false
	}
	_, err := os.Stat(p.FullMarkerFile)
	return err == nil
}

// allocatesSpace tells whether an operation fails on a full disk.
func allocatesSpace(op errorfs.Op) bool {
	switch op {
	case errorfs.OpCreate, errorfs.OpFileWrite, errorfs.OpFileWriteAt, errorfs.OpFilePreallocate, errorfs.OpMkdirAll, errorfs.OpReuseForRewrite:
		return true
	}
	return false
}

// Wrap gives a file layer the faults. Operations that write wait during a stall.
func Wrap(fsys vfs.FS, profile Profile) vfs.FS {
	start := time.Now()
	return errorfs.Wrap(fsys, errorfs.InjectorFunc(func(op errorfs.Op, _ string) error {
		if op.OpKind() != errorfs.OpKindWrite {
			return nil
		}
		if wait := profile.remainingStall(time.Since(start)); wait > 0 {
			time.Sleep(wait)
		}
		if allocatesSpace(op) && profile.isFull() {
			return syscall.ENOSPC
		}
		return nil
	}))
}
