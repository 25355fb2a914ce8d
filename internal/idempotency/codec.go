package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// ErrBadRecord reports bytes or a name that are no record of this package: damaged, cut short or of another version.
var ErrBadRecord = errors.New("durable: not a record")

// Bytes of a record's fixed parts.
const (
	checksumSize  = 4
	timestampSize = 8
)

// The fixed part of an entry's record: version, state, both times and the hash of the body.
const (
	entryVersion = 1

	entryStateAt    = 1
	entryReceivedAt = 2
	entryExpiresAt  = entryReceivedAt + timestampSize
	entryBodyHashAt = entryExpiresAt + timestampSize
	entryResponseAt = entryBodyHashAt + 8

	minEntryBytes = entryResponseAt + checksumSize
)

// maxRecordBytes bounds a record, so that a damaged length cannot ask for all memory.
const maxRecordBytes = 1 << 21

// castagnoli is the polynomial of all checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the record of an entry: its version, the state, both times in Unix nanoseconds and the body's hash (8 bytes
// each, big endian), the response's status, its header fields and its body, each with its length as a varint, and a CRC-32
// (Castagnoli) of all of that.
func (e *Entry) Encode() []byte {
	record := []byte{entryVersion, byte(e.State)}
	record = binary.BigEndian.AppendUint64(record, uint64(e.ReceivedAt.UnixNano()))
	record = binary.BigEndian.AppendUint64(record, uint64(e.ExpiresAt.UnixNano()))
	record = binary.BigEndian.AppendUint64(record, e.BodyHash)
	record = binary.AppendUvarint(record, uint64(e.Response.Status))
	record = binary.AppendUvarint(record, uint64(len(e.Response.Header)))
	for _, f := range e.Response.Header {
		record = appendString(record, f.Name)
		record = appendString(record, f.Value)
	}
	record = appendString(record, string(e.Response.Body))
	return seal(record)
}

// DecodeEntry reads a record that Encode made.
func DecodeEntry(name string, record []byte) (Entry, error) {
	key, err := parseRecordName(name)
	if err != nil {
		return Entry{Key: key}, err
	}
	quotedName := fmt.Sprintf("%.60q", name)
	body, err := openSealed(record, minEntryBytes, entryVersion, quotedName)
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{Key: key, State: State(body[entryStateAt])}
	if entry.State < Intent || entry.State > Evicted {
		return Entry{}, fmt.Errorf("%w: %s: state %d", ErrBadRecord, quotedName, entry.State)
	}
	entry.ReceivedAt = decodeTime(body[entryReceivedAt:])
	entry.ExpiresAt = decodeTime(body[entryExpiresAt:])
	entry.BodyHash = binary.BigEndian.Uint64(body[entryBodyHashAt:])
	fields := reader{rest: body[entryResponseAt:]}
	entry.Response.Status = int(fields.length())
	for n := fields.length(); n > 0 && !fields.isMalformed; n-- {
		entry.Response.Header = append(entry.Response.Header, HeaderField{string(fields.bytes()), string(fields.bytes())})
	}
	entry.Response.Body = append([]byte{}, fields.bytes()...)
	if !fields.isAtEnd() {
		return Entry{}, fmt.Errorf("%w: %s: its answer is cut short or goes on behind its end", ErrBadRecord, quotedName)
	}
	return entry, nil
}

// decodeTime reads Unix nanoseconds.
func decodeTime(b []byte) time.Time { return time.Unix(0, int64(binary.BigEndian.Uint64(b))) }

// appendString appends the length of a string and the string.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// seal appends the checksum of a record.
func seal(record []byte) []byte {
	return binary.BigEndian.AppendUint32(record, crc32.Checksum(record, castagnoli))
}

// openSealed returns a record without its checksum. It checks the length, the checksum and the version; what names the
// record in errors.
func openSealed(record []byte, minBytes int, version byte, what string) ([]byte, error) {
	if len(record) < minBytes || len(record) > maxRecordBytes {
		return nil, fmt.Errorf("%w: %s: %d bytes", ErrBadRecord, what, len(record))
	}
	body := record[:len(record)-checksumSize]
	checksum := binary.BigEndian.Uint32(record[len(body):])
	if crc32.Checksum(body, castagnoli) != checksum {
		return nil, fmt.Errorf("%w: %s: its checksum differs", ErrBadRecord, what)
	}
	if body[0] != version {
		return nil, fmt.Errorf("%w: %s: version %d, this program reads %d", ErrBadRecord, what, body[0], version)
	}
	return body, nil
}

// reader takes numbers and strings off the variable part of a record. After the first malformed one it returns zeros.
type reader struct {
	rest        []byte
	isMalformed bool
}

// length reads a length or another number that is no larger than a record.
func (r *reader) length() uint64 { return r.upTo(maxRecordBytes) }

// upTo reads a number that must not exceed a maximum.
func (r *reader) upTo(maximum uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > maximum {
		r.isMalformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// bytes reads a string behind its length. The result shares the record's memory.
func (r *reader) bytes() []byte {
	n := r.length()
	if r.isMalformed || n > uint64(len(r.rest)) {
		r.isMalformed = true
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// isAtEnd reports whether everything was read and well formed.
func (r *reader) isAtEnd() bool { return !r.isMalformed && len(r.rest) == 0 }
