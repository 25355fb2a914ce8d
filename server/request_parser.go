package server

import (
	"errors"
	"time"

	"tillerusher/admission"
	"tillerusher/internal/gateway"
)

// Request is one attempt of a caller, as parsed by a RequestParser.
type Request struct {
	// RequestID identifies the attempt to the backend, in hexadecimal.
	RequestID string
	// Class is the index of the request's class in the site's classes.
	Class int
	// Key and Class, if HasKey is set, identify a request across its attempts: retries are answered from the run of the
	// first attempt.
	Key string
	// BodyHash is the hash of the body, if attempts with the same key must have the same body.
	BodyHash uint64
	// ReceivedAt is when the gateway received the request, on the Unix clock. ArrivedAt is the same time on the module's
	// clock.
	ReceivedAt time.Time
	ArrivedAt  time.Duration
	Body       []byte
	// Runner starts the request's run.
	Runner Runner
	HasKey bool
	// AtMostOnce is set if the request must not run twice.
	AtMostOnce bool
	// HasOwnID is set if this process generated the RequestID, so that no other attempt can have it.
	HasOwnID bool
}

// ParsedRequest is the result of parsing a request: either the Response that answers it, or the other fields.
type ParsedRequest struct {
	Request
	// Admission is the request in the form that the module gets. The server sets its ID and RetryOf.
	Admission admission.Request
	// Response, if not nil, is the answer to a request that needs neither the module nor a run.
	Response *gateway.Response
}

// RequestParser parses the requests of gateways.
type RequestParser interface {
	// Parse parses a request that was read at now, on the module's clock. The text of an error becomes the body of an
	// answer with status 400.
	Parse(r gateway.Request, now time.Duration) (ParsedRequest, error)
}

// Errors of requests whose fields are all valid, but conflict with an earlier request.
var (
	errDuplicateRequestID = errors.New("field Request-Id is that of another try")
	errKeyOfOtherBody     = errors.New("field Once-Key is that of a request with another body")
)
