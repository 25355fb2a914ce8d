// Package scgi implements the client side of the Simple Common Gateway Interface (Neil Schemenauer, "SCGI: A Simple Common
// Gateway Interface alternative", 2008). A request is a netstring of names and values, followed by a body. The response is
// a CGI response that ends with the connection. The package has no sockets.
package scgi

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/cgi"
	"tillerusher/internal/gateway"
)

// The headers of every request: the length of the body, which must be the first header, and the protocol version.
const (
	contentLengthHeader = "CONTENT_LENGTH"
	versionHeader       = "SCGI"
	version             = "1"
)

// separator terminates each name and each value of a request.
const separator = "\x00"

// ErrResponse reports an invalid response of a member. All errors of ResponseParser wrap it.
var ErrResponse = errors.New("scgi: invalid response")

// AppendRequest appends a complete request to buf. It skips params named CONTENT_LENGTH or SCGI, since it sets these
// headers itself, and params that contain a zero byte, which the protocol can't encode.
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

// isSendable reports whether AppendRequest sends the param.
func isSendable(param gateway.Field) bool {
	return param.Name != contentLengthHeader && param.Name != versionHeader &&
		!strings.Contains(param.Name, separator) && !strings.Contains(param.Value, separator)
}

// appendHeader appends the name and the value of one header.
func appendHeader(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, separator...)
	buf = append(buf, value...)
	return append(buf, separator...)
}

// ResponseParser assembles the response to one request from the bytes that are read from its connection.
type ResponseParser struct {
	MaxBytes int // maximum size of the response
	received []byte
}

// Feed reads the next bytes. complete is always false, since only the end of the connection completes a response.
func (r *ResponseParser) Feed(p []byte) (complete bool, err error) {
	if len(r.received)+len(p) > r.MaxBytes {
		return false, fmt.Errorf("%w: longer than %d bytes", ErrResponse, r.MaxBytes)
	}
	r.received = append(r.received, p...)
	return false, nil
}

// CompleteAtEOF reports whether any bytes of a response were read. It is called at the end of the connection.
func (r *ResponseParser) CompleteAtEOF() bool { return len(r.received) > 0 }

// Overloaded returns false: SCGI can't express that a request was rejected without being processed.
func (r *ResponseParser) Overloaded() bool { return false }

// Response returns the complete response. If the response has a Content-Length, the body must have that length: a member
// that fails in the middle of a response closes its connection as it does after a complete one.
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
			return response, fmt.Errorf("%w: the body has %d bytes, but Content-Length is %.20q", ErrResponse, len(response.Body), header.Value)
		}
	}
	return response, nil
}
