// Package scgi is the client side of the Simple Common Gateway Interface (Neil Schemenauer, "SCGI: A Simple Common
// Gateway Interface alternative", 2008): a request is a netstring of names and values and a body, the response a CGI
// response that the end of the connection ends. The package owns no sockets.
package scgi

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/cgi"
	"tillerusher/internal/gateway"
)

// The headers that every request has: the length of the body, which comes first, and the protocol's version.
const (
	contentLengthHeader = "CONTENT_LENGTH"
	versionHeader       = "SCGI"
	version             = "1"
)

// separator ends each name and value of a request.
const separator = "\x00"

// ErrResponse says that a member's response can't be read; errors of ResponseParser wrap it.
var ErrResponse = errors.New("scgi: invalid response")

// AppendRequest appends a whole request. Params of the two headers that the protocol sets itself are left out, and so are
// those with a zero byte in them, which no request can carry.
func AppendRequest(buf []byte, params []gateway.Field, body []byte) []byte {
	headers := appendHeader(nil, contentLengthHeader, strconv.Itoa(len(body)))
	headers = appendHeader(headers, versionHeader, version)
	for _, param := range params {
		if isSendable(param) {
			headers = appendHeader(headers, param.Name, param.Value)
		}
	}
	buf = strconv.AppendInt(buf, int64(len(headers)), 10)
	buf = append(buf, ':')
	buf = append(buf, headers...)
	buf = append(buf, ',')
	return append(buf, body...)
}

// isSendable reports whether a param may stand in a request.
func isSendable(param gateway.Field) bool {
	return param.Name != contentLengthHeader && param.Name != versionHeader &&
		!strings.Contains(param.Name, separator) && !strings.Contains(param.Value, separator)
}

// appendHeader appends one name and value.
func appendHeader(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, separator...)
	buf = append(buf, value...)
	return append(buf, separator...)
}

// ResponseParser puts together the response to one request, fed with what the connection brings.
type ResponseParser struct {
	MaxBytes int // of the response
	received []byte
}

// Feed reads the next bytes. No response is complete before the end of the connection.
func (r *ResponseParser) Feed(p []byte) (complete bool, err error) {
	if len(r.received)+len(p) > r.MaxBytes {
		return false, fmt.Errorf("%w: over %d bytes", ErrResponse, r.MaxBytes)
	}
	r.received = append(r.received, p...)
	return false, nil
}

// CompleteAtEOF reports whether there is a response now that the connection has ended.
func (r *ResponseParser) CompleteAtEOF() bool { return len(r.received) > 0 }

// Overloaded is false: the protocol has no way to say that a request was rejected without a look at it.
func (r *ResponseParser) Overloaded() bool { return false }

// Response returns the complete response. The body must be as long as Content-Length says, where that is given: a member
// that died half way ends its connection as one that is done does.
func (r *ResponseParser) Response() (gateway.Response, error) {
	response, err := cgi.ParseResponse(r.received)
	if err != nil {
		return response, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	for _, header := range response.Headers {
		if !strings.EqualFold(header.Name, "Content-Length") {
			continue
		}
		if n, err := strconv.Atoi(header.Value); err != nil || n != len(response.Body) {
			return response, fmt.Errorf("%w: %d bytes where Content-Length is %.20q", ErrResponse, len(response.Body), header.Value)
		}
	}
	return response, nil
}
