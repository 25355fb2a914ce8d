package metrics

import "strings"

// metricNames maps counters to metrics where the two names differ. Dashboards and alerts refer to the metric names, so
// these must not change. A key is the counter's name in the log, a value is the middle part of the metric's name.
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

// The prefixes of the numbered counters of retry decisions and of their metrics.
const (
	retryDecisionCounter = "retry_decision_"
	retryDecisionMetric  = "verdict_"
)

// counterMetric returns the metric name of a counter, without namePrefix. counter is the counter's name in the log.
func counterMetric(counter string) string {
	name, differs := metricNames[counter]
	if !differs {
		name = strings.Replace(counter, retryDecisionCounter, retryDecisionMetric, 1)
	}
	return "all_" + name + "_total"
}
