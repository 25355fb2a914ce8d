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

// ErrNewerVersion reports a segment of a version that this program does not know.
var ErrNewerVersion = errors.New("capture: written by a newer version")

// ErrNotCapture reports a file that is no segment.
var ErrNotCapture = errors.New("capture: not a capture")

// errChecksum reports a block whose stored bytes are damaged.
var errChecksum = errors.New("checksum differs")

// blockKind is the kind of a block's content. The values are stored.
type blockKind uint8

const (
	blockMeta     blockKind = 1 + iota // Meta as JSON, the first block
	blockSnapshot                      // the module's state, the second block
	blockRecords
	blockEnd // empty: the last block of a segment that was closed in order
)

// blockMarker begins every block, so that the next one can be found behind a damaged one.
var blockMarker = [4]byte{0xf5, 'B', 'L', 'K'}

// The fields of a block's header, little-endian, by their offset. The three bytes behind the kind are zero.
const (
	headerKindAt           = 4
	headerStoredSizeAt     = 8  // of the compressed content
	headerRawSizeAt        = 12 // of the content
	headerFirstRecordAt    = 16 // number of the first record
	headerBaseTimeAt       = 24 // time of the event before it, in nanoseconds
	headerUnixTimeAt       = 32 // in nanoseconds
	headerStoredChecksumAt = 40 // of the compressed content
	headerChecksumAt       = 44 // of the header before this field

	blockHeaderSize = headerChecksumAt + 4
)

// maxRawSize bounds a block, so that a damaged length cannot ask for all memory.
const maxRawSize = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// blockHeader is the header of a block.
type blockHeader struct {
	kind        blockKind
	storedSize  int           // of the content as it is stored, compressed
	rawSize     int           // of the content
	firstRecord uint64        // number of its first record, counted over all segments of a run
	baseTime    time.Duration // the module's clock at the event before it
	unixTime    time.Time     // when the block was begun
}

// size returns the bytes of the whole block.
func (h blockHeader) size() int { return blockHeaderSize + h.storedSize }

// appendPreamble begins a segment.
func appendPreamble(b []byte) []byte {
	return binary.LittleEndian.AppendUint16(append(b, magic...), Version)
}

// readPreamble checks that the bytes begin a segment that can be read.
func readPreamble(b []byte) error {
	if len(b) < preambleSize || string(b[:len(magic)]) != magic {
		return ErrNotCapture
	}
	if v := binary.LittleEndian.Uint16(b[len(magic):]); v > Version {
		return fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, v, Version)
	}
	return nil
}

// appendBlock compresses the content and adds it as a block. The sizes in the header are set from the content.
func appendBlock(dst []byte, header blockHeader, content []byte) []byte {
	start := len(dst)
	dst = append(dst, make([]byte, blockHeaderSize)...)
	maxStored := snappy.MaxEncodedLen(len(content))
	if cap(dst)-len(dst) < maxStored {
		dst = append(make([]byte, 0, len(dst)+maxStored), dst...)
	}
	stored := snappy.Encode(dst[len(dst):len(dst)+maxStored], content)
	dst = dst[:len(dst)+len(stored)]
	header.storedSize, header.rawSize = len(stored), len(content)
	header.write(dst[start:], stored)
	return dst
}

// write sets the bytes of a header.
func (h blockHeader) write(header, stored []byte) {
	order := binary.LittleEndian
	copy(header, blockMarker[:])
	header[headerKindAt] = byte(h.kind)
	order.PutUint32(header[headerStoredSizeAt:], uint32(h.storedSize))
	order.PutUint32(header[headerRawSizeAt:], uint32(h.rawSize))
	order.PutUint64(header[headerFirstRecordAt:], h.firstRecord)
	order.PutUint64(header[headerBaseTimeAt:], uint64(h.baseTime))
	order.PutUint64(header[headerUnixTimeAt:], uint64(h.unixTime.UnixNano()))
	order.PutUint32(header[headerStoredChecksumAt:], crc32.Checksum(stored, castagnoli))
	order.PutUint32(header[headerChecksumAt:], crc32.Checksum(header[:headerChecksumAt], castagnoli))
}

// readBlockHeader reads the header at the start of the bytes; ok is false where there is no intact one.
func readBlockHeader(block []byte) (header blockHeader, ok bool) {
	if len(block) < blockHeaderSize || !bytes.Equal(block[:len(blockMarker)], blockMarker[:]) {
		return blockHeader{}, false
	}
	order := binary.LittleEndian
	if crc32.Checksum(block[:headerChecksumAt], castagnoli) != order.Uint32(block[headerChecksumAt:]) {
		return blockHeader{}, false
	}
	header = blockHeader{
		kind:        blockKind(block[headerKindAt]),
		storedSize:  int(order.Uint32(block[headerStoredSizeAt:])),
		rawSize:     int(order.Uint32(block[headerRawSizeAt:])),
		firstRecord: order.Uint64(block[headerFirstRecordAt:]),
		baseTime:    time.Duration(order.Uint64(block[headerBaseTimeAt:])),
		unixTime:    time.Unix(0, int64(order.Uint64(block[headerUnixTimeAt:]))),
	}
	return header, header.rawSize <= maxRawSize && header.storedSize <= s2.MaxEncodedLen(header.rawSize)
}

// readBlockContent checks and decompresses the content of the block that begins the bytes.
func readBlockContent(header blockHeader, block []byte) ([]byte, error) {
	stored := block[blockHeaderSize:header.size()]
	if crc32.Checksum(stored, castagnoli) != binary.LittleEndian.Uint32(block[headerStoredChecksumAt:]) {
		return nil, errChecksum
	}
	content, err := s2.Decode(nil, stored)
	if err != nil {
		return nil, err
	}
	if len(content) != header.rawSize {
		return nil, fmt.Errorf("%d bytes instead of %d", len(content), header.rawSize)
	}
	return content, nil
}
