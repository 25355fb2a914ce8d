package main

import (
	"fmt"
	"slices"
	"strconv"

	"tillerusher/internal/report"
	"tillerusher/internal/scenario"
)

// newScenarioPage returns a page with the report of a scenario.
func newScenarioPage(spec *scenario.Scenario, result *scenario.Report) report.Page {
	return report.Page{
		Title:    spec.Name + ", seed " + strconv.FormatUint(result.Seed, 10),
		Intro:    spec.Purpose,
		Sections: []report.Section{scenarioResult(spec, result), scenarioIncidents(spec)},
	}
}

// scenarioResult returns the section with the results and the charts.
func scenarioResult(spec *scenario.Scenario, result *scenario.Report) report.Section {
	section := report.Section{
		Title:  "Result",
		Header: []string{"result", "value"},
		Rows: [][]string{
			{"requests", strconv.Itoa(result.Requests)},
			{"served share", fmt.Sprintf("%.3f", result.ServedShare)},
			{"p50", fmt.Sprintf("%.1f ms", result.P50)},
			{"p99", fmt.Sprintf("%.1f ms", result.P99)},
			{"recovered after (-1: never)", fmt.Sprintf("%.0f s", result.RecoverySeconds)},
			{"attempts", strconv.Itoa(result.Attempts)},
			{"rejected", strconv.Itoa(result.Rejected)},
			{"failed", strconv.Itoa(result.Failed)},
			{"lost with their connection", strconv.Itoa(result.Lost)},
			{"not sent", strconv.Itoa(result.Unsent)},
			{"unanswered", strconv.Itoa(result.Unanswered)},
			{"violated invariants", strconv.Itoa(result.ViolationCount)},
			{"expectations not met", strconv.Itoa(len(result.UnmetExpectations))},
		},
		Charts: scenarioCharts(spec, result),
	}
	for _, text := range slices.Concat(result.Violations, result.UnmetExpectations) {
		section.Text += text + ". "
	}
	return section
}

// scenarioCharts returns charts of the served share and the load over time, with the incidents shaded.
func scenarioCharts(spec *scenario.Scenario, result *scenario.Report) []report.Chart {
	share := report.Series{Name: "served share of requests"}
	load := report.Series{Name: "requests"}
	for n, second := range result.Seconds {
		served := float64(second.Served) / float64(max(second.Requests, 1))
		share.Points = append(share.Points, report.Point{X: float64(n), Y: served})
		load.Points = append(load.Points, report.Point{X: float64(n), Y: float64(second.Requests)})
	}
	var shaded []report.Span
	for _, incident := range spec.Incidents {
		shaded = append(shaded, report.Span{From: incident.At.Seconds(), To: (incident.At + incident.Duration).Seconds()})
	}
	return []report.Chart{
		{Title: "Served share", XLabel: "seconds", YLabel: "share", Series: []report.Series{share}, Shaded: shaded},
		{Title: "Load", XLabel: "seconds", YLabel: "requests per second", Series: []report.Series{load}, Shaded: shaded},
	}
}

// scenarioIncidents returns the section with a row for each incident.
func scenarioIncidents(spec *scenario.Scenario) report.Section {
	section := report.Section{Title: "Incidents", Header: []string{"incident", "start", "duration", "server"}}
	for _, incident := range spec.Incidents {
		server := "all"
		if incident.Server > 0 {
			server = strconv.Itoa(incident.Server)
		}
		row := []string{string(incident.Kind), incident.At.String(), incident.Duration.String(), server}
		section.Rows = append(section.Rows, row)
	}
	return section
}
