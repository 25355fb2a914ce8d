package store

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"

	"tillerusher/internal/idempotency"
)

// Change is one record to write, or to remove if Value is nil.
type Change = idempotency.Change

const (
	// maxPendingBytes is the maximum size of the changes that are enqueued or being written.
	maxPendingBytes = 4 << 20
	// maxBatchBytes is the maximum size of the changes that are written with one sync. A larger request gets its own sync.
	maxBatchBytes = 256 << 10
	// changeOverhead is an estimate of the bytes that a change takes in addition to its name and value.
	changeOverhead = 32
)

// writeRequest is a list of changes that are written atomically, and a callback that receives the outcome.
type writeRequest struct {
	changes []Change
	bytes   int         // estimated size of the changes
	done    func(error) // may be nil
}

// writer writes changes on its own goroutine with group commit: changes that arrive during a sync are written with the next
// one, so the number of syncs per change falls as the load rises.
type writer struct {
	store *Store

	mu           sync.Mutex
	wake         *sync.Cond
	pending      []writeRequest
	pendingBytes int // size of the pending requests and of the batch that is being written
	closed       bool
	stats        idempotency.StoreStats

	done chan struct{}
}

// startWriter returns a writer and starts its goroutine.
func startWriter(s *Store) *writer {
	w := &writer{store: s, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write enqueues changes to be written atomically; it does not wait for the disk. If Write returns nil, done is called from the
// writer's goroutine once the changes are durable or could not be written. If Write returns an error, done is not called. done
// may be nil. The store must not be read-only.
func (s *Store) Write(changes []Change, done func(error)) error {
	request := writeRequest{changes: changes, done: done}
	for _, c := range changes {
		request.bytes += len(c.Name) + len(c.Value) + changeOverhead
	}
	return s.writer.enqueue(request)
}

// enqueue adds a request. It returns ErrClosed if the writer is closed, or ErrBusy if too many bytes are pending.
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

// Stats returns counters of the operations since the store was opened. The store must not be read-only.
func (s *Store) Stats() idempotency.StoreStats {
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	return s.writer.stats
}

// run writes batches until the writer is closed and nothing is pending.
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

// nextBatch waits for requests and removes from the queue as many as one sync may write, at least one. It returns nil once the
// writer is closed and nothing is pending.
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

// commit writes a batch with one sync. If the write fails, it abandons the engine.
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
	if err := current.writeWithTimeout(write, w.store.probeDisk, hungWriteTimeout); err != nil {
		w.store.abandonEngine(current)
		return fmt.Errorf("store: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Syncs++
	w.stats.Changes += changes
	return nil
}

// countReopen counts an engine that replaced a failed one.
func (w *writer) countReopen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Reopens++
}

// writeBatch writes all changes of a batch atomically and syncs them.
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

// addChange adds one change to a database batch.
func addChange(batch *pebble.Batch, c Change) error {
	key := recordKey(c.Name)
	if c.Value == nil {
		return batch.Delete(key, nil)
	}
	return batch.Set(key, c.Value, nil)
}

// stop closes the writer and waits until everything pending is written. It returns errDiskStalled if that takes longer than
// closeTimeout.
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
