package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a load test. Latencies are in milliseconds, of served requests from the time at which their first
// attempt was meant to be sent.
type Result struct {
	Seed             uint64         `json:"seed"`
	Requests         int            `json:"requests"` // whose first attempt was sent
	Attempts         int            `json:"tries"`    // that were sent
	Unsent           int            `json:"unsent"`   // attempts for which no connection had room
	Served           int            `json:"served"`   // attempts
	Rejected         int            `json:"refused"`
	Failed           int            `json:"failed"`
	Lost             int            `json:"lost"`    // attempts whose connection ended
	ServedShare      float64        `json:"share"`   // of the requests, served by any of their attempts
	Repeats          int            `json:"repeats"` // attempts of requests with a key that were served before
	LinkCount        int            `json:"links"`   // links that the interpreter saw
	Seconds          float64        `json:"seconds"`
	Rate             float64        `json:"rate"` // attempts answered per second
	P50              float64        `json:"p50_ms"`
	P99              float64        `json:"p99_ms"`
	P999             float64        `json:"p999_ms"`
	ExitStatus       int            `json:"exit"`
	Violations       []string       `json:"breaches"` // of package invariant's rules
	Counters         map[string]any `json:"counters"` // the daemon's own, at its end
	RestartSeconds   float64        `json:"restart_at_s,omitempty"`
	Series           []SeriesPoint  `json:"shares,omitempty"`  // by SeriesStep, where the daemon was restarted
	Capture          map[string]any `json:"capture,omitempty"` // the daemon's own summary of its capture
	DaemonCPUSeconds float64        `json:"daemon_cpu_s"`
	DaemonPeakKB     int64          `json:"daemon_peak_kb"`
}

// SeriesStep is the time that each SeriesPoint covers.
const SeriesStep = 250 * time.Millisecond

// SeriesPoint counts the requests whose first attempt was meant to be sent in a step, and those of them that were served by
// any of their attempts.
type SeriesPoint struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
}

const (
	// maxLatency is the longest latency that the histogram holds, and latencyDigits the precision in decimal digits.
	maxLatency    = time.Minute
	latencyDigits = 3
)

// latencies is a histogram of latencies.
type latencies struct{ histogram *hdrhistogram.Histogram }

// newLatencies returns an empty histogram.
func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// record adds one latency.
func (l latencies) record(latency time.Duration) {
	l.histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds())) // never out of range
}

// merge adds all of another histogram's latencies.
func (l latencies) merge(other latencies) { l.histogram.Merge(other.histogram) }

// count returns how many latencies were recorded.
func (l latencies) count() int64 { return l.histogram.TotalCount() }

// percentiles returns p50, p99 and p99.9 in milliseconds.
func (l latencies) percentiles() (p50, p99, p999 float64) {
	milliseconds := func(percentile float64) float64 {
		return float64(l.histogram.ValueAtQuantile(percentile)) / 1000
	}
	return milliseconds(50), milliseconds(99), milliseconds(99.9)
}
