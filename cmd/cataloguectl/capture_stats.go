package main

import (
	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

func newCaptureStatsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "stats CAPTURE...",
		Short:   "Count the outcomes of attempts by class and tenant",
		Example: "  cataloguectl capture stats DIR\n  cataloguectl capture stats --json DIR",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(printRunStats),
	}
}

// printRunStats prints the statistics of each run of a server.
func printRunStats(out printer, segments []*capture.Segment, _ int) error {
	for n, s := range segments {
		if n > 0 && s.Meta.Run == segments[n-1].Meta.Run {
			continue
		}
		if err := printStats(out, replay.SegmentsOfRun(segments, s.Meta.Run)); err != nil {
			return err
		}
	}
	return nil
}

// runStats is the JSON form of the statistics of one run of a server.
type runStats struct {
	Meta    capture.Meta     `json:"meta"`
	Tallies []replay.Summary `json:"tallies"`
}

// printStats prints the statistics of one run of a server. segments must be the segments of that run.
func printStats(out printer, segments []*capture.Segment) error {
	settings, err := replay.RecordedSettings(segments)
	if err != nil {
		return inputError{err}
	}
	attempts, err := replay.RecordedAttempts(segments, settings.Cores)
	if err != nil {
		return inputError{err}
	}
	meta := segments[0].Meta
	stats := runStats{meta, replay.Summarize(attempts, meta, settings.Classes)}
	out.linef("%s, started %s UTC", meta.Server, meta.UnixTime.UTC().Format("2006-01-02 15:04:05"))
	out.linef("%-16s %-12s %8s %7s %7s %7s %8s %7s %9s %9s %12s", "class", "tenant", "attempts", "served", "reused", "on time",
		"rejected", "failed", "p50 ms", "p99 ms", "queue p99 ms")
	for _, s := range stats.Tallies {
		out.linef("%-16s %-12s %8d %7d %7d %7d %8d %7d %9.1f %9.1f %12.1f", s.Class, s.Tenant, s.Attempts, s.Served, s.Replayed,
			s.OnTime, s.Rejected, s.Failed, s.P50, s.P99, s.QueuedP99)
	}
	return out.encode(stats)
}
