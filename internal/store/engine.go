package store

import (
	"cmp"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
)

// engine is one opening of a directory's database. Pebble does not continue after a failed write: it may call Fatalf to end
// the process, or block with its locks held. So all work that may write runs on a goroutine that can be abandoned, a failed
// engine is detached from the disk, and another replaces it once the disk works again.
type engine struct {
	db     *pebble.DB
	failed chan struct{} // closed by the first failure, which is in err

	mu       sync.Mutex
	err      error
	detached bool // every call to the disk fails from now on
}

// The share of a small server's memory that the database may take.
const (
	cacheBytes    = 1 << 20
	memTableBytes = 512 << 10
	memTables     = 4
	openFiles     = 32
)

const (
	// closeTimeout is how long to wait for an engine or the writer to end.
	closeTimeout = 500 * time.Millisecond
	// hungWriteAfter is how long a write may take before the disk is probed, to distinguish a hung engine from a stalled disk.
	hungWriteAfter = 5 * time.Second
	// maxL0Files is how many files may wait for compaction before writes stall. It is so high that they never do: compaction
	// speeds up reads, and the store reads only at the start.
	maxL0Files = 1 << 20
)

// lockedByStore is a file layer whose directory the store itself has locked, for longer than one engine lasts.
type lockedByStore struct{ vfs.FS }

// Lock implements vfs.FS.
func (lockedByStore) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// openEngine opens the database of a directory that is locked.
func openEngine(config Config) (*engine, error) {
	opened := &engine{failed: make(chan struct{})}
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	options := opened.options(config, cache)
	var db *pebble.DB
	err := opened.runAbandonable(func() (err error) {
		db, err = pebble.Open(config.Dir, options)
		return err
	})
	if err != nil {
		opened.detach()
		return nil, openError(config.Dir, err)
	}
	opened.db = db
	return opened, nil
}

// options returns the options for Pebble.
func (e *engine) options(config Config, cache *pebble.Cache) *pebble.Options {
	disk := errorfs.Wrap(config.FS, errorfs.InjectorFunc(e.checkAttached))
	return &pebble.Options{
		FS:                          lockedByStore{disk},
		Logger:                      e,
		ReadOnly:                    config.ReadOnly,
		ErrorIfNotExists:            config.ReadOnly,
		Cache:                       cache,
		MaxOpenFiles:                openFiles,
		MemTableSize:                memTableBytes,
		MemTableStopWritesThreshold: memTables,
		DisableAutomaticCompactions: true,
		MaxConcurrentCompactions:    func() int { return 1 },
		L0StopWritesThreshold:       maxL0Files,
	}
}

// checkAttached fails all calls to the disk of an engine that was detached.
func (e *engine) checkAttached(errorfs.Op, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.detached {
		return errDetached
	}
	return nil
}

// Infof implements pebble.Logger. It discards the message, since failures are returned as errors.
func (e *engine) Infof(string, ...interface{}) {}

// Errorf implements pebble.Logger. It discards the message, since failures are returned as errors.
func (e *engine) Errorf(string, ...interface{}) {}

// Fatalf implements pebble.Logger. It must not return, and its caller may hold Pebble's locks, so the goroutine is abandoned.
func (e *engine) Fatalf(format string, args ...interface{}) {
	for _, arg := range args {
		if err, ok := arg.(error); ok { // unlike the message, the cause works with errors.Is
			e.fail(err)
		}
	}
	e.fail(fmt.Errorf(format, args...))
	select {}
}

// fail records the first failure.
func (e *engine) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
		close(e.failed)
	}
}

// detach fails all calls to the disk from now on, so that an abandoned goroutine cannot disturb the next engine.
func (e *engine) detach() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detached = true
}

// runAbandonable runs work, which may write, and returns once it is done or the engine failed.
func (e *engine) runAbandonable(work func() error) error {
	done := make(chan error, 1)
	go func() {
		defer e.recoverPanic()
		done <- work()
	}()
	select {
	case err := <-done:
		return err
	case <-e.failed:
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.err
	}
}

// recoverPanic turns a panic into a failure. Pebble panics on violated invariants, which corruption may cause.
func (e *engine) recoverPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	err, ok := reason.(error)
	if !ok {
		err = fmt.Errorf("%v", reason)
	}
	e.fail(fmt.Errorf("%w: %w", ErrCorrupt, err))
}

// withDB runs work on the database, as runAbandonable does.
func (e *engine) withDB(work func(db *pebble.DB) error) error {
	return e.runAbandonable(func() error { return work(e.db) })
}

// writeWithTimeout is withDB, but abandons a write that does not end although a probe of the disk does: Pebble may hang
// after a write that failed. While the disk itself stalls, it waits.
func (e *engine) writeWithTimeout(work func(db *pebble.DB) error, probe func() error, timeout time.Duration) error {
	written := make(chan error, 1)
	go func() { written <- e.withDB(work) }()
	select {
	case err := <-written:
		return err
	case <-time.After(timeout):
	}
	probed := make(chan error, 1)
	go func() { probed <- probe() }()
	select {
	case err := <-written:
		return err
	case err := <-probed:
		e.fail(cmp.Or(err, errWriteHung)) // the engine is replaced even if the write ended just now
		return <-written
	}
}

// close ends an engine, or detaches it where that takes too long.
func (e *engine) close() error {
	closed := make(chan error, 1)
	go func() { closed <- e.withDB((*pebble.DB).Close) }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		e.detach()
		return errDiskStalled
	}
}
