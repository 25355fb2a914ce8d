package capture

import (
	"runtime"
	"strconv"
	"time"
)

// retryInterval is the time after a disk error before the recorder starts a new segment.
const retryInterval = time.Second

// Values of Gap.Cause. They are stored in segments.
const (
	causeSlowDisk   = "the disk is too slow"
	causeFailedDisk = "the disk failed"
)

// Counters counts the records that a recorder wrote and dropped, its segments, bytes and disk errors, since its creation.
type Counters struct {
	Records           uint64 // recorded and not dropped later
	Dropped           uint64 // dropped because the disk was slow, full or failing
	Gaps              uint64 // periods in which records were dropped
	Segments          uint64 // started
	WrittenBytes      uint64
	UncompressedBytes uint64 // size of the written snapshots and records before compression
	DiskErrors        uint64
}

// buffer holds a block that is being filled or waits to be written.
type buffer struct {
	header   blockHeader
	meta     *Meta  // meta of the segment that this block starts; nil for other blocks
	records  uint64 // number of records in data
	data     []byte
	freeList chan *buffer // receives the buffer on release; its capacity is enough for all its buffers
}

// release empties the buffer and returns it to its free list.
func (b *buffer) release() {
	b.meta, b.records, b.data = nil, 0, b.data[:0]
	b.freeList <- b
}

// Recorder writes records to segments. Its methods must be called from the goroutine that owns the module. Except for Close,
// they do not wait for the disk: the recorder appends records to a block in memory, and another goroutine writes the blocks.
// While no block is free, the recorder drops and counts records. It then starts a new segment with a new snapshot.
type Recorder struct {
	config   Config
	meta     Meta // meta of the current segment
	unixTime func() time.Time
	writer   *writer
	isClosed bool
	counters Counters

	// Buffers.
	freeBlocks    chan *buffer
	freeSnapshots chan *buffer // has a single buffer, which grows to the size of the snapshots
	blockSize     int
	current       *buffer // nil during a gap

	lastEvent    time.Duration
	segmentStart time.Duration
	gap          *Gap          // nil while no records are dropped
	retryAt      time.Duration // earliest time for a new segment after a disk error
}

// NewRecorder returns a recorder that writes to the directory. The meta must have the names of the server, its classes and its
// tenants. reportError is called with disk errors, from another goroutine.
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

// beginGap starts a gap: the current block and all records until the next segment are dropped.
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

// nextBlock passes the current block to the writer and starts the next one. It returns false if no buffer is free.
func (r *Recorder) nextBlock() bool {
	r.writer.blocks <- r.current // never blocks: the capacity of the channel is enough for all buffers
	r.current = nil
	select {
	case r.current = <-r.freeBlocks:
		r.beginBlock(r.current, blockRecords)
		return true
	default:
		return false
	}
}

// beginBlock sets the header of a block that starts at the next record.
func (r *Recorder) beginBlock(b *buffer, kind blockKind) {
	b.header = blockHeader{kind: kind, firstRecord: r.counters.Records, baseTime: r.lastEvent, unixTime: r.unixTime()}
}

// endRound ends a round of events. It starts a new segment or writes the current block if that is due. A snapshot can be taken
// because the module is between two events.
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
	isWriting := r.writer.segmentNumber.Load() == int64(r.meta.Segment) // otherwise segmentBytes is the size of the previous segment
	return isWriting && r.writer.segmentBytes.Load() >= r.config.SegmentBytes
}

// isFlushDue reports whether the current block has reached the age at which it is written although it is not full.
func (r *Recorder) isFlushDue() bool {
	return len(r.current.data) > 0 && r.unixTime().Sub(r.current.header.unixTime) >= r.config.FlushInterval
}

// startSegment starts a segment if the buffers for it are free. Otherwise the current segment or the gap continues.
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

// takeSegmentBuffers takes free buffers for the snapshot and the first block of a segment. If one of them is not free, it
// returns nil for both.
func (r *Recorder) takeSegmentBuffers() (state, block *buffer) {
	select {
	case state = <-r.freeSnapshots:
	default:
		return nil, nil // the previous snapshot is not written yet
	}
	select {
	case block = <-r.freeBlocks:
		return state, block
	default:
		state.release()
		return nil, nil
	}
}

// Counters returns the current counters.
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

// Close passes the current block to the writer and waits until the writer has written all blocks and closed the segment, but no
// longer than the timeout. It returns false if the timeout expired. Further calls return true immediately.
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
