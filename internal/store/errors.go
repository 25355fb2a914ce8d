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

// Errors returned by Open. They are wrapped with the directory's name and details.
var (
	ErrInUse        = errors.New("store: another process uses the state directory")
	ErrForeign      = errors.New("store: the state directory belongs to another server or site")
	ErrNewerVersion = errors.New("store: the state directory has a newer format version")
	ErrCorrupt      = errors.New("store: the state directory is damaged")
	ErrNoStore      = errors.New("store: the state directory has no store")
)

// Errors returned by Write.
var (
	ErrBusy   = errors.New("store: too many bytes are waiting to be written")
	ErrClosed = errors.New("store: the store is closed")
)

// Errors of engines. Callers get them as the reason why an operation failed.
var (
	errDetached     = errors.New("store: the database is closed, or detached from the disk after a failure")
	errDiskStalled  = errors.New("store: the disk is stalled")
	errTooManyStuck = errors.New("store: the database is not reopened: too many failed instances of it have not closed")
	errWriteHung    = errors.New("store: a write hangs although the disk completes other writes")
)

// pebbleLockHeld is a part of the error text of Pebble's in-process lock, which has no error value to compare with.
const pebbleLockHeld = "lock held by current process"

// openError wraps the reason why a directory could not be opened. An unknown reason counts as ErrCorrupt.
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

// isLockConflict reports whether an error means that the directory is locked, by another process or by another Store of this
// one. EACCES may also mean missing permissions, so in that case the lock itself is tested.
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
