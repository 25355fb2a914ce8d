package store

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"
)

// engine is an open Pebble database. Pebble does not continue after a failed write: it may call Fatalf to end the process, or
// block while it holds its locks. Therefore all work that may write runs on a goroutine that can be abandoned, a failed engine
// is detached from the disk, and a new engine replaces it once the disk works again.
type engine struct {
	db     *pebble.DB
	disk   *diskAccess
	failed chan struct{} // closed on the first failure

	mu  sync.Mutex
	err error // the first failure
}

// Limits that bound the memory and the open files of the database, since the server may have little memory.
const (
	cacheBytes    = 1 << 20
	memTableBytes = 512 << 10
	maxMemTables  = 4
	maxOpenFiles  = 32
)

const (
	// closeTimeout is how long to wait for an engine to close, or for the writer to finish.
	closeTimeout = 500 * time.Millisecond
	// hungWriteTimeout is how long a write may take before the disk is probed, to distinguish a hung engine from a stalled disk.
	hungWriteTimeout = 5 * time.Second
	// maxL0Files is the number of files waiting for compaction at which Pebble stalls writes. It is too high to be reached:
	// compaction only speeds up reads, and the store reads only at startup.
	maxL0Files = 1 << 20
)

// openEngine opens the database of a directory through the given access, which it detaches if it fails. The caller must hold
// the directory's lock, and the access of an earlier engine must be detached and idle.
func openEngine(config Config, disk *diskAccess) (*engine, error) {
	opened := &engine{disk: disk, failed: make(chan struct{})}
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	options := opened.options(config, cache)
	var db *pebble.DB
	err := opened.runAbandonable(func() (err error) {
		db, err = pebble.Open(config.Dir, options)
		return err
	})
	if err != nil {
		disk.detach()
		return nil, openError(config.Dir, err)
	}
	opened.db = db
	return opened, nil
}

// options returns the Pebble options of the engine.
func (e *engine) options(config Config, cache *pebble.Cache) *pebble.Options {
	return &pebble.Options{
		FS:                          e.disk,
		Logger:                      e,
		ReadOnly:                    config.ReadOnly,
		ErrorIfNotExists:            config.ReadOnly,
		Cache:                       cache,
		MaxOpenFiles:                maxOpenFiles,
		MemTableSize:                memTableBytes,
		MemTableStopWritesThreshold: maxMemTables,
		DisableAutomaticCompactions: true,
		MaxConcurrentCompactions:    func() int { return 1 },
		L0StopWritesThreshold:       maxL0Files,
	}
}

// Infof implements pebble.Logger. It discards the message, since failures are returned as errors.
func (e *engine) Infof(string, ...interface{}) {}

// Errorf implements pebble.Logger. It discards the message, since failures are returned as errors.
func (e *engine) Errorf(string, ...interface{}) {}

// Fatalf implements pebble.Logger. It records the failure and blocks forever: it must not return, and since its caller may hold
// Pebble's locks, the goroutine is abandoned.
func (e *engine) Fatalf(format string, args ...interface{}) {
	for _, arg := range args {
		if err, ok := arg.(error); ok { // unlike the formatted message, the cause works with errors.Is
			e.fail(err)
		}
	}
	e.fail(fmt.Errorf(format, args...))
	select {}
}

// fail records the first failure and closes e.failed. Later failures are ignored.
func (e *engine) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
		close(e.failed)
	}
}

// runAbandonable runs work on a new goroutine and returns its error. If the engine fails before work ends, it abandons the
// goroutine and returns the engine's failure.
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

// recoverPanic turns a panic into a failure of the engine. Pebble panics on violated invariants, which corruption may cause.
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

// withDB runs work on the engine's database, as runAbandonable does.
func (e *engine) withDB(work func(db *pebble.DB) error) error {
	return e.runAbandonable(func() error { return work(e.db) })
}

// writeWithTimeout is like withDB, but probes the disk if work takes longer than timeout. If the probe ends before work does,
// the engine counts as failed and the write is abandoned: Pebble may hang after a failed write. While the disk itself stalls,
// the probe does not end, and writeWithTimeout waits for the write.
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
		e.fail(cmp.Or(err, errWriteHung)) // the engine is replaced even if the write ends at this moment
		return <-written
	}
}

// close closes the database. If that takes longer than closeTimeout, it detaches the engine and returns errDiskStalled.
func (e *engine) close() error {
	closed := make(chan error, 1)
	go func() { closed <- e.withDB((*pebble.DB).Close) }()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		e.disk.detach()
		return errDiskStalled
	}
}
