package store

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/vfs"
)

// diskAccess is a file system that can be detached: from then on every call fails. An engine gets its own, so that an abandoned
// goroutine of a failed engine can't interfere with the next one. A call that has begun before the detachment is not
// interrupted, so the next engine must not be opened before waitIdle has returned nil.
//
// Lock does nothing, since the Store holds the directory's lock, and keeps it when it replaces an engine.
type diskAccess struct {
	vfs.FS // its methods that do not use the disk are used as they are

	mu         sync.Mutex
	isDetached bool
	calls      int // calls to the disk that have begun and not ended
	// idle is closed when the last call ends after the detachment. It is nil while nobody waits for that.
	idle chan struct{}
}

// newDiskAccess returns access to a file system.
func newDiskAccess(fs vfs.FS) *diskAccess { return &diskAccess{FS: fs} }

// detach makes all calls that begin later fail with errDetached.
func (d *diskAccess) detach() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDetached = true
}

// waitIdle waits until no call to the disk is in progress, after a detachment. It returns errDiskStalled if that takes longer
// than the timeout.
func (d *diskAccess) waitIdle(timeout time.Duration) error {
	d.mu.Lock()
	if d.calls == 0 {
		d.mu.Unlock()
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	d.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-time.After(timeout):
		return errDiskStalled
	}
}

// begin begins a call to the disk. If it returns nil, the caller must call end after the call.
func (d *diskAccess) begin() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDetached {
		return errDetached
	}
	d.calls++
	return nil
}

// end ends a call to the disk.
func (d *diskAccess) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls--
	if d.calls == 0 && d.isDetached && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// accessDisk makes one call to the disk and returns its results.
func accessDisk[Result any](disk *diskAccess, call func() (Result, error)) (result Result, err error) {
	if err := disk.begin(); err != nil {
		return result, err
	}
	defer disk.end()
	return call()
}

// do makes one call to the disk that returns only an error.
func (d *diskAccess) do(call func() error) error {
	_, err := accessDisk(d, func() (struct{}, error) { return struct{}{}, call() })
	return err
}

// open opens a file by one call to the disk.
func (d *diskAccess) open(call func() (vfs.File, error), options ...vfs.OpenOption) (vfs.File, error) {
	return accessDisk(d, func() (vfs.File, error) {
		file, err := call()
		if err != nil {
			return nil, err
		}
		accessed := &accessedFile{File: file, disk: d}
		for _, option := range options {
			option.Apply(accessed)
		}
		return accessed, nil
	})
}

// Lock implements vfs.FS.
func (d *diskAccess) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// Create implements vfs.FS.
func (d *diskAccess) Create(name string) (vfs.File, error) {
	return d.open(func() (vfs.File, error) { return d.FS.Create(name) })
}

// Open implements vfs.FS.
func (d *diskAccess) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	return d.open(func() (vfs.File, error) { return d.FS.Open(name) }, options...)
}

// OpenReadWrite implements vfs.FS.
func (d *diskAccess) OpenReadWrite(name string, options ...vfs.OpenOption) (vfs.File, error) {
	return d.open(func() (vfs.File, error) { return d.FS.OpenReadWrite(name) }, options...)
}

// OpenDir implements vfs.FS.
func (d *diskAccess) OpenDir(name string) (vfs.File, error) {
	return d.open(func() (vfs.File, error) { return d.FS.OpenDir(name) })
}

// ReuseForWrite implements vfs.FS.
func (d *diskAccess) ReuseForWrite(oldName, newName string) (vfs.File, error) {
	return d.open(func() (vfs.File, error) { return d.FS.ReuseForWrite(oldName, newName) })
}

// Link implements vfs.FS.
func (d *diskAccess) Link(oldName, newName string) error {
	return d.do(func() error { return d.FS.Link(oldName, newName) })
}

// Remove implements vfs.FS.
func (d *diskAccess) Remove(name string) error {
	return d.do(func() error { return d.FS.Remove(name) })
}

// RemoveAll implements vfs.FS.
func (d *diskAccess) RemoveAll(name string) error {
	return d.do(func() error { return d.FS.RemoveAll(name) })
}

// Rename implements vfs.FS.
func (d *diskAccess) Rename(oldName, newName string) error {
	return d.do(func() error { return d.FS.Rename(oldName, newName) })
}

// MkdirAll implements vfs.FS.
func (d *diskAccess) MkdirAll(dir string, mode os.FileMode) error {
	return d.do(func() error { return d.FS.MkdirAll(dir, mode) })
}

// List implements vfs.FS.
func (d *diskAccess) List(dir string) ([]string, error) {
	return accessDisk(d, func() ([]string, error) { return d.FS.List(dir) })
}

// Stat implements vfs.FS.
func (d *diskAccess) Stat(name string) (os.FileInfo, error) {
	return accessDisk(d, func() (os.FileInfo, error) { return d.FS.Stat(name) })
}

// GetDiskUsage implements vfs.FS.
func (d *diskAccess) GetDiskUsage(path string) (vfs.DiskUsage, error) {
	return accessDisk(d, func() (vfs.DiskUsage, error) { return d.FS.GetDiskUsage(path) })
}

// accessedFile is a file that was opened through a diskAccess. Close always closes the file: it changes nothing on the disk.
type accessedFile struct {
	vfs.File
	disk *diskAccess
}

// Read implements vfs.File.
func (f *accessedFile) Read(p []byte) (int, error) {
	return accessDisk(f.disk, func() (int, error) { return f.File.Read(p) })
}

// ReadAt implements vfs.File.
func (f *accessedFile) ReadAt(p []byte, offset int64) (int, error) {
	return accessDisk(f.disk, func() (int, error) { return f.File.ReadAt(p, offset) })
}

// Write implements vfs.File.
func (f *accessedFile) Write(p []byte) (int, error) {
	return accessDisk(f.disk, func() (int, error) { return f.File.Write(p) })
}

// WriteAt implements vfs.File.
func (f *accessedFile) WriteAt(p []byte, offset int64) (int, error) {
	return accessDisk(f.disk, func() (int, error) { return f.File.WriteAt(p, offset) })
}

// Preallocate implements vfs.File.
func (f *accessedFile) Preallocate(offset, length int64) error {
	return f.disk.do(func() error { return f.File.Preallocate(offset, length) })
}

// Stat implements vfs.File.
func (f *accessedFile) Stat() (os.FileInfo, error) { return accessDisk(f.disk, f.File.Stat) }

// Sync implements vfs.File.
func (f *accessedFile) Sync() error { return f.disk.do(f.File.Sync) }

// SyncData implements vfs.File.
func (f *accessedFile) SyncData() error { return f.disk.do(f.File.SyncData) }

// SyncTo implements vfs.File.
func (f *accessedFile) SyncTo(length int64) (isFullSync bool, err error) {
	return accessDisk(f.disk, func() (bool, error) { return f.File.SyncTo(length) })
}
