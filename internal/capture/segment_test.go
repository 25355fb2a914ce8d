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

// sampleSegment returns the bytes of a complete segment with several blocks, and its records.
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
			time.Sleep(time.Millisecond) // wait for the writer, so that no record is dropped
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
		t.Fatalf("error %v, segment %+v, want a complete segment with 5 blocks or more", err, s)
	}
	return raw, readRecords(t, s, nil)
}

// readRecords returns the readable records of a segment. Unless want is nil, each record must equal the element of want with
// its number.
func readRecords(t testing.TB, s *Segment, want []Record) []Record {
	t.Helper()
	var list []Record
	err := s.ForEach(func(p Position, r *Record) error {
		if want != nil && (p.Number >= uint64(len(want)) || !reflect.DeepEqual(want[p.Number], *r)) {
			t.Errorf("record %d differs from the written one: %+v", p.Number, *r)
		}
		list = append(list, *r)
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	return list
}

// TestRecordRoundTrip checks that records of every kind are unchanged after encoding and decoding.
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
			t.Errorf("the sample segment has no record of kind %v", k)
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
			t.Errorf("%v: error %v, %d bytes not decoded", k, err, len(d.rest))
		}
		if b := appendRecord(nil, new(time.Duration), &out); !slices.Equal(b, appendRecord(nil, new(time.Duration), &in)) {
			t.Errorf("%v: the decoded record is encoded differently: %+v", k, out)
		}
	}
}

// TestTruncatedSegment truncates a segment at many lengths, and checks that only the records of complete blocks are read.
func TestTruncatedSegment(t *testing.T) {
	raw, records := sampleSegment(t)
	for n := 0; n < len(raw); n += 1 + n%7 {
		s, err := Parse(raw[:n])
		if err != nil {
			if !errors.Is(err, ErrNotCapture) {
				t.Fatalf("truncated at %d: %v", n, err)
			}
			continue
		}
		got := readRecords(t, s, records)
		if s.Complete || len(got) > len(records) {
			t.Fatalf("truncated at %d: complete %t, %d records", n, s.Complete, len(got))
		}
		if len(s.Damage) == 0 && s.Size != s.CompressedBytes+int64(preambleSize) {
			t.Fatalf("truncated at %d: the incomplete end is not listed as damage", n)
		}
	}
}

// TestFlippedBits flips one random bit of a segment, and checks that only the block with the bit is damaged.
func TestFlippedBits(t *testing.T) {
	raw, records := sampleSegment(t)
	whole, err := Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	maxBlockRecords := uint64(0) // largest number of records in a block
	for i := range whole.Blocks {
		n, err := whole.Blocks[i].countRecords()
		if err != nil {
			t.Fatal(err)
		}
		maxBlockRecords = max(maxBlockRecords, n)
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
			continue // the preamble or the meta is damaged, and nothing can be read without them
		}
		got := readRecords(t, s, records)
		if len(s.Damage) == 0 {
			t.Fatalf("bit flipped in byte %d of %d: no damage is listed", at, len(raw))
		}
		if lost := uint64(len(records) - len(got)); lost > maxBlockRecords {
			t.Fatalf("bit flipped in byte %d: %d of %d records are lost, want at most the %d of one block", at, lost, len(records), maxBlockRecords)
		}
	}
}

// TestNewerVersion checks that a segment of a newer version is rejected with ErrNewerVersion.
func TestNewerVersion(t *testing.T) {
	raw, _ := sampleSegment(t)
	b := slices.Clone(raw)
	b[len(magic)] = Version + 1
	path := filepath.Join(t.TempDir(), segmentName(1))
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("file: error %v, want ErrNewerVersion", err)
	}
	if _, _, err := Open(filepath.Dir(path)); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("directory: error %v, want ErrNewerVersion", err)
	}
}

// TestSkippedBytes checks that all records are read from a segment with foreign bytes between two blocks.
func TestSkippedBytes(t *testing.T) {
	raw, records := sampleSegment(t)
	s, _ := Parse(raw)
	at := s.Blocks[2].Offset
	b := slices.Concat(raw[:at], []byte("foreign bytes"), raw[at:])
	s, err := Parse(b)
	if err != nil || len(s.Damage) != 1 || s.Damage[0].Offset != at || s.Damage[0].Bytes != 13 {
		t.Fatalf("error %v, damage %v, want the 13 foreign bytes", err, s.Damage)
	}
	if got := readRecords(t, s, records); len(got) != len(records) {
		t.Errorf("read %d of %d records", len(got), len(records))
	}
}

// FuzzSegment checks that Parse does not panic for any bytes, and that all records of a parsed segment can be read.
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
			t.Errorf("cannot read a record of a parsed segment: %v", err)
		}
	})
}
