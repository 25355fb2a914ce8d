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
func Parse(text []byte) (*Segment, error) {
	if err := readPreamble(text); err != nil {
		return nil, err
	}
	parser := segmentParser{data: text, at: preambleSize, segment: &Segment{Size: int64(len(text))}}
	for parser.at < len(text) {
		if err := parser.next(); err != nil {
			return nil, err
		}
	}
	if !parser.hasMeta {
		return nil, fmt.Errorf("%w: its description is damaged", ErrNotCapture)
	}
	return parser.segment, nil
}

// segmentParser reads a segment block by block.
type segmentParser struct {
	data       []byte
	at         int // offset of the next block
	segment    *Segment
	nextRecord uint64 // number that the next block's first record has if nothing is missing
	hasMeta    bool
}

// next reads the block at the current offset, or skips what is damaged there.
func (p *segmentParser) next() error {
	rest := p.data[p.at:]
	header, ok := readBlockHeader(rest)
	if !ok {
		p.skipDamage(findNextHeader(rest), reasonNoBlock)
		return nil
	}
	if header.size() > len(rest) {
		// The block is torn, or a copy of the file lost bytes of it and another block follows.
		p.skipDamage(1+findNextHeader(rest[1:]), fmt.Sprintf("a block of %d bytes ends early", header.size()))
		return nil
	}
	content, err := readBlockContent(header, rest)
	if err != nil {
		p.addDamage(header.size(), err.Error())
		p.at += header.size()
		return nil
	}
	p.segment.CompressedBytes += int64(header.size())
	p.segment.UncompressedBytes += int64(header.rawSize)
	if err := p.readBlock(header, content); err != nil {
		return err
	}
	p.at += header.size()
	return nil
}

// readBlock adds the content of an intact block to the segment.
func (p *segmentParser) readBlock(header blockHeader, content []byte) error {
	switch header.kind {
	case blockMeta:
		if err := json.Unmarshal(content, &p.segment.Meta); err != nil {
			return fmt.Errorf("%w: its description: %w", ErrNotCapture, err)
		}
		p.nextRecord = p.segment.Meta.FirstRecord
		p.hasMeta = true
	case blockSnapshot:
		p.segment.Snapshot = content
	case blockRecords:
		p.readRecords(header, content)
	case blockEnd:
		p.segment.Complete = true
	default:
		p.addDamage(header.size(), fmt.Sprintf("a block of the unknown kind %d", header.kind))
	}
	return nil
}

// readRecords adds a block of records to the segment.
func (p *segmentParser) readRecords(header blockHeader, content []byte) {
	block := Block{
		Offset:      int64(p.at),
		FirstRecord: header.firstRecord,
		BaseTime:    header.baseTime,
		UnixTime:    header.unixTime,
		AfterDamage: header.firstRecord != p.nextRecord,
		content:     content,
	}
	count, err := block.countRecords()
	if err != nil {
		p.addDamage(header.size(), err.Error())
		return
	}
	p.nextRecord = header.firstRecord + count
	p.segment.Blocks = append(p.segment.Blocks, block)
}

// skipDamage skips so many bytes that are no block. Damage up to the end of the file is a torn block.
func (p *segmentParser) skipDamage(size int, reason string) {
	if p.at+size == len(p.data) {
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
func findNextHeader(data []byte) int {
	for at := 1; at < len(data); at++ {
		i := bytes.Index(data[at:], blockMarker[:])
		if i < 0 {
			break
		}
		at += i
		if _, ok := readBlockHeader(data[at:]); ok {
			return at
		}
	}
	return len(data)
}
