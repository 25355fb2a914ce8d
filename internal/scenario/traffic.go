package scenario

import (
	"fmt"
	"time"

	"tillerusher/internal/fake"
)

// The tenants of requests. The second tenant sends secondTenantShare of all requests.
const (
	firstTenant       = "central"
	secondTenant      = "northern"
	secondTenantShare = 0.3
)

// maxDuplicateDelay is the maximum time between the answer to a request and its duplicate.
const maxDuplicateDelay = 2 * time.Second

// request is a request of a caller, which gateways send in one or more attempts.
type request struct {
	key       string // idempotency key; "" if the request has none
	tenant    string
	body      []byte
	arrivedAt time.Duration
	attempts  int // number of attempts so far, without hedges and duplicates
	isServed  bool
}

// hasKey reports whether the request has an idempotency key.
func (q *request) hasKey() bool { return q.key != "" }

// deadline returns the time after the request's arrival within which the caller expects an answer.
func (q *request) deadline() time.Duration { return fake.Deadline(q.hasKey()) }

// generateRequest sends the next request of the load and schedules the one after it, until the load ends. The times between
// requests have an exponential distribution, so arrivals are a Poisson process.
func (r *runner) generateRequest() {
	if r.sim.Elapsed() >= startupTime+r.scenario.Duration {
		return
	}
	number := len(r.requests)
	req := &request{tenant: firstTenant, arrivedAt: r.sim.Elapsed()}
	if r.rng.Float64() < secondTenantShare {
		req.tenant = secondTenant
	}
	if r.rng.Float64() < r.scenario.IdempotentShare {
		req.key = fmt.Sprintf("%016x%016x", r.rng.Uint64(), number)
	}
	work := time.Duration(r.rng.ExpFloat64() * float64(r.scenario.MeanRunTime))
	req.body = fake.WorkBody(fmt.Sprint(number), work)
	r.requests = append(r.requests, req)
	r.secondStatsOf(req).Requests++
	r.randomGateway().send(req)
	rate := r.scenario.Rate * r.loadFactor
	r.sim.After(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.generateRequest)
}

// randomGateway returns a random gateway.
func (r *runner) randomGateway() *gateway { return r.gateways[r.rng.IntN(len(r.gateways))] }

// secondStatsOf returns the statistics of the second in which a request arrived.
func (r *runner) secondStatsOf(req *request) *SecondStats {
	n := int((req.arrivedAt - startupTime) / time.Second)
	for len(r.report.Seconds) <= n {
		r.report.Seconds = append(r.report.Seconds, SecondStats{})
	}
	return &r.report.Seconds[n]
}

// recordServed records that an attempt of a request was served. It schedules a duplicate for a random share of the requests
// with a key.
func (r *runner) recordServed(req *request) {
	if req.hasKey() && !r.isFinished && r.rng.Float64() < r.scenario.DuplicateShare {
		delay := time.Duration(r.rng.Int64N(int64(maxDuplicateDelay)))
		r.sim.After(delay, func() { r.sendDuplicate(req) })
	}
	if req.isServed {
		return
	}
	req.isServed = true
	r.secondStatsOf(req).Served++
	latency := (r.sim.Elapsed() - req.arrivedAt).Microseconds()
	r.latency.RecordValue(min(max(latency, 1), maxLatency.Microseconds()))
}

// sendDuplicate sends a served request once more, through a random gateway.
func (r *runner) sendDuplicate(req *request) {
	if r.isFinished {
		return
	}
	req.attempts-- // a duplicate does not count against the caller's attempts
	r.randomGateway().send(req)
}
