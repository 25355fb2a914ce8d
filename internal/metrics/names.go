package metrics

import "strings"

// metricNames keeps the names of metrics whose counters have other names in the log: dashboards and alerts use the
// metrics' names, so they must not change. Keys are the counters' names, values the middle part of the metrics' names.
var metricNames = map[string]string{
	"coalesced":                "repeats",
	"connection_timeouts":      "unfinished",
	"connections_evicted":      "made_room",
	"connections_rejected":     "turned_away",
	"direct_responses":         "direct",
	"health_checks":            "checks",
	"health_checks_failed":     "checks_bad",
	"load_report_errors":       "report_errors",
	"load_reports":             "reports",
	"member_attempts":          "member_tries",
	"member_invalid_responses": "member_invalid",
	"member_rejected":          "member_refused",
	"open_requests":            "open",
	"protocol_errors":          "broken",
	"rejected":                 "refused",
	"rejections_prevented":     "refused_ran",
	"replayed":                 "reused",
	"requests_lost":            "lost",
	"results_evicted":          "results_dropped",
	"runs_failed":              "errored",
	"runs_finished":            "ended",
	"runs_not_started":         "moot",
	"runs_stopped":             "stopped",
	"second_runs_prevented":    "ran_twice",
}

// The counters of retry decisions are numbered, and so are their metrics.
const (
	retryDecisionCounter = "retry_decision_"
	retryDecisionMetric  = "verdict_"
)

// counterMetric returns the name of the metric for a counter of the log.
func counterMetric(counter string) string {
	word, isPinned := metricNames[counter]
	if !isPinned {
		word = strings.Replace(counter, retryDecisionCounter, retryDecisionMetric, 1)
	}
	return "all_" + word + "_total"
}
