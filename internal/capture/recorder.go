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
	leastSegment = 4 << 10
	leastMemory  = 8 * leastBlock
	leastBlock   = 2 * recordRoom
	blockSize    = 64 << 10
	// retryPace is how long a recorder waits after a failure before it tries a new segment.
	retryPace = time.Second
)

// Validate names the first value that makes no sense.
func (c Config) Validate() error {
	switch {
	case c.SegmentBytes < leastSegment:
		return fmt.Errorf("capture: a segment of %d bytes, want at least %d", c.SegmentBytes, leastSegment)
	case c.MaxBytes < 2*(c.SegmentBytes+int64(c.BufferBytes)):
		return fmt.Errorf("capture: %d bytes are kept, want at least twice a segment and the memory, %d", c.MaxBytes,
			2*(c.SegmentBytes+int64(c.BufferBytes)))
	case c.BufferBytes < leastMemory:
		return fmt.Errorf("capture: %d bytes of memory, want at least %d", c.BufferBytes, leastMemory)
	case c.SegmentAge <= 0 || c.FlushInterval <= 0:
		return fmt.Errorf("capture: age %v and flush %v, want more than 0", c.SegmentAge, c.FlushInterval)
	}
	return nil
}

// buffer is a block that is filled or waits for the disk.
type buffer struct {
	head    head
	meta    *Meta // of the segment that it begins
	records uint64
	data    []byte
	home    chan *buffer // where it goes when it is free
}

// release makes a buffer free.
func (b *buffer) release() {
	b.meta, b.records, b.data = nil, 0, b.data[:0]
	b.home <- b // there is room for all there are
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
	cfg     Config
	meta    Meta // of the segment that is recorded
	writer  *writer
	free    chan *buffer
	states  chan *buffer // the one buffer for states; it grows with them
	cur     *buffer      // nil in a gap
	block   int          // size of a block
	last    time.Duration
	count   Counters
	gap     *Gap // nil while nothing is lost
	begun   time.Duration
	retryAt time.Duration
	unix    func() time.Time
	closed  bool
}

// NewRecorder returns a recorder that writes to the folder; about names the server, its classes and its tenants. What goes
// wrong with the disk is told to trouble, from another goroutine.
func NewRecorder(files Directory, cfg Config, about Meta, unix func() time.Time, trouble func(error)) (*Recorder, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if _, _, err := listed(files); err != nil {
		return nil, err
	}
	size := min(blockSize, cfg.BufferBytes/8)
	n := cfg.BufferBytes / size
	r := &Recorder{cfg: cfg, meta: about, block: size, unix: unix, free: make(chan *buffer, n), states: make(chan *buffer, 1),
		writer: &writer{files: files, keep: cfg.MaxBytes, reserve: cfg.SegmentBytes + int64(cfg.BufferBytes), trouble: trouble,
			full: make(chan *buffer, n+1), done: make(chan struct{})}}
	for range n {
		r.free <- &buffer{data: make([]byte, 0, size), home: r.free}
	}
	r.states <- &buffer{home: r.states}
	r.meta.Run, r.meta.Arch = strconv.FormatInt(unix().UnixNano(), 36), runtime.GOARCH
	go r.writer.run()
	return r, nil
}

// add records one event, action or note.
func (r *Recorder) add(rec *Record) {
	if r.cur != nil && len(r.cur.data)+recordRoom > r.block && !r.next() {
		r.lose("the disk is too slow", rec.At)
	}
	if r.cur == nil {
		r.count.Dropped++
		if r.gap != nil {
			r.gap.Records++
		}
		return
	}
	r.cur.data = appendRecord(r.cur.data, &r.last, rec)
	r.cur.records++
	r.count.Records++
}

// lose begins a gap.
func (r *Recorder) lose(cause string, now time.Duration) {
	if r.cur != nil {
		r.count.Records -= r.cur.records
		r.count.Dropped += r.cur.records
		r.cur.release()
		r.cur = nil
	}
	if r.gap == nil {
		r.count.Gaps++
		r.gap = &Gap{From: now, Cause: cause}
	}
}

// next hands the block to the writer and goes on in a free one; it returns false where there is none.
func (r *Recorder) next() bool {
	r.writer.full <- r.cur // there is room for all there are
	r.cur = nil
	select {
	case r.cur = <-r.free:
		r.begin(r.cur, blockRecords)
		return true
	default:
		return false
	}
}

// begin sets the head of a block.
func (r *Recorder) begin(b *buffer, kind blockKind) {
	b.head = head{kind: kind, first: r.count.Records, base: r.last, unix: r.unix()}
}

// round ends a group of events: the module is between events, so its state may be taken.
func (r *Recorder) round(now time.Duration, snapshot func([]byte) []byte) {
	w := r.writer
	current := int64(r.meta.Segment)
	if r.cur != nil && w.failed.Load() == current {
		r.lose("the disk failed", now)
		r.retryAt = now + retryPace
	}
	switch {
	case r.closed:
	case r.cur == nil:
		if now >= r.retryAt {
			r.start(now, snapshot)
		}
	case now-r.begun >= r.cfg.SegmentAge, w.segment.Load() == current && w.written.Load() >= r.cfg.SegmentBytes:
		r.start(now, snapshot)
	case len(r.cur.data) > 0 && r.unix().Sub(r.cur.head.unix) >= r.cfg.FlushInterval && !r.next():
		r.lose("the disk is too slow", now)
	}
}

// start begins a segment where memory is left for that; else the present one, or the gap, goes on.
func (r *Recorder) start(now time.Duration, snapshot func([]byte) []byte) {
	var state, block *buffer
	select {
	case state = <-r.states:
	default:
		return // the one before is not written yet
	}
	select {
	case block = <-r.free:
	default:
		state.release()
		return
	}
	if r.cur != nil {
		r.writer.full <- r.cur
	}
	r.last, r.begun = now, now
	r.meta.Segment++
	r.meta.FirstRecord, r.meta.ModuleTime, r.meta.UnixTime, r.meta.Gap = r.count.Records, now, r.unix(), r.gap
	r.gap = nil
	meta := r.meta
	r.begin(state, blockSnapshot)
	state.meta, state.data = &meta, snapshot(state.data)
	r.writer.full <- state
	r.begin(block, blockRecords)
	r.cur = block
}

// Counters returns what became of the recording so far.
func (r *Recorder) Counters() Counters {
	c, w := r.count, r.writer
	dropped := w.dropped.Load()
	c.Records -= min(dropped, c.Records)
	c.Dropped += dropped
	c.Segments, c.WrittenBytes, c.UncompressedBytes, c.DiskErrors = w.begun.Load(), w.bytes.Load(), w.raw.Load(), w.errors.Load()
	return c
}

// Close has the rest written and ends the segment. It waits for the disk no longer than the time, and returns
// whether all was written.
func (r *Recorder) Close(patience time.Duration) bool {
	if r.closed {
		return true
	}
	r.closed = true
	if r.cur != nil {
		r.writer.full <- r.cur
		r.cur = nil
	}
	close(r.writer.full)
	select {
	case <-r.writer.done:
		return true
	case <-time.After(patience):
		return false
	}
}
