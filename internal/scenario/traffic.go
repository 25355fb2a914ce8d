package scenario

import (
	"fmt"
	"time"

	"tillerusher/internal/fake"
)

// The tenants of requests; the second one sends secondTenantShare of them.
const (
	firstTenant       = "central"
	secondTenant      = "northern"
	secondTenantShare = 0.3
)

// maxDuplicateDelay is how long after it was served a request is sent again at the latest.
const maxDuplicateDelay = 2 * time.Second

// request is what a caller wants. Any number of attempts are made for it.
type request struct {
	key       string // of an idempotent request; "" otherwise
	tenant    string
	body      []byte
	arrivedAt time.Duration
	attempts  int // so far, hedges and duplicates left out
	isServed  bool
}

// hasKey reports whether the request has an idempotency key.
func (q *request) hasKey() bool { return q.key != "" }

// deadline returns how long after its arrival the caller waits for an answer.
func (q *request) deadline() time.Duration { return fake.Deadline(q.hasKey()) }

// generateRequest sends the next request of the load and schedules the one after it. The times between requests are drawn from
// an exponential distribution, so arrivals are a Poisson process.
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
	r.secondOf(req).Requests++
	r.randomGateway().send(req)
	rate := r.scenario.Rate * r.loadFactor
	r.sim.After(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.generateRequest)
}

// randomGateway draws a gateway.
func (r *runner) randomGateway() *gateway { return r.gateways[r.rng.IntN(len(r.gateways))] }

// secondOf returns the statistics of the second in which a request arrived.
func (r *runner) secondOf(req *request) *SecondStats {
	n := int((req.arrivedAt - startupTime) / time.Second)
	for len(r.report.Seconds) <= n {
		r.report.Seconds = append(r.report.Seconds, SecondStats{})
	}
	return &r.report.Seconds[n]
}

// recordServed notes that an attempt of a request was served, and sends some requests again.
func (r *runner) recordServed(req *request) {
	if req.hasKey() && !r.isFinished && r.rng.Float64() < r.scenario.DuplicateShare {
		delay := time.Duration(r.rng.Int64N(int64(maxDuplicateDelay)))
		r.sim.After(delay, func() { r.sendDuplicate(req) })
	}
	if req.isServed {
		return
	}
	req.isServed = true
	r.secondOf(req).Served++
	latency := (r.sim.Elapsed() - req.arrivedAt).Microseconds()
	r.latency.RecordValue(min(max(latency, 1), maxLatency.Microseconds()))
}

// sendDuplicate sends a request that was served again, by any gateway.
func (r *runner) sendDuplicate(req *request) {
	if r.isFinished {
		return
	}
	req.attempts-- // a duplicate takes no attempt away from the caller
	r.randomGateway().send(req)
}
