package idempotency

import (
	"fmt"
	"strings"
	"time"
)

// Key identifies a request; all its attempts agree in it. Classes are named, since their indices may change with the settings.
type Key struct{ Class, Key string }

// RecordPrefix begins the names of all records of keys.
const RecordPrefix = "k/"

// keySeparator separates class and key in the name of a record.
const keySeparator = "\x00"

// RecordName returns the name of the key's record.
func (k Key) RecordName() string { return RecordPrefix + k.Class + keySeparator + k.Key }

// parseRecordName is the inverse of RecordName.
func parseRecordName(name string) (Key, error) {
	class, key, ok := strings.Cut(strings.TrimPrefix(name, RecordPrefix), keySeparator)
	if !ok || !strings.HasPrefix(name, RecordPrefix) || class == "" || key == "" {
		return Key{}, fmt.Errorf("%w: the name %.60q", ErrBadRecord, name)
	}
	return Key{class, key}, nil
}

// HeaderField is one header field of a response.
type HeaderField struct{ Name, Value string }

// Response is the response that a run made, kept to be replayed.
type Response struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// Estimates of the bytes that the encoding adds to texts.
const (
	responseOverhead = 8
	fieldOverhead    = 4
)

// approximateSize estimates the bytes that the response takes in a record.
func (r *Response) approximateSize() int {
	n := len(r.Body) + responseOverhead
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value) + fieldOverhead
	}
	return n
}

// State is the progress of a request. The values are stored.
type State uint8

// The states.
const (
	Intent    State = 1 + iota // it was about to run; whether it did is unknown
	Completed                  // it ran, and its response is known
	Evicted                    // it ran, and its response was evicted for lack of space
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
	BodyHash   uint64    // keyed by the folder's secret
	Response   Response  // where Completed
}

// withoutResponse returns a copy of the entry without its response, as after eviction.
func (e *Entry) withoutResponse() *Entry {
	stripped := *e
	if stripped.State == Completed {
		stripped.State, stripped.Response = Evicted, Response{}
	}
	return &stripped
}
