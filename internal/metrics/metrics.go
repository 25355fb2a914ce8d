// Package metrics exports a router's counters and the state of its pools as Prometheus metrics: attempts, retries, retry
// budgets and the states of members. The metrics are served on a separate listener. Only catalogue-router links this
// package, and only its flag --metrics enables the listener.
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

// path is the URL path of the metrics.
const path = "/metrics"

// namePrefix is the prefix of all metric names.
const namePrefix = "tillerusher_route_"

// Serve listens on a TCP address and serves the router's metrics in the background until the process exits. It returns
// once the listener is open.
func Serve(r *router.Router, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(path, Handler(r))
	go http.Serve(l, mux) // runs until the process exits
	return nil
}

// Handler returns an HTTP handler that serves the router's metrics.
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

// collector implements prometheus.Collector. It requests the stats from the router's event loop at each scrape.
type collector struct{ router *router.Router }

// Describe implements prometheus.Collector. It sends no descriptions, since the set of metrics depends on the routes.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It sends no metrics when the router has ended or does not answer in time.
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

// collectPool sends the metrics of a pool and of its members.
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

// send sends one sample of a metric.
func send(out chan<- prometheus.Metric, desc *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, kind, value, labels...)
}
