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

// marker begins every block, so that the next can be found behind a damaged one.
var marker = [4]byte{0xf5, 'B', 'L', 'K'}

// A block's head is the marker, the kind, three bytes kept zero, the stored and the raw length (4 bytes
// each), the number of the first record (8), the time of the event before it and the Unix time, both in
// nanoseconds (8 each), the checksum of the stored bytes and that of the head up to here (4 each), all
// little-endian.
const headSize = 4 + 4 + 4 + 4 + 8 + 8 + 8 + 4 + 4

// maxRaw bounds a block, so that a damaged length cannot ask for all memory.
const maxRaw = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// head is the head of a block.
type head struct {
	kind        blockKind
	stored, raw int
	first       uint64        // number of the first record, counted over all segments of a run
	base        time.Duration // the module's clock at the event before it
	unix        time.Time     // when the block was begun
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
func appendBlock(b []byte, h head, content []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, headSize)...)
	room := snappy.MaxEncodedLen(len(content))
	if cap(b)-len(b) < room {
		b = append(make([]byte, 0, len(b)+room), b...)
	}
	stored := snappy.Encode(b[len(b):len(b)+room], content)
	b = b[:len(b)+len(stored)]
	p := b[start:]
	copy(p, marker[:])
	p[4] = byte(h.kind)
	e := binary.LittleEndian
	e.PutUint32(p[8:], uint32(len(stored)))
	e.PutUint32(p[12:], uint32(len(content)))
	e.PutUint64(p[16:], h.first)
	e.PutUint64(p[24:], uint64(h.base))
	e.PutUint64(p[32:], uint64(h.unix.UnixNano()))
	e.PutUint32(p[40:], crc32.Checksum(stored, castagnoli))
	e.PutUint32(p[44:], crc32.Checksum(p[:44], castagnoli))
	return b
}

// readHead reads the head at the beginning of the bytes.
func readHead(p []byte) (head, bool) {
	if len(p) < headSize || !bytes.Equal(p[:4], marker[:]) {
		return head{}, false
	}
	e := binary.LittleEndian
	if crc32.Checksum(p[:44], castagnoli) != e.Uint32(p[44:]) {
		return head{}, false
	}
	h := head{kind: blockKind(p[4]), stored: int(e.Uint32(p[8:])), raw: int(e.Uint32(p[12:])), first: e.Uint64(p[16:]),
		base: time.Duration(e.Uint64(p[24:])), unix: time.Unix(0, int64(e.Uint64(p[32:])))}
	return h, h.raw <= maxRaw && h.stored <= s2.MaxEncodedLen(h.raw)
}

// content checks and expands what stands behind a head.
func content(h head, p []byte) ([]byte, error) {
	stored := p[headSize : headSize+h.stored]
	if crc32.Checksum(stored, castagnoli) != binary.LittleEndian.Uint32(p[40:]) {
		return nil, errors.New("checksum differs")
	}
	raw, err := s2.Decode(nil, stored)
	if err != nil {
		return nil, err
	}
	if len(raw) != h.raw {
		return nil, fmt.Errorf("%d bytes instead of %d", len(raw), h.raw)
	}
	return raw, nil
}
