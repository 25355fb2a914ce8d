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

// TestStalls checks that the disk stalls at the start of each interval, and that Validate rejects a stall as long as the
// interval.
func TestStalls(t *testing.T) {
	profile := Profile{StallTime: 100 * time.Millisecond, StallInterval: time.Second}
	for at, want := range map[time.Duration]time.Duration{0: 100 * time.Millisecond, 40 * time.Millisecond: 60 * time.Millisecond,
		100 * time.Millisecond: 0, 999 * time.Millisecond: 0, 5*time.Second + 90*time.Millisecond: 10 * time.Millisecond} {
		if got := profile.remainingStall(at); got != want {
			t.Errorf("stall remaining at %v is %v, want %v", at, got, want)
		}
	}
	if (Profile{StallTime: time.Second, StallInterval: time.Second}).Validate() == nil || profile.Validate() != nil {
		t.Error("Validate accepts an invalid profile or rejects a valid one")
	}
}

// TestFull checks that operations that allocate space fail while the marker file exists, and that others succeed.
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
		t.Errorf("creating a file on a full disk: error %v, want ENOSPC", err)
	}
	if err := disk.Remove("new"); err != nil {
		t.Errorf("removing a file on a full disk: %v", err)
	}
	if err := os.Remove(marker); err != nil {
		t.Fatal(err)
	}
	if err := create(); err != nil {
		t.Errorf("creating a file after the disk has space again: %v", err)
	}
}
