package fake

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"tillerusher/internal/invariant"
)

// tries numbers the requests of a process.
var tries atomic.Uint64

// NewHealthCheck is a health check; full asks whether work gets done.
func NewHealthCheck(full bool) Request {
	r := Request{Method: "GET", Path: "/healthz"}
	if full {
		r.Query = "full=1"
	}
	return r
}

// NewLookup is a request of the safe class, just arrived.
func NewLookup(body string) Request {
	return NewAttempt(fmt.Sprintf("%016x", tries.Add(1)), "", time.Now(), []byte(body))
}

// NewReserve is a try of the keyed class, just arrived; the number names the request.
func NewReserve(number int, body string) Request {
	return NewAttempt(fmt.Sprintf("%016x", tries.Add(1)), fmt.Sprintf("%032x", number), time.Now(), []byte(body))
}

// NewAttempt is a try that a gateway received at a time: of the keyed class where it has a key.
func NewAttempt(id, key string, received time.Time, body []byte) Request {
	r := Request{Method: "POST", Path: "/v1/part-lookup", Body: body, Headers: map[string]string{
		"Request-Id": id, "Received-At": strconv.FormatInt(received.UnixMilli(), 10),
		"Sent-By": "1", "Account": "central", "Work-Estimate": "12.50", "Footprint-Kb": "24.5", "Priority-Rank": "0.6250"}}
	if key != "" {
		r.Path, r.Headers["Once-Key"] = "/v1/stock-reserve", key
	}
	return r
}

// Deadline is how long after it was received a try has to be answered.
func Deadline(keyed bool) time.Duration {
	if keyed {
		return ReserveDeadline
	}
	return LookupDeadline
}

// Outcome is what an answer means to the caller.
func (a Response) Outcome() invariant.Outcome {
	switch {
	case a.Status == 200:
		return invariant.Served
	case a.Status == 429 || a.Status == 503 || a.ProtocolStatus != 0:
		return invariant.Rejected
	}
	return invariant.Failed
}

// ID is the request's Request-Id.
func (r Request) ID() string { return r.Headers["Request-Id"] }

// WithHeader returns the request with a field changed, or left out where the value is empty.
func (r Request) WithHeader(name, value string) Request {
	fields := map[string]string{}
	for n, v := range r.Headers {
		fields[n] = v
	}
	if fields[name] = value; value == "" {
		delete(fields, name)
	}
	r.Headers = fields
	return r
}
