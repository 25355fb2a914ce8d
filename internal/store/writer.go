package store

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"

	"tillerusher/internal/idempotency"
)

// Change is one record to be written, or removed where its value is nil.
type Change = idempotency.Change

// The errors of handing over changes.
var (
	ErrBusy   = errors.New("store: too much waits to be written")
	ErrClosed = errors.New("store: it is closed")
)

// maxPendingBytes is how many bytes may wait to be written, and maxBatchBytes how many go down with one sync.
const (
	maxPendingBytes = 4 << 20
	maxBatchBytes   = 256 << 10
)

// writeRequest is changes that go down together, and who hears of it.
type writeRequest struct {
	changes []Change
	bytes   int
	done    func(error)
}

// writer is the goroutine that writes. What comes while a sync is under way goes down with the next one: the more comes,
// the fewer syncs each change takes.
type writer struct {
	store        *Store
	mu           sync.Mutex
	wake         *sync.Cond
	pending      []writeRequest
	pendingBytes int
	closed       bool
	done         chan struct{}
	stats        idempotency.StoreStats
}

func startWriter(s *Store) *writer {
	w := &writer{store: s, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write hands over changes that go down together. It never waits: done is called from the writer's goroutine once they are
// down, or could not be written, and not at all where Write returns an error.
func (s *Store) Write(changes []Change, done func(error)) error {
	w, o := s.writer, writeRequest{changes: changes, done: done}
	for _, c := range changes {
		o.bytes += len(c.Name) + len(c.Value) + 32
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return ErrClosed
	case w.pendingBytes+o.bytes > maxPendingBytes:
		return ErrBusy
	}
	w.pending = append(w.pending, o)
	w.pendingBytes += o.bytes
	w.wake.Signal()
	return nil
}

// Stats are what the store did since it was opened.
func (s *Store) Stats() idempotency.StoreStats {
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	return s.writer.stats
}

// run writes until it is stopped and nothing waits.
func (w *writer) run() {
	defer close(w.done)
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.closed {
			w.wake.Wait()
		}
		if len(w.pending) == 0 {
			w.mu.Unlock()
			return
		}
		n, bytes := 0, 0
		for n < len(w.pending) && (n == 0 || bytes+w.pending[n].bytes <= maxBatchBytes) {
			bytes += w.pending[n].bytes
			n++
		}
		batch := append([]writeRequest(nil), w.pending[:n]...)
		w.pending = append(w.pending[:0], w.pending[n:]...)
		w.mu.Unlock()
		err := w.commit(batch)
		w.mu.Lock()
		w.pendingBytes -= bytes
		w.mu.Unlock()
		for _, o := range batch {
			if o.done != nil {
				o.done(err)
			}
		}
	}
}

// commit writes a batch with one sync.
func (w *writer) commit(batch []writeRequest) error {
	e, err := w.currentEngine()
	if err != nil {
		return err
	}
	n := uint64(0)
	for _, o := range batch {
		n += uint64(len(o.changes))
	}
	if err := e.writeWithTimeout(func(db *pebble.DB) error { return writeBatch(db, batch) }, w.store.probeDisk, hungWriteAfter); err != nil {
		w.store.abandonEngine(e)
		return fmt.Errorf("store: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Syncs++
	w.stats.Changes += n
	return nil
}

// currentEngine is what to write with, which is opened where the one before it failed and the disk is well again. That may take long:
// no lock is held meanwhile, and no other goroutine opens one.
func (w *writer) currentEngine() (*engine, error) {
	s := w.store
	s.mu.RLock()
	e, stuck := s.engine, s.stuck
	s.mu.RUnlock()
	switch {
	case e != nil:
		return e, nil
	case stuck >= maxStuckEngines:
		return nil, errTooManyStuck
	}
	if err := s.probeDisk(); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	e, err := openEngine(s.config)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.stuck++ // what was half open is not told apart from what was not
		return nil, err
	}
	s.engine = e
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Reopens++
	return e, nil
}

// writeBatch writes changes that go down together.
func writeBatch(db *pebble.DB, batch []writeRequest) (err error) {
	b := db.NewBatch()
	for _, o := range batch {
		for _, c := range o.changes {
			name := append([]byte{recordPrefix}, c.Name...)
			if c.Value == nil {
				err = b.Delete(name, nil)
			} else {
				err = b.Set(name, c.Value, nil)
			}
			if err != nil {
				return err
			}
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	return b.Close()
}

// stop ends the writing once all that waits is down, or the disk stands still for too long.
func (w *writer) stop() error {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-time.After(closeTimeout):
		return errDiskStalled
	}
}
