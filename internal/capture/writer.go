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
	directory     Directory
	maxBytes      int64 // totalBytes that all segments together may take
	reservedBytes int64 // of them for the segment that is written, beside the state that it begins with
	reportError   func(error)

	blocks chan *buffer // blocks to be written, in order

	file           io.WriteCloser // the segment that is written, nil before the first and after a failure
	fileNumber     int            // of its file
	currentSegment int            // fileNumber of the segment within the run, also of one that could not be begun
	scratch        []byte

	segmentNumber  atomic.Int64  // fileNumber within the run of the segment that is written
	segmentBytes   atomic.Int64  // totalBytes of it
	failedSegment  atomic.Int64  // the last segment that could not be written on; only a new one helps
	droppedRecords atomic.Uint64 // records of such segments
	segments       atomic.Uint64 // segments
	totalBytes     atomic.Uint64 // of all segments so far
	rawBytes       atomic.Uint64 // the same before compression
	errorCount     atomic.Uint64
	done           chan struct{}
}

// run writes blocks until the recorder has no more.
func (w *writer) run() {
	defer close(w.done)
	for b := range w.blocks {
		if err := w.write(b); err != nil {
			w.abandonSegment(err)
		}
		b.release()
	}
	w.closeSegment()
}

// write adds one block, as the first of a new segment where it says so.
func (w *writer) write(b *buffer) error {
	if b.meta != nil {
		w.closeSegment()
		if err := w.openSegment(b.meta, int64(len(b.data))); err != nil {
			return err
		}
	}
	if w.file == nil {
		w.droppedRecords.Add(b.records) // the segment broke off: the next one begins with a state
		return nil
	}
	w.rawBytes.Add(uint64(len(b.data)))
	if err := w.writeBlock(b.header, b.data); err != nil {
		w.droppedRecords.Add(b.records)
		return err
	}
	return nil
}

// writeBlock compresses a block and hands it to the disk.
func (w *writer) writeBlock(h blockHeader, content []byte) error {
	w.scratch = appendBlock(w.scratch[:0], h, content)
	return w.writeBytes(w.scratch)
}

// writeBytes writes bytes to the segment.
func (w *writer) writeBytes(p []byte) error {
	n, err := w.file.Write(p)
	w.segmentBytes.Add(int64(n))
	w.totalBytes.Add(uint64(n))
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	return err
}

// openSegment begins a segment under a number that no file has, after making room for it.
func (w *writer) openSegment(m *Meta, state int64) error {
	w.currentSegment = m.Segment
	sizes, order, err := listSegments(w.directory)
	if err != nil {
		return err
	}
	if len(order) > 0 {
		w.fileNumber = max(w.fileNumber, order[len(order)-1])
	}
	if err := w.removeOldest(sizes, order, w.maxBytes-w.reservedBytes-state); err != nil {
		return err
	}
	for {
		w.fileNumber++
		w.file, err = w.directory.Create(segmentName(w.fileNumber))
		if err == nil {
			break
		}
		w.file = nil
		if !errors.Is(err, fs.ErrExist) {
			return err
		}
	}
	w.segmentBytes.Store(0)
	w.segmentNumber.Store(int64(m.Segment))
	w.segments.Add(1)
	text, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	if err := w.writeBytes(appendPreamble(nil)); err != nil {
		return err
	}
	return w.writeBlock(blockHeader{kind: blockMeta, firstRecord: m.FirstRecord, baseTime: m.ModuleTime, unixTime: m.UnixTime}, text)
}

// removeOldest removes the oldest segments until all take no more than so many bytes.
func (w *writer) removeOldest(sizes map[int]int64, order []int, most int64) error {
	total := int64(0)
	for _, size := range sizes {
		total += size
	}
	for _, n := range order {
		if total <= most {
			break
		}
		if err := w.directory.Remove(segmentName(n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		total -= sizes[n]
	}
	return nil
}

// closeSegment closes a segment in order.
func (w *writer) closeSegment() {
	if w.file == nil {
		return
	}
	if err := w.writeBlock(blockHeader{kind: blockEnd}, nil); err != nil {
		w.abandonSegment(err)
		return
	}
	if err := w.file.Close(); err != nil {
		w.errorCount.Add(1)
		w.reportError(err)
	}
	w.file = nil
}

// abandonSegment gives up the segment: what follows would be torn, and has to begin with a state of its own.
func (w *writer) abandonSegment(err error) {
	w.errorCount.Add(1)
	if w.file != nil {
		w.file.Close() // the first error is the one to tell
		w.file = nil
	}
	w.failedSegment.Store(int64(w.currentSegment))
	w.reportError(err)
}
