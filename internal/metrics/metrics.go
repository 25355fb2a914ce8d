// Package metrics shows what a server that routes does as Prometheus metrics, on a listener of its own: tries, further
// tries, budgets and the states of members. Only the program that routes links it, and only --metrics switches it on.
package metrics

import (
	"fmt"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"tillerusher/server"
)

// Serve answers at the address until the process ends; it returns once it listens.
func Serve(s *server.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", Handler(s))
	go http.Serve(l, mux) // ends with the process
	return nil
}

// Handler answers with the metrics of a server.
func Handler(s *server.Server) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{s})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// collector asks the server's loop for its readings at each scrape.
type collector struct{ server *server.Server }

// describe makes the description of a metric.
func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("tillerusher_route_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector: what there is depends on the routes, so nothing is told ahead.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. A server that is ending has no metrics.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	r, ok := c.server.RoutingStats()
	if !ok {
		return
	}
	send := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	for _, counter := range r.Counters {
		send(describe("all_"+counter.Name+"_total", "Counter "+counter.Name+" of the log's counters line."), prometheus.CounterValue, float64(counter.Value))
	}
	for _, p := range r.Pools {
		send(describe("budget", "Further tries that the pool's budget would allow at once.", "pool"), prometheus.GaugeValue, p.RetryBudget, p.Name)
		send(describe("idle_connections", "Connections to members that are kept.", "pool"), prometheus.GaugeValue, float64(p.IdleConns), p.Name)
		for _, m := range p.Members {
			labels := []string{p.Name, m.Addr}
			send(describe("member_tries_total", "Tries sent to the member.", "pool", "member"), prometheus.CounterValue, float64(m.Attempts), labels...)
			send(describe("member_failures_total", "Tries at the member that failed.", "pool", "member"), prometheus.CounterValue, float64(m.Failures), labels...)
			send(describe("member_ejections_total", "Times that the member was ejected.", "pool", "member"), prometheus.CounterValue, float64(m.Ejections), labels...)
			send(describe("member_open", "Tries open at the member.", "pool", "member"), prometheus.GaugeValue, float64(m.InFlight), labels...)
			in := 1.0
			if m.Unavailable {
				in = 0
			}
			send(describe("member_in", "Whether the member may get tries: 1, or 0 while it is out or ejected.", "pool", "member"), prometheus.GaugeValue, in, labels...)
		}
	}
}
