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

// Health is a health check; full asks whether work gets done.
func Health(full bool) Request {
	r := Request{Method: "GET", Path: "/healthz"}
	if full {
		r.Query = "full=1"
	}
	return r
}

// Lookup is a request of the safe class, just arrived.
func Lookup(body string) Request {
	return Try(fmt.Sprintf("%016x", tries.Add(1)), "", time.Now(), []byte(body))
}

// Reserve is a try of the keyed class, just arrived; the number names the request.
func Reserve(number int, body string) Request {
	return Try(fmt.Sprintf("%016x", tries.Add(1)), fmt.Sprintf("%032x", number), time.Now(), []byte(body))
}

// Try is a try that a gateway received at a time: of the keyed class where it has a key.
func Try(id, key string, received time.Time, body []byte) Request {
	r := Request{Method: "POST", Path: "/v1/part-lookup", Body: body, Fields: map[string]string{
		"Request-Id": id, "Received-At": strconv.FormatInt(received.UnixMilli(), 10),
		"Sent-By": "1", "Account": "central", "Work-Estimate": "12.50", "Footprint-Kb": "24.5", "Priority-Rank": "0.6250"}}
	if key != "" {
		r.Path, r.Fields["Once-Key"] = "/v1/stock-reserve", key
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
func (a Answer) Outcome() invariant.Answer {
	switch {
	case a.Status == 200:
		return invariant.Served
	case a.Status == 429 || a.Status == 503 || a.Protocol != 0:
		return invariant.Refused
	}
	return invariant.Failed
}

// ID is the request's Request-Id.
func (r Request) ID() string { return r.Fields["Request-Id"] }

// With returns the request with a field changed, or left out where the value is empty.
func (r Request) With(name, value string) Request {
	fields := map[string]string{}
	for n, v := range r.Fields {
		fields[n] = v
	}
	if fields[name] = value; value == "" {
		delete(fields, name)
	}
	r.Fields = fields
	return r
}
