package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// The errors of opening a directory. They are wrapped with the directory's name and the details.
var (
	ErrInUse        = errors.New("store: another process uses the folder")
	ErrForeign      = errors.New("store: the folder is another server's")
	ErrNewerVersion = errors.New("store: the folder is of a newer version")
	ErrCorrupt      = errors.New("store: the folder is damaged")
	ErrNoStore      = errors.New("store: the folder has no store")
)

// The errors of Write.
var (
	ErrBusy   = errors.New("store: too much waits to be written")
	ErrClosed = errors.New("store: it is closed")
)

// The errors of engines, which reach callers as the reason that a write failed.
var (
	errDetached     = errors.New("store: cut off after a failure")
	errDiskStalled  = errors.New("store: the disk stands still")
	errTooManyStuck = errors.New("store: it failed too often to be taken up again")
	errWriteHung    = errors.New("store: a write does not end, though the disk takes others down")
)

// pebbleLockHeld is the error text of Pebble's in-process lock, which has no error value to compare with.
const pebbleLockHeld = "lock held by current process"

// openError classifies why a directory could not be opened.
func openError(dir string, err error) error {
	switch {
	case isLockConflict(dir, err):
		return fmt.Errorf("%s: %w", dir, ErrInUse)
	case errors.Is(err, fs.ErrPermission), errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EIO), errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%s: store: %w", dir, err)
	case errors.Is(err, ErrCorrupt):
		return fmt.Errorf("%s: %w", dir, err)
	}
	return fmt.Errorf("%s: %w: %w", dir, ErrCorrupt, err)
}

// isLockConflict reports whether an error means that another process has the directory's lock. EACCES may also mean missing
// permissions, so the lock itself is tested.
func isLockConflict(dir string, err error) bool {
	return errors.Is(err, syscall.EAGAIN) ||
		errors.Is(err, syscall.EACCES) && isLockedByOther(dir) ||
		strings.Contains(err.Error(), pebbleLockHeld)
}

// isLockedByOther reports whether another process holds the directory's lock.
func isLockedByOther(dir string) bool {
	f, err := os.Open(filepath.Join(dir, lockName))
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == syscall.EWOULDBLOCK
}
