package capture

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

// sampleSegment returns the bytes of one segment with a few blocks, and its records.
func sampleSegment(t testing.TB) ([]byte, []Record) {
	t.Helper()
	dir := t.TempDir()
	directory, err := OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	config := smallConfig()
	config.SegmentBytes, config.MaxBytes = 1<<20, 1<<30
	b := startRecording(t, directory, config, func(err error) { t.Error(err) })
	for range 300 {
		b.round()
		for len(b.freeBlocks) < 2 {
			time.Sleep(time.Millisecond) // wait for the disk: nothing may be dropped here
		}
	}
	b.tap.Annotate("the end")
	b.Close(time.Minute)
	raw, err := os.ReadFile(filepath.Join(dir, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(raw)
	if err != nil || len(s.Damage) > 0 || !s.Complete || len(s.Blocks) < 5 {
		t.Fatalf("%v, %+v", err, s)
	}
	return raw, readRecords(t, s, nil)
}

// readRecords returns a segment's records. Where whole is given, each must equal the one there with its number.
func readRecords(t testing.TB, s *Segment, whole []Record) []Record {
	t.Helper()
	var list []Record
	err := s.ForEach(func(p Position, r *Record) error {
		if whole != nil && (p.Number >= uint64(len(whole)) || !reflect.DeepEqual(whole[p.Number], *r)) {
			t.Errorf("record %d was never written: %+v", p.Number, *r)
		}
		list = append(list, *r)
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	return list
}

// TestRecordRoundTrip encodes and decodes every kind of record.
func TestRecordRoundTrip(t *testing.T) {
	_, records := sampleSegment(t)
	kinds := map[Kind]bool{}
	for _, r := range records {
		kinds[r.Kind] = true
	}
	for _, k := range []Kind{
		KindRequest, KindRunFinished, KindTimer, KindSettle,
		KindRun, KindReject, KindKeepKey, KindSetTimer, KindSetHealth,
		KindRequestNames, KindAnnotation,
	} {
		if !kinds[k] {
			t.Errorf("the sample has no record of %v", k)
		}
	}
	for k := KindRequest; k <= KindAnnotation; k++ {
		if k > KindSettle && k < KindRun || k > KindLog && k < KindRequestNames {
			continue // no kind has the value
		}
		in := Record{Kind: k, At: time.Minute, ID: 7, Duration: 3 * time.Second, Text: "a text", Key: "00ff", Flag: true, Value: 0.5}
		in.Request.ID, in.Request.Work, in.Request.SizeKB, in.Request.IsRetry = 7, time.Second, 2.5, true
		var last time.Duration
		d := decoder{rest: appendRecord(nil, &last, &in)}
		var out Record
		if err := d.next(&out); err != nil || len(d.rest) > 0 || out.Kind != k {
			t.Errorf("%v: %v, %d bytes left", k, err, len(d.rest))
		}
		if b := appendRecord(nil, new(time.Duration), &out); !slices.Equal(b, appendRecord(nil, new(time.Duration), &in)) {
			t.Errorf("%v does not come back: %+v", k, out)
		}
	}
}

// TestTorn truncates a segment at every length: the complete blocks are read, and nothing else.
func TestTorn(t *testing.T) {
	raw, records := sampleSegment(t)
	for n := 0; n < len(raw); n += 1 + n%7 {
		s, err := Parse(raw[:n])
		if err != nil {
			if !errors.Is(err, ErrNotCapture) {
				t.Fatalf("cut at %d: %v", n, err)
			}
			continue
		}
		got := readRecords(t, s, records)
		if s.Complete || len(got) > len(records) {
			t.Fatalf("cut at %d: complete %t, %d records", n, s.Complete, len(got))
		}
		if len(s.Damage) == 0 && s.Size != s.CompressedBytes+int64(preambleSize) {
			t.Fatalf("cut at %d: the torn end is not reported", n)
		}
	}
}

// TestFlippedBits flips a bit anywhere: its block is found to be damaged, and the rest is read.
func TestFlippedBits(t *testing.T) {
	raw, records := sampleSegment(t)
	whole, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	most := uint64(0) // records of a block
	for i := range whole.Blocks {
		n, err := whole.Blocks[i].countRecords()
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, n)
	}
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	for range 600 {
		b := slices.Clone(raw)
		at := rng.IntN(len(b))
		b[at] ^= 1 << rng.IntN(8)
		s, err := Parse(b)
		if err != nil {
			continue // the preamble or the meta, without which nothing can be read
		}
		got := readRecords(t, s, records)
		if len(s.Damage) == 0 {
			t.Fatalf("a bit flipped at %d of %d is not found", at, len(raw))
		}
		if lost := uint64(len(records) - len(got)); lost > most {
			t.Fatalf("a bit flipped at %d loses %d of %d records, a block has %d", at, lost, len(records), most)
		}
	}
}

// TestNewerVersion reports a segment of an unknown version.
func TestNewerVersion(t *testing.T) {
	raw, _ := sampleSegment(t)
	b := slices.Clone(raw)
	b[len(magic)] = Version + 1
	path := filepath.Join(t.TempDir(), segmentName(1))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("error %v", err)
	}
	if _, _, err := Open(filepath.Dir(path)); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("error for the directory %v", err)
	}
}

// TestSkippedBytes reads a segment before and behind foreign bytes in its middle.
func TestSkippedBytes(t *testing.T) {
	raw, records := sampleSegment(t)
	s, _ := Parse(raw)
	at := s.Blocks[2].Offset
	b := slices.Concat(raw[:at], []byte("foreign bytes"), raw[at:])
	s, err := Parse(b)
	if err != nil || len(s.Damage) != 1 || s.Damage[0].Offset != at || s.Damage[0].Bytes != 13 {
		t.Fatalf("%v, damage %v", err, s.Damage)
	}
	if got := readRecords(t, s, records); len(got) != len(records) {
		t.Errorf("%d of %d records are read", len(got), len(records))
	}
}

// FuzzSegment parses any bytes without a panic, and can read all records of what it parsed.
func FuzzSegment(f *testing.F) {
	raw, _ := sampleSegment(f)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add(appendPreamble(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			return
		}
		if err := s.ForEach(func(Position, *Record) error { return nil }); err != nil {
			t.Errorf("a record was counted and can't be read: %v", err)
		}
	})
}
