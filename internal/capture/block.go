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

// Version is the segment format version that this package writes, and the newest that it reads.
const Version = 1

// magic is the first bytes of every segment. The version follows in two bytes.
const magic = "tilcap"

const preambleSize = len(magic) + 2

// ErrNewerVersion is returned for a segment whose format version is newer than Version.
var ErrNewerVersion = errors.New("capture: written by a newer version")

// ErrNotCapture is returned for a file that is not a segment or has no readable meta, and for a directory without segment
// files.
var ErrNotCapture = errors.New("capture: not a capture")

// errChecksum is returned for a block whose stored content does not match its checksum. Its text is a value of Damage.Reason.
var errChecksum = errors.New("checksum differs")

// blockKind is the kind of a block's content. The values are part of the format.
type blockKind uint8

const (
	blockMeta     blockKind = 1 + iota // Meta as JSON; the first block
	blockSnapshot                      // the module's state; the second block
	blockRecords
	blockEnd // empty; the last block of a segment that was closed normally
)

// blockMarker is the first bytes of every block. The parser searches for it to find the next block after damage.
var blockMarker = [4]byte{0xf5, 'B', 'L', 'K'}

// Offsets of the fields in a block header. The fields are little-endian. The three bytes after the kind are zero.
const (
	headerKindAt           = 4
	headerStoredSizeAt     = 8  // size of the compressed content in bytes
	headerRawSizeAt        = 12 // size of the uncompressed content in bytes
	headerFirstRecordAt    = 16 // number of the first record within the run
	headerBaseTimeAt       = 24 // module's clock at the event before the block, in nanoseconds
	headerUnixTimeAt       = 32 // nanoseconds since the Unix epoch
	headerStoredChecksumAt = 40 // CRC-32C of the compressed content
	headerChecksumAt       = 44 // CRC-32C of the preceding header fields

	blockHeaderSize = headerChecksumAt + 4
)

// maxRawSize limits the uncompressed size of a block, so that a damaged size field cannot cause a huge allocation.
const maxRawSize = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// blockHeader is the decoded header of a block. Its checksums are not kept.
type blockHeader struct {
	kind        blockKind
	storedSize  int           // of the compressed content, in bytes
	rawSize     int           // of the uncompressed content, in bytes
	firstRecord uint64        // number of the first record within the run, over all its segments
	baseTime    time.Duration // module's clock at the event before the block
	unixTime    time.Time     // wall clock when the block was started
}

// size returns the size of the header and the compressed content in bytes.
func (h blockHeader) size() int { return blockHeaderSize + h.storedSize }

// appendPreamble appends the magic and the version with which a segment starts.
func appendPreamble(b []byte) []byte {
	return binary.LittleEndian.AppendUint16(append(b, magic...), Version)
}

// readPreamble checks that b starts with the preamble of a segment in a supported version. It returns ErrNotCapture or an
// error that wraps ErrNewerVersion if not.
func readPreamble(b []byte) error {
	if len(b) < preambleSize || string(b[:len(magic)]) != magic {
		return ErrNotCapture
	}
	if v := binary.LittleEndian.Uint16(b[len(magic):]); v > Version {
		return fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, v, Version)
	}
	return nil
}

// appendBlock compresses the content and appends it to dst as a block. It sets the sizes in the header.
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

// write encodes h into the first bytes of header. The encoded header has a checksum of stored, the compressed content.
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

// readBlockHeader decodes the header at the start of block; ok reports whether it is intact and its sizes are valid.
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

// readBlockContent verifies and decompresses the content of the block at the start of block, which must have header.size()
// bytes or more. The texts of its errors are values of Damage.Reason.
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
