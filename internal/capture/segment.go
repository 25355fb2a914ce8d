package capture

import (
	"errors"
	"fmt"
	"time"
)

// Segment is the readable content of one file of a capture.
type Segment struct {
	Path              string
	Size              int64
	Meta              Meta
	Snapshot          []byte   // module's state; nil if damaged, then no replay can start here
	Blocks            []Block  // blocks of records, in order
	Damage            []Damage // parts that could not be read
	Complete          bool     // the segment was closed normally
	CompressedBytes   int64    // size of all intact blocks, headers included
	UncompressedBytes int64    // size of the content of all intact blocks
}

// Block is a block of records.
type Block struct {
	Offset      int64         // offset in the file
	FirstRecord uint64        // number of the first record within the run
	BaseTime    time.Duration // module's clock at the event before the block
	UnixTime    time.Time     // wall clock when the block was started
	AfterDamage bool          // records directly before the block are missing
	content     []byte
}

// Damage is a part of a file that could not be read.
type Damage struct {
	Offset int64  `json:"offset"`
	Bytes  int64  `json:"bytes"`
	Reason string `json:"what"`
}

// String returns the size, the offset and the reason.
func (d Damage) String() string {
	return fmt.Sprintf("%d bytes at %d: %s", d.Bytes, d.Offset, d.Reason)
}

// countRecords decodes and counts all records. It returns an error if one is malformed, so that the parser rejects the entire
// block.
func (b *Block) countRecords() (uint64, error) {
	n := uint64(0)
	return n, b.forEach(func(*Record) error { n++; return nil })
}

// forEach calls visit with each record of the block. The record is valid until visit returns.
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

// Position is the position of a record in a capture.
type Position struct {
	Segment     *Segment
	Block       *Block
	Number      uint64 // number within the run
	AfterDamage bool   // records directly before this one are missing
}

// ErrStop is returned by a visit function to end ForEach without an error.
var ErrStop = errors.New("capture: stop")

// ForEach calls visit with each readable record in order. It stops at the first error of visit and returns it, or nil for
// ErrStop. The record is valid until visit returns.
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

// UnixTime converts a time of the module's clock to wall clock time. Its reference is the last block that starts at or before
// that time, or the start of the segment if there is no such block.
func (s *Segment) UnixTime(at time.Duration) time.Time {
	unix := s.Meta.UnixTime.Add(at - s.Meta.ModuleTime)
	for i := range s.Blocks {
		if b := &s.Blocks[i]; b.BaseTime <= at {
			unix = b.UnixTime.Add(at - b.BaseTime)
		}
	}
	return unix
}

// ModuleTime converts a wall clock time to the module's clock. Its reference is the last block that starts at or before that
// time, or the start of the segment if there is no such block.
func (s *Segment) ModuleTime(unix time.Time) time.Duration {
	at := s.Meta.ModuleTime + unix.Sub(s.Meta.UnixTime)
	for i := range s.Blocks {
		if b := &s.Blocks[i]; !b.UnixTime.After(unix) {
			at = b.BaseTime + unix.Sub(b.UnixTime)
		}
	}
	return at
}

// IsContinuationOf reports whether the segment follows the segment before with no record missing between them. before may be
// nil.
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

// endRecord returns the number after the last record's number.
func (s *Segment) endRecord() (uint64, error) {
	if len(s.Blocks) == 0 {
		return s.Meta.FirstRecord, nil
	}
	last := &s.Blocks[len(s.Blocks)-1]
	count, err := last.countRecords()
	return last.FirstRecord + count, err
}
