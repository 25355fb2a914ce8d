package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"

	"tillerusher/internal/gateway"
	"tillerusher/internal/usage"
)

const (
	// openRequestsFactor times Limits.OpenRequests is the maximum number of open requests of one session, whether complete
	// or not. It is above 1 so that the handler can look up a request above Limits.OpenRequests before it rejects it.
	openRequestsFactor = 2
	// maxRetainedControlBytes is the capacity of the largest buffer for control records that a connection keeps.
	maxRetainedControlBytes = 64
)

// errSessionEnded stops the record reader of a connection that is to be closed. Feed does not return it.
var errSessionEnded = errors.New("fastcgi: session ended")

// RequestError reports a record that violates the protocol. No more input can be read from the connection.
type RequestError struct {
	ID     uint16
	Reason string
}

// Error implements error.
func (e *RequestError) Error() string { return fmt.Sprintf("fastcgi: request %d: %s", e.ID, e.Reason) }

// Limits configures the requests that sessions accept.
type Limits struct {
	OpenRequests int  // maximum number of complete requests without a response, of one session
	ParamBytes   int  // maximum size of one request's parameters
	BodyBytes    int  // maximum size of one request's body
	TotalBytes   int  // maximum size of all open requests of all sessions
	KeepParams   bool // store all parameters in Request.Params
}

// sharedState is the state that all sessions of a protocol share. It contains the buffers, since there are many idle
// sessions and an idle session must not hold a buffer.
type sharedState struct {
	memory    requestMemory
	cgiBuf    []byte // the CGI response being assembled
	recordBuf []byte // the records being assembled
}

// request is an open request of a session.
type request struct {
	keepConn      bool // keep the connection open after the response
	params        []byte
	body          []byte
	hasAllParams  bool
	isComplete    bool // it was passed to the handler, as a valid or as an invalid request
	isInvalid     bool
	reason        gateway.RejectReason // valid if isInvalid is set
	reservedBytes int                  // bytes of sharedState.memory
}

// invalidate marks the request as invalid. Only the first reason is recorded.
func (r *request) invalidate(reason gateway.RejectReason) {
	if !r.isInvalid {
		r.isInvalid, r.reason = true, reason
	}
}

// Session implements gateway.Session for one connection.
type Session struct {
	limits     Limits
	out        gateway.Output
	handler    gateway.Handler
	reader     recordReader
	open       map[uint16]*request
	controlBuf []byte // content of a BEGIN_REQUEST or management record
	skipped    skipAllowance
	incomplete int // number of open requests that are incomplete
	// incompleteMemory is the memory of the incomplete requests.
	incompleteMemory usage.Account[*Session]
	hasEnded         bool // input is ignored, and the connection is closed once the complete requests have responses
	shared           *sharedState
}

// NewProtocol returns a protocol whose sessions enforce the limits. The sessions share state without a lock, so they must
// not be used concurrently.
func NewProtocol(limits Limits) gateway.Protocol {
	shared := &sharedState{memory: requestMemory{limit: limits.TotalBytes}}
	return func(out gateway.Output, h gateway.Handler) gateway.Session {
		session := &Session{
			limits:  limits,
			shared:  shared,
			out:     out,
			handler: h,
			open:    map[uint16]*request{},
			skipped: newSkipAllowance(limits),
		}
		session.incompleteMemory.Owner = session
		return session
	}
}

// Feed implements gateway.Session.
func (s *Session) Feed(p []byte) error {
	if s.hasEnded {
		return nil // the connection closes once the last response is sent
	}
	err := s.reader.feed(p, s)
	if err == errSessionEnded {
		return nil
	}
	s.hasEnded = err != nil
	return err
}

// OpenRequests implements gateway.Session.
func (s *Session) OpenRequests() int { return len(s.open) }

// HasPartialInput implements gateway.Session.
func (s *Session) HasPartialInput() bool { return s.incomplete > 0 || s.reader.hasPartialRecord() }

// ShouldClose implements gateway.Session. Incomplete requests do not keep the connection open.
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
		s.shared.memory.release(s, req)
	}
	s.hasEnded, s.incomplete = true, 0
}

// content implements recordHandler. Content over a limit is discarded and invalidates its request.
func (s *Session) content(header recordHeader, part []byte) {
	req := s.open[header.requestID]
	isReading := req != nil && !req.isComplete
	switch {
	case header.recordType == typeParams && isReading && !req.hasAllParams:
		req.params = s.appendWithinLimits(req, req.params, part, s.limits.ParamBytes)
	case header.recordType == typeStdin && isReading:
		req.body = s.appendWithinLimits(req, req.body, part, s.limits.BodyBytes)
	case header.hasControl() && len(s.controlBuf)+len(part) <= s.limits.ParamBytes:
		s.controlBuf = append(s.controlBuf, part...)
	default:
		s.skipped.skip(len(part))
	}
	// A request over a limit is rejected before its end, which may never arrive.
	if isReading && req.isInvalid {
		s.complete(header.requestID, req)
	}
}

// hasControl reports whether the record is a control record, whose content is buffered until the record is complete.
func (h recordHeader) hasControl() bool {
	return h.recordType == typeBeginRequest || h.requestID == managementID
}

// endRecord implements recordHandler. Input after the record that ends the session is ignored, in the same read and in
// later ones.
func (s *Session) endRecord(header recordHeader) error {
	err := s.handleRecord(header)
	switch {
	case err != nil:
		return err
	case s.hasEnded:
		return errSessionEnded
	case s.skipped.isExceeded():
		return errTooManySkipped
	}
	return nil
}

// handleRecord handles the end of a record. It skips records of requests that are not open, as the gateway may have sent
// them before it read the response.
func (s *Session) handleRecord(header recordHeader) error {
	control := s.takeControl()
	if header.requestID == managementID {
		s.skipped.skip(headerSize)
		return s.handleManagement(header, control)
	}
	if header.recordType == typeBeginRequest {
		return s.beginRequest(header.requestID, control)
	}
	req := s.open[header.requestID]
	if req == nil {
		s.skipped.skipEmptyRecord(header)
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

// takeControl returns the content of a control record, which is valid until the next control record, and empties the
// buffer. It does not keep a large buffer.
func (s *Session) takeControl() []byte {
	control := s.controlBuf
	s.controlBuf = s.controlBuf[:0]
	if cap(control) > maxRetainedControlBytes {
		s.controlBuf = nil
	}
	return control
}

// beginRequest opens a request, or ends it if its role is not implemented or too many requests are open. Its parameters are
// not known yet, so the response must not be the status for overload, which promises that the request never ran.
func (s *Session) beginRequest(id uint16, content []byte) error {
	if len(content) < beginRequestSize {
		return &RequestError{ID: id, Reason: fmt.Sprintf("BEGIN_REQUEST content has %d bytes, want at least 8", len(content))}
	}
	if s.open[id] != nil {
		return &RequestError{ID: id, Reason: "BEGIN_REQUEST for a request that is already open"}
	}
	s.skipped.requestBegun()
	role := binary.BigEndian.Uint16(content)
	keepConn := content[2]&flagKeepConn != 0
	switch {
	case role != roleResponder:
		s.reject(id, keepConn, gateway.UnsupportedRole, statusUnknownRole)
	case len(s.open) >= openRequestsFactor*s.limits.OpenRequests:
		s.reject(id, keepConn, gateway.TooManyRequests, statusComplete)
	default:
		s.open[id] = &request{keepConn: keepConn}
		s.incomplete++
	}
	return nil
}

// reject sends the END_REQUEST record of a request that is not opened, and reports the reason to the handler.
func (s *Session) reject(id uint16, keepConn bool, reason gateway.RejectReason, protocolStatus byte) {
	s.write(appendEndRequest(s.shared.recordBuf[:0], id, appFailure, protocolStatus))
	s.hasEnded = s.hasEnded || !keepConn
	s.handler.RequestRejected(reason)
}

// abort ends an incomplete request, or reports the abort of a complete request to the handler.
func (s *Session) abort(id uint16, req *request) {
	if req.isComplete {
		s.handler.RequestAborted(s, gateway.StreamID(id))
		return
	}
	s.incomplete--
	s.finish(id, req, appendEndRequest(s.shared.recordBuf[:0], id, appFailure, statusComplete))
}

// complete passes a request to the handler after its last byte was read. If the request is invalid, it passes the reason
// instead; an invalid request may be completed before its last byte.
func (s *Session) complete(id uint16, req *request) {
	s.shared.memory.release(s, req)
	req.isComplete = true
	s.incomplete--
	if !req.hasAllParams {
		req.invalidate(gateway.Malformed)
	}
	parsed, err := s.parseRequest(req)
	if err != nil {
		req.invalidate(gateway.Malformed)
	}
	if req.isInvalid {
		req.params, req.body = nil, nil
		s.handler.RequestInvalid(s, gateway.StreamID(id), req.reason)
		return
	}
	s.skipped.requestReceived()
	hasMemory := s.reserveComplete(req)
	req.params = nil
	parsed.ExceedsLimits = !hasMemory || len(s.open)-s.incomplete > s.limits.OpenRequests
	s.handler.RequestReceived(s, gateway.StreamID(id), parsed)
}
