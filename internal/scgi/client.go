// Package scgi speaks the Simple Common Gateway Interface (Neil Schemenauer, "SCGI: A Simple Common Gateway Interface
// alternative", 2008): a request is a netstring of names and values and a body, the answer a CGI response that the end
// of the connection ends. It owns no sockets.
package scgi

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/cgi"
	"tillerusher/internal/gateway"
)

// The fields that every request has: the length of the body, which comes first, and the protocol's version.
const (
	lengthField  = "CONTENT_LENGTH"
	versionField = "SCGI"
	version      = "1"
)

// AppendRequest adds a whole request. Params of the two fields that the protocol sets itself are passed over, and so are
// those with a zero byte in them, which no request can carry.
func AppendRequest(b []byte, params []gateway.Field, body []byte) []byte {
	list := appendField(nil, lengthField, strconv.Itoa(len(body)))
	list = appendField(list, versionField, version)
	for _, p := range params {
		if p.Name != lengthField && p.Name != versionField && !strings.Contains(p.Name+p.Value, "\x00") {
			list = appendField(list, p.Name, p.Value)
		}
	}
	b = strconv.AppendInt(b, int64(len(list)), 10)
	b = append(append(b, ':'), list...)
	return append(append(b, ','), body...)
}

// appendField adds one name and value.
func appendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), 0)
	return append(append(b, value...), 0)
}

// ErrResponse says that a member's answer makes no sense.
var ErrResponse = errors.New("scgi: response makes no sense")

// ResponseParser puts together the answer to one request, fed with what the connection brings.
type ResponseParser struct {
	MaxBytes int // bytes of it at the most
	out      []byte
}

// Feed takes in the next bytes. No answer is whole before the end of the connection.
func (r *ResponseParser) Feed(p []byte) (whole bool, err error) {
	if len(r.out)+len(p) > r.MaxBytes {
		return false, fmt.Errorf("%w: over %d bytes", ErrResponse, r.MaxBytes)
	}
	r.out = append(r.out, p...)
	return false, nil
}

// Closed tells whether there is an answer now that the connection has ended.
func (r *ResponseParser) CompleteAtEOF() bool { return len(r.out) > 0 }

// Overloaded is false: the protocol has no word for a request that was turned away unseen.
func (r *ResponseParser) Overloaded() bool { return false }

// Answer reads the whole answer. One that says how long it is must be as long: a member that died half way ends its
// connection as one that is done does.
func (r *ResponseParser) Response() (gateway.Response, error) {
	a, err := cgi.ParseResponse(r.out)
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	for _, f := range a.Headers {
		if !strings.EqualFold(f.Name, "Content-Length") {
			continue
		}
		if n, err := strconv.Atoi(f.Value); err != nil || n != len(a.Body) {
			return a, fmt.Errorf("%w: %d bytes where it says %.20q", ErrResponse, len(a.Body), f.Value)
		}
	}
	return a, nil
}
