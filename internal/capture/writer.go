package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"sync/atomic"
)

// writer owns the folder: it runs in a goroutine of its own and may stand still as long as the disk does.
type writer struct {
	files   Directory
	keep    int64 // bytes that all segments together may take
	reserve int64 // of them for the segment that is written, beside the state that it begins with
	trouble func(error)

	full chan *buffer // blocks to be written, in order

	out     io.WriteCloser // the segment that is written, nil before the first and after a failure
	number  int            // of its file
	current int            // number of the segment within the run, also of one that could not be begun
	block   []byte

	segment atomic.Int64  // number within the run of the segment that is written
	written atomic.Int64  // bytes of it
	failed  atomic.Int64  // the last segment that could not be written on; only a new one helps
	dropped atomic.Uint64 // records of such segments
	begun   atomic.Uint64 // segments
	bytes   atomic.Uint64 // of all segments so far
	raw     atomic.Uint64 // the same before compression
	errors  atomic.Uint64
	done    chan struct{}
}

// run writes blocks until the recorder has no more.
func (w *writer) run() {
	defer close(w.done)
	for b := range w.full {
		if err := w.write(b); err != nil {
			w.fail(err)
		}
		b.release()
	}
	w.end()
}

// write adds one block, as the first of a new segment where it says so.
func (w *writer) write(b *buffer) error {
	if b.meta != nil {
		w.end()
		if err := w.open(b.meta, int64(len(b.data))); err != nil {
			return err
		}
	}
	if w.out == nil {
		w.dropped.Add(b.records) // the segment broke off: the next one begins with a state
		return nil
	}
	w.raw.Add(uint64(len(b.data)))
	if err := w.put(b.head, b.data); err != nil {
		w.dropped.Add(b.records)
		return err
	}
	return nil
}

// put compresses a block and hands it to the disk.
func (w *writer) put(h head, content []byte) error {
	w.block = appendBlock(w.block[:0], h, content)
	return w.emit(w.block)
}

// emit writes bytes to the segment.
func (w *writer) emit(p []byte) error {
	n, err := w.out.Write(p)
	w.written.Add(int64(n))
	w.bytes.Add(uint64(n))
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	return err
}

// open begins a segment under a number that no file has, after making room for it.
func (w *writer) open(m *Meta, state int64) error {
	w.current = m.Segment
	sizes, order, err := listed(w.files)
	if err != nil {
		return err
	}
	if len(order) > 0 {
		w.number = max(w.number, order[len(order)-1])
	}
	if err := w.makeRoom(sizes, order, w.keep-w.reserve-state); err != nil {
		return err
	}
	for {
		w.number++
		w.out, err = w.files.Create(segmentName(w.number))
		if err == nil {
			break
		}
		w.out = nil
		if !errors.Is(err, fs.ErrExist) {
			return err
		}
	}
	w.written.Store(0)
	w.segment.Store(int64(m.Segment))
	w.begun.Add(1)
	text, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	if err := w.emit(appendPreamble(nil)); err != nil {
		return err
	}
	return w.put(head{kind: blockMeta, first: m.FirstRecord, base: m.ModuleTime, unix: m.UnixTime}, text)
}

// makeRoom removes the oldest segments until all take no more than so many bytes.
func (w *writer) makeRoom(sizes map[int]int64, order []int, most int64) error {
	total := int64(0)
	for _, size := range sizes {
		total += size
	}
	for _, n := range order {
		if total <= most {
			break
		}
		if err := w.files.Remove(segmentName(n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		total -= sizes[n]
	}
	return nil
}

// end closes a segment in order.
func (w *writer) end() {
	if w.out == nil {
		return
	}
	if err := w.put(head{kind: blockEnd}, nil); err != nil {
		w.fail(err)
		return
	}
	if err := w.out.Close(); err != nil {
		w.errors.Add(1)
		w.trouble(err)
	}
	w.out = nil
}

// fail gives up the segment: what follows would be torn, and has to begin with a state of its own.
func (w *writer) fail(err error) {
	w.errors.Add(1)
	if w.out != nil {
		w.out.Close() // the first error is the one to tell
		w.out = nil
	}
	w.failed.Store(int64(w.current))
	w.trouble(err)
}
