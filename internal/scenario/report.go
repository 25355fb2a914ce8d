package scenario

import (
	"fmt"
	"time"

	"tillerusher/internal/simnet"
)

const (
	// maxNamedViolations is the maximum number of violations that a report lists; further ones are only counted.
	maxNamedViolations = 20
	// recoveredShare is the fraction of the served share before the first incident that a recovered cluster reaches.
	recoveredShare = 0.95
	// notRecovered is the value of RecoverySeconds if the cluster did not recover.
	notRecovered = -1
)

// SecondStats counts the requests that arrived in one second, and those of them that were served.
type SecondStats struct {
	Requests int `json:"requests"`
	Served   int `json:"served"` // served by any of their attempts
}

// share returns the share of the requests that were served.
func (s SecondStats) share() float64 { return float64(s.Served) / float64(max(s.Requests, 1)) }

// Report is the result of a scenario. P50 and P99 are latencies of served requests from their arrival, in milliseconds.
type Report struct {
	Scenario          string        `json:"scenario"`
	Seed              uint64        `json:"seed"`
	Requests          int           `json:"requests"`
	Attempts          int           `json:"tries"`
	Served            int           `json:"served"` // attempts, as in the five fields below
	Rejected          int           `json:"refused"`
	Failed            int           `json:"failed"`
	Lost              int           `json:"lost"` // attempts lost with their connection
	Unsent            int           `json:"unsent"`
	Unanswered        int           `json:"unanswered"`
	Runs              int           `json:"runs"`
	ServedShare       float64       `json:"share"` // share of the requests that were served
	P50               float64       `json:"p50_ms"`
	P99               float64       `json:"p99_ms"`
	RecoverySeconds   float64       `json:"recovered_s"` // after the last incident; -1 if the cluster did not recover, 0 without incidents
	Violations        []string      `json:"breaches"`    // the first maxNamedViolations
	ViolationCount    int           `json:"breaches_in_all"`
	UnmetExpectations []string      `json:"missed"`
	Seconds           []SecondStats `json:"seconds"`
	Simulation        simnet.Stats  `json:"world"`
}

// HasViolations reports whether a rule was violated. An unanswered attempt is a violation.
func (r *Report) HasViolations() bool { return r.ViolationCount > 0 || r.Unanswered > 0 }

// addViolation counts a violation, and lists it unless there are maxNamedViolations already.
func (r *Report) addViolation(at time.Duration, text string) {
	r.ViolationCount++
	if len(r.Violations) < maxNamedViolations {
		r.Violations = append(r.Violations, fmt.Sprintf("at %v: %s", at, text))
	}
}

// buildReport completes the report after the last phase.
func (r *runner) buildReport() *Report {
	report := r.report
	report.Requests = len(r.requests)
	report.ServedShare = float64(r.countServed()) / float64(max(report.Requests, 1))
	report.P50 = r.latencyQuantile(50)
	report.P99 = r.latencyQuantile(99)
	report.Unanswered = r.countUnanswered()
	for _, n := range r.nodes {
		if hasExited, _ := n.process.Exited(); !hasExited {
			r.recordViolation("%s has not ended", n.name())
		}
	}
	for _, violation := range r.checker.Violations(r.sim.Now()) {
		r.recordViolation("%s", violation)
	}
	report.Simulation = r.sim.Stats
	report.RecoverySeconds = recoverySeconds(r.scenario, report.Seconds)
	report.checkExpectations(r.scenario.Expect)
	return report
}

// latencyQuantile returns a latency in milliseconds; q is in percent.
func (r *runner) latencyQuantile(q float64) float64 {
	return float64(r.latency.ValueAtQuantile(q)) / 1000
}

// countServed returns how many requests were served by any of their attempts.
func (r *runner) countServed() int {
	served := 0
	for _, req := range r.requests {
		if req.isServed {
			served++
		}
	}
	return served
}

// countUnanswered returns the number of attempts without an answer. Attempts on connections that are read slowly do not
// count, because their answers may not have been read yet.
func (r *runner) countUnanswered() int {
	unanswered := len(r.inFlight)
	for _, g := range r.gateways {
		for _, c := range g.conns {
			if c.readsSlowly {
				unanswered -= len(c.inFlight)
			}
		}
	}
	return unanswered
}

// checkExpectations lists the expectations that the result does not meet.
func (r *Report) checkExpectations(expect Expectations) {
	if r.ServedShare < expect.MinServedShare {
		text := fmt.Sprintf("a share of %.3f, expected at least %.3f", r.ServedShare, expect.MinServedShare)
		r.UnmetExpectations = append(r.UnmetExpectations, text)
	}
	isLate := r.RecoverySeconds < 0 || r.RecoverySeconds > expect.MaxRecoveryTime.Seconds()
	if expect.MaxRecoveryTime > 0 && isLate {
		text := fmt.Sprintf("recovered after %.0f s, expected within %v", r.RecoverySeconds, expect.MaxRecoveryTime)
		r.UnmetExpectations = append(r.UnmetExpectations, text)
	}
}

// recoverySeconds returns the number of full seconds after the end of the last incident until the served share reached
// recoveredShare of the share before the first incident, or notRecovered if it did not. Without incidents it returns 0.
func recoverySeconds(scenario *Scenario, seconds []SecondStats) float64 {
	if len(scenario.Incidents) == 0 {
		return 0
	}
	first := scenario.Duration
	last := time.Duration(0)
	for _, incident := range scenario.Incidents {
		first = min(first, incident.At)
		last = max(last, incident.end())
	}
	var before SecondStats
	for n, second := range seconds {
		if time.Duration(n+1)*time.Second <= first {
			before.Requests += second.Requests
			before.Served += second.Served
		}
	}
	from := int((last + time.Second - 1) / time.Second) // the first full second after the last incident
	for n := from; n < len(seconds); n++ {
		if seconds[n].Requests > 0 && seconds[n].share() >= recoveredShare*before.share() {
			return float64(n - from)
		}
	}
	return notRecovered
}
