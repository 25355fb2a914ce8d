package capture

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Values of Damage.Reason.
const (
	reasonNoBlock  = "no block begins here"
	reasonTornTail = "the last block is torn"
)

// Parse parses the bytes of a segment. It skips damaged parts and lists them in Segment.Damage. It returns an error if the
// bytes are not a segment, are a segment of a newer version, or have no readable meta.
func Parse(raw []byte) (*Segment, error) {
	if err := readPreamble(raw); err != nil {
		return nil, err
	}
	parser := segmentParser{data: raw, at: preambleSize, segment: &Segment{Size: int64(len(raw))}}
	for parser.at < len(raw) {
		if err := parser.next(); err != nil {
			return nil, err
		}
	}
	if !parser.hasMeta {
		return nil, fmt.Errorf("%w: its meta block is missing or damaged", ErrNotCapture)
	}
	return parser.segment, nil
}

// segmentParser parses a segment block by block.
type segmentParser struct {
	data       []byte
	at         int // offset of the next block
	segment    *Segment
	nextRecord uint64 // expected number of the next block's first record; another number means that records are missing
	hasMeta    bool   // a meta block was parsed
}

// next parses the block at the current offset, or skips the damaged bytes there.
func (p *segmentParser) next() error {
	rest := p.data[p.at:]
	header, ok := readBlockHeader(rest)
	if !ok {
		p.skipDamage(findNextHeader(rest), reasonNoBlock)
		return nil
	}
	if header.size() > len(rest) {
		// Either the end of the file is missing, or bytes of the block were lost in a copy of the file and other blocks follow.
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
			return fmt.Errorf("%w: its meta block is not valid JSON: %w", ErrNotCapture, err)
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

// skipDamage skips size bytes that are not a block. Damage that extends to the end of the file is reported as a torn block.
func (p *segmentParser) skipDamage(size int, reason string) {
	if p.at+size == len(p.data) {
		reason = reasonTornTail
	}
	p.addDamage(size, reason)
	p.at += size
}

// addDamage adds size bytes at the current offset to the damaged parts.
func (p *segmentParser) addDamage(size int, reason string) {
	p.segment.Damage = append(p.segment.Damage, Damage{Offset: int64(p.at), Bytes: int64(size), Reason: reason})
}

// findNextHeader returns the offset of the first intact header after the first byte of data, or len(data) if there is none.
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
