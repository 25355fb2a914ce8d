package fastcgi

import (
	"errors"
	"fmt"

	"tillerusher/internal/cgi"
	"tillerusher/internal/gateway"
)

// AppendRequest adds a whole request in the role Responder, whose connection is to be kept. Most responders take one
// request at a time on a connection; a number of its own for each tells its answer from a late one to another.
func AppendRequest(b []byte, id uint16, params []gateway.Field, body []byte) []byte {
	b = append(appendHeader(b, typeBeginRequest, id, 8), 0, roleResponder, flagKeepConn, 0, 0, 0, 0, 0)
	var list []byte
	for _, p := range params {
		list = appendPair(list, p.Name, p.Value)
	}
	b = appendStream(b, typeParams, id, list)
	return appendStream(b, typeStdin, id, body)
}

// ErrResponse says that a responder's answer makes no sense.
var ErrResponse = errors.New("fastcgi: response makes no sense")

// typeStderr is the record of what a responder has to say for the log.
const typeStderr = 7

// ResponseParser puts together the answer to one request, fed with what the connection brings.
type ResponseParser struct {
	RequestID uint16
	MaxBytes  int // bytes of it at the most
	parse     recordReader
	out       []byte
	status    byte
	ended     bool
	err       error
}

// Feed takes in the next bytes and tells whether the answer is whole. Bytes behind its end are an error: nothing was
// asked for.
func (r *ResponseParser) Feed(p []byte) (whole bool, err error) {
	if r.ended {
		return true, fmt.Errorf("%w: it goes on behind its end", ErrResponse)
	}
	if err := r.parse.feed(p, r); err != nil {
		return false, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	return r.ended, r.err
}

// body implements sink.
func (r *ResponseParser) content(rec recordHeader, p []byte) {
	switch {
	case rec.recordType == typeStdout && rec.requestID == r.RequestID && !r.ended:
		if len(r.out)+len(p) > r.MaxBytes {
			r.err = fmt.Errorf("%w: over %d bytes", ErrResponse, r.MaxBytes)
			return
		}
		r.out = append(r.out, p...)
	case rec.recordType == typeEnd && rec.requestID == r.RequestID && rec.content == 8:
		r.out = append(r.out, p...) // taken off again when the record ends
	}
}

// endRecord implements sink.
func (r *ResponseParser) endRecord(rec recordHeader) error {
	switch {
	case r.ended:
		return errors.New("a record behind the end")
	case rec.requestID != r.RequestID && rec.requestID != 0:
		return fmt.Errorf("a record of request %d", rec.requestID)
	case rec.recordType == typeStdout, rec.recordType == typeStderr, rec.requestID == 0:
		return nil
	case rec.recordType != typeEnd || rec.content != 8 || len(r.out) < 8:
		return fmt.Errorf("a record of type %d and %d bytes", rec.recordType, rec.content)
	}
	tail := r.out[len(r.out)-8:]
	r.status, r.out, r.ended = tail[4], r.out[:len(r.out)-8], true
	return nil
}

// Overloaded tells whether the responder turned the request away unseen.
func (r *ResponseParser) Overloaded() bool { return r.ended && r.status == statusOverloaded }

// CompleteAtEOF tells whether the answer is whole now that the connection has ended, which ends none that was not.
func (r *ResponseParser) CompleteAtEOF() bool { return r.ended }

// Response reads the whole answer.
func (r *ResponseParser) Response() (gateway.Response, error) {
	if r.status != statusComplete {
		return gateway.Response{}, fmt.Errorf("%w: protocol status %d", ErrResponse, r.status)
	}
	a, err := cgi.ParseResponse(r.out)
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrResponse, err)
	}
	return a, nil
}
