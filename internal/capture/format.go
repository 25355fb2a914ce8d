package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/golang/snappy"
	"github.com/klauspost/compress/s2"
)

// Version is the version of the format that this package writes, and the newest it reads.
const Version = 1

// magic begins every segment; the version follows in two bytes.
const magic = "tilcap"

const preambleSize = len(magic) + 2

// ErrNewerVersion says that a segment is of a version that this program does not know.
var ErrNewerVersion = errors.New("capture: written by a newer version")

// ErrNotCapture says that a file is no segment.
var ErrNotCapture = errors.New("capture: not a capture")

// blockKind says what a block holds.
type blockKind uint8

const (
	blockMeta     blockKind = 1 + iota // JSON of Meta, the first block
	blockSnapshot                      // the state of the module, the second
	blockRecords                       // records
	blockEnd                           // the last block of a segment that was ended in order, without content
)

// blockMarker begins every block, so that the next can be found behind a damaged one.
var blockMarker = [4]byte{0xf5, 'B', 'L', 'K'}

// A block's head is the marker, the kind, three bytes kept zero, the stored and the raw length (4 bytes
// each), the number of the first record (8), the time of the event before it and the Unix time, both in
// nanoseconds (8 each), the checksum of the stored bytes and that of the head up to here (4 each), all
// little-endian.
const blockHeaderSize = 4 + 4 + 4 + 4 + 8 + 8 + 8 + 4 + 4

// maxRawSize bounds a block, so that a damaged length cannot ask for all memory.
const maxRawSize = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// blockHeader is the head of a block.
type blockHeader struct {
	kind                blockKind
	storedSize, rawSize int
	firstRecord         uint64        // fileNumber of the first record, counted over all segments of a run
	baseTime            time.Duration // the module's clock at the event before it
	unixTime            time.Time     // when the block was begun
}

// appendPreamble begins a segment.
func appendPreamble(b []byte) []byte {
	return binary.LittleEndian.AppendUint16(append(b, magic...), Version)
}

// readPreamble tells whether the bytes begin a segment that can be read.
func readPreamble(b []byte) error {
	if len(b) < preambleSize || string(b[:len(magic)]) != magic {
		return ErrNotCapture
	}
	if v := binary.LittleEndian.Uint16(b[len(magic):]); v > Version {
		return fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, v, Version)
	}
	return nil
}

// appendBlock compresses the content and adds it as a block.
func appendBlock(b []byte, h blockHeader, content []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, blockHeaderSize)...)
	room := snappy.MaxEncodedLen(len(content))
	if cap(b)-len(b) < room {
		b = append(make([]byte, 0, len(b)+room), b...)
	}
	stored := snappy.Encode(b[len(b):len(b)+room], content)
	b = b[:len(b)+len(stored)]
	p := b[start:]
	copy(p, blockMarker[:])
	p[4] = byte(h.kind)
	e := binary.LittleEndian
	e.PutUint32(p[8:], uint32(len(stored)))
	e.PutUint32(p[12:], uint32(len(content)))
	e.PutUint64(p[16:], h.firstRecord)
	e.PutUint64(p[24:], uint64(h.baseTime))
	e.PutUint64(p[32:], uint64(h.unixTime.UnixNano()))
	e.PutUint32(p[40:], crc32.Checksum(stored, castagnoli))
	e.PutUint32(p[44:], crc32.Checksum(p[:44], castagnoli))
	return b
}

// readBlockHeader reads the head at the beginning of the bytes.
func readBlockHeader(p []byte) (blockHeader, bool) {
	if len(p) < blockHeaderSize || !bytes.Equal(p[:4], blockMarker[:]) {
		return blockHeader{}, false
	}
	e := binary.LittleEndian
	if crc32.Checksum(p[:44], castagnoli) != e.Uint32(p[44:]) {
		return blockHeader{}, false
	}
	h := blockHeader{kind: blockKind(p[4]), storedSize: int(e.Uint32(p[8:])), rawSize: int(e.Uint32(p[12:])), firstRecord: e.Uint64(p[16:]),
		baseTime: time.Duration(e.Uint64(p[24:])), unixTime: time.Unix(0, int64(e.Uint64(p[32:])))}
	return h, h.rawSize <= maxRawSize && h.storedSize <= s2.MaxEncodedLen(h.rawSize)
}

// readBlockContent checks and expands what stands behind a head.
func readBlockContent(h blockHeader, p []byte) ([]byte, error) {
	stored := p[blockHeaderSize : blockHeaderSize+h.storedSize]
	if crc32.Checksum(stored, castagnoli) != binary.LittleEndian.Uint32(p[40:]) {
		return nil, errors.New("checksum differs")
	}
	raw, err := s2.Decode(nil, stored)
	if err != nil {
		return nil, err
	}
	if len(raw) != h.rawSize {
		return nil, fmt.Errorf("%d bytes instead of %d", len(raw), h.rawSize)
	}
	return raw, nil
}
