package server

import (
	"errors"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// Request is one attempt of a caller, as a RequestParser parsed it.
type Request struct {
	// RequestID names the attempt to the backend, in hexadecimal.
	RequestID string
	// Class is the index of the request's class among those of the site.
	Class int
	// Key identifies a request over its attempts, together with the class, where HasKey is set: retries are answered
	// from the first attempt's run.
	Key string
	// BodyHash is that of the body, where attempts with one key must agree in it.
	BodyHash uint64
	// ReceivedAt is when the gateway received the request, by the Unix clock, and ArrivedAt the same by the
	// module's clock.
	ReceivedAt time.Time
	ArrivedAt  time.Duration
	Body       []byte
	// Runner starts the request's run.
	Runner Runner
	HasKey bool
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
	// HasOwnID says that this process made the RequestID, so that it can't be that of another attempt.
	HasOwnID bool
}

// ParsedRequest is the result of parsing: a Response that answers the request at once, or the other fields.
type ParsedRequest struct {
	Request
	// Admission is what is reported to the module. The server fills in the ID and what the request is a retry of.
	Admission admission.Request
	// Response, where it is not nil, is the answer to a request that needs neither the module nor a run.
	Response *gateway.Response
}

// RequestParser parses the requests of gateways.
type RequestParser interface {
	// Parse parses a request that was read at a time of the module's clock. The text of an error is the body of the
	// answer, with status 400.
	Parse(r gateway.Request, now time.Duration) (ParsedRequest, error)
}

// The errors of requests whose fields are valid by themselves.
var (
	errDuplicateRequestID = errors.New("field Request-Id is that of another try")
	errKeyOfOtherBody     = errors.New("field Once-Key is that of a request with another body")
)
