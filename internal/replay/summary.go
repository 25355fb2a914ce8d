package replay

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tillerusher/admission"
	"tillerusher/internal/capture"
)

// Summary counts the attempts of a group by their end status. Latencies are in milliseconds.
type Summary struct {
	Class     string  `json:"class"`
	Tenant    string  `json:"tenant"`
	Attempts  int     `json:"tries"`
	Retries   int     `json:"retries"`
	Served    int     `json:"served"`
	Replayed  int     `json:"reused"`  // part of Served
	OnTime    int     `json:"on_time"` // part of Served
	Rejected  int     `json:"refused"`
	Failed    int     `json:"failed"`
	Other     int     `json:"other"` // cancelled, errored or open
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`      // of the served attempts, from their arrival at the machine to their end
	QueuedP99 float64 `json:"held_p99_ms"` // from the time at which an attempt was read to the start of its run
}

// allGroups is the class name and the tenant name in the summary of all attempts.
const allGroups = "all"

// Summarize returns the summary of all attempts, followed by the summary of each class and tenant in the order of the settings.
func Summarize(attempts []*Attempt, meta capture.Meta, classes []admission.Class) []Summary {
	type group struct{ class, tenant int }
	all, byGroup := newSummaryBuilder(allGroups, allGroups), map[group]*summaryBuilder{}
	var groups []group
	for _, a := range attempts {
		g := group{a.Class, a.Tenant}
		if byGroup[g] == nil {
			byGroup[g] = newSummaryBuilder(nameOf(meta.Classes, a.Class), nameOf(meta.Tenants, a.Tenant))
			groups = append(groups, g)
		}
		byGroup[g].add(a, classes)
		all.add(a, classes)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.tenant, b.tenant))
	})
	summaries := []Summary{all.build()}
	for _, g := range groups {
		summaries = append(summaries, byGroup[g].build())
	}
	return summaries
}

const (
	// maxLatency is the longest latency in the histograms; longer ones are counted as maxLatency. latencyDigits is the
	// precision of the histograms in decimal digits.
	maxLatency    = 10 * time.Minute
	latencyDigits = 3
)

// summaryBuilder computes a summary from attempts.
type summaryBuilder struct {
	summary         Summary
	latency, queued *hdrhistogram.Histogram // microseconds
}

func newSummaryBuilder(class, tenant string) *summaryBuilder {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return &summaryBuilder{summary: Summary{Class: class, Tenant: tenant}, latency: newHistogram(), queued: newHistogram()}
}

// microseconds converts a duration to microseconds, limited to the range of the histograms.
func microseconds(d time.Duration) int64 {
	return min(max(d.Microseconds(), 1), maxLatency.Microseconds())
}

func (b *summaryBuilder) add(attempt *Attempt, classes []admission.Class) {
	summary := &b.summary
	summary.Attempts++
	if attempt.IsRetry {
		summary.Retries++
	}
	if attempt.RunStart > 0 {
		b.queued.RecordValue(microseconds(attempt.RunStart - attempt.ReadAt))
	}
	switch attempt.Status {
	case StatusServed, StatusReplayed:
		summary.Served++
		if attempt.Status == StatusReplayed {
			summary.Replayed++
		}
		if attempt.OnTime(classes) {
			summary.OnTime++
		}
		b.latency.RecordValue(microseconds(attempt.EndAt - attempt.ArrivedAt))
	case StatusRejected:
		summary.Rejected++
	case StatusFailed:
		summary.Failed++
	default:
		summary.Other++
	}
}

// build returns the summary with its percentiles.
func (b *summaryBuilder) build() Summary {
	milliseconds := func(h *hdrhistogram.Histogram, percentile float64) float64 {
		return float64(h.ValueAtQuantile(percentile)) / 1000
	}
	s := b.summary
	s.P50, s.P99 = milliseconds(b.latency, 50), milliseconds(b.latency, 99)
	s.QueuedP99 = milliseconds(b.queued, 99)
	return s
}

// nameOf returns the name of the class or tenant i. If i has no name it returns the number, or "" if names is empty.
func nameOf(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	if len(names) == 0 {
		return ""
	}
	return strconv.Itoa(i)
}
