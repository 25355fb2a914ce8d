package main

import (
	"fmt"
	"slices"
	"strconv"

	"tillerusher/internal/report"
	"tillerusher/internal/scenario"
)

// newScenarioPage returns the page of a scenario's report.
func newScenarioPage(spec *scenario.Scenario, result *scenario.Report) report.Page {
	return report.Page{
		Title:    spec.Name + ", seed " + strconv.FormatUint(result.Seed, 10),
		Intro:    spec.Purpose,
		Sections: []report.Section{scenarioResult(spec, result), scenarioIncidents(spec)},
	}
}

// scenarioResult is the section with the figures and the charts.
func scenarioResult(spec *scenario.Scenario, result *scenario.Report) report.Section {
	section := report.Section{
		Title:  "Result",
		Header: []string{"what", "figure"},
		Rows: [][]string{
			{"requests", strconv.Itoa(result.Requests)},
			{"share served", fmt.Sprintf("%.3f", result.ServedShare)},
			{"p50", fmt.Sprintf("%.1f ms", result.P50)},
			{"p99", fmt.Sprintf("%.1f ms", result.P99)},
			{"recovered after", fmt.Sprintf("%.0f s", result.RecoverySeconds)},
			{"tries", strconv.Itoa(result.Attempts)},
			{"refused", strconv.Itoa(result.Rejected)},
			{"failed", strconv.Itoa(result.Failed)},
			{"lost with their connection", strconv.Itoa(result.Lost)},
			{"not sent", strconv.Itoa(result.Unsent)},
			{"unanswered", strconv.Itoa(result.Unanswered)},
			{"broken rules", strconv.Itoa(result.ViolationCount)},
			{"expectations that do not hold", strconv.Itoa(len(result.UnmetExpectations))},
		},
		Charts: scenarioCharts(spec, result),
	}
	for _, text := range slices.Concat(result.Violations, result.UnmetExpectations) {
		section.Text += text + ". "
	}
	return section
}

// scenarioCharts are the served share and the load over time, with the incidents shaded.
func scenarioCharts(spec *scenario.Scenario, result *scenario.Report) []report.Chart {
	share := report.Series{Name: "share of requests served"}
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
		{Title: "Share served", XLabel: "seconds", YLabel: "share", Series: []report.Series{share}, Shaded: shaded},
		{Title: "Load", XLabel: "seconds", YLabel: "requests a second", Series: []report.Series{load}, Shaded: shaded},
	}
}

// scenarioIncidents is the section with a row for each incident.
func scenarioIncidents(spec *scenario.Scenario) report.Section {
	section := report.Section{Title: "Incidents", Header: []string{"what", "at", "for", "server"}}
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
