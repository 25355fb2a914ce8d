package faultfs

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
)

// TestStalls has the disk stall at the start of each interval.
func TestStalls(t *testing.T) {
	profile := Profile{StallTime: 100 * time.Millisecond, StallInterval: time.Second}
	for at, want := range map[time.Duration]time.Duration{0: 100 * time.Millisecond, 40 * time.Millisecond: 60 * time.Millisecond,
		100 * time.Millisecond: 0, 999 * time.Millisecond: 0, 5*time.Second + 90*time.Millisecond: 10 * time.Millisecond} {
		if got := profile.remainingStall(at); got != want {
			t.Errorf("at %v it stalls for %v, want %v", at, got, want)
		}
	}
	if (Profile{StallTime: time.Second, StallInterval: time.Second}).Validate() == nil || profile.Validate() != nil {
		t.Error("a profile that makes no sense is accepted, or another is not")
	}
}

// TestFull has operations that allocate space fail while the marker file exists, and others go on.
func TestFull(t *testing.T) {
	fsys, marker := vfs.NewMem(), filepath.Join(t.TempDir(), "full")
	disk := Wrap(fsys, Profile{FullMarkerFile: marker})
	create := func() error {
		f, err := disk.Create("new")
		if err != nil {
			return err
		}
		return f.Close()
	}
	if err := create(); err != nil {
		t.Error(err)
	}
	if err := os.WriteFile(marker, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := create(); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a new file on a full disk: %v", err)
	}
	if err := disk.Remove("new"); err != nil {
		t.Errorf("a file removed: %v", err)
	}
	if err := os.Remove(marker); err != nil {
		t.Fatal(err)
	}
	if err := create(); err != nil {
		t.Errorf("a new file once there is space: %v", err)
	}
}
