package capture

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"tillerusher/admission"
)

// testSettings are those of a server of two cores.
func testSettings() admission.Settings {
	return admission.Settings{Servers: 2, Callers: 3, Cores: 2, Tick: 5 * time.Millisecond, MemoryKB: 40000, KeyKB: 50,
		RunningMemoryFactor: 16, MaxConcurrencyFactor: 8, MaxRetryAfter: time.Second, CallerIdleTimeout: 15 * time.Second,
		Classes: []admission.Class{{LatencyObjective: 400 * time.Millisecond, Deadline: time.Second, Weight: 1},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2, Effect: admission.IdempotentByKey, KeyWindow: 5 * time.Second}},
		Tenants: []admission.Tenant{{Quota: 55}, {Quota: 26}}}
}

// recordedModule is a recorder with a module behind it.
type recordedModule struct {
	*Recorder
	tap *Tap
	now time.Duration
	id  admission.RequestID
}

// startRecording starts a module that is recorded.
func startRecording(t testing.TB, files Directory, cfg Config, trouble func(error)) *recordedModule {
	t.Helper()
	rec, err := NewRecorder(files, cfg, Meta{Server: "n3", Classes: []string{"look", "take"}}, time.Now, trouble)
	if err != nil {
		t.Fatal(err)
	}
	tap := NewTap(rec, admission.NoActions{})
	m, err := admission.New(testSettings(), tap)
	if err != nil {
		t.Fatal(err)
	}
	tap.Attach(m, 0)
	return &recordedModule{Recorder: rec, tap: tap}
}

// endRound is a usual round: a request comes, one of those before ends, and a timer rings now and then.
func (b *recordedModule) round() {
	b.now += 3 * time.Millisecond
	b.id++
	b.tap.NameRequest(b.id, "00000000000000aa", "")
	b.tap.Request(b.now, admission.Request{ID: b.id, Class: int(b.id % 2), Tenant: int(b.id % 2), Caller: 1, SizeKB: 24.5})
	if b.id > 4 {
		b.tap.RunFinished(b.now, b.id-4, admission.OK)
	}
	if b.id%30 == 0 {
		b.tap.Timer(b.now, 0, admission.Gauges{Utilization: 0.5, Runnable: 2})
	}
	b.tap.Settle(b.now)
}

// smallConfig is a configuration with many small blocks and segments.
func smallConfig() Config {
	return Config{SegmentBytes: minSegmentBytes, SegmentAge: time.Hour, MaxBytes: 1 << 30, BufferBytes: minBufferBytes, FlushInterval: time.Hour}
}

func ignoreError(error) {}

// TestRotation keeps the folder within its bound, begins each segment with a state, and overwrites nothing of an
// earlier start.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	files, err := OpenDirectory(filepath.Join(dir, "new"))
	if err != nil {
		t.Fatal(err)
	}
	cfg := smallConfig()
	cfg.MaxBytes = 4 * (cfg.SegmentBytes + int64(cfg.BufferBytes))
	seen := map[string]bool{}
	for range 2 { // starts
		b := startRecording(t, files, cfg, func(err error) { t.Error(err) })
		for range 40 {
			for range 100 {
				b.round()
			}
			for b.writer.segmentBytes.Load() == 0 || len(b.writer.blocks) > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		if !b.Close(time.Minute) {
			t.Fatal("not closed")
		}
		if c := b.Counters(); c.Segments < 3 || c.Records == 0 || c.Dropped > 0 {
			t.Errorf("counters %+v", c)
		}
		segments, bad, err := Open(filepath.Join(dir, "new"))
		if err != nil || len(bad) > 0 {
			t.Fatal(bad, err)
		}
		total := int64(0)
		for i, s := range segments {
			total += s.Size
			if !s.Complete || len(s.Damage) > 0 || s.Snapshot == nil || s.Meta.Server != "n3" {
				t.Errorf("%s: complete %t, damage %v", s.Path, s.Complete, s.Damage)
			}
			if _, err := admission.Restore(s.Snapshot, admission.NoActions{}); err != nil {
				t.Error(err)
			}
			if i > 0 && s.Meta.Run == segments[i-1].Meta.Run && !s.IsContinuationOf(segments[i-1]) {
				t.Errorf("%s does not go on where the one before ended", s.Path)
			}
			seen[s.Meta.Run] = true
		}
		if total > cfg.MaxBytes {
			t.Errorf("%d bytes are kept, %d are allowed", total, cfg.MaxBytes)
		}
	}
	if len(seen) != 2 {
		t.Errorf("segments of %d starts were seen", len(seen))
	}
}

// faultyDirectory is a folder whose disk can stand still or be full.
type faultyDirectory struct {
	Directory
	mu     sync.Mutex
	isFull bool
}

var errFull = errors.New("no space left on device")

func (v *faultyDirectory) setFull(full bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isFull = full
}

func (v *faultyDirectory) Create(name string) (f io.WriteCloser, err error) {
	if f, err = v.Directory.Create(name); err != nil {
		return nil, err
	}
	return faultyFile{v, f}, nil
}

type faultyFile struct {
	v *faultyDirectory
	f io.WriteCloser
}

func (f faultyFile) Write(p []byte) (int, error) {
	f.v.mu.Lock() // a test that holds it stalls the disk
	defer f.v.mu.Unlock()
	if f.v.isFull {
		n, _ := f.f.Write(p[:len(p)/2])
		return n, errFull
	}
	return f.f.Write(p)
}

func (f faultyFile) Close() error { return f.f.Close() }

// checkGaps reads a capture with one gap of so many records.
func checkGaps(t *testing.T, dir string, c Counters) {
	t.Helper()
	segments, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	read, gaps := uint64(0), 0
	for _, s := range segments {
		if err := s.ForEach(func(Position, *Record) error { read++; return nil }); err != nil {
			t.Error(err)
		}
		if s.Meta.Gap != nil {
			gaps++
			if s.Meta.Gap.Cause == "" || s.Snapshot == nil {
				t.Errorf("gap %+v", s.Meta.Gap)
			}
		}
	}
	if read != c.Records || gaps == 0 || uint64(gaps) > c.Gaps || c.Dropped == 0 {
		t.Errorf("%d records and %d gaps were read, counters %+v", read, gaps, c)
	}
}

// TestStalledDisk has the disk stand still: the loop goes on, memory stays bounded, and what is lost is told by the
// segment that follows.
func TestStalledDisk(t *testing.T) {
	dir := t.TempDir()
	files, err := OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	v := &faultyDirectory{Directory: files}
	b := startRecording(t, v, smallConfig(), ignoreError)
	for range 50 {
		b.round()
	}
	v.mu.Lock()
	for range 20000 {
		b.round() // would not return if it waited for the disk
	}
	if waiting := len(b.writer.blocks) + len(b.freeBlocks); waiting > 10 {
		t.Errorf("%d buffers are in use", waiting)
	}
	v.mu.Unlock()
	for b.current == nil {
		b.round()
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		b.round()
	}
	if !b.Close(time.Minute) {
		t.Fatal("not closed")
	}
	checkGaps(t, dir, b.Counters())
}

// TestFullDisk has the disk be full for a while: the segment breaks off, the trouble is told, and a new segment
// follows once there is room.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	files, err := OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	v := &faultyDirectory{Directory: files}
	told := make(chan error, 100)
	b := startRecording(t, v, smallConfig(), func(err error) { told <- err })
	for range 50 {
		b.round()
	}
	v.setFull(true)
	for len(told) == 0 {
		b.round()
		time.Sleep(time.Millisecond) // the writer needs the processor, too
	}
	if err := <-told; !errors.Is(err, errFull) {
		t.Errorf("told %v", err)
	}
	for b.current != nil {
		b.round()
		time.Sleep(time.Millisecond)
	}
	v.setFull(false)
	for b.current == nil || b.writer.segmentNumber.Load() != int64(b.meta.Segment) {
		b.round()
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		b.round()
	}
	if !b.Close(time.Minute) {
		t.Fatal("not closed")
	}
	if c := b.Counters(); c.DiskErrors == 0 {
		t.Errorf("counters %+v", c)
	}
	checkGaps(t, dir, b.Counters())
	segments, unreadable, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	broken := len(unreadable) // one that broke off in its very first bytes
	for _, s := range segments {
		if !s.Complete && len(s.Damage) > 0 {
			broken++
		}
	}
	if broken == 0 {
		t.Error("the segment that broke off looks whole")
	}
}

// TestCloseDoesNotWait has a disk that never comes back not hold up the end of the process.
func TestCloseDoesNotWait(t *testing.T) {
	files, err := OpenDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	v := &faultyDirectory{Directory: files}
	v.mu.Lock()
	b := startRecording(t, v, smallConfig(), ignoreError)
	b.round()
	if b.Close(time.Millisecond) {
		t.Error("it was closed")
	}
	v.mu.Unlock()
	<-b.writer.done
}

// TestConfig names what makes no sense.
func TestConfig(t *testing.T) {
	if err := DefaultConfig().Validate(); err != nil {
		t.Error(err)
	}
	for i, change := range []func(*Config){func(c *Config) { c.SegmentBytes = 1 }, func(c *Config) { c.MaxBytes = c.SegmentBytes },
		func(c *Config) { c.BufferBytes = 1 }, func(c *Config) { c.SegmentAge = 0 }, func(c *Config) { c.FlushInterval = 0 }} {
		c := DefaultConfig()
		change(&c)
		if c.Validate() == nil {
			t.Errorf("change %d is taken", i)
		}
	}
	if _, err := OpenDirectory(filepath.Join(os.DevNull, "x")); err == nil {
		t.Error("a folder in a file")
	}
}

// BenchmarkRecord is what a round with one request costs the loop, recorded and not.
func BenchmarkRecord(b *testing.B) {
	b.Run("on", func(b *testing.B) {
		files, err := OpenDirectory(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		r := startRecording(b, files, DefaultConfig(), ignoreError)
		b.ReportAllocs()
		for b.Loop() {
			r.round()
		}
		b.StopTimer()
		r.Close(time.Minute)
		c := r.Counters()
		b.ReportMetric(float64(c.WrittenBytes)/float64(r.id), "B/request")
		b.ReportMetric(float64(c.UncompressedBytes)/float64(r.id), "rawB/request")
		b.ReportMetric(float64(c.Dropped)/float64(c.Records+c.Dropped), "lost")
	})
	b.Run("off", func(b *testing.B) {
		m, err := admission.New(testSettings(), admission.NoActions{})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		now, id := time.Duration(0), admission.RequestID(0)
		for b.Loop() {
			now += 3 * time.Millisecond
			id++
			m.Request(now, admission.Request{ID: id, Class: int(id % 2), Tenant: int(id % 2), Caller: 1, SizeKB: 24.5})
			if id > 4 {
				m.RunFinished(now, id-4, admission.OK)
			}
			if id%30 == 0 {
				m.Timer(now, 0, admission.Gauges{Utilization: 0.5, Runnable: 2})
			}
			m.Settle(now)
		}
	})
}
