package loadtest

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a load test. Latencies are those of served requests, in milliseconds, measured from the time at
// which their first attempt was due to be sent.
type Result struct {
	Seed             uint64         `json:"seed"`
	Requests         int            `json:"requests"` // requests whose first attempt was sent
	Attempts         int            `json:"tries"`    // attempts that were sent
	Unsent           int            `json:"unsent"`   // attempts that no connection accepted
	Served           int            `json:"served"`   // attempts, as are the next three
	Rejected         int            `json:"refused"`
	Failed           int            `json:"failed"`
	Lost             int            `json:"lost"`    // attempts whose connection ended before the answer
	ServedShare      float64        `json:"share"`   // share of the requests that were served by any of their attempts
	Repeats          int            `json:"repeats"` // further attempts that were queued for served requests with a key
	LinkCount        int            `json:"links"`   // links that connected to the interpreter
	Seconds          float64        `json:"seconds"`
	Rate             float64        `json:"rate"` // attempts answered per second
	P50              float64        `json:"p50_ms"`
	P99              float64        `json:"p99_ms"`
	P999             float64        `json:"p999_ms"`
	ExitStatus       int            `json:"exit"`
	Violations       []string       `json:"breaches"`               // violations of package invariant's rules, and a nonzero exit status
	Counters         map[string]any `json:"counters"`               // the last counters in the daemon's log
	RestartSeconds   float64        `json:"restart_at_s,omitempty"` // time of the restart, from the start of the load test
	Series           []SeriesPoint  `json:"shares,omitempty"`       // one point per SeriesStep, if the daemon was restarted
	Capture          map[string]any `json:"capture,omitempty"`      // the last summary of its capture in the daemon's log
	DaemonCPUSeconds float64        `json:"daemon_cpu_s"`           // processor time; after a restart, of the second process only
	DaemonPeakKB     int64          `json:"daemon_peak_kb"`         // peak resident memory of that process
}

// SeriesStep is the time that each SeriesPoint covers.
const SeriesStep = 250 * time.Millisecond

// SeriesPoint counts the requests whose first attempt was due to be sent in a step, and how many of these requests were
// served by any of their attempts.
type SeriesPoint struct {
	Requests int `json:"requests"`
	Served   int `json:"served"`
}

const (
	// maxLatency is the maximum latency in the histogram; longer latencies are recorded as maxLatency. latencyDigits is the
	// histogram's precision in decimal digits.
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
	l.histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatency.Microseconds())) // the value is always in range
}

// merge adds the latencies of another histogram.
func (l latencies) merge(other latencies) { l.histogram.Merge(other.histogram) }

// count returns the number of recorded latencies.
func (l latencies) count() int64 { return l.histogram.TotalCount() }

// percentiles returns p50, p99 and p99.9 in milliseconds.
func (l latencies) percentiles() (p50, p99, p999 float64) {
	milliseconds := func(percentile float64) float64 {
		return float64(l.histogram.ValueAtQuantile(percentile)) / 1000
	}
	return milliseconds(50), milliseconds(99), milliseconds(99.9)
}
