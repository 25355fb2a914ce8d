package capture

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"encoding/json"
	"io"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/golang/snappy"
	"github.com/klauspost/compress/s2"
	"github.com/klauspost/compress/zstd"
)

// loadTestRecords returns the segment captured during a load test, and its records.
func loadTestRecords(b *testing.B) (*Segment, []Record) {
	b.Helper()
	s, err := ReadSegment("../replay/testdata/overload.capture")
	if err != nil {
		b.Fatal(err)
	}
	return s, readRecords(b, s, nil)
}

// BenchmarkCompression compares compression algorithms on a block of a load test's records: throughput in uncompressed bytes,
// and the compressed share as the metric left.
func BenchmarkCompression(b *testing.B) {
	s, records := loadTestRecords(b)
	last := s.Meta.ModuleTime
	var raw []byte
	for i := range records {
		raw = appendRecord(raw, &last, &records[i])
	}
	raw = raw[:min(len(raw), maxBlockSize)]
	dst := make([]byte, 2*len(raw))
	newZstdCompressor := func(level zstd.EncoderLevel) func() int {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1))
		if err != nil {
			b.Fatal(err)
		}
		return func() int { return len(e.EncodeAll(raw, dst[:0])) }
	}
	fast, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		b.Fatal(err)
	}
	for name, compress := range map[string]func() int{
		"snappy":       func() int { return len(snappy.Encode(dst, raw)) },
		"s2":           func() int { return len(s2.Encode(dst, raw)) },
		"s2-better":    func() int { return len(s2.EncodeBetter(dst, raw)) },
		"zstd-fastest": newZstdCompressor(zstd.SpeedFastest), "zstd-default": newZstdCompressor(zstd.SpeedDefault),
		"flate-1": func() int {
			var out bytes.Buffer
			fast.Reset(&out)
			fast.Write(raw)
			fast.Close()
			return out.Len()
		},
	} {
		b.Run(name, func(b *testing.B) {
			n := 0
			b.SetBytes(int64(len(raw)))
			for b.Loop() {
				n = compress()
			}
			b.ReportMetric(float64(n)/float64(len(raw)), "left")
		})
	}
}

// BenchmarkEncoding compares serialization formats on a load test's records: time and bytes per record.
func BenchmarkEncoding(b *testing.B) {
	_, records := loadTestRecords(b)
	var out bytes.Buffer
	encoded := make([]byte, 0, 1<<20)
	for name, encode := range map[string]func() (int, error){
		"own": func() (int, error) {
			last := records[0].At
			encoded = encoded[:0]
			for i := range records {
				encoded = appendRecord(encoded, &last, &records[i])
			}
			return len(encoded), nil
		},
		"cbor": func() (int, error) { return encodeAll(&out, cbor.NewEncoder(&out), records) },
		"gob":  func() (int, error) { return encodeAll(&out, gob.NewEncoder(&out), records) },
		"json": func() (int, error) { return encodeAll(&out, json.NewEncoder(&out), records) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				var err error
				if n, err = encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n)/float64(len(records)), "B/record")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(records)), "ns/record")
		})
	}
}

// encodeAll encodes the records and returns the size of the result in bytes. The encoder e must write to out.
func encodeAll(out *bytes.Buffer, e interface{ Encode(any) error }, records []Record) (int, error) {
	out.Reset()
	for i := range records {
		if err := e.Encode(&records[i]); err != nil {
			return 0, err
		}
	}
	return out.Len(), nil
}

// TestBlockOfLoadTest checks that a load test's capture is unchanged after it was encoded and decoded as a block.
func TestBlockOfLoadTest(t *testing.T) {
	raw, err := os.ReadFile("../replay/testdata/overload.capture")
	if err != nil {
		t.Fatal(err)
	}
	b := appendBlock(nil, blockHeader{kind: blockRecords, firstRecord: 7}, raw)
	h, ok := readBlockHeader(b)
	if !ok || h.firstRecord != 7 || h.rawSize != len(raw) {
		t.Fatalf("header %+v", h)
	}
	if back, err := readBlockContent(h, b); err != nil || !bytes.Equal(back, raw) {
		t.Errorf("decoded content differs from the original: %v", err)
	}
}
