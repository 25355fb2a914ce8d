package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"sync/atomic"
)

// writer owns the directory. It runs in a goroutine of its own and may block as long as the disk does.
type writer struct {
	directory     Directory
	maxBytes      int64 // of all segments together
	reservedBytes int64 // of them, for the segment that is written, beside its snapshot
	reportError   func(error)

	blocks chan *buffer // to be written, in order; closed at the end
	done   chan struct{}

	file           io.WriteCloser // of the segment that is written; nil before the first and after a failure
	fileNumber     int
	currentSegment int // number within the run, also of a segment that could not be begun
	scratch        []byte

	progress
}

// progress is the writer's state that the recorder reads from its own goroutine.
type progress struct {
	segmentNumber  atomic.Int64  // within the run, of the segment that is written
	segmentBytes   atomic.Int64  // written of it
	failedSegment  atomic.Int64  // the last segment that could not be continued; only a new one helps
	droppedRecords atomic.Uint64 // of such segments
	segments       atomic.Uint64 // begun
	totalBytes     atomic.Uint64 // of all segments
	rawBytes       atomic.Uint64 // of all segments before compression
	errorCount     atomic.Uint64
}

// newWriter returns a writer; run starts it. So many buffers are for blocks, one more is for a snapshot.
func newWriter(directory Directory, config Config, blocks int, reportError func(error)) *writer {
	return &writer{
		directory:     directory,
		maxBytes:      config.MaxBytes,
		reservedBytes: config.SegmentBytes + int64(config.BufferBytes),
		reportError:   reportError,
		blocks:        make(chan *buffer, blocks+1),
		done:          make(chan struct{}),
	}
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

// write writes one block, as the first of a new segment where it has a meta.
func (w *writer) write(block *buffer) error {
	if block.meta != nil {
		w.closeSegment()
		if err := w.openSegment(block.meta, int64(len(block.data))); err != nil {
			return err
		}
	}
	if w.file == nil {
		w.droppedRecords.Add(block.records) // nothing can be replayed before the next segment's snapshot
		return nil
	}
	w.rawBytes.Add(uint64(len(block.data)))
	if err := w.writeBlock(block.header, block.data); err != nil {
		w.droppedRecords.Add(block.records)
		return err
	}
	return nil
}

// writeBlock compresses a block and writes it.
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

// openSegment begins a segment, after removing old ones to make space for it and a snapshot of so many bytes.
func (w *writer) openSegment(meta *Meta, snapshotBytes int64) error {
	w.currentSegment = meta.Segment
	sizes, numbers, err := listSegments(w.directory)
	if err != nil {
		return err
	}
	if len(numbers) > 0 {
		w.fileNumber = max(w.fileNumber, numbers[len(numbers)-1])
	}
	if err := w.removeOldest(sizes, numbers, w.maxBytes-w.reservedBytes-snapshotBytes); err != nil {
		return err
	}
	if err := w.createFile(); err != nil {
		return err
	}
	w.segmentBytes.Store(0)
	w.segmentNumber.Store(int64(meta.Segment))
	w.segments.Add(1)
	text, err := json.Marshal(meta)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	if err := w.writeBytes(appendPreamble(nil)); err != nil {
		return err
	}
	return w.writeBlock(meta.header(blockMeta), text)
}

// createFile creates a file under the next number that no file has.
func (w *writer) createFile() error {
	for {
		w.fileNumber++
		file, err := w.directory.Create(segmentName(w.fileNumber))
		if err == nil {
			w.file = file
			return nil
		}
		w.file = nil
		if !errors.Is(err, fs.ErrExist) {
			return err
		}
	}
}

// removeOldest removes the oldest segments until all take no more than so many bytes.
func (w *writer) removeOldest(sizes map[int]int64, numbers []int, maxBytes int64) error {
	total := int64(0)
	for _, size := range sizes {
		total += size
	}
	for _, number := range numbers {
		if total <= maxBytes {
			break
		}
		if err := w.directory.Remove(segmentName(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		total -= sizes[number]
	}
	return nil
}

// closeSegment ends the segment in order.
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

// abandonSegment closes the segment after a failure. Its end may be torn, so the blocks that follow need a new segment.
func (w *writer) abandonSegment(err error) {
	w.errorCount.Add(1)
	if w.file != nil {
		w.file.Close() // the first error is the one to report
		w.file = nil
	}
	w.failedSegment.Store(int64(w.currentSegment))
	w.reportError(err)
}
