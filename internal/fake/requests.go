package fake

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"tillerusher/internal/invariant"
)

// attemptCount counts the attempts that this process has created, which makes their IDs unique.
var attemptCount atomic.Uint64

// NewHealthCheck returns a health check. A deep check asks whether the server's backend can do work.
func NewHealthCheck(deep bool) Request {
	r := Request{Method: "GET", Path: "/healthz"}
	if deep {
		r.Query = "full=1"
	}
	return r
}

// NewLookup returns an attempt of the safe class that the gateway receives now.
func NewLookup(body string) Request {
	return NewAttempt(nextID(), "", time.Now(), []byte(body))
}

// NewReserve returns an attempt of the class with idempotency keys that the gateway receives now. The key is derived from
// number, so attempts of one request must have the same number.
func NewReserve(number int, body string) Request {
	return NewAttempt(nextID(), fmt.Sprintf("%032x", number), time.Now(), []byte(body))
}

// nextID returns a unique Request-Id.
func nextID() string { return fmt.Sprintf("%016x", attemptCount.Add(1)) }

// NewAttempt returns an attempt that a gateway received at the given time. With a key it belongs to the class with
// idempotency keys, and with an empty key to the safe class.
func NewAttempt(id, key string, received time.Time, body []byte) Request {
	request := Request{Method: "POST", Path: "/v1/part-lookup", Body: body, Headers: map[string]string{
		"Request-Id":    id,
		"Received-At":   strconv.FormatInt(received.UnixMilli(), 10),
		"Sent-By":       "1",
		"Account":       "central",
		"Work-Estimate": "12.50",
		"Footprint-Kb":  "24.5",
		"Priority-Rank": "0.6250",
	}}
	if key != "" {
		request.Path, request.Headers["Once-Key"] = "/v1/stock-reserve", key
	}
	return request
}

// Deadline returns the time within which an attempt must be answered after the gateway received it.
func Deadline(hasKey bool) time.Duration {
	if hasKey {
		return ReserveDeadline
	}
	return LookupDeadline
}

// Outcome returns the outcome that the response has for the caller.
func (r Response) Outcome() invariant.Outcome {
	switch {
	case r.Status == http.StatusOK:
		return invariant.Served
	case r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable || r.ProtocolStatus != 0:
		return invariant.Rejected
	}
	return invariant.Failed
}

// ID returns the request's Request-Id.
func (r Request) ID() string { return r.Headers["Request-Id"] }

// WithHeader returns a copy of the request with the header set to the value, or removed if the value is empty.
func (r Request) WithHeader(name, value string) Request {
	headers := maps.Clone(r.Headers)
	if headers == nil {
		headers = map[string]string{}
	}
	headers[name] = value
	if value == "" {
		delete(headers, name)
	}
	r.Headers = headers
	return r
}
