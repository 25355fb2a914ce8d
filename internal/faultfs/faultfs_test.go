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

// TestStalls has a disk stand still at the begin of each period.
func TestStalls(t *testing.T) {
	h := Profile{StallTime: 100 * time.Millisecond, StallInterval: time.Second}
	for at, want := range map[time.Duration]time.Duration{0: 100 * time.Millisecond, 40 * time.Millisecond: 60 * time.Millisecond,
		100 * time.Millisecond: 0, 999 * time.Millisecond: 0, 5*time.Second + 90*time.Millisecond: 10 * time.Millisecond} {
		if got := h.remainingStall(at); got != want {
			t.Errorf("at %v it stands for %v, want %v", at, got, want)
		}
	}
	if (Profile{StallTime: time.Second, StallInterval: time.Second}).Validate() == nil || h.Validate() != nil {
		t.Error("habits that make no sense are taken, or others are not")
	}
}

// TestFull has what takes room fail while the file is there, and what gives it back go on.
func TestFull(t *testing.T) {
	fsys, full := vfs.NewMem(), filepath.Join(t.TempDir(), "full")
	disk := Wrap(fsys, Profile{FullMarkerFile: full})
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
	if err := os.WriteFile(full, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := create(); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("a new file on a full disk: %v", err)
	}
	if err := disk.Remove("new"); err != nil {
		t.Errorf("a file removed: %v", err)
	}
	if err := os.Remove(full); err != nil {
		t.Fatal(err)
	}
	if err := create(); err != nil {
		t.Errorf("a new file once there is room: %v", err)
	}
}
