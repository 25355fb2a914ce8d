package idempotency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
	"time"
)

// Key names a request: all its tries agree in it. Classes go by name, since their numbers may change with the settings.
type Key struct{ Class, Key string }

// HeaderField is a header field of an answer.
type HeaderField struct{ Name, Value string }

// Response is the answer that a run made.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// approximateSize is about how many bytes it takes.
func (a *Response) approximateSize() int {
	n := len(a.Body) + 8
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value) + 4
	}
	return n
}

// State is how far a request came.
type State uint8

// The states.
const (
	Intent    State = 1 + iota // it was to be run; whether it was is not known
	Completed                  // it ran, and its answer is known
	Evicted                    // it ran, and its answer was given up for want of room
)

// String says the state.
func (s State) String() string {
	switch s {
	case Intent:
		return "intent"
	case Completed:
		return "done"
	case Evicted:
		return "answer given up"
	}
	return "unknown"
}

// Entry is what is kept of a request.
type Entry struct {
	Key        Key
	State      State
	ReceivedAt time.Time // Received-At of the try that ran
	ExpiresAt  time.Time // no try that must not run again comes later: the end of the window, and the longest that one is on its way
	BodyHash   uint64    // of the body, by the folder's secret
	Response   Response  // Done
}

// RecordPrefix begins the names of all records of this package.
const RecordPrefix = "k/"

// RecordName is the name of a key's record.
func (k Key) RecordName() string { return RecordPrefix + k.Class + "\x00" + k.Key }

// parseRecordName reads the name of a record.
func parseRecordName(name string) (Key, error) {
	class, key, ok := strings.Cut(strings.TrimPrefix(name, RecordPrefix), "\x00")
	if !ok || !strings.HasPrefix(name, RecordPrefix) || class == "" || key == "" {
		return Key{}, fmt.Errorf("%w: the name %.60q", ErrBadRecord, name)
	}
	return Key{class, key}, nil
}

// ErrBadRecord says that bytes are no record of this package.
var ErrBadRecord = errors.New("durable: not a record")

// entryVersion is the first byte of a record.
const entryVersion = 1

// maxRecordBytes bounds what a record may hold, so that damage can't ask for all memory.
const maxRecordBytes = 1 << 21

// Encode is the record of an entry: its version, the state, both times in Unix nanoseconds and the sum (8 bytes each, big
// endian), the answer's status, its fields and its body, each with its length as a varint, and a CRC-32 (Castagnoli) of all.
func (e *Entry) Encode() []byte {
	b := []byte{entryVersion, byte(e.State)}
	b = binary.BigEndian.AppendUint64(b, uint64(e.ReceivedAt.UnixNano()))
	b = binary.BigEndian.AppendUint64(b, uint64(e.ExpiresAt.UnixNano()))
	b = binary.BigEndian.AppendUint64(b, e.BodyHash)
	b = binary.AppendUvarint(b, uint64(e.Response.Status))
	b = binary.AppendUvarint(b, uint64(len(e.Response.Header)))
	text := func(s string) { b = append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	for _, f := range e.Response.Header {
		text(f.Name)
		text(f.Value)
	}
	text(string(e.Response.Body))
	return seal(b)
}

// seal adds the checksum of a record.
func seal(b []byte) []byte {
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)))
}

// openSealed is a record without its checksum, if it is whole, as long as the shortest and of the version that is known.
func openSealed(b []byte, shortest int, version byte, what string) ([]byte, error) {
	if len(b) < shortest || len(b) > maxRecordBytes {
		return nil, fmt.Errorf("%w: %s: %d bytes", ErrBadRecord, what, len(b))
	}
	body, sum := b[:len(b)-4], binary.BigEndian.Uint32(b[len(b)-4:])
	switch {
	case crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) != sum:
		return nil, fmt.Errorf("%w: %s: its checksum differs", ErrBadRecord, what)
	case body[0] != version:
		return nil, fmt.Errorf("%w: %s: version %d, this program reads %d", ErrBadRecord, what, body[0], version)
	}
	return body, nil
}

// DecodeEntry reads a record.
func DecodeEntry(name string, b []byte) (e Entry, err error) {
	if e.Key, err = parseRecordName(name); err != nil {
		return e, err
	}
	bad := func(what string) (Entry, error) {
		return Entry{}, fmt.Errorf("%w: %.60q: %s", ErrBadRecord, name, what)
	}
	body, err := openSealed(b, 30, entryVersion, fmt.Sprintf("%.60q", name))
	if err != nil {
		return Entry{}, err
	}
	if e.State = State(body[1]); e.State < Intent || e.State > Evicted {
		return bad(fmt.Sprintf("state %d", body[1]))
	}
	e.ReceivedAt = time.Unix(0, int64(binary.BigEndian.Uint64(body[2:])))
	e.ExpiresAt = time.Unix(0, int64(binary.BigEndian.Uint64(body[10:])))
	e.BodyHash = binary.BigEndian.Uint64(body[18:])
	r := reader{rest: body[26:]}
	e.Response.Status = int(r.length())
	for n := r.length(); n > 0 && !r.isMalformed; n-- {
		e.Response.Header = append(e.Response.Header, HeaderField{string(r.bytes()), string(r.bytes())})
	}
	e.Response.Body = append([]byte{}, r.bytes()...)
	if r.isMalformed || len(r.rest) > 0 {
		return bad("its answer is cut short or goes on behind its end")
	}
	return e, nil
}

// reader takes numbers and texts off bytes.
type reader struct {
	rest        []byte
	isMalformed bool
}

// length reads a number or a length.
func (r *reader) length() uint64 { return r.upTo(maxRecordBytes) }

// upTo reads a number of so much at the most.
func (r *reader) upTo(most uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > most {
		r.isMalformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) bytes() []byte {
	n := r.length()
	if r.isMalformed || n > uint64(len(r.rest)) {
		r.isMalformed = true
		return nil
	}
	t := r.rest[:n]
	r.rest = r.rest[n:]
	return t
}
