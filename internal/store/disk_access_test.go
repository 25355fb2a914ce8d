package store

import (
	"errors"
	"testing"

	"github.com/cockroachdb/pebble/vfs"
)

// openAccessed creates, reuses and opens files of a directory through an access.
func openAccessed(t *testing.T, disk *diskAccess) map[string]vfs.File {
	t.Helper()
	opened := map[string]vfs.File{}
	add := func(name string, file vfs.File, err error) {
		if err != nil {
			t.Fatal(err)
		}
		opened[name] = file
	}
	if err := disk.MkdirAll("/d", 0o755); err != nil {
		t.Fatal(err)
	}
	file, err := disk.Create("/d/created")
	add("created", file, err)
	old, err := disk.Create("/d/old")
	if err == nil {
		err = old.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	file, err = disk.ReuseForWrite("/d/old", "/d/reused")
	add("reused", file, err)
	file, err = disk.OpenReadWrite("/d/created")
	add("opened for writing", file, err)
	file, err = disk.Open("/d/created")
	add("opened", file, err)
	file, err = disk.OpenDir("/d")
	add("directory", file, err)
	return opened
}

// TestDetachedDisk checks that after a detachment every call through the access fails, also on files that were opened before,
// and that nothing changes on the disk.
func TestDetachedDisk(t *testing.T) {
	fs := vfs.NewMem()
	disk := newDiskAccess(fs)
	files := openAccessed(t, disk)
	disk.detach()
	open := func(_ vfs.File, err error) error { return err }
	for name, call := range map[string]func() error{
		"Create":        func() error { return open(disk.Create("/d/new")) },
		"Open":          func() error { return open(disk.Open("/d/created")) },
		"OpenReadWrite": func() error { return open(disk.OpenReadWrite("/d/new")) },
		"OpenDir":       func() error { return open(disk.OpenDir("/d")) },
		"ReuseForWrite": func() error { return open(disk.ReuseForWrite("/d/reused", "/d/new")) },
		"Link":          func() error { return disk.Link("/d/created", "/d/new") },
		"Remove":        func() error { return disk.Remove("/d/created") },
		"RemoveAll":     func() error { return disk.RemoveAll("/d") },
		"Rename":        func() error { return disk.Rename("/d/created", "/d/new") },
		"MkdirAll":      func() error { return disk.MkdirAll("/d/new", 0o755) },
		"List":          func() error { _, err := disk.List("/d"); return err },
		"Stat":          func() error { _, err := disk.Stat("/d/created"); return err },
		"GetDiskUsage":  func() error { _, err := disk.GetDiskUsage("/d"); return err },
	} {
		if err := call(); !errors.Is(err, errDetached) {
			t.Errorf("%s: error %v, want %v", name, err, errDetached)
		}
	}
	buf := []byte("x")
	for name, file := range files {
		for method, call := range map[string]func() error{
			"Read":        func() error { _, err := file.Read(buf); return err },
			"ReadAt":      func() error { _, err := file.ReadAt(buf, 0); return err },
			"Write":       func() error { _, err := file.Write(buf); return err },
			"WriteAt":     func() error { _, err := file.WriteAt(buf, 0); return err },
			"Preallocate": func() error { return file.Preallocate(0, 1) },
			"Stat":        func() error { _, err := file.Stat(); return err },
			"Sync":        file.Sync,
			"SyncData":    file.SyncData,
			"SyncTo":      func() error { _, err := file.SyncTo(1); return err },
		} {
			if err := call(); !errors.Is(err, errDetached) {
				t.Errorf("%s of the file %s: error %v, want %v", method, name, err, errDetached)
			}
		}
		if err := file.Close(); err != nil {
			t.Errorf("close the file %s: %v", name, err)
		}
	}
	names, err := fs.List("/d")
	if err != nil || len(names) != 2 {
		t.Errorf("files %v, error %v; want created and reused", names, err)
	}
}

// TestWaitIdle checks that waitIdle waits for a call that began before the detachment, and not for longer than its timeout.
func TestWaitIdle(t *testing.T) {
	disk := newDiskAccess(vfs.NewMem())
	begun, proceed := make(chan bool), make(chan bool)
	go disk.do(func() error {
		close(begun)
		<-proceed
		return nil
	})
	<-begun
	disk.detach()
	if err := disk.waitIdle(0); !errors.Is(err, errDiskStalled) {
		t.Errorf("waiting while a call is in progress: error %v, want %v", err, errDiskStalled)
	}
	close(proceed)
	if err := disk.waitIdle(writeDeadline); err != nil {
		t.Errorf("waiting for the end of a call: %v", err)
	}
	if err := disk.waitIdle(0); err != nil {
		t.Errorf("waiting without a call: %v", err)
	}
}
