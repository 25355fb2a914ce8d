package capture

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tillerusher/admission"
)

// TestRotation keeps the directory within its limit, begins each segment with a snapshot, and overwrites nothing of an earlier
// start.
func TestRotation(t *testing.T) {
	dir := t.TempDir()
	directory, err := OpenDirectory(filepath.Join(dir, "new"))
	if err != nil {
		t.Fatal(err)
	}
	config := smallConfig()
	config.MaxBytes = 4 * (config.SegmentBytes + int64(config.BufferBytes))
	runs := map[string]bool{}
	for range 2 { // starts
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
			t.Fatal("not closed")
		}
		if c := b.Counters(); c.Segments < 3 || c.Records == 0 || c.Dropped > 0 {
			t.Errorf("counters %+v", c)
		}
		total := checkRotated(t, filepath.Join(dir, "new"), runs)
		if total > config.MaxBytes {
			t.Errorf("%d bytes are kept, %d are allowed", total, config.MaxBytes)
		}
	}
	if len(runs) != 2 {
		t.Errorf("segments of %d starts were found", len(runs))
	}
}

// checkRotated checks that the segments of a directory are whole and continue each other. It adds their runs and returns
// their bytes.
func checkRotated(t *testing.T, dir string, runs map[string]bool) (total int64) {
	t.Helper()
	segments, unreadable, err := Open(dir)
	if err != nil || len(unreadable) > 0 {
		t.Fatal(unreadable, err)
	}
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
		runs[s.Meta.Run] = true
	}
	return total
}

// checkGaps reads a capture that has gaps and compares it with the counters.
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

// TestStalledDisk has the disk stall: the loop continues, memory stays bounded, and the next segment states what was
// dropped.
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
		t.Errorf("%d buffers are in use", waiting)
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
		t.Fatal("not closed")
	}
	checkGaps(t, dir, b.Counters())
}

// TestFullDisk has the disk be full for a while: the segment is abandoned, the error is reported, and a new segment follows
// once there is space.
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
		time.Sleep(time.Millisecond) // the writer needs the processor, too
	}
	if err := <-reported; !errors.Is(err, errFull) {
		t.Errorf("reported %v", err)
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
		t.Fatal("not closed")
	}
	if c := b.Counters(); c.DiskErrors == 0 {
		t.Errorf("counters %+v", c)
	}
	checkGaps(t, dir, b.Counters())
	if countAbandoned(t, dir) == 0 {
		t.Error("the abandoned segment looks whole")
	}
}

// countAbandoned returns how many segments of a capture are torn, or cannot be read since they were abandoned in their first
// bytes.
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

// TestCloseDoesNotWait closes a recorder whose disk stalls for good: the end of the process must not wait for it.
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
		t.Error("it was closed")
	}
	disk.mu.Unlock()
	<-b.writer.done
}

// TestConfig rejects values that make no sense.
func TestConfig(t *testing.T) {
	if err := DefaultConfig().Validate(); err != nil {
		t.Error(err)
	}
	for i, change := range []func(*Config){func(c *Config) { c.SegmentBytes = 1 }, func(c *Config) { c.MaxBytes = c.SegmentBytes },
		func(c *Config) { c.BufferBytes = 1 }, func(c *Config) { c.SegmentAge = 0 }, func(c *Config) { c.FlushInterval = 0 }} {
		c := DefaultConfig()
		change(&c)
		if c.Validate() == nil {
			t.Errorf("change %d is accepted", i)
		}
	}
	if _, err := OpenDirectory(filepath.Join(os.DevNull, "x")); err == nil {
		t.Error("a directory in a file")
	}
}

// BenchmarkRecord measures what a round with one request costs the loop, recorded and not.
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
