package server

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FieldError is the error of an invalid field of a request.
type FieldError struct {
	Field  string // as in the platform's documents
	Value  string
	Wanted string // what the field should have been
}

// Error implements error. What was wanted is left out: gateways log the text as it always was.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s is %.40q", e.Field, e.Value) }

// The bounds of numbers in requests. What is outside is no request of a gateway, and must not reach the module's
// estimates: one time far in the past would look like a backlog, one in the future would keep a key for good.
const (
	minFootprintKB, maxFootprintKB = 1e-6, 2000
	maxWorkEstimateMS              = 1e5
	maxBudgetMS                    = 1e9
	// MaxSender bounds the numbers of gateways, which take new ones whenever they restart.
	MaxSender = 1e15
	// maxUnixMS bounds times in milliseconds since 1970.
	maxUnixMS       = 1e15
	maxClockSkew    = time.Second // between two machines
	maxQueueingTime = time.Minute // stored request may wait in a socket buffer while the machine pauses
)

// The numbers of digits of fields in hexadecimal.
const (
	requestIDDigits      = 16
	idempotencyKeyDigits = 32
)

// FieldReader reads the fields of a request and keeps the first error.
type FieldReader struct {
	fields map[string]string // by their names in lower case
	err    error
}

// NewFieldReader returns a reader of fields that have their names in lower case.
func NewFieldReader(fields map[string]string) *FieldReader { return &FieldReader{fields: fields} }

// Err is the first error, or nil.
func (f *FieldReader) Err() error { return f.err }

// Reject records that a field is invalid, where it is the first.
func (f *FieldReader) Reject(name, value, wanted string) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Value: value, Wanted: wanted}
	}
}

// Required returns a field that must be there.
func (f *FieldReader) Required(name string) string {
	value := f.fields[strings.ToLower(name)]
	if value == "" {
		f.Reject(name, value, "a value")
	}
	return value
}

// Number returns a number from low to below high. Where the field is absent, it returns the default, if there is one.
func (f *FieldReader) Number(name string, low, high float64, absent ...float64) float64 {
	text := f.fields[strings.ToLower(name)]
	if text == "" && len(absent) > 0 {
		return absent[0]
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(value >= low && value < high) {
		f.Reject(name, text, "a number within its bounds")
	}
	return value
}

// Hex returns a field of so many hexadecimal digits.
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

// ReceivedAt returns the time at which the gateway received the request, which is near the time of now.
func (f *FieldReader) ReceivedAt(now time.Time) time.Time {
	received := time.UnixMilli(int64(f.Number("Received-At", 1, maxUnixMS)))
	if waited := now.Sub(received); waited > maxQueueingTime || waited < -maxClockSkew {
		f.Reject("Received-At", f.fields["received-at"], "a time near the server's")
	}
	return received
}
