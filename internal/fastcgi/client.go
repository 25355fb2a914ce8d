package fastcgi

import (
	"errors"
	"fmt"

	"tillerusher/internal/cgi"
	"tillerusher/internal/gateway"
)

// ErrResponse reports an invalid response of a responder. All errors of ResponseParser wrap it.
var ErrResponse = errors.New("fastcgi: invalid response")

// protocolStatusOffset is the offset of the protocol status in the content of an END_REQUEST record.
const protocolStatusOffset = 4

// AppendRequest appends to buf a complete request that asks the responder to keep the connection open. Most responders
// accept only one request at a time on a connection. The caller should use a new ID for each request, so that its response
// can be distinguished from a late response to an earlier one.
func AppendRequest(buf []byte, id uint16, params []gateway.Field, body []byte) []byte {
	buf = appendHeader(buf, typeBeginRequest, id, beginRequestSize)
	buf = append(buf, 0, roleResponder, flagKeepConn, 0, 0, 0, 0, 0)
	var pairs []byte
	for _, param := range params {
		pairs = appendPair(pairs, param.Name, param.Value)
	}
	buf = appendStream(buf, typeParams, id, pairs)
	return appendStream(buf, typeStdin, id, body)
}

// ResponseParser assembles the response to one request from the bytes that are read from its connection.
type ResponseParser struct {
	RequestID      uint16
	MaxBytes       int // maximum size of the response
	reader         recordReader
	stdout         []byte
	protocolStatus byte
	isComplete     bool
	err            error
}

// Feed reads the next bytes and reports whether the response is complete. Bytes after its end are an error, since they
// belong to no request.
func (r *ResponseParser) Feed(p []byte) (complete bool, err error) {
	if r.isComplete {
		return true, fmt.Errorf("%w: bytes after its end", ErrResponse)
	}
	if err := r.reader.feed(p, r); err != nil {
		return false, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	return r.isComplete, r.err
}

// content implements recordHandler.
func (r *ResponseParser) content(header recordHeader, part []byte) {
	if header.requestID != r.RequestID {
		return
	}
	switch {
	case header.recordType == typeStdout && !r.isComplete:
		if len(r.stdout)+len(part) > r.MaxBytes {
			r.err = fmt.Errorf("%w: longer than %d bytes", ErrResponse, r.MaxBytes)
			return
		}
		r.stdout = append(r.stdout, part...)
	case header.isEndRequest():
		r.stdout = append(r.stdout, part...) // temporary: endRecord removes it
	}
}

// isEndRequest reports whether the record is an END_REQUEST whose content has endRequestSize bytes.
func (h recordHeader) isEndRequest() bool {
	return h.recordType == typeEndRequest && h.contentLength == endRequestSize
}

// endRecord implements recordHandler.
func (r *ResponseParser) endRecord(header recordHeader) error {
	switch {
	case r.isComplete:
		return errors.New("record after END_REQUEST")
	case header.requestID != r.RequestID && header.requestID != managementID:
		return fmt.Errorf("record of another request with ID %d", header.requestID)
	case header.recordType == typeStdout, header.recordType == typeStderr, header.requestID == managementID:
		return nil
	case !header.isEndRequest() || len(r.stdout) < endRequestSize:
		return fmt.Errorf("unexpected record of type %d with %d bytes of content", header.recordType, header.contentLength)
	}
	responseBytes := len(r.stdout) - endRequestSize
	r.protocolStatus = r.stdout[responseBytes+protocolStatusOffset]
	r.stdout, r.isComplete = r.stdout[:responseBytes], true
	return nil
}

// Overloaded reports whether the responder rejected the request as overloaded, without processing it.
func (r *ResponseParser) Overloaded() bool {
	return r.isComplete && r.protocolStatus == statusOverloaded
}

// CompleteAtEOF reports whether the response is complete at the end of the connection. In FastCGI the end of the
// connection does not complete a response.
func (r *ResponseParser) CompleteAtEOF() bool { return r.isComplete }

// Response returns the complete response. It must not be called before the response is complete.
func (r *ResponseParser) Response() (gateway.Response, error) {
	if r.protocolStatus != statusComplete {
		return gateway.Response{}, fmt.Errorf("%w: protocol status %d", ErrResponse, r.protocolStatus)
	}
	response, err := cgi.ParseResponse(r.stdout)
	if err != nil {
		return response, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	return response, nil
}
