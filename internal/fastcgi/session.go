package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/gateway"
)

// errFinished ends the parsing of a connection that is to be closed.
var errFinished = errors.New("fastcgi: connection finished")

// errExcess ends a connection on which nothing but what belongs to no request comes.
var errExcess = errors.New("fastcgi: too much that belongs to no request")

// maxExcess is how many bytes are passed over between two whole requests: the rest of a body that was turned away
// for its length, and records of requests that have ended. A body without end is over it at once.
const maxExcess = 64 << 10

// keepControl is the largest buffer for management records that a connection keeps.
const keepControl = 64

// Limits bound what one session takes in.
type Limits struct {
	OpenRequests int  // requests open at a time
	ParamBytes   int  // bytes of the parameters of one request
	BodyBytes    int  // bytes of the body of one request
	TotalBytes   int  // bytes of all requests of all sessions that are not answered
	KeepParams   bool // requests are handed over with all their parameters, too
}

// shared is what all sessions of a protocol have in common: idle ones are many and must hold no buffers.
type shared struct {
	left          int    // of the memory for requests that are not answered
	text, records []byte // where answers are put together
}

// request is one open request of a session.
type request struct {
	keep       bool // the connection stays open after the answer
	params     []byte
	body       []byte
	paramsDone bool
	handed     bool // the handler has it
	flawed     bool
	flaw       gateway.RejectReason
	booked     int // bytes taken from the budget
}

// Session is the state of one connection.
type Session struct {
	limits   Limits
	out      gateway.Output
	handler  gateway.Handler
	parse    recordReader
	open     map[uint16]*request
	control  []byte // body of a BEGIN_REQUEST or management record
	excess   int    // bytes passed over since the last whole request
	coming   int    // open requests that have not come whole
	finished bool
	shared   *shared
}

// NewProtocol returns a protocol whose sessions keep to the limits.
func NewProtocol(l Limits) gateway.Protocol {
	common := &shared{left: l.TotalBytes}
	return func(out gateway.Output, h gateway.Handler) gateway.Session {
		return &Session{limits: l, shared: common, out: out, handler: h, open: map[uint16]*request{}}
	}
}

// Feed implements front.Session.
func (s *Session) Feed(p []byte) error {
	if s.finished {
		return nil // the answer that ends the connection is on its way
	}
	if err := s.parse.feed(p, s); err != errFinished {
		return err
	}
	return nil
}

// Open implements front.Session.
func (s *Session) OpenRequests() int { return len(s.open) }

// Unfinished implements front.Session.
func (s *Session) HasPartialInput() bool { return s.coming > 0 || s.parse.inside || s.parse.have > 0 }

// Finished implements front.Session. Requests that were still coming are given up with the connection.
func (s *Session) ShouldClose() bool {
	if !s.finished {
		return false
	}
	for _, q := range s.open {
		if q.handed {
			return false
		}
	}
	return true
}

// body takes in content as it comes. What is over a limit is dropped and noted.
func (s *Session) content(r recordHeader, p []byte) {
	q := s.open[r.requestID]
	switch {
	case r.recordType == typeParams && q != nil && !q.paramsDone && !q.handed:
		q.params = s.grow(q, q.params, p, s.limits.ParamBytes)
	case r.recordType == typeStdin && q != nil && !q.handed:
		q.body = s.grow(q, q.body, p, s.limits.BodyBytes)
	case (r.recordType == typeBeginRequest || r.requestID == 0) && len(s.control)+len(p) <= s.limits.ParamBytes:
		s.control = append(s.control, p...)
	default:
		s.excess += len(p)
	}
	// A request that is over a limit is answered at once: its end may be far away, or never come.
	if q != nil && q.flawed && !q.handed {
		s.complete(r.requestID, q)
	}
}

// grow appends to a part of a request within its limit.
func (s *Session) grow(q *request, to, p []byte, limit int) []byte {
	if len(to)+len(p) > limit {
		q.spoil(gateway.TooLarge)
		return to
	}
	// OpenRequests that come in slowly on many connections must not fill the memory.
	if len(p) > s.shared.left {
		q.spoil(gateway.TooManyRequests)
		return to
	}
	s.shared.left -= len(p)
	q.booked += len(p)
	return append(to, p...)
}

// spoil notes the first flaw of a request.
func (q *request) spoil(f gateway.RejectReason) {
	if !q.flawed {
		q.flawed, q.flaw = true, f
	}
}

// endRecord acts on a whole record. What follows the record that ends the connection is not looked at, in the same
// read as in a later one.
func (s *Session) endRecord(r recordHeader) error {
	err := s.act(r)
	switch {
	case err != nil:
		return err
	case s.finished:
		return errFinished
	case s.excess > maxExcess:
		return errExcess
	}
	return nil
}

// act carries out a record. Records of requests that are not open are passed over, as the gateway may have
// sent them before it saw the end.
func (s *Session) act(r recordHeader) error {
	control := s.control
	if s.control = s.control[:0]; cap(control) > keepControl {
		s.control = nil
	}
	if r.requestID == 0 {
		s.excess += headerSize
		return s.manage(r, control)
	}
	if r.recordType == typeBeginRequest {
		return s.begin(r, control)
	}
	q := s.open[r.requestID]
	if q == nil {
		s.excess += headerSize
		return nil
	}
	switch r.recordType {
	case typeParams:
		if r.content == 0 {
			q.paramsDone = true
		}
	case typeStdin:
		if r.content == 0 && !q.handed {
			s.complete(r.requestID, q)
		}
	case typeAbort:
		if q.handed {
			s.handler.RequestAborted(s, gateway.StreamID(r.requestID))
		} else {
			s.coming--
			s.finish(r.requestID, q, appendEnd(s.shared.records[:0], r.requestID, 1, statusComplete))
		}
	}
	return nil
}

// begin opens a request.
func (s *Session) begin(r recordHeader, content []byte) error {
	if len(content) < 8 {
		return fmt.Errorf("fastcgi: BEGIN_REQUEST of %d bytes", len(content))
	}
	if s.open[r.requestID] != nil {
		return fmt.Errorf("fastcgi: request %d begins while it is open", r.requestID)
	}
	role := binary.BigEndian.Uint16(content)
	keep := content[2]&flagKeepConn != 0
	switch {
	case role != roleResponder:
		s.reject(r.requestID, keep, gateway.UnsupportedRole, statusUnknownRole)
	case len(s.open) >= s.limits.OpenRequests:
		s.reject(r.requestID, keep, gateway.TooManyRequests, statusOverloaded)
	default:
		s.open[r.requestID] = &request{keep: keep}
		s.coming++
	}
	return nil
}

// reject ends a request that was not opened.
func (s *Session) reject(id uint16, keep bool, f gateway.RejectReason, status byte) {
	s.write(appendEnd(s.shared.records[:0], id, 1, status))
	s.finished = s.finished || !keep
	s.handler.RequestRejected(f)
}

// complete hands over a request whose last byte came, or what is wrong with it.
func (s *Session) complete(id uint16, q *request) {
	q.handed = true
	s.coming--
	r := gateway.Request{Body: q.body, Headers: make(map[string]string, 16)}
	if s.limits.KeepParams {
		r.Params = make(map[string]string, 16)
	}
	if !q.paramsDone {
		q.spoil(gateway.Malformed)
	}
	if !q.flawed && parsePairs(q.params, func(name, value []byte) { set(&r, string(name), string(value)) }) != nil {
		q.spoil(gateway.Malformed)
	}
	q.params = nil
	if q.flawed {
		q.body = nil
		s.handler.RequestInvalid(s, gateway.StreamID(id), q.flaw)
		return
	}
	s.excess = 0
	s.handler.RequestReceived(s, gateway.StreamID(id), r)
}

// set stores one parameter.
func set(r *gateway.Request, name, value string) {
	if r.Params != nil {
		r.Params[name] = value
	}
	switch name {
	case "REQUEST_URI":
		r.URI = value
	case "REQUEST_METHOD":
		r.Method = value
	case "SCRIPT_NAME":
		r.Path = value
	case "QUERY_STRING":
		r.Query = value
	default:
		if field, ok := strings.CutPrefix(name, "HTTP_"); ok {
			r.Headers[strings.ReplaceAll(strings.ToLower(field), "_", "-")] = value
		}
	}
}

// Response implements front.Session.
func (s *Session) Respond(stream gateway.StreamID, a gateway.Response) {
	id := uint16(stream)
	q := s.open[id]
	if q == nil || !q.handed {
		return
	}
	if a.Overloaded {
		s.finish(id, q, appendEnd(s.shared.records[:0], id, 1, statusOverloaded))
		return
	}
	text := append(s.shared.text[:0], "Status: "...)
	text = append(strconv.AppendInt(text, int64(a.Status), 10), "\r\n"...)
	for _, f := range a.Headers {
		text = append(append(append(append(text, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	s.shared.text = append(append(text, "\r\n"...), a.Body...)
	b := appendStream(s.shared.records[:0], typeStdout, id, s.shared.text)
	s.finish(id, q, appendEnd(b, id, 0, statusComplete))
}

// write sends records that were put together in the buffer of all sessions, which stays there for the next.
func (s *Session) write(records []byte) {
	s.out.Write(records)
	s.shared.records = records[:0]
}

// finish writes a request's last records and closes it.
func (s *Session) finish(id uint16, q *request, records []byte) {
	s.write(records)
	delete(s.open, id)
	s.shared.left += q.booked
	s.finished = s.finished || !q.keep
}

// Close implements front.Session.
func (s *Session) Close() {
	for id, q := range s.open {
		delete(s.open, id)
		s.shared.left += q.booked
	}
	s.finished, s.coming = true, 0
}

// manage answers a management record.
func (s *Session) manage(r recordHeader, content []byte) error {
	if r.recordType != typeGetValues {
		b := appendHeader(s.shared.records[:0], typeUnknown, 0, 8)
		s.write(append(b, r.recordType, 0, 0, 0, 0, 0, 0, 0))
		return nil
	}
	var reply []byte
	err := parsePairs(content, func(name, _ []byte) {
		switch string(name) {
		case "FCGI_MAX_REQS":
			reply = appendPair(reply, string(name), strconv.Itoa(s.limits.OpenRequests))
		case "FCGI_MPXS_CONNS":
			reply = appendPair(reply, string(name), "1")
		}
	})
	if err != nil {
		return err
	}
	s.write(append(appendHeader(s.shared.records[:0], typeGetValuesResult, 0, len(reply)), reply...))
	return nil
}
