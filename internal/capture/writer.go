package capture

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"sync/atomic"
)

// writer owns the directory: it writes blocks to segments and removes old segments. It runs in a separate goroutine and may
// block on the disk.
type writer struct {
	directory     Directory
	maxBytes      int64 // limit on the size of all segments
	reservedBytes int64 // part of maxBytes for the current segment, except its snapshot
	reportError   func(error)

	blocks chan *buffer  // blocks to write, in order; closed by Recorder.Close
	done   chan struct{} // closed when run returns

	file           io.WriteCloser // current segment; nil before the first segment and after an error
	fileNumber     int            // in the name of the last file
	currentSegment int            // number within the run, set even if the segment could not be created
	scratch        []byte

	progress
}

// progress is the part of the writer's state that the recorder reads from another goroutine.
type progress struct {
	segmentNumber  atomic.Int64  // number of the current segment within the run
	segmentBytes   atomic.Int64  // bytes written to the current segment
	failedSegment  atomic.Int64  // number of the last segment that failed; recording continues only in a new segment
	droppedRecords atomic.Uint64 // records of the blocks that could not be written
	segments       atomic.Uint64 // started segments
	totalBytes     atomic.Uint64 // bytes written to all segments
	rawBytes       atomic.Uint64 // size of the snapshots and records in all segments before compression
	errorCount     atomic.Uint64
}

// newWriter returns a writer. The caller must call run in a goroutine. blocks is the number of buffers for blocks of records;
// the channel also has room for the buffer of a snapshot.
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

// run writes blocks until the channel is closed, and then closes the segment.
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

// write writes one block. A block with a meta starts a new segment.
func (w *writer) write(block *buffer) error {
	if block.meta != nil {
		w.closeSegment()
		if err := w.openSegment(block.meta, int64(len(block.data))); err != nil {
			return err
		}
	}
	if w.file == nil {
		w.droppedRecords.Add(block.records) // records cannot be replayed before the next segment's snapshot
		return nil
	}
	w.rawBytes.Add(uint64(len(block.data)))
	if err := w.writeBlock(block.header, block.data); err != nil {
		w.droppedRecords.Add(block.records)
		return err
	}
	return nil
}

// writeBlock compresses a block and writes it to the current segment.
func (w *writer) writeBlock(h blockHeader, content []byte) error {
	w.scratch = appendBlock(w.scratch[:0], h, content)
	return w.writeBytes(w.scratch)
}

// writeBytes writes p to the current segment and counts the bytes.
func (w *writer) writeBytes(p []byte) error {
	n, err := w.file.Write(p)
	w.segmentBytes.Add(int64(n))
	w.totalBytes.Add(uint64(n))
	if err == nil && n < len(p) {
		err = io.ErrShortWrite
	}
	return err
}

// openSegment starts a segment. It first removes old segments to make room for the segment and for a snapshot of snapshotBytes.
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

// createFile creates a segment file with the next number that no existing file has.
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

// removeOldest removes the oldest segments until the others take at most maxBytes. numbers must be in ascending order.
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

// closeSegment writes the end block of the current segment, if any, and closes the file.
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

// abandonSegment closes the current segment after an error. The last block may be incomplete, so later blocks need a new
// segment.
func (w *writer) abandonSegment(err error) {
	w.errorCount.Add(1)
	if w.file != nil {
		w.file.Close() // only the first error is reported
		w.file = nil
	}
	w.failedSegment.Store(int64(w.currentSegment))
	w.reportError(err)
}
