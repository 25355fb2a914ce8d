package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"tillerusher/internal/clustersim"
	"tillerusher/internal/report"
)

// minCapacity is the least capacity, in core seconds per second, by which offered work is divided, so that the load of a cluster
// without capacity is finite.
const minCapacity = 1e-9

// simulationPage builds a page about simulations of one cluster. results has one simulation for each of policies.
type simulationPage struct {
	config   clustersim.Config
	policies []string
	results  []*clustersim.Result
}

// build returns the page.
func (s simulationPage) build() report.Page {
	return report.Page{
		Title:    "Simulation of " + s.config.Name,
		Intro:    s.intro(),
		Sections: []report.Section{s.summary(), s.classes(), s.outcomes(), s.rejections()},
	}
}

// intro returns a description of the cluster and its incidents.
func (s simulationPage) intro() string {
	var incidents []string
	for _, incident := range s.config.Incidents {
		incidents = append(incidents, incident.String())
	}
	incidents = append(incidents, "no further incidents")
	return fmt.Sprintf("%d servers of %d cores, incidents (shaded): %s", s.config.Servers.Count, s.config.Servers.Cores,
		strings.Join(incidents, "; "))
}

// summary returns the section with a row for each policy and with the charts.
func (s simulationPage) summary() report.Section {
	section := report.Section{
		Title: "Result",
		Header: []string{"policy", "score", "goodput share", "worst 10 s", "p50 ms", "p99 ms", "wasted work",
			"attempts per request", "recovered after", "violated invariants"},
		Charts: s.charts(),
	}
	for n, r := range s.results {
		violations := 0
		for _, count := range r.Violations {
			violations += count
		}
		section.Rows = append(section.Rows, []string{
			s.policies[n],
			formatFixed(r.Score, 3),
			formatFixed(r.GoodputShare, 3),
			formatFixed(r.WorstWindowShare, 3),
			formatFixed(r.P50, 0),
			formatFixed(r.P99, 0),
			formatFixed(r.WastedWork, 3),
			fmt.Sprintf("%.2f", float64(r.Attempts)/float64(max(r.Requests, 1))),
			formatRecovery(r.Recovery),
			strconv.Itoa(violations),
		})
	}
	return section
}

// formatRecovery formats the time from the end of the last incident to the recovery, which is "-" without incidents.
func formatRecovery(r clustersim.Recovery) string {
	switch {
	case !r.HadIncidents:
		return "-"
	case !r.Recovered:
		return "never"
	}
	return fmt.Sprintf("%.0f s", r.RecoverySeconds)
}

// classes returns the section with a row for each class and tenant.
func (s simulationPage) classes() report.Section {
	section := report.Section{
		Title:  "Classes and tenants",
		Header: []string{"policy", "class or tenant", "requests", "goodput share", "p50 ms", "p99 ms"},
	}
	for n, r := range s.results {
		for _, group := range append(slices.Clone(r.Classes), r.Tenants...) {
			section.Rows = append(section.Rows, []string{
				s.policies[n],
				group.Name,
				strconv.Itoa(group.Requests),
				formatFixed(group.GoodputShare, 3),
				formatFixed(group.P50, 0),
				formatFixed(group.P99, 0),
			})
		}
	}
	return section
}

// outcomes returns the section with a row for each outcome of attempts.
func (s simulationPage) outcomes() report.Section {
	section := report.Section{Title: "Outcomes of attempts", Header: []string{"policy", "outcome", "attempts"}}
	for n, r := range s.results {
		for _, text := range strings.Split(formatCounts(r.AttemptOutcomes), ", ") {
			space := strings.LastIndexByte(text, ' ')
			section.Rows = append(section.Rows, []string{s.policies[n], text[:max(space, 0)], text[space+1:]})
		}
	}
	return section
}

// rejections returns the section with a row for each reason of rejections.
func (s simulationPage) rejections() report.Section {
	section := report.Section{Title: "Rejections by reason", Header: []string{"policy", "reason", "rejections"}}
	for n, r := range s.results {
		for _, reason := range slices.Sorted(maps.Keys(r.RejectReasons)) {
			section.Rows = append(section.Rows, []string{s.policies[n], reason, strconv.Itoa(r.RejectReasons[reason])})
		}
	}
	return section
}

// charts returns the four charts over time.
func (s simulationPage) charts() []report.Chart {
	capacity := max(s.config.Capacity()*meanWork(s.results), minCapacity)
	return []report.Chart{
		s.shareChart(),
		s.chart("Offered work relative to the capacity of the cluster", "load", func(second clustersim.SecondStats) float64 {
			return second.OfferedWork / capacity
		}),
		s.chart("Attempts that ended", "attempts per second", func(second clustersim.SecondStats) float64 { return float64(second.Attempts) }),
		s.chart("Rejections", "rejections per second", func(second clustersim.SecondStats) float64 { return float64(second.Rejected) }),
	}
}

// shareChart returns the chart of the goodput share over time.
func (s simulationPage) shareChart() report.Chart {
	return s.chart("Goodput share of the offered weight", "share", func(second clustersim.SecondStats) float64 {
		if second.OfferedWeight == 0 {
			return 1
		}
		return second.GoodputWeight / second.OfferedWeight
	})
}

// chart returns a chart of one value per second for each policy, with the incidents shaded.
func (s simulationPage) chart(title, yLabel string, value func(clustersim.SecondStats) float64) report.Chart {
	chart := report.Chart{Title: title, XLabel: "seconds", YLabel: yLabel}
	for _, incident := range s.config.Incidents {
		end := min((incident.Start + incident.Duration).Seconds(), s.config.Duration.Seconds())
		chart.Shaded = append(chart.Shaded, report.Span{From: incident.Start.Seconds(), To: end})
	}
	for n, r := range s.results {
		series := report.Series{Name: s.policies[n]}
		for i, second := range r.Timeline {
			series.Points = append(series.Points, report.Point{X: float64(i), Y: value(second)})
		}
		chart.Series = append(chart.Series, series)
	}
	return chart
}

// meanWork returns the mean work, in core seconds, of the requests that were generated in all runs.
func meanWork(results []*clustersim.Result) float64 {
	work, requests := 0.0, 0
	for _, r := range results {
		for _, second := range r.Timeline {
			work += second.OfferedWork
		}
		requests += r.Requests
	}
	return work / float64(max(requests, 1))
}

// writeTimeline writes the values of each second as CSV. The column names are part of the file format.
func writeTimeline(out io.Writer, policies []string, results []*clustersim.Result) error {
	rows := [][]string{{"policy", "second", "asked", "earned", "work", "tries", "served", "refused", "failed"}}
	for n, r := range results {
		for i, second := range r.Timeline {
			rows = append(rows, []string{
				policies[n],
				strconv.Itoa(i),
				fmt.Sprint(second.OfferedWeight),
				fmt.Sprint(second.GoodputWeight),
				fmt.Sprint(second.OfferedWork),
				strconv.Itoa(second.Attempts),
				strconv.Itoa(second.Served),
				strconv.Itoa(second.Rejected),
				strconv.Itoa(second.Failed),
			})
		}
	}
	return csv.NewWriter(out).WriteAll(rows)
}
