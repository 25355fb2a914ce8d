package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"
)

// ErrBadRecord is returned for a name or a value that is not a valid record: it is damaged, truncated or of another version.
var ErrBadRecord = errors.New("idempotency: not a record")

// The sizes of a record's fixed parts, in bytes.
const (
	checksumSize  = 4
	timestampSize = 8
)

// The offsets in an entry's record. The fixed part has the version, the state, both times and the hash of the body; the
// response follows.
const (
	entryVersion = 1

	entryStateOffset      = 1
	entryReceivedAtOffset = 2
	entryExpiresAtOffset  = entryReceivedAtOffset + timestampSize
	entryBodyHashOffset   = entryExpiresAtOffset + timestampSize
	entryResponseOffset   = entryBodyHashOffset + 8

	minEntryBytes = entryResponseOffset + checksumSize
)

// maxRecordBytes bounds a record, so that a damaged length cannot exhaust the memory.
const maxRecordBytes = 1 << 21

// castagnoli is the CRC-32 table of all checksums.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the record of an entry:
//
//   - the version and the state, one byte each
//   - ReceivedAt and ExpiresAt in Unix nanoseconds and the body's hash, 8 bytes each, big endian
//   - the response's status and the number of its header fields, as varints
//   - the names and values of the header fields and the body, each after its length as a varint
//   - a CRC-32 (Castagnoli) of all bytes before it
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
	return appendChecksum(record)
}

// DecodeEntry decodes a record made by Entry.Encode. The error wraps ErrBadRecord if the name or the record is not valid.
func DecodeEntry(name string, record []byte) (Entry, error) {
	key, err := parseRecordName(name)
	if err != nil {
		return Entry{Key: key}, err
	}
	quotedName := fmt.Sprintf("%.60q", name)
	body, err := verifyRecord(record, minEntryBytes, entryVersion, quotedName)
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{Key: key, State: State(body[entryStateOffset])}
	if entry.State < Intent || entry.State > Evicted {
		return Entry{}, fmt.Errorf("%w: %s: unknown state %d", ErrBadRecord, quotedName, entry.State)
	}
	entry.ReceivedAt = decodeTime(body[entryReceivedAtOffset:])
	entry.ExpiresAt = decodeTime(body[entryExpiresAtOffset:])
	entry.BodyHash = binary.BigEndian.Uint64(body[entryBodyHashOffset:])
	fields := reader{rest: body[entryResponseOffset:]}
	entry.Response.Status = int(fields.length())
	for n := fields.length(); n > 0 && !fields.isMalformed; n-- {
		entry.Response.Header = append(entry.Response.Header, HeaderField{string(fields.bytes()), string(fields.bytes())})
	}
	entry.Response.Body = append([]byte{}, fields.bytes()...)
	if !fields.isAtEnd() {
		return Entry{}, fmt.Errorf("%w: %s: its response is truncated or has trailing bytes", ErrBadRecord, quotedName)
	}
	return entry, nil
}

// decodeTime decodes a time in Unix nanoseconds, 8 bytes big endian.
func decodeTime(b []byte) time.Time { return time.Unix(0, int64(binary.BigEndian.Uint64(b))) }

// appendString appends the length of a string as a varint, then the string.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendChecksum appends the checksum of a record.
func appendChecksum(record []byte) []byte {
	return binary.BigEndian.AppendUint32(record, crc32.Checksum(record, castagnoli))
}

// verifyRecord checks the length, the checksum and the version of a record and returns it without the checksum. label names
// the record in errors.
func verifyRecord(record []byte, minBytes int, version byte, label string) ([]byte, error) {
	if len(record) < minBytes || len(record) > maxRecordBytes {
		return nil, fmt.Errorf("%w: %s: invalid length of %d bytes", ErrBadRecord, label, len(record))
	}
	body := record[:len(record)-checksumSize]
	checksum := binary.BigEndian.Uint32(record[len(body):])
	if crc32.Checksum(body, castagnoli) != checksum {
		return nil, fmt.Errorf("%w: %s: its checksum differs", ErrBadRecord, label)
	}
	if body[0] != version {
		return nil, fmt.Errorf("%w: %s: version %d, this program reads %d", ErrBadRecord, label, body[0], version)
	}
	return body, nil
}

// reader decodes numbers and strings from the variable part of a record. Results are only valid while isMalformed is false.
type reader struct {
	rest        []byte
	isMalformed bool
}

// length reads a varint that is at most maxRecordBytes, such as a length or a count.
func (r *reader) length() uint64 { return r.uvarint(maxRecordBytes) }

// uvarint reads a varint that must not exceed maximum.
func (r *reader) uvarint(maximum uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > maximum {
		r.isMalformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// bytes reads a length and as many bytes. The result shares the record's memory.
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

// isAtEnd reports whether all bytes were read and nothing was malformed.
func (r *reader) isAtEnd() bool { return !r.isMalformed && len(r.rest) == 0 }
