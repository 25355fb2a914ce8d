package capture

import (
	"runtime"
	"strconv"
	"time"
)

// retryInterval is how long a recorder waits after the disk failed before it begins a new segment.
const retryInterval = time.Second

// Causes of gaps, as segments store them.
const (
	causeSlowDisk   = "the disk is too slow"
	causeFailedDisk = "the disk failed"
)

// Counters counts what a recorder wrote and dropped since its start.
type Counters struct {
	Records           uint64 // recorded
	Dropped           uint64 // not recorded, since the disk was slow, full or broken
	Gaps              uint64 // stretches of dropped records
	Segments          uint64 // begun
	WrittenBytes      uint64
	UncompressedBytes uint64 // of what was written
	DiskErrors        uint64
}

// buffer is a block that is being filled, or waits to be written.
type buffer struct {
	header   blockHeader
	meta     *Meta // of the segment that this block begins, else nil
	records  uint64
	data     []byte
	freeList chan *buffer // to which it returns; it has room for all its buffers
}

// release returns a buffer to its free list.
func (b *buffer) release() {
	b.meta, b.records, b.data = nil, 0, b.data[:0]
	b.freeList <- b
}

// Recorder writes records. Its methods belong to the goroutine that owns the module, and none of them waits: a record is
// appended to a block in memory, and a goroutine writes full blocks. While no block is free, records are dropped and counted;
// after that a new segment begins, with a snapshot of its own.
type Recorder struct {
	config   Config
	meta     Meta // of the current segment
	unixTime func() time.Time
	writer   *writer
	isClosed bool
	counters Counters

	// Buffers.
	freeBlocks    chan *buffer
	freeSnapshots chan *buffer // has one buffer, which grows to the size of the snapshots
	blockSize     int
	current       *buffer // nil during a gap

	lastEvent    time.Duration
	segmentStart time.Duration
	gap          *Gap // nil while nothing is dropped
	retryAt      time.Duration
}

// NewRecorder returns a recorder that writes to the directory. The meta names the server, its classes and its tenants. Errors
// of the disk are passed to reportError, from another goroutine.
func NewRecorder(directory Directory, config Config, meta Meta, unixTime func() time.Time, reportError func(error)) (*Recorder, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if _, _, err := listSegments(directory); err != nil {
		return nil, err
	}
	blockSize := config.blockSize()
	blocks := config.BufferBytes / blockSize
	recorder := &Recorder{
		config:        config,
		meta:          meta,
		unixTime:      unixTime,
		writer:        newWriter(directory, config, blocks, reportError),
		freeBlocks:    make(chan *buffer, blocks),
		freeSnapshots: make(chan *buffer, 1),
		blockSize:     blockSize,
	}
	for range blocks {
		recorder.freeBlocks <- &buffer{data: make([]byte, 0, blockSize), freeList: recorder.freeBlocks}
	}
	recorder.freeSnapshots <- &buffer{freeList: recorder.freeSnapshots}
	recorder.meta.Run = strconv.FormatInt(unixTime().UnixNano(), 36)
	recorder.meta.Arch = runtime.GOARCH
	go recorder.writer.run()
	return recorder, nil
}

// add records one event, action or note.
func (r *Recorder) add(record *Record) {
	if r.current != nil && len(r.current.data)+maxRecordSize > r.blockSize && !r.nextBlock() {
		r.beginGap(causeSlowDisk, record.At)
	}
	if r.current == nil {
		r.counters.Dropped++
		if r.gap != nil {
			r.gap.Records++
		}
		return
	}
	r.current.data = appendRecord(r.current.data, &r.lastEvent, record)
	r.current.records++
	r.counters.Records++
}

// beginGap drops the current block and all records until the next segment.
func (r *Recorder) beginGap(cause string, now time.Duration) {
	if r.current != nil {
		r.counters.Records -= r.current.records
		r.counters.Dropped += r.current.records
		r.current.release()
		r.current = nil
	}
	if r.gap == nil {
		r.counters.Gaps++
		r.gap = &Gap{From: now, Cause: cause}
	}
}

// nextBlock passes the current block to the writer and takes a free one; it returns false where there is none.
func (r *Recorder) nextBlock() bool {
	r.writer.blocks <- r.current // never blocks: it has room for all buffers
	r.current = nil
	select {
	case r.current = <-r.freeBlocks:
		r.beginBlock(r.current, blockRecords)
		return true
	default:
		return false
	}
}

// beginBlock sets the header of a block.
func (r *Recorder) beginBlock(b *buffer, kind blockKind) {
	b.header = blockHeader{kind: kind, firstRecord: r.counters.Records, baseTime: r.lastEvent, unixTime: r.unixTime()}
}

// endRound ends a group of events. The module is between events here, so a snapshot may be taken.
func (r *Recorder) endRound(now time.Duration, snapshot func([]byte) []byte) {
	if r.current != nil && r.writer.failedSegment.Load() == int64(r.meta.Segment) {
		r.beginGap(causeFailedDisk, now)
		r.retryAt = now + retryInterval
	}
	switch {
	case r.isClosed:
	case r.current == nil:
		if now >= r.retryAt {
			r.startSegment(now, snapshot)
		}
	case r.isSegmentFull(now):
		r.startSegment(now, snapshot)
	case r.isFlushDue() && !r.nextBlock():
		r.beginGap(causeSlowDisk, now)
	}
}

// isSegmentFull reports whether the current segment has reached its age or its size.
func (r *Recorder) isSegmentFull(now time.Duration) bool {
	if now-r.segmentStart >= r.config.SegmentAge {
		return true
	}
	isWriting := r.writer.segmentNumber.Load() == int64(r.meta.Segment) // else its size is that of the one before
	return isWriting && r.writer.segmentBytes.Load() >= r.config.SegmentBytes
}

// isFlushDue reports whether the current block has to be written before it is full.
func (r *Recorder) isFlushDue() bool {
	return len(r.current.data) > 0 && r.unixTime().Sub(r.current.header.unixTime) >= r.config.FlushInterval
}

// startSegment begins a segment if there are buffers for it; else the current segment, or the gap, continues.
func (r *Recorder) startSegment(now time.Duration, snapshot func([]byte) []byte) {
	state, block := r.takeSegmentBuffers()
	if state == nil {
		return
	}
	if r.current != nil {
		r.writer.blocks <- r.current
	}
	r.lastEvent, r.segmentStart = now, now
	r.meta.Segment++
	r.meta.FirstRecord = r.counters.Records
	r.meta.ModuleTime, r.meta.UnixTime = now, r.unixTime()
	r.meta.Gap, r.gap = r.gap, nil
	meta := r.meta
	r.beginBlock(state, blockSnapshot)
	state.meta, state.data = &meta, snapshot(state.data)
	r.writer.blocks <- state
	r.beginBlock(block, blockRecords)
	r.current = block
}

// takeSegmentBuffers takes the buffers for a segment's snapshot and its first block, or none where one is missing.
func (r *Recorder) takeSegmentBuffers() (state, block *buffer) {
	select {
	case state = <-r.freeSnapshots:
	default:
		return nil, nil // the one before is not written yet
	}
	select {
	case block = <-r.freeBlocks:
		return state, block
	default:
		state.release()
		return nil, nil
	}
}

// Counters returns the counters so far.
func (r *Recorder) Counters() Counters {
	counters, w := r.counters, r.writer
	dropped := w.droppedRecords.Load()
	counters.Records -= min(dropped, counters.Records)
	counters.Dropped += dropped
	counters.Segments = w.segments.Load()
	counters.WrittenBytes = w.totalBytes.Load()
	counters.UncompressedBytes = w.rawBytes.Load()
	counters.DiskErrors = w.errorCount.Load()
	return counters
}

// Close writes the rest and closes the segment. It waits for the disk no longer than the timeout, and returns whether
// everything was written.
func (r *Recorder) Close(timeout time.Duration) bool {
	if r.isClosed {
		return true
	}
	r.isClosed = true
	if r.current != nil {
		r.writer.blocks <- r.current
		r.current = nil
	}
	close(r.writer.blocks)
	select {
	case <-r.writer.done:
		return true
	case <-time.After(timeout):
		return false
	}
}
