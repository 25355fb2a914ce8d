// Package faultfs wraps a file system and injects the faults of a disk that stalls periodically or is full for a while.
// Scenarios and measurements use it; the production servers do not link it.
package faultfs

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
)

// Profile describes the faults of a disk. The zero value has no faults.
type Profile struct {
	StallTime      time.Duration // duration of each stall; 0 disables stalls
	StallInterval  time.Duration // time from the start of one stall to the start of the next
	FullMarkerFile string        // the disk is full while a file with this path exists; "" means never
}

// Validate returns an error if StallTime is negative or not shorter than StallInterval.
func (p Profile) Validate() error {
	if p.StallTime < 0 || p.StallTime > 0 && p.StallInterval <= p.StallTime {
		return fmt.Errorf("faultfs: stall time is %v, want at least 0 and less than the stall interval of %v", p.StallTime, p.StallInterval)
	}
	return nil
}

// remainingStall returns how long a call must wait for the end of a stall. The call arrives at the given time since the start.
// Each interval begins with a stall.
func (p Profile) remainingStall(at time.Duration) time.Duration {
	if p.StallTime <= 0 {
		return 0
	}
	return max(p.StallTime-at%p.StallInterval, 0)
}

// isFull reports whether the disk is full now.
func (p Profile) isFull() bool {
	if p.FullMarkerFile == "" {
		return false
	}
	_, err := os.Stat(p.FullMarkerFile)
	return err == nil
}

// allocatesSpace reports whether an operation fails on a full disk.
func allocatesSpace(op errorfs.Op) bool {
	switch op {
	case errorfs.OpCreate, errorfs.OpFileWrite, errorfs.OpFileWriteAt, errorfs.OpFilePreallocate, errorfs.OpMkdirAll, errorfs.OpReuseForRewrite:
		return true
	}
	return false
}

// Wrap returns a file system that adds the faults to fsys. During a stall, operations that modify the file system wait until
// the stall ends. While the disk is full, operations that allocate space fail with ENOSPC. Stalls are timed from the call of
// Wrap.
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
