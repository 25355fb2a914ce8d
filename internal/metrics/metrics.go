// Package metrics exports the counters of a router and the state of its pools as Prometheus metrics, on a listener of
// its own: attempts, retries, retry budgets and the states of members. Only catalogue-router links it, and only its flag
// --metrics turns it on.
package metrics

import (
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tillerusher/internal/forward"
	"tillerusher/internal/pool"
	"tillerusher/internal/router"
)

// path is where the metrics are served.
const path = "/metrics"

// namePrefix begins the names of all metrics.
const namePrefix = "tillerusher_route_"

// Serve serves the metrics of a router at an address until the process ends. It returns once it listens.
func Serve(r *router.Router, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(path, Handler(r))
	go http.Serve(l, mux) // ends with the process
	return nil
}

// Handler returns a handler that answers with the metrics of a router.
func Handler(r *router.Router) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{r})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// The metrics of pools and members.
var (
	poolBudget      = describe("budget", "Retries that the pool's budget would allow at once.", "pool")
	poolIdleConns   = describe("idle_connections", "Connections to members that are kept.", "pool")
	memberAttempts  = describe("member_tries_total", "Attempts sent to the member.", "pool", "member")
	memberFailures  = describe("member_failures_total", "Attempts at the member that failed.", "pool", "member")
	memberEjections = describe("member_ejections_total", "Times that the member was ejected.", "pool", "member")
	memberInFlight  = describe("member_open", "Attempts in flight at the member.", "pool", "member")
	memberAvailable = describe("member_in", "Whether the member may get attempts: 1, or 0 while it is unavailable or ejected.", "pool", "member")
)

// describe returns the description of a metric.
func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namePrefix+name, help, labels, nil)
}

// collector asks the router's loop for its stats at each scrape.
type collector struct{ router *router.Router }

// Describe implements prometheus.Collector. It describes nothing: which metrics there are depends on the routes.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. A router that is ending has no metrics.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	stats, ok := c.router.Stats()
	if !ok {
		return
	}
	for _, counter := range stats.Counters {
		desc := describe(counterMetric(counter.Name), "Counter "+counter.Name+" of the log's counters line.")
		send(out, desc, prometheus.CounterValue, float64(counter.Value))
	}
	for _, p := range stats.Pools {
		collectPool(out, p)
	}
}

// collectPool sends the metrics of a pool and its members.
func collectPool(out chan<- prometheus.Metric, p forward.PoolState) {
	send(out, poolBudget, prometheus.GaugeValue, p.RetryBudget, p.Name)
	send(out, poolIdleConns, prometheus.GaugeValue, float64(p.IdleConns), p.Name)
	for _, m := range p.Members {
		collectMember(out, p.Name, m)
	}
}

// collectMember sends the metrics of a member.
func collectMember(out chan<- prometheus.Metric, poolName string, m pool.MemberStatus) {
	labels := []string{poolName, m.Addr}
	available := 1.0
	if m.Unavailable {
		available = 0
	}
	send(out, memberAttempts, prometheus.CounterValue, float64(m.Attempts), labels...)
	send(out, memberFailures, prometheus.CounterValue, float64(m.Failures), labels...)
	send(out, memberEjections, prometheus.CounterValue, float64(m.Ejections), labels...)
	send(out, memberInFlight, prometheus.GaugeValue, float64(m.InFlight), labels...)
	send(out, memberAvailable, prometheus.GaugeValue, available, labels...)
}

// send sends one metric.
func send(out chan<- prometheus.Metric, desc *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, kind, value, labels...)
}
