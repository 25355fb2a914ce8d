package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Reasons of damage.
const (
	reasonNoBlock  = "no block begins here"
	reasonTornTail = "the last block is torn"
)

// Parse reads the bytes of a segment. Damaged parts are left out and listed in the segment; an error means that the bytes are
// no segment, are of a newer version, or that not even the meta can be read.
func Parse(b []byte) (*Segment, error) {
	if err := readPreamble(b); err != nil {
		return nil, err
	}
	p := segmentParser{bytes: b, at: preambleSize, segment: &Segment{Size: int64(len(b))}}
	for p.at < len(b) {
		if err := p.next(); err != nil {
			return nil, err
		}
	}
	if !p.hasMeta {
		return nil, fmt.Errorf("%w: its description is damaged", ErrNotCapture)
	}
	return p.segment, nil
}

// segmentParser reads a segment block by block.
type segmentParser struct {
	bytes      []byte
	at         int // offset of the next block
	segment    *Segment
	nextRecord uint64 // number that the next block's first record has if nothing is missing
	hasMeta    bool
}

// next reads the block at the current offset, or skips what is damaged there.
func (p *segmentParser) next() error {
	rest := p.bytes[p.at:]
	h, ok := readBlockHeader(rest)
	if !ok {
		p.skipDamage(findNextHeader(rest), reasonNoBlock)
		return nil
	}
	if h.size() > len(rest) {
		// The block is torn, or a copy of the file lost bytes of it and another block follows.
		p.skipDamage(1+findNextHeader(rest[1:]), fmt.Sprintf("a block of %d bytes ends early", h.size()))
		return nil
	}
	content, err := readBlockContent(h, rest)
	if err != nil {
		p.addDamage(h.size(), err.Error())
		p.at += h.size()
		return nil
	}
	p.segment.CompressedBytes += int64(h.size())
	p.segment.UncompressedBytes += int64(h.rawSize)
	if err := p.readBlock(h, content); err != nil {
		return err
	}
	p.at += h.size()
	return nil
}

// readBlock takes in the content of an intact block.
func (p *segmentParser) readBlock(h blockHeader, content []byte) error {
	switch h.kind {
	case blockMeta:
		if err := json.Unmarshal(content, &p.segment.Meta); err != nil {
			return fmt.Errorf("%w: its description: %w", ErrNotCapture, err)
		}
		p.nextRecord = p.segment.Meta.FirstRecord
		p.hasMeta = true
	case blockSnapshot:
		p.segment.Snapshot = content
	case blockRecords:
		p.readRecords(h, content)
	case blockEnd:
		p.segment.Complete = true
	default:
		p.addDamage(h.size(), fmt.Sprintf("a block of the unknown kind %d", h.kind))
	}
	return nil
}

// readRecords takes in a block of records.
func (p *segmentParser) readRecords(h blockHeader, content []byte) {
	block := Block{
		Offset:      int64(p.at),
		FirstRecord: h.firstRecord,
		BaseTime:    h.baseTime,
		UnixTime:    h.unixTime,
		AfterDamage: h.firstRecord != p.nextRecord,
		content:     content,
	}
	count, err := block.countRecords()
	if err != nil {
		p.addDamage(h.size(), err.Error())
		return
	}
	p.nextRecord = h.firstRecord + count
	p.segment.Blocks = append(p.segment.Blocks, block)
}

// skipDamage skips so many bytes that are no block. Damage up to the end of the file is a torn block.
func (p *segmentParser) skipDamage(size int, reason string) {
	if p.at+size == len(p.bytes) {
		reason = reasonTornTail
	}
	p.addDamage(size, reason)
	p.at += size
}

// addDamage lists so many bytes at the current offset as damaged.
func (p *segmentParser) addDamage(size int, reason string) {
	p.segment.Damage = append(p.segment.Damage, Damage{Offset: int64(p.at), Bytes: int64(size), Reason: reason})
}

// findNextHeader returns the distance to the next intact header behind the first byte, or the length where there is none.
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
