package capture

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tillerusher/admission"
)

// TestRotation checks that the directory stays within its size limit, that each segment starts with a snapshot, and that a
// second start of the recorder overwrites no segment of the first.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	directory, err := OpenDirectory(filepath.Join(dir, "new"))
	if err != nil {
		t.Fatal(err)
	}
	config := smallConfig()
	config.MaxBytes = 4 * (config.SegmentBytes + int64(config.BufferBytes))
	runs := map[string]bool{}
	for range 2 { // two starts of the recorder
		b := startRecording(t, directory, config, func(err error) { t.Error(err) })
		for range 40 {
			for range 100 {
				b.round()
			}
			for b.writer.segmentBytes.Load() == 0 || len(b.writer.blocks) > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		if !b.Close(time.Minute) {
			t.Fatal("the recorder was not closed within a minute")
		}
		if c := b.Counters(); c.Segments < 3 || c.Records == 0 || c.Dropped > 0 {
			t.Errorf("counters %+v", c)
		}
		total := checkSegments(t, filepath.Join(dir, "new"), runs)
		if total > config.MaxBytes {
			t.Errorf("segments have %d bytes, want at most %d", total, config.MaxBytes)
		}
	}
	if len(runs) != 2 {
		t.Errorf("found segments of %d runs, want 2", len(runs))
	}
}

// checkSegments checks that the segments of a directory are complete and that each continues the previous one of its run. It
// adds their runs to the set and returns their total size in bytes.
func checkSegments(t *testing.T, dir string, runs map[string]bool) (total int64) {
	t.Helper()
	segments, unreadable, err := Open(dir)
	if err != nil || len(unreadable) > 0 {
		t.Fatal(unreadable, err)
	}
	for i, s := range segments {
		total += s.Size
		if !s.Complete || len(s.Damage) > 0 || s.Snapshot == nil || s.Meta.Server != "n3" {
			t.Errorf("%s: complete %t, damage %v, want a complete segment of n3 with a snapshot", s.Path, s.Complete, s.Damage)
		}
		if _, err := admission.Restore(s.Snapshot, admission.NoActions{}); err != nil {
			t.Error(err)
		}
		if i > 0 && s.Meta.Run == segments[i-1].Meta.Run && !s.IsContinuationOf(segments[i-1]) {
			t.Errorf("%s does not continue the previous segment", s.Path)
		}
		runs[s.Meta.Run] = true
	}
	return total
}

// checkGaps reads a capture that must have gaps, and compares its records and gaps with the counters.
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
				t.Errorf("gap %+v, want a cause and a snapshot after it", s.Meta.Gap)
			}
		}
	}
	if read != c.Records || gaps == 0 || uint64(gaps) > c.Gaps || c.Dropped == 0 {
		t.Errorf("%d records and %d gaps were read, counters %+v", read, gaps, c)
	}
}

// TestStalledDisk checks that the event loop continues while the disk stalls, that the number of buffers stays bounded, and
// that the next segment has the gap.
func TestStalledDisk(t *testing.T) {
	dir := t.TempDir()
	directory, err := OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	disk := &faultyDirectory{Directory: directory}
	b := startRecording(t, disk, smallConfig(), ignoreError)
	for range 50 {
		b.round()
	}
	disk.mu.Lock()
	for range 20000 {
		b.round() // would not return if it waited for the disk
	}
	if waiting := len(b.writer.blocks) + len(b.freeBlocks); waiting > 10 {
		t.Errorf("%d buffers are free or wait to be written, want at most 10", waiting)
	}
	disk.mu.Unlock()
	for b.current == nil {
		b.round()
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		b.round()
	}
	if !b.Close(time.Minute) {
		t.Fatal("the recorder was not closed within a minute")
	}
	checkGaps(t, dir, b.Counters())
}

// TestFullDisk checks that the segment is abandoned and the error reported while the disk is full, and that a new segment
// starts when the disk has space again.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	directory, err := OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	disk := &faultyDirectory{Directory: directory}
	reported := make(chan error, 100)
	b := startRecording(t, disk, smallConfig(), func(err error) { reported <- err })
	for range 50 {
		b.round()
	}
	disk.setFull(true)
	for len(reported) == 0 {
		b.round()
		time.Sleep(time.Millisecond) // let the writer run
	}
	if err := <-reported; !errors.Is(err, errFull) {
		t.Errorf("reported error %v, want that of a full disk", err)
	}
	for b.current != nil {
		b.round()
		time.Sleep(time.Millisecond)
	}
	disk.setFull(false)
	for b.current == nil || b.writer.segmentNumber.Load() != int64(b.meta.Segment) {
		b.round()
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		b.round()
	}
	if !b.Close(time.Minute) {
		t.Fatal("the recorder was not closed within a minute")
	}
	if c := b.Counters(); c.DiskErrors == 0 {
		t.Errorf("counters %+v", c)
	}
	checkGaps(t, dir, b.Counters())
	if countAbandoned(t, dir) == 0 {
		t.Error("found no torn or unreadable segment, want the abandoned one")
	}
}

// countAbandoned returns the number of segments of a capture that are torn, or unreadable because they were abandoned in their
// first bytes.
func countAbandoned(t *testing.T, dir string) int {
	t.Helper()
	segments, unreadable, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	abandoned := len(unreadable)
	for _, s := range segments {
		if !s.Complete && len(s.Damage) > 0 {
			abandoned++
		}
	}
	return abandoned
}

// TestCloseDoesNotWait checks that Close returns after its timeout while the disk stalls, so that the process can exit.
func TestCloseDoesNotWait(t *testing.T) {
	directory, err := OpenDirectory(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	disk := &faultyDirectory{Directory: directory}
	disk.mu.Lock()
	b := startRecording(t, disk, smallConfig(), ignoreError)
	b.round()
	if b.Close(time.Millisecond) {
		t.Error("Close returned true while the disk stalled")
	}
	disk.mu.Unlock()
	<-b.writer.done
}

// TestConfig checks that the default configuration is valid and that invalid values are rejected.
func TestConfig(t *testing.T) {
	if err := DefaultConfig().Validate(); err != nil {
		t.Error(err)
	}
	for i, change := range []func(*Config){func(c *Config) { c.SegmentBytes = 1 }, func(c *Config) { c.MaxBytes = c.SegmentBytes },
		func(c *Config) { c.BufferBytes = 1 }, func(c *Config) { c.SegmentAge = 0 }, func(c *Config) { c.FlushInterval = 0 }} {
		c := DefaultConfig()
		change(&c)
		if c.Validate() == nil {
			t.Errorf("change %d: Validate accepts an invalid value", i)
		}
	}
	if _, err := OpenDirectory(filepath.Join(os.DevNull, "x")); err == nil {
		t.Error("OpenDirectory accepts a path below a file")
	}
}

// BenchmarkRecord measures the time that a round with one request takes in the event loop, with and without recording.
func BenchmarkRecord(b *testing.B) {
	b.Run("on", func(b *testing.B) {
		directory, err := OpenDirectory(b.TempDir())
		if err != nil {
			b.Fatal(err)
		}
		r := startRecording(b, directory, DefaultConfig(), ignoreError)
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
