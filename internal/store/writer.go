package store

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"

	"tillerusher/internal/idempotency"
)

// Change is one record to be written, or removed where its value is nil.
type Change = idempotency.Change

const (
	// maxPendingBytes is how many bytes may wait to be written.
	maxPendingBytes = 4 << 20
	// maxBatchBytes is how many bytes are written with one sync.
	maxBatchBytes = 256 << 10
	// changeOverhead is about what a change takes beside its name and value.
	changeOverhead = 32
)

// writeRequest is changes that are written atomically, and the function that is called with the outcome.
type writeRequest struct {
	changes []Change
	bytes   int
	done    func(error) // may be nil
}

// writer is the goroutine that writes (group commit). Changes that arrive during a sync are written with the next one, so
// the higher the load, the fewer syncs each change takes.
type writer struct {
	store *Store

	mu           sync.Mutex
	wake         *sync.Cond
	pending      []writeRequest
	pendingBytes int // of pending requests and of the batch that is being written
	closed       bool
	stats        idempotency.StoreStats

	done chan struct{}
}

// startWriter starts the goroutine.
func startWriter(s *Store) *writer {
	w := &writer{store: s, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write enqueues changes that are written atomically. It never waits: done is called from the writer's goroutine once they
// are durable or could not be written, and not at all where Write returns an error.
func (s *Store) Write(changes []Change, done func(error)) error {
	request := writeRequest{changes: changes, done: done}
	for _, c := range changes {
		request.bytes += len(c.Name) + len(c.Value) + changeOverhead
	}
	return s.writer.enqueue(request)
}

// enqueue adds a request, unless the writer is closed or too much is pending.
func (w *writer) enqueue(request writeRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return ErrClosed
	case w.pendingBytes+request.bytes > maxPendingBytes:
		return ErrBusy
	}
	w.pending = append(w.pending, request)
	w.pendingBytes += request.bytes
	w.wake.Signal()
	return nil
}

// Stats returns what the store did since it was opened.
func (s *Store) Stats() idempotency.StoreStats {
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	return s.writer.stats
}

// run writes until it is stopped and nothing is pending.
func (w *writer) run() {
	defer close(w.done)
	for {
		batch, bytes := w.nextBatch()
		if batch == nil {
			return
		}
		err := w.commit(batch)
		w.mu.Lock()
		w.pendingBytes -= bytes
		w.mu.Unlock()
		for _, request := range batch {
			if request.done != nil {
				request.done(err)
			}
		}
	}
}

// nextBatch waits for requests and takes as many as one sync may write, at least one. It returns nil at the end.
func (w *writer) nextBatch() (batch []writeRequest, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closed {
		w.wake.Wait()
	}
	if len(w.pending) == 0 {
		return nil, 0
	}
	n := 0
	for n < len(w.pending) && (n == 0 || bytes+w.pending[n].bytes <= maxBatchBytes) {
		bytes += w.pending[n].bytes
		n++
	}
	batch = append([]writeRequest(nil), w.pending[:n]...)
	w.pending = append(w.pending[:0], w.pending[n:]...)
	return batch, bytes
}

// commit writes a batch with one sync.
func (w *writer) commit(batch []writeRequest) error {
	current, err := w.store.currentEngine()
	if err != nil {
		return err
	}
	changes := uint64(0)
	for _, request := range batch {
		changes += uint64(len(request.changes))
	}
	write := func(db *pebble.DB) error { return writeBatch(db, batch) }
	if err := current.writeWithTimeout(write, w.store.probeDisk, hungWriteAfter); err != nil {
		w.store.abandonEngine(current)
		return fmt.Errorf("store: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Syncs++
	w.stats.Changes += changes
	return nil
}

// countReopen counts an engine that took the place of one that failed.
func (w *writer) countReopen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Reopens++
}

// writeBatch writes a batch's changes atomically.
func writeBatch(db *pebble.DB, batch []writeRequest) error {
	dbBatch := db.NewBatch()
	for _, request := range batch {
		for _, c := range request.changes {
			if err := addChange(dbBatch, c); err != nil {
				return err
			}
		}
	}
	if err := dbBatch.Commit(pebble.Sync); err != nil {
		return err
	}
	return dbBatch.Close()
}

// addChange adds one change to a batch.
func addChange(batch *pebble.Batch, c Change) error {
	key := recordKey(c.Name)
	if c.Value == nil {
		return batch.Delete(key, nil)
	}
	return batch.Set(key, c.Value, nil)
}

// stop ends the writing once everything pending is written, or the disk stalls for too long.
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
