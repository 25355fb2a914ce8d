package capture

import (
	"fmt"
	"runtime"
	"strconv"
	"time"
)

// Config is how a recorder writes. All sizes are in bytes.
type Config struct {
	SegmentBytes  int64         // size at which a new segment is begun
	SegmentAge    time.Duration // age at which a new segment is begun
	MaxBytes      int64         // what all segments of the folder may take together
	BufferBytes   int           // of blocks that wait for the disk
	FlushInterval time.Duration // how long a record waits to be written at the most, while events come
}

// DefaultConfig are what is used where nothing else is told.
func DefaultConfig() Config {
	return Config{SegmentBytes: 8 << 20, SegmentAge: time.Minute, MaxBytes: 256 << 20, BufferBytes: 1 << 20, FlushInterval: 200 * time.Millisecond}
}

// The least values of a configuration that make sense.
const (
	minSegmentBytes = 4 << 10
	minBufferBytes  = 8 * minBlockSize
	minBlockSize    = 2 * maxRecordSize
	maxBlockSize    = 64 << 10
	// retryInterval is how long a recorder waits after a failure before it tries a new segment.
	retryInterval = time.Second
)

// Validate names the first value that makes no sense.
func (c Config) Validate() error {
	switch {
	case c.SegmentBytes < minSegmentBytes:
		return fmt.Errorf("capture: a segment of %d bytes, want at least %d", c.SegmentBytes, minSegmentBytes)
	case c.MaxBytes < 2*(c.SegmentBytes+int64(c.BufferBytes)):
		return fmt.Errorf("capture: %d bytes are kept, want at least twice a segment and the memory, %d", c.MaxBytes,
			2*(c.SegmentBytes+int64(c.BufferBytes)))
	case c.BufferBytes < minBufferBytes:
		return fmt.Errorf("capture: %d bytes of memory, want at least %d", c.BufferBytes, minBufferBytes)
	case c.SegmentAge <= 0 || c.FlushInterval <= 0:
		return fmt.Errorf("capture: age %v and flush %v, want more than 0", c.SegmentAge, c.FlushInterval)
	}
	return nil
}

// buffer is a block that is filled or waits for the disk.
type buffer struct {
	header   blockHeader
	meta     *Meta // of the segment that it begins
	records  uint64
	data     []byte
	freeList chan *buffer // where it goes when it is free
}

// release makes a buffer free.
func (b *buffer) release() {
	b.meta, b.records, b.data = nil, 0, b.data[:0]
	b.freeList <- b // there is room for all there are
}

// Counters tell what became of a recording; all count from the start.
type Counters struct {
	Records           uint64 // recorded
	Dropped           uint64 // not recorded, as the disk was slow, full or broken
	Gaps              uint64 // times that records were lost in a row
	Segments          uint64 // begun
	WrittenBytes      uint64 // written
	UncompressedBytes uint64 // the same before compression
	DiskErrors        uint64 // of the disk
}

// Recorder writes records. Its methods belong to the goroutine that owns the module, and none of them waits: a
// record is put into a block in memory, full blocks go to a goroutine that writes them, and where no block is
// left in memory records are lost, counted, and followed by a new segment with a state of its own.
type Recorder struct {
	config        Config
	meta          Meta // of the segment that is recorded
	writer        *writer
	freeBlocks    chan *buffer
	freeSnapshots chan *buffer // the one buffer for states; it grows with them
	current       *buffer      // nil in a gap
	blockSize     int          // size of a block
	lastEvent     time.Duration
	counters      Counters
	gap           *Gap // nil while nothing is lost
	segmentStart  time.Duration
	retryAt       time.Duration
	unixTime      func() time.Time
	isClosed      bool
}

// NewRecorder returns a recorder that writes to the folder; about names the server, its classes and its tenants. What goes
// wrong with the disk is told to trouble, from another goroutine.
func NewRecorder(files Directory, cfg Config, about Meta, unix func() time.Time, trouble func(error)) (*Recorder, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if _, _, err := listSegments(files); err != nil {
		return nil, err
	}
	size := min(maxBlockSize, cfg.BufferBytes/8)
	n := cfg.BufferBytes / size
	r := &Recorder{config: cfg, meta: about, blockSize: size, unixTime: unix, freeBlocks: make(chan *buffer, n), freeSnapshots: make(chan *buffer, 1),
		writer: &writer{directory: files, maxBytes: cfg.MaxBytes, reservedBytes: cfg.SegmentBytes + int64(cfg.BufferBytes), reportError: trouble,
			blocks: make(chan *buffer, n+1), done: make(chan struct{})}}
	for range n {
		r.freeBlocks <- &buffer{data: make([]byte, 0, size), freeList: r.freeBlocks}
	}
	r.freeSnapshots <- &buffer{freeList: r.freeSnapshots}
	r.meta.Run, r.meta.Arch = strconv.FormatInt(unix().UnixNano(), 36), runtime.GOARCH
	go r.writer.run()
	return r, nil
}

// add records one event, action or note.
func (r *Recorder) add(rec *Record) {
	if r.current != nil && len(r.current.data)+maxRecordSize > r.blockSize && !r.nextBlock() {
		r.beginGap("the disk is too slow", rec.At)
	}
	if r.current == nil {
		r.counters.Dropped++
		if r.gap != nil {
			r.gap.Records++
		}
		return
	}
	r.current.data = appendRecord(r.current.data, &r.lastEvent, rec)
	r.current.records++
	r.counters.Records++
}

// beginGap begins a gap.
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

// nextBlock hands the block to the writer and goes on in a free one; it returns false where there is none.
func (r *Recorder) nextBlock() bool {
	r.writer.blocks <- r.current // there is room for all there are
	r.current = nil
	select {
	case r.current = <-r.freeBlocks:
		r.beginBlock(r.current, blockRecords)
		return true
	default:
		return false
	}
}

// beginBlock sets the head of a block.
func (r *Recorder) beginBlock(b *buffer, kind blockKind) {
	b.header = blockHeader{kind: kind, firstRecord: r.counters.Records, baseTime: r.lastEvent, unixTime: r.unixTime()}
}

// endRound ends a group of events: the module is between events, so its state may be taken.
func (r *Recorder) endRound(now time.Duration, snapshot func([]byte) []byte) {
	w := r.writer
	current := int64(r.meta.Segment)
	if r.current != nil && w.failedSegment.Load() == current {
		r.beginGap("the disk failed", now)
		r.retryAt = now + retryInterval
	}
	switch {
	case r.isClosed:
	case r.current == nil:
		if now >= r.retryAt {
			r.startSegment(now, snapshot)
		}
	case now-r.segmentStart >= r.config.SegmentAge, w.segmentNumber.Load() == current && w.segmentBytes.Load() >= r.config.SegmentBytes:
		r.startSegment(now, snapshot)
	case len(r.current.data) > 0 && r.unixTime().Sub(r.current.header.unixTime) >= r.config.FlushInterval && !r.nextBlock():
		r.beginGap("the disk is too slow", now)
	}
}

// startSegment begins a segment where memory is left for that; else the present one, or the gap, goes on.
func (r *Recorder) startSegment(now time.Duration, snapshot func([]byte) []byte) {
	var state, block *buffer
	select {
	case state = <-r.freeSnapshots:
	default:
		return // the one before is not written yet
	}
	select {
	case block = <-r.freeBlocks:
	default:
		state.release()
		return
	}
	if r.current != nil {
		r.writer.blocks <- r.current
	}
	r.lastEvent, r.segmentStart = now, now
	r.meta.Segment++
	r.meta.FirstRecord, r.meta.ModuleTime, r.meta.UnixTime, r.meta.Gap = r.counters.Records, now, r.unixTime(), r.gap
	r.gap = nil
	meta := r.meta
	r.beginBlock(state, blockSnapshot)
	state.meta, state.data = &meta, snapshot(state.data)
	r.writer.blocks <- state
	r.beginBlock(block, blockRecords)
	r.current = block
}

// Counters returns what became of the recording so far.
func (r *Recorder) Counters() Counters {
	c, w := r.counters, r.writer
	dropped := w.droppedRecords.Load()
	c.Records -= min(dropped, c.Records)
	c.Dropped += dropped
	c.Segments, c.WrittenBytes, c.UncompressedBytes, c.DiskErrors = w.segments.Load(), w.totalBytes.Load(), w.rawBytes.Load(), w.errorCount.Load()
	return c
}

// Close has the rest written and ends the segment. It waits for the disk no longer than the time, and returns
// whether all was written.
func (r *Recorder) Close(patience time.Duration) bool {
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
	case <-time.After(patience):
		return false
	}
}
