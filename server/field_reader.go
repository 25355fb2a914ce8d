package server

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field  string // name in the platform's documents
	Value  string
	Wanted string // description of valid values
}

// Error implements error. It omits Wanted, because gateways log the text and its form stays as it has always been.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s is %.40q", e.Field, e.Value) }

// Bounds of numbers in requests. A request with a number outside them is not from a gateway, and must not reach the
// module's estimates: a time far in the past would look like a backlog, and one in the future would keep a key for ever.
const (
	minFootprintKB, maxFootprintKB = 1e-6, 2000
	maxWorkEstimateMS              = 1e5
	maxBudgetMS                    = 1e9
	// MaxSender bounds the numbers of gateways. A gateway takes a new number whenever it restarts.
	MaxSender = 1e15
	// maxUnixMS bounds Unix times in milliseconds.
	maxUnixMS       = 1e15
	maxClockSkew    = time.Second // between two machines
	maxQueueingTime = time.Minute // a request may wait in a socket buffer while the machine is paused
)

// Numbers of digits of hexadecimal fields.
const (
	requestIDDigits      = 16
	idempotencyKeyDigits = 32
)

// FieldReader reads the fields of a request and keeps the first error.
type FieldReader struct {
	fields map[string]string // by name in lower case
	err    error
}

// NewFieldReader returns a reader of fields, whose names must be in lower case.
func NewFieldReader(fields map[string]string) *FieldReader { return &FieldReader{fields: fields} }

// Err returns the first error, or nil.
func (f *FieldReader) Err() error { return f.err }

// Reject records that a field is invalid, unless an error is recorded already.
func (f *FieldReader) Reject(name, value, wanted string) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Value: value, Wanted: wanted}
	}
}

// Required returns the value of a field that must be present and not empty.
func (f *FieldReader) Required(name string) string {
	value := f.fields[strings.ToLower(name)]
	if value == "" {
		f.Reject(name, value, "a value")
	}
	return value
}

// Number returns a number that is at least low and less than high. If the field is absent, it returns the default if one
// is given.
func (f *FieldReader) Number(name string, low, high float64, ifAbsent ...float64) float64 {
	text := f.fields[strings.ToLower(name)]
	if text == "" && len(ifAbsent) > 0 {
		return ifAbsent[0]
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(value >= low && value < high) {
		f.Reject(name, text, "a number within its bounds")
	}
	return value
}

// Hex returns a field that has the given number of hexadecimal digits.
func (f *FieldReader) Hex(name string, digits int) string {
	text := f.Required(name)
	for _, r := range text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			f.Reject(name, text, "hexadecimal digits")
		}
	}
	if len(text) != digits {
		f.Reject(name, text, "hexadecimal digits")
	}
	return text
}

// ReceivedAt returns the time at which the gateway received the request. The time must be at most maxQueueingTime before
// now and at most maxClockSkew after it.
func (f *FieldReader) ReceivedAt(now time.Time) time.Time {
	received := time.UnixMilli(int64(f.Number("Received-At", 1, maxUnixMS)))
	if waited := now.Sub(received); waited > maxQueueingTime || waited < -maxClockSkew {
		f.Reject("Received-At", f.fields["received-at"], "a time near the server's")
	}
	return received
}
