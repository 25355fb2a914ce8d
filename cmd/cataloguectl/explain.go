package main

import (
	"fmt"
	"regexp"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// named is what Request-Ids, keys and the module's numbers look like.
var named = regexp.MustCompile(`^(#[0-9]+|[0-9a-fA-F]{16}|[0-9a-fA-F]{32})$`)

func explainCommand() *cobra.Command {
	var around time.Duration
	c := &cobra.Command{Use: "explain {ID | KEY | TIME} CAPTURE...", Short: "Say why a request ended as it did, or what the module knew at a time",
		Long: "explain replays a capture and tells of all tries with a Request-Id (16 hex digits), a key (32) or the module's\n" +
			"number (#N) why they were refused, failed or late: what the module knew and which requests stood before them.\n" +
			"For a time (14:05:03.2 UTC on the capture's day, RFC 3339, or 2m3s of the module's clock) it tells what the module\n" +
			"knew then and what it decided around it." + statuses,
		Example: "  cataloguectl explain 9b1f03aa5c7e2d41 DIR\n  cataloguectl explain '#4711' DIR --json\n  cataloguectl explain 14:05:03 DIR --around 20ms",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := newPrinter(cmd)
			segments, _, err := open(p, args[1:])
			if err != nil {
				return err
			}
			if !named.MatchString(args[0]) {
				return explainTime(p, segments, args[0], around)
			}
			stories, err := replay.Explain(segments, args[0])
			if err != nil {
				return inputError{err}
			}
			for i, s := range stories {
				if i > 0 {
					p.line("")
				}
				for _, line := range s.Lines() {
					p.line("%s", line)
				}
				if err := p.object(s); err != nil {
					return err
				}
			}
			return nil
		}}
	c.Flags().DurationVar(&around, "around", 20*time.Millisecond, "for a time: tell what was decided so long before and after it")
	return c
}

// explainTime tells what the module knew at a time.
func explainTime(p printer, segments []*capture.Segment, text string, around time.Duration) error {
	segments, at, err := parseTime(segments, text)
	if err != nil {
		return err
	}
	m, err := replay.InspectAt(segments, at, around)
	if err != nil {
		return inputError{err}
	}
	p.line("At %s UTC (%v of the module's clock):", m.Unix.UTC().Format("15:04:05.000"), m.At.Round(time.Millisecond))
	for _, line := range replay.DescribeState(&m.State) {
		p.line("  %s", line)
	}
	p.line("Decided within %v:", around)
	for _, d := range m.Decisions {
		p.line("  %+v  %s (#%d) %s", (d.At - m.At).Round(100*time.Microsecond), d.WireID, d.ID, d.Text)
	}
	return p.object(m)
}

// parseTime reads a time and finds the start of the server that it belongs to.
func parseTime(segments []*capture.Segment, text string) ([]*capture.Segment, time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return replay.SegmentsOfRun(segments, ""), d, nil
	}
	unix, err := time.Parse(time.RFC3339Nano, text)
	if err != nil && len(segments) > 0 {
		var clock time.Time
		if clock, err = time.Parse("15:04:05", text); err != nil {
			clock, err = time.Parse("15:04", text)
		}
		day := segments[len(segments)-1].Meta.UnixTime.UTC().Truncate(24 * time.Hour)
		unix = day.Add(clock.Sub(clock.Truncate(24 * time.Hour)))
	}
	if err != nil {
		return nil, 0, fmt.Errorf("%q is no Request-Id, key, #number or time", text)
	}
	of, at, err := replay.Locate(segments, unix)
	if err != nil {
		return nil, 0, inputError{err}
	}
	return of, at, nil
}
