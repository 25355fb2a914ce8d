package idempotency

import (
	"fmt"
	"strings"
	"time"
)

// Key identifies a request; all its attempts have the same key. Class is a name, since the index of a class may change with
// the settings.
type Key struct{ Class, Key string }

// RecordPrefix is the prefix of the names of all entries' records.
const RecordPrefix = "k/"

// keySeparator separates the class from the key in the name of a record.
const keySeparator = "\x00"

// RecordName returns the name of the key's record.
func (k Key) RecordName() string { return RecordPrefix + k.Class + keySeparator + k.Key }

// parseRecordName returns the key of a record name made by RecordName.
func parseRecordName(name string) (Key, error) {
	class, key, ok := strings.Cut(strings.TrimPrefix(name, RecordPrefix), keySeparator)
	if !ok || !strings.HasPrefix(name, RecordPrefix) || class == "" || key == "" {
		return Key{}, fmt.Errorf("%w: name %.60q, want a prefix, a class and a key", ErrBadRecord, name)
	}
	return Key{class, key}, nil
}

// HeaderField is one header field of a response.
type HeaderField struct{ Name, Value string }

// Response is the response of a run, stored to be replayed to retries.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// Estimates of the bytes that the encoding adds to a response and to each of its header fields.
const (
	responseOverhead = 8
	fieldOverhead    = 4
)

// approximateSize returns an estimate of the response's size in a record, in bytes.
func (r *Response) approximateSize() int {
	n := len(r.Body) + responseOverhead
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value) + fieldOverhead
	}
	return n
}

// State is the progress of a request. The numeric values are part of the stored format.
type State uint8

// The states.
const (
	Intent    State = 1 + iota // the request was about to run; whether it ran is unknown
	Completed                  // the request ran, and its response is stored
	Evicted                    // the request ran, and its response was evicted to save space
)

// String returns the name that tools print.
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

// Entry is the stored state of one key.
type Entry struct {
	Key        Key
	State      State
	ReceivedAt time.Time // Received-At of the attempt that ran
	ExpiresAt  time.Time // end of the key's window plus the longest time that an attempt may be in transit
	BodyHash   uint64    // hash of the request body, keyed with the state directory's secret
	Response   Response  // empty unless State is Completed
}

// withoutResponse returns a copy of the entry without its response, as if the response had been evicted.
func (e *Entry) withoutResponse() *Entry {
	stripped := *e
	if stripped.State == Completed {
		stripped.State, stripped.Response = Evicted, Response{}
	}
	return &stripped
}
