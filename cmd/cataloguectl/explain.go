package main

import (
	"fmt"
	"regexp"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// requestPattern matches the identifiers of a request: #number of the decision module, a Request-Id or an idempotency key.
var requestPattern = regexp.MustCompile(`^(#[0-9]+|[0-9a-fA-F]{16}|[0-9a-fA-F]{32})$`)

// explainOptions are the flags of explain.
type explainOptions struct {
	around time.Duration
}

func newExplainCommand() *cobra.Command {
	var opts explainOptions
	cmd := &cobra.Command{
		Use:   "explain {ID | KEY | TIME} CAPTURE...",
		Short: "Explain the outcome of a request, or print the module's state at a time",
		Long: "explain replays a capture. For a Request-Id (16 hex digits), an idempotency key (32 hex digits) or the module's number\n" +
			"of a request (#N), it explains why all its attempts were rejected, failed or late: it prints the module's state and\n" +
			"the requests ahead of them. For a time (14:05:03.2 in UTC on the day of the capture, RFC 3339, or 2m3s on the module's\n" +
			"clock), it prints the module's state at that time and the decisions around it." + statusHelp,
		Example: "  cataloguectl explain 9b1f03aa5c7e2d41 DIR\n  cataloguectl explain '#4711' DIR --json\n" +
			"  cataloguectl explain 14:05:03 DIR --around 20ms",
		Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return opts.run(newPrinter(cmd), args[0], args[1:]) },
	}
	cmd.Flags().DurationVar(&opts.around, "around", 20*time.Millisecond,
		"with TIME: print the decisions that are at most this long before or after TIME")
	return cmd
}

func (o *explainOptions) run(out printer, subject string, paths []string) error {
	segments, _, err := openCaptures(out, paths)
	if err != nil {
		return err
	}
	if requestPattern.MatchString(subject) {
		return explainRequest(out, segments, subject)
	}
	return o.explainTime(out, segments, subject)
}

// explainRequest prints the traces of all attempts of the request with the ID.
func explainRequest(out printer, segments []*capture.Segment, id string) error {
	traces, err := replay.Explain(segments, id)
	if err != nil {
		return inputError{err}
	}
	for n, trace := range traces {
		if n > 0 {
			out.linef("")
		}
		for _, line := range trace.Lines() {
			out.linef("%s", line)
		}
		if err := out.encode(trace); err != nil {
			return err
		}
	}
	return nil
}

// explainTime prints the module's state at a time and the decisions around it.
func (o *explainOptions) explainTime(out printer, segments []*capture.Segment, text string) error {
	segments, at, err := parseTime(segments, text)
	if err != nil {
		return err
	}
	state, err := replay.InspectAt(segments, at, o.around)
	if err != nil {
		return inputError{err}
	}
	out.linef("State at %s UTC (%v on the module's clock):", state.UnixTime.UTC().Format("15:04:05.000"), state.At.Round(time.Millisecond))
	for _, line := range replay.DescribeState(&state.State) {
		out.linef("  %s", line)
	}
	out.linef("Decisions within %v of that time:", o.around)
	for _, d := range state.Decisions {
		out.linef("  %+v  %s (#%d) %s", (d.At - state.At).Round(100*time.Microsecond), d.WireID, d.ID, d.Text)
	}
	return out.encode(state)
}

// parseTime parses a time. It returns the segments of the server's run that includes the time, and the time on the module's clock.
func parseTime(segments []*capture.Segment, text string) ([]*capture.Segment, time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return replay.SegmentsOfRun(segments, ""), d, nil
	}
	unix, err := time.Parse(time.RFC3339Nano, text)
	if err != nil && len(segments) > 0 {
		unix, err = parseTimeOfDay(text, segments[len(segments)-1].Meta.UnixTime)
	}
	if err != nil {
		return nil, 0, fmt.Errorf("%q is not a Request-Id, key, #number or time", text)
	}
	run, at, err := replay.Locate(segments, unix)
	if err != nil {
		return nil, 0, inputError{err}
	}
	return run, at, nil
}

// parseTimeOfDay parses a time of day in UTC, such as 14:05:03.2 or 14:05, on the given day.
func parseTimeOfDay(text string, day time.Time) (time.Time, error) {
	clock, err := time.Parse("15:04:05", text)
	if err != nil {
		clock, err = time.Parse("15:04", text)
	}
	if err != nil {
		return time.Time{}, err
	}
	sinceMidnight := clock.Sub(clock.Truncate(24 * time.Hour))
	return day.UTC().Truncate(24 * time.Hour).Add(sinceMidnight), nil
}
