package capture

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// SegmentBytes is one file of a capture, as far as it can be read.
type Segment struct {
	Path              string
	Size              int64
	Meta              Meta
	Snapshot          []byte   // nil where it is damaged: a replay cannot begin here
	Blocks            []Block  // of records, in order
	Damage            []Damage // what could not be read
	Complete          bool     // it was ended in order
	CompressedBytes   int64    // totalBytes of all blocks, stored
	UncompressedBytes int64    // the same before compression
}

// Block is one block of records.
type Block struct {
	Offset      int64         // in the file
	FirstRecord uint64        // fileNumber of its first record within the run
	BaseTime    time.Duration // the module's clock before it
	UnixTime    time.Time     // when it was begun
	AfterDamage bool          // what comes before it is missing
	raw         []byte
}

// Damage is a part of a file that could not be read.
type Damage struct {
	Offset int64  `json:"offset"`
	Bytes  int64  `json:"bytes"`
	Reason string `json:"what"`
}

// String names the place and what is wrong there.
func (d Damage) String() string {
	return fmt.Sprintf("%d bytes at %d: %s", d.Bytes, d.Offset, d.Reason)
}

// ReadSegment reads one file. What is damaged is left out and named; the error is for a file that is none, is of
// a newer version, or does not even tell what it is of.
func ReadSegment(path string) (*Segment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	s.Path = path
	return s, nil
}

// Parse reads the bytes of a segment, as ReadSegment does.
func Parse(b []byte) (*Segment, error) {
	if err := readPreamble(b); err != nil {
		return nil, err
	}
	s := &Segment{Size: int64(len(b))}
	next, told := uint64(0), false
	for at := preambleSize; at < len(b); {
		h, ok := readBlockHeader(b[at:])
		if !ok {
			skip := findNextHeader(b[at:])
			what := "no block begins here"
			if at+skip == len(b) {
				what = "the last block is torn"
			}
			s.addDamage(at, skip, what)
			at += skip
			continue
		}
		if blockHeaderSize+h.storedSize > len(b)-at {
			// Torn, or followed by a block that began before this one was whole: a copy that lost bytes.
			skip := 1 + findNextHeader(b[at+1:])
			what := fmt.Sprintf("a block of %d bytes ends early", blockHeaderSize+h.storedSize)
			if at+skip == len(b) {
				what = "the last block is torn"
			}
			s.addDamage(at, skip, what)
			at += skip
			continue
		}
		raw, err := readBlockContent(h, b[at:])
		if err != nil {
			s.addDamage(at, blockHeaderSize+h.storedSize, err.Error())
			at += blockHeaderSize + h.storedSize
			continue
		}
		s.CompressedBytes += int64(blockHeaderSize + h.storedSize)
		s.UncompressedBytes += int64(h.rawSize)
		switch h.kind {
		case blockMeta:
			if err := json.Unmarshal(raw, &s.Meta); err != nil {
				return nil, fmt.Errorf("%w: its description: %w", ErrNotCapture, err)
			}
			next, told = s.Meta.FirstRecord, true
		case blockSnapshot:
			s.Snapshot = raw
		case blockRecords:
			blk := Block{Offset: int64(at), FirstRecord: h.firstRecord, BaseTime: h.baseTime, UnixTime: h.unixTime, AfterDamage: h.firstRecord != next, raw: raw}
			n, err := blk.countRecords()
			if err != nil {
				s.addDamage(at, blockHeaderSize+h.storedSize, err.Error())
				break
			}
			next = h.firstRecord + n
			s.Blocks = append(s.Blocks, blk)
		case blockEnd:
			s.Complete = true
		default:
			s.addDamage(at, blockHeaderSize+h.storedSize, fmt.Sprintf("a block of the unknown kind %d", h.kind))
		}
		at += blockHeaderSize + h.storedSize
	}
	if !told {
		return nil, fmt.Errorf("%w: its description is damaged", ErrNotCapture)
	}
	return s, nil
}

func (s *Segment) addDamage(at, n int, what string) {
	s.Damage = append(s.Damage, Damage{Offset: int64(at), Bytes: int64(n), Reason: what})
}

// findNextHeader is how far the next sound head is away, or the length where there is none.
func findNextHeader(b []byte) int {
	for at := 1; at < len(b); at++ {
		i := bytes.Index(b[at:], blockMarker[:])
		if i < 0 {
			break
		}
		at += i
		if _, ok := readBlockHeader(b[at:]); ok {
			return at
		}
	}
	return len(b)
}

// counters reads all records, so that none of a block is handed on where one of it makes no sense.
func (b *Block) countRecords() (uint64, error) {
	n := uint64(0)
	return n, b.forEach(func(*Record) error { n++; return nil })
}

// forEach hands on the block's records; the record is valid until the function returns.
func (b *Block) forEach(visit func(r *Record) error) error {
	d := decoder{rest: b.raw, lastEvent: b.BaseTime}
	var r Record
	for len(d.rest) > 0 {
		if err := d.next(&r); err != nil {
			return err
		}
		if err := visit(&r); err != nil {
			return err
		}
	}
	return nil
}

// Position is where a record stands.
type Position struct {
	Segment     *Segment
	Block       *Block
	Number      uint64 // within the run
	AfterDamage bool   // it is the first behind a damaged part
}

// ErrStop ends Each without an error.
var ErrStop = errors.New("capture: stop")

// ForEach hands on the records that can be read, in order; the record is valid until the function returns.
func (s *Segment) ForEach(visit func(p Position, r *Record) error) error {
	for i := range s.Blocks {
		b := &s.Blocks[i]
		p := Position{Segment: s, Block: b, Number: b.FirstRecord, AfterDamage: b.AfterDamage}
		err := b.forEach(func(r *Record) error {
			err := visit(p, r)
			p.Number++
			p.AfterDamage = false
			return err
		})
		if err == ErrStop {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// UnixTime is the Unix time at a time of the module's clock, by the blocks of the segment.
func (s *Segment) UnixTime(at time.Duration) time.Time {
	unix := s.Meta.UnixTime.Add(at - s.Meta.ModuleTime)
	for i := range s.Blocks {
		if b := &s.Blocks[i]; b.BaseTime <= at {
			unix = b.UnixTime.Add(at - b.BaseTime)
		}
	}
	return unix
}

// ModuleTime is the time of the module's clock at a Unix time, by the blocks of the segment.
func (s *Segment) ModuleTime(unix time.Time) time.Duration {
	at := s.Meta.ModuleTime + unix.Sub(s.Meta.UnixTime)
	for i := range s.Blocks {
		if b := &s.Blocks[i]; !b.UnixTime.After(unix) {
			at = b.BaseTime + unix.Sub(b.UnixTime)
		}
	}
	return at
}

// IsContinuationOf tells whether the segment goes on where the one before ended.
func (s *Segment) IsContinuationOf(before *Segment) bool {
	if before == nil || s.Meta.Run != before.Meta.Run || s.Meta.Segment != before.Meta.Segment+1 || s.Meta.Gap != nil ||
		!before.Complete || len(before.Damage) > 0 {
		return false
	}
	end := before.Meta.FirstRecord
	if n := len(before.Blocks); n > 0 {
		count, err := before.Blocks[n-1].countRecords()
		if err != nil {
			return false
		}
		end = before.Blocks[n-1].FirstRecord + count
	}
	return end == s.Meta.FirstRecord
}

// UnreadableFile is a file that looks like a segment and can't be read as one.
type UnreadableFile struct {
	Path string
	Err  error
}

// Open reads a capture: a directory's segments in their order, or one file. Files of the directory that can't be
// read are returned apart; the error says that there is nothing to read.
func Open(path string) ([]*Segment, []UnreadableFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	if !info.IsDir() {
		s, err := ReadSegment(path)
		if err != nil {
			return nil, nil, err
		}
		return []*Segment{s}, nil, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	names := []string{}
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), segmentSuffix) && !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	var segments []*Segment
	var bad []UnreadableFile
	for _, name := range names {
		s, err := ReadSegment(filepath.Join(path, name))
		switch {
		case errors.Is(err, ErrNewerVersion):
			return nil, nil, err
		case err != nil:
			bad = append(bad, UnreadableFile{filepath.Join(path, name), err})
		default:
			segments = append(segments, s)
		}
	}
	if len(segments) == 0 && len(bad) == 0 {
		return nil, nil, fmt.Errorf("%w: no *%s in %s", ErrNotCapture, segmentSuffix, path)
	}
	return segments, bad, nil
}
