package store

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/cockroachdb/pebble/vfs/errorfs"
)

// currentEngine is one opening of a folder's records. Pebble does not go on after a write that failed: it may ask for the end of the
// process, or stand still with its locks held. So whatever may write runs on a goroutine that can be left behind, an engine
// that failed is cut off from the disk, and another takes its place once the disk is well.
type engine struct {
	db     *pebble.DB
	failed chan struct{} // closed by the first failure, which is in err

	mu       sync.Mutex
	err      error
	detached bool // cut off from the disk
}

// The errors of engines.
var (
	errDetached     = errors.New("store: cut off after a failure")
	errDiskStalled  = errors.New("store: the disk stands still")
	errTooManyStuck = errors.New("store: it failed too often to be taken up again")
	errWriteHung    = errors.New("store: a write does not end, though the disk takes others down")
)

const (
	// closeTimeout is how long the end of an engine is waited for.
	closeTimeout = 500 * time.Millisecond
	// hungWriteAfter is how long a write may take before the disk is asked whether it takes down others meanwhile.
	hungWriteAfter = 5 * time.Second
	// maxL0Files is how many files may wait to be rewritten: so many that writes never wait for it. Reads are at the start only.
	maxL0Files = 1 << 20
	// maxStuckEngines is how many engines may fail without an end. Each holds on to about a megabyte.
	maxStuckEngines = 8
	// probeBytes is how much room a disk has to have, and to take down, before records are taken up again.
	probeBytes = 2 * memTableBytes
	probeName  = "probe"
)

// lockedByStore is a file layer whose folder the store has locked itself, for longer than one engine lasts.
type lockedByStore struct{ vfs.FS }

// Lock implements vfs.FS.
func (lockedByStore) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// openEngine opens the records of a folder that is locked.
func openEngine(c Config) (*engine, error) {
	e := &engine{failed: make(chan struct{})}
	disk := errorfs.Wrap(c.FS, errorfs.InjectorFunc(func(errorfs.Op, string) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.detached {
			return errDetached
		}
		return nil
	}))
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	var db *pebble.DB
	err := e.runAbandonable(func() (err error) {
		db, err = pebble.Open(c.Dir, &pebble.Options{FS: lockedByStore{disk}, Cache: cache, MemTableSize: memTableBytes, MemTableStopWritesThreshold: 4,
			MaxOpenFiles: openFiles, ReadOnly: c.ReadOnly, Logger: e, ErrorIfNotExists: c.ReadOnly, MaxConcurrentCompactions: func() int { return 1 },
			DisableAutomaticCompactions: true, L0StopWritesThreshold: maxL0Files})
		return err
	})
	if err != nil {
		e.detach()
		return nil, openError(c.Dir, err)
	}
	e.db = db
	return e, nil
}

// Infof and Errorf keep what Pebble has to say out of the log: what matters comes back as errors.
func (e *engine) Infof(string, ...interface{}) {}

// Errorf implements pebble.Logger.
func (e *engine) Errorf(string, ...interface{}) {}

// Fatalf implements pebble.Logger. It must not return, and whoever called may hold locks: the goroutine is left behind.
func (e *engine) Fatalf(format string, args ...interface{}) {
	for _, a := range args {
		if err, ok := a.(error); ok { // the cause itself tells more than the text
			e.fail(err)
		}
	}
	e.fail(fmt.Errorf(format, args...))
	select {}
}

// fail notes the first failure.
func (e *engine) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
		close(e.failed)
	}
}

// detach keeps an engine from the disk from now on: what it may still do must not meet what comes after it.
func (e *engine) detach() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detached = true
}

// runAbandonable has something done that may write, and returns once it is done or the engine failed.
func (e *engine) runAbandonable(work func() error) error {
	done := make(chan error, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil { // Pebble panics on what it takes for its own fault, damage among it
				err, ok := r.(error)
				if !ok {
					err = fmt.Errorf("%v", r)
				}
				e.fail(fmt.Errorf("%w: %w", ErrCorrupt, err))
			}
		}()
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

// withDB is guard with the records.
func (e *engine) withDB(work func(db *pebble.DB) error) error {
	return e.runAbandonable(func() error { return work(e.db) })
}

// writeWithTimeout is do, but gives up where that does not end though the disk takes others down or fails: Pebble may stand still after
// a write that failed, and say nothing. While the disk itself stands still there is nothing to do but wait.
func (e *engine) writeWithTimeout(work func(db *pebble.DB) error, probe func() error, timeout time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- e.withDB(work) }()
	select {
	case err := <-ended:
		return err
	case <-time.After(timeout):
	}
	probed := make(chan error, 1)
	go func() { probed <- probe() }()
	select {
	case err := <-ended:
		return err
	case err := <-probed:
		e.fail(cmp.Or(err, errWriteHung)) // an engine that failed or went on just now is given up all the same
		return <-ended
	}
}

// close ends an engine, or leaves it behind where it does not end soon.
func (e *engine) close() error {
	ended := make(chan error, 1)
	go func() { ended <- e.withDB((*pebble.DB).Close) }()
	select {
	case err := <-ended:
		return err
	case <-time.After(closeTimeout):
		e.detach()
		return errDiskStalled
	}
}

// withDB has something done with the records, by the engine of the moment.
func (s *Store) withDB(work func(db *pebble.DB) error) error {
	s.mu.RLock()
	e := s.engine
	s.mu.RUnlock()
	if e == nil {
		return errDetached
	}
	return e.withDB(work)
}

// abandonEngine gives up an engine that failed.
func (s *Store) abandonEngine(e *engine) {
	e.detach()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine != e {
		return
	}
	s.engine = nil
	s.stuck++
	go func() {
		defer func() {
			recover() // it failed before; what it holds on to stays counted
		}()
		e.db.Close() // nothing that it says counts any more
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stuck--
	}()
}

// probeDisk asks a disk that failed whether it takes down what records need, so that an engine is opened only where it is well.
func (s *Store) probeDisk() error {
	fsys := s.config.FS
	path := fsys.PathJoin(s.config.Dir, probeName)
	f, err := fsys.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close(), fsys.Remove(path))
}
