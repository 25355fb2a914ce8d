package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"

	"tillerusher/internal/gateway"
)

const (
	// maxSkippedBytes is how many bytes are skipped between two whole requests: the rest of a body that was rejected for
	// its length, and records of requests that have ended. A body without end exceeds it soon.
	maxSkippedBytes = 64 << 10
	// maxKeptControl is the largest buffer for management records that a connection keeps.
	maxKeptControl = 64
)

var (
	// errSessionEnded ends the parsing of a connection that is to be closed.
	errSessionEnded = errors.New("fastcgi: session ended")
	// errTooManySkipped ends a connection that sends only records of no open request.
	errTooManySkipped = errors.New("fastcgi: too many bytes that belong to no request")
)

// RequestError reports a record that breaks the protocol. Its connection can only be closed.
type RequestError struct {
	ID     uint16
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string { return fmt.Sprintf("fastcgi: request %d: %s", e.ID, e.Reason) }

// Limits bounds the requests that sessions accept.
type Limits struct {
	OpenRequests int  // of one session
	ParamBytes   int  // of one request's parameters
	BodyBytes    int  // of one request's body
	TotalBytes   int  // of all requests without a response, of all sessions
	KeepParams   bool // pass all parameters with a request, too
}

// sharedState is what all sessions of a protocol have in common. The buffers are here because idle sessions are many and
// must hold none.
type sharedState struct {
	bytesLeft int    // of Limits.TotalBytes
	cgiBuf    []byte // the CGI response being assembled
	recordBuf []byte // the records being assembled
}

// request is one open request of a session.
type request struct {
	keepConn     bool // the connection stays open after the response
	params       []byte
	body         []byte
	hasAllParams bool
	isComplete   bool // it was passed to the handler, as a request or as invalid
	isInvalid    bool
	reason       gateway.RejectReason // if isInvalid
	heldBytes    int                  // of sharedState.bytesLeft
}

// invalidate records the first reason why a request is invalid.
func (r *request) invalidate(reason gateway.RejectReason) {
	if !r.isInvalid {
		r.isInvalid, r.reason = true, reason
	}
}

// Session implements gateway.Session for one connection.
type Session struct {
	limits       Limits
	out          gateway.Output
	handler      gateway.Handler
	reader       recordReader
	open         map[uint16]*request
	control      []byte // content of a BEGIN_REQUEST or management record
	skippedBytes int    // since the last whole request
	incomplete   int    // open requests that are incomplete
	hasEnded     bool   // no more requests are read, and the connection is closed once the open ones have a response
	shared       *sharedState
}

// NewProtocol returns a protocol whose sessions keep to the limits.
func NewProtocol(limits Limits) gateway.Protocol {
	shared := &sharedState{bytesLeft: limits.TotalBytes}
	return func(out gateway.Output, h gateway.Handler) gateway.Session {
		return &Session{limits: limits, shared: shared, out: out, handler: h, open: map[uint16]*request{}}
	}
}

// Feed implements gateway.Session.
func (s *Session) Feed(p []byte) error {
	if s.hasEnded {
		return nil // the response that ends the connection is on its way
	}
	if err := s.reader.feed(p, s); err != errSessionEnded {
		return err
	}
	return nil
}

// OpenRequests implements gateway.Session.
func (s *Session) OpenRequests() int { return len(s.open) }

// HasPartialInput implements gateway.Session.
func (s *Session) HasPartialInput() bool { return s.incomplete > 0 || s.reader.hasPartialRecord() }

// ShouldClose implements gateway.Session. Incomplete requests are dropped with the connection.
func (s *Session) ShouldClose() bool {
	if !s.hasEnded {
		return false
	}
	for _, req := range s.open {
		if req.isComplete {
			return false
		}
	}
	return true
}

// Close implements gateway.Session.
func (s *Session) Close() {
	for id, req := range s.open {
		delete(s.open, id)
		s.shared.bytesLeft += req.heldBytes
	}
	s.hasEnded, s.incomplete = true, 0
}

// content implements recordHandler. Content over a limit is dropped and invalidates its request.
func (s *Session) content(header recordHeader, part []byte) {
	req := s.open[header.requestID]
	isReading := req != nil && !req.isComplete
	switch {
	case header.recordType == typeParams && isReading && !req.hasAllParams:
		req.params = s.appendWithinLimits(req, req.params, part, s.limits.ParamBytes)
	case header.recordType == typeStdin && isReading:
		req.body = s.appendWithinLimits(req, req.body, part, s.limits.BodyBytes)
	case header.hasControl() && len(s.control)+len(part) <= s.limits.ParamBytes:
		s.control = append(s.control, part...)
	default:
		s.skippedBytes += len(part)
	}
	// A request over a limit is rejected without waiting for its end, which may never come.
	if isReading && req.isInvalid {
		s.complete(header.requestID, req)
	}
}

// hasControl reports whether the record's content is buffered until the record is complete.
func (h recordHeader) hasControl() bool {
	return h.recordType == typeBeginRequest || h.requestID == managementID
}

// appendWithinLimits appends to a part of a request, or invalidates the request.
func (s *Session) appendWithinLimits(req *request, collected, added []byte, limit int) []byte {
	if len(collected)+len(added) > limit {
		req.invalidate(gateway.TooLarge)
		return collected
	}
	// Many connections that send requests slowly must not exhaust the memory.
	if len(added) > s.shared.bytesLeft {
		req.invalidate(gateway.TooManyRequests)
		return collected
	}
	s.shared.bytesLeft -= len(added)
	req.heldBytes += len(added)
	return append(collected, added...)
}

// endRecord implements recordHandler. What follows the record that ends the connection is ignored, whether it comes in the
// same read or in a later one.
func (s *Session) endRecord(header recordHeader) error {
	err := s.handleRecord(header)
	switch {
	case err != nil:
		return err
	case s.hasEnded:
		return errSessionEnded
	case s.skippedBytes > maxSkippedBytes:
		return errTooManySkipped
	}
	return nil
}

// handleRecord acts on a complete record. Records of requests that are not open are skipped, as the gateway may have sent
// them before it read the response.
func (s *Session) handleRecord(header recordHeader) error {
	control := s.takeControl()
	if header.requestID == managementID {
		s.skippedBytes += headerSize
		return s.handleManagement(header, control)
	}
	if header.recordType == typeBeginRequest {
		return s.beginRequest(header.requestID, control)
	}
	req := s.open[header.requestID]
	if req == nil {
		s.skippedBytes += headerSize
		return nil
	}
	isEndOfStream := header.contentLength == 0
	switch header.recordType {
	case typeParams:
		if isEndOfStream {
			req.hasAllParams = true
		}
	case typeStdin:
		if isEndOfStream && !req.isComplete {
			s.complete(header.requestID, req)
		}
	case typeAbortRequest:
		s.abort(header.requestID, req)
	}
	return nil
}

// takeControl returns the content of a control record, valid until the next one. A large buffer is not kept.
func (s *Session) takeControl() []byte {
	control := s.control
	s.control = s.control[:0]
	if cap(control) > maxKeptControl {
		s.control = nil
	}
	return control
}

// beginRequest opens a request.
func (s *Session) beginRequest(id uint16, content []byte) error {
	if len(content) < beginRequestSize {
		return &RequestError{ID: id, Reason: fmt.Sprintf("BEGIN_REQUEST of %d bytes", len(content))}
	}
	if s.open[id] != nil {
		return &RequestError{ID: id, Reason: "begun while it is open"}
	}
	role := binary.BigEndian.Uint16(content)
	keepConn := content[2]&flagKeepConn != 0
	switch {
	case role != roleResponder:
		s.reject(id, keepConn, gateway.UnsupportedRole, statusUnknownRole)
	case len(s.open) >= s.limits.OpenRequests:
		s.reject(id, keepConn, gateway.TooManyRequests, statusOverloaded)
	default:
		s.open[id] = &request{keepConn: keepConn}
		s.incomplete++
	}
	return nil
}

// reject ends a request that was not opened.
func (s *Session) reject(id uint16, keepConn bool, reason gateway.RejectReason, protocolStatus byte) {
	s.write(appendEndRequest(s.shared.recordBuf[:0], id, appFailure, protocolStatus))
	s.hasEnded = s.hasEnded || !keepConn
	s.handler.RequestRejected(reason)
}

// abort ends an incomplete request, or passes the abort of a complete one to the handler.
func (s *Session) abort(id uint16, req *request) {
	if req.isComplete {
		s.handler.RequestAborted(s, gateway.StreamID(id))
		return
	}
	s.incomplete--
	s.finish(id, req, appendEndRequest(s.shared.recordBuf[:0], id, appFailure, statusComplete))
}

// complete passes a request to the handler once its last byte was read, or the reason why it is invalid.
func (s *Session) complete(id uint16, req *request) {
	req.isComplete = true
	s.incomplete--
	if !req.hasAllParams {
		req.invalidate(gateway.Malformed)
	}
	parsed, err := s.parseRequest(req)
	if err != nil {
		req.invalidate(gateway.Malformed)
	}
	req.params = nil
	if req.isInvalid {
		req.body = nil
		s.handler.RequestInvalid(s, gateway.StreamID(id), req.reason)
		return
	}
	s.skippedBytes = 0
	s.handler.RequestReceived(s, gateway.StreamID(id), parsed)
}
