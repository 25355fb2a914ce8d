package server

import (
	"hash/maphash"
	"strconv"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// Status codes of answers.
const (
	statusOK            = 200
	statusBadRequest    = 400
	statusTooLarge      = 413
	statusInternalError = 500
	statusUnavailable   = 503
)

// handleRequest handles a complete request: a health check, a request that is answered immediately, or a request that
// becomes an attempt, on which the module decides.
func (s *Server) handleRequest(conn *gatewayConn, stream gateway.StreamID, request gateway.Request) {
	if request.Path == healthPath {
		s.checkHealth(conn, stream, request)
		return
	}
	s.counters.requests++
	now := s.eventTime()
	parsed, err := s.parser.Parse(request, now)
	switch {
	case err != nil:
		s.answerInvalid(conn, stream, err)
		return
	case parsed.Response != nil:
		conn.validRequests++
		s.counters.directAnswers++
		conn.respond(stream, *parsed.Response)
		return
	}
	arrival := &attempt{Request: parsed.Request, conn: conn, stream: stream}
	if err := s.identify(arrival, now); err != nil {
		s.answerInvalid(conn, stream, err)
		return
	}
	conn.validRequests++
	switch {
	case request.ExceedsLimits:
		s.counters.tooMany++
		s.answerEarly(arrival, gateway.Response{Overloaded: true})
	case s.module.events == nil || s.durable != nil && s.durable.shouldReject(arrival): // it can't run now
		s.answerEarly(arrival, rejection(s.site.Admission.MaxRetryAfter, retryElsewhere))
	default:
		s.admit(arrival, parsed.Admission, now)
	}
}

// answerInvalid answers a request with invalid fields.
func (s *Server) answerInvalid(g *gatewayConn, stream gateway.StreamID, err error) {
	s.counters.invalid++
	g.respond(stream, gateway.Response{Status: statusBadRequest, Body: []byte(err.Error() + "\n")})
}

// answerEarly answers an attempt without reporting it to the module. Its request is rejected, unless it may have run: then
// the attempt gets the stored result, or fails if there is none.
func (s *Server) answerEarly(attempt *attempt, rejection gateway.Response) {
	response := rejection
	if attempt.AtMostOnce && attempt.retryOf != nil {
		response = gateway.Response{Status: statusInternalError}
		if original := s.keys.originalOf(attempt); s.keys.hasRun(attempt) && original.hasResult {
			s.counters.replayed++
			response = original.result
		}
	}
	s.classCounters[attempt.Class].requests++
	s.countAnswer(attempt.Class, response)
	attempt.conn.respond(attempt.stream, response)
}

// identify sets retryOf to the attempt of which this one is a retry. It returns an error for a request ID that was used
// before, and for a key that was used with another body: the sender must not get the result of that request.
func (s *Server) identify(attempt *attempt, now time.Duration) error {
	if !attempt.HasOwnID {
		if err := s.attempts.checkRequestID(attempt.RequestID, now); err != nil {
			return err
		}
	}
	if !attempt.HasKey {
		return nil
	}
	attempt.retryOf = s.keys.findOriginal(attempt, now)
	if attempt.retryOf != nil && attempt.retryOf.BodyHash != attempt.BodyHash {
		return errKeyOfOtherBody
	}
	return nil
}

// admit registers an attempt and reports it to the module, which decides on it.
func (s *Server) admit(attempt *attempt, request admission.Request, now time.Duration) {
	attempt.id = s.attempts.nextID()
	request.ID = attempt.id
	if request.IsRetry {
		s.counters.retries++
	}
	if attempt.retryOf != nil {
		s.counters.coalesced++
		request.RetryOf = attempt.retryOf.id
	}
	s.classCounters[attempt.Class].requests++
	s.attempts.add(attempt)
	attempt.conn.attempts[attempt.stream] = attempt
	if s.capture.tap != nil {
		s.capture.tap.NameRequest(attempt.id, attempt.RequestID, attempt.Key)
	}
	s.module.events.Request(now, request)
}

// keyWindow returns how long after the ReceivedAt of a run no other attempt of its request may run.
func (s *Server) keyWindow(class int) time.Duration {
	return s.site.Admission.Classes[class].KeyWindow + keyWindowSlack
}

// HashBody returns the hash of a body. Attempts with the same idempotency key must have the same hash.
func (s *Server) HashBody(body []byte) uint64 {
	if s.durable != nil {
		return s.durable.hashBody(body)
	}
	return maphash.Bytes(s.bodyHashSeed, body)
}

// Whether a rejection is final. Callers that respect a final rejection do not send the request to another server.
const (
	retryElsewhere = false
	finalRejection = true
)

// rejection returns the answer to a rejected request. If retryAfter is positive, the answer has the time after which the
// caller may retry, rounded up to milliseconds.
func rejection(retryAfter time.Duration, isFinal bool) gateway.Response {
	r := gateway.Response{Status: statusUnavailable}
	if retryAfter > 0 {
		ms := (retryAfter + time.Millisecond - 1) / time.Millisecond
		r.Headers = append(r.Headers, gateway.Field{Name: "Back-Off-Ms", Value: strconv.FormatInt(int64(ms), 10)})
	}
	if isFinal {
		r.Headers = append(r.Headers, gateway.Field{Name: "Final-Refusal", Value: "1"})
	}
	return r
}

// answer answers an attempt. It does nothing if the attempt is answered already.
func (s *Server) answer(attempt *attempt, response gateway.Response) {
	if attempt.isAnswered {
		return
	}
	attempt.isAnswered = true
	delete(attempt.conn.attempts, attempt.stream)
	s.countAnswer(attempt.Class, response)
	attempt.conn.respond(attempt.stream, response)
}

// countAnswer counts the answer to an attempt of a class.
func (s *Server) countAnswer(class int, response gateway.Response) {
	ofClass := &s.classCounters[class]
	switch {
	case response.Overloaded || response.Status == statusUnavailable:
		s.counters.rejected++
		ofClass.rejected++
	case response.Status < statusInternalError: // servers behind a router may answer with any status
		s.counters.served++
		ofClass.served++
	default:
		s.counters.failed++
		ofClass.failed++
	}
}

// answerFailed answers an attempt with status 500, which leaves open whether it ran.
func (s *Server) answerFailed(a *attempt) {
	s.answer(a, gateway.Response{Status: statusInternalError})
}

// removeIfDone removes an attempt that is answered and not running. The idempotency table may refer to the attempt for a
// long time, so its references to the body, the connection and the route are cleared.
func (s *Server) removeIfDone(a *attempt) {
	if a.isAnswered && a.state != runInFlight {
		s.attempts.remove(a)
		a.Body, a.conn, a.Runner = nil, nil, nil
	}
}
