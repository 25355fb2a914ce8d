package capture

import (
	"errors"
	"fmt"
	"time"
)

// Segment is one file of a capture, as far as it can be read.
type Segment struct {
	Path              string
	Size              int64
	Meta              Meta
	Snapshot          []byte   // nil where it is damaged: a replay cannot begin here
	Blocks            []Block  // of records, in order
	Damage            []Damage // what could not be read
	Complete          bool     // it was closed in order
	CompressedBytes   int64    // of all blocks as they are stored
	UncompressedBytes int64
}

// Block is one block of records.
type Block struct {
	Offset      int64         // in the file
	FirstRecord uint64        // number of its first record within the run
	BaseTime    time.Duration // the module's clock before it
	UnixTime    time.Time     // when it was begun
	AfterDamage bool          // the records before it are missing
	content     []byte
}

// Damage is a part of a file that could not be read.
type Damage struct {
	Offset int64  `json:"offset"`
	Bytes  int64  `json:"bytes"`
	Reason string `json:"what"`
}

// String returns the place and the reason.
func (d Damage) String() string {
	return fmt.Sprintf("%d bytes at %d: %s", d.Bytes, d.Offset, d.Reason)
}

// countRecords decodes all records, so that a block with a malformed one is rejected as a whole.
func (b *Block) countRecords() (uint64, error) {
	n := uint64(0)
	return n, b.forEach(func(*Record) error { n++; return nil })
}

// forEach calls visit with the block's records; a record is valid until visit returns.
func (b *Block) forEach(visit func(record *Record) error) error {
	records := decoder{rest: b.content, lastEvent: b.BaseTime}
	var record Record
	for len(records.rest) > 0 {
		if err := records.next(&record); err != nil {
			return err
		}
		if err := visit(&record); err != nil {
			return err
		}
	}
	return nil
}

// Position locates a record in a capture.
type Position struct {
	Segment     *Segment
	Block       *Block
	Number      uint64 // within the run
	AfterDamage bool   // it is the first behind a damaged part
}

// ErrStop ends ForEach without an error.
var ErrStop = errors.New("capture: stop")

// ForEach calls visit with the records that can be read, in order, until it returns an error; a record is valid until visit
// returns.
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
		if errors.Is(err, ErrStop) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// UnixTime returns the wall clock at a time of the module's clock, by the blocks of the segment.
func (s *Segment) UnixTime(at time.Duration) time.Time {
	unix := s.Meta.UnixTime.Add(at - s.Meta.ModuleTime)
	for i := range s.Blocks {
		if b := &s.Blocks[i]; b.BaseTime <= at {
			unix = b.UnixTime.Add(at - b.BaseTime)
		}
	}
	return unix
}

// ModuleTime returns the module's clock at a time of the wall clock, by the blocks of the segment.
func (s *Segment) ModuleTime(unix time.Time) time.Duration {
	at := s.Meta.ModuleTime + unix.Sub(s.Meta.UnixTime)
	for i := range s.Blocks {
		if b := &s.Blocks[i]; !b.UnixTime.After(unix) {
			at = b.BaseTime + unix.Sub(b.UnixTime)
		}
	}
	return at
}

// IsContinuationOf reports whether the segment continues where the one before ended, with nothing missing in between.
func (s *Segment) IsContinuationOf(before *Segment) bool {
	if before == nil || s.Meta.Gap != nil || !before.Complete || len(before.Damage) > 0 {
		return false
	}
	if s.Meta.Run != before.Meta.Run || s.Meta.Segment != before.Meta.Segment+1 {
		return false
	}
	end, err := before.endRecord()
	return err == nil && end == s.Meta.FirstRecord
}

// endRecord returns the number of the record behind the segment's last.
func (s *Segment) endRecord() (uint64, error) {
	if len(s.Blocks) == 0 {
		return s.Meta.FirstRecord, nil
	}
	last := &s.Blocks[len(s.Blocks)-1]
	count, err := last.countRecords()
	return last.FirstRecord + count, err
}
