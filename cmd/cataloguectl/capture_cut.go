package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

func statsCommand() *cobra.Command {
	return &cobra.Command{Use: "stats CAPTURE...", Short: "Sum up how requests ended, by class and tenant",
		Example: "  cataloguectl capture stats DIR\n  cataloguectl capture stats --json DIR",
		Args:    cobra.MinimumNArgs(1),
		RunE: onCaptures(func(p printer, segments []*capture.Segment, _ int) error {
			for i, s := range segments {
				if i > 0 && s.Meta.Run == segments[i-1].Meta.Run {
					continue
				}
				if err := stats(p, replay.SegmentsOfRun(segments, s.Meta.Run)); err != nil {
					return err
				}
			}
			return nil
		})}
}

// stats sums up one start of the server.
func stats(p printer, segments []*capture.Segment) error {
	set, err := replay.RecordedSettings(segments)
	if err != nil {
		return inputError{err}
	}
	outcomes, err := replay.RecordedAttempts(segments, set.Cores)
	if err != nil {
		return inputError{err}
	}
	m := segments[0].Meta
	tallies := replay.Summarize(outcomes, m, set.Classes)
	p.line("%s, started %s UTC", m.Server, m.UnixTime.UTC().Format("2006-01-02 15:04:05"))
	p.line("%-16s %-12s %7s %7s %7s %7s %7s %7s %9s %9s %9s", "class", "tenant", "tries", "served", "reused", "on time",
		"refused", "failed", "p50 ms", "p99 ms", "held p99")
	for _, t := range tallies {
		p.line("%-16s %-12s %7d %7d %7d %7d %7d %7d %9.1f %9.1f %9.1f", t.Class, t.Tenant, t.Attempts, t.Served, t.Replayed,
			t.OnTime, t.Rejected, t.Failed, t.P50, t.P99, t.QueuedP99)
	}
	return p.object(struct {
		Meta    capture.Meta     `json:"meta"`
		Tallies []replay.Summary `json:"tallies"`
	}{m, tallies})
}

func cutCommand() *cobra.Command {
	var span replay.Span
	var around, out, comment string
	var redecide bool
	c := &cobra.Command{Use: "cut CAPTURE... -o FILE", Short: "Cut out the smallest capture that still replays the same",
		Long: "cut takes a part of a capture, by the module's clock or around all tries of a request, from the last moment\n" +
			"between two rounds before it to the end of its last round, with the state at its start. With --redecide the\n" +
			"events are kept and this program's own decisions take the place of the recorded ones." + statuses,
		Example: "  cataloguectl capture cut DIR --around 9b1f03aa5c7e2d41 -o complaint.capture\n" +
			"  cataloguectl capture cut DIR --from 2m --to 2m30s -o half-minute.capture",
		Args: cobra.MinimumNArgs(1),
		RunE: onCaptures(func(p printer, segments []*capture.Segment, _ int) error {
			segments = replay.SegmentsOfRun(segments, "")
			if around != "" {
				stories, err := replay.Explain(segments, around)
				if err != nil {
					return inputError{err}
				}
				span = replay.SpanOf(stories)
			} else if span.To == 0 {
				span.To = 1<<63 - 1
			}
			piece, err := cut(segments, span, redecide)
			if err != nil {
				return inputError{err}
			}
			return write(p, piece, out, comment)
		})}
	c.Flags().DurationVar(&span.From, "from", 0, "first time of the module's clock")
	c.Flags().DurationVar(&span.To, "to", 0, "last time of the module's clock; 0 is the end")
	c.Flags().StringVar(&around, "around", "", "Request-Id, key or #number of a request")
	c.Flags().BoolVar(&redecide, "redecide", false, "take this program's decisions in place of the recorded ones")
	outputFlags(c, &out, &comment)
	return c
}

func outputFlags(c *cobra.Command, out, comment *string) {
	c.Flags().StringVarP(out, "output", "o", "", "the file to write, which must not exist")
	c.Flags().StringVar(comment, "comment", "", "what the piece is, kept in it")
	c.MarkFlagRequired("output") // fails only for a flag that is not there
}

// cut takes a piece of a capture.
func cut(segments []*capture.Segment, span replay.Span, redecide bool) (*replay.Excerpt, error) {
	if !redecide {
		return replay.Cut(segments, span)
	}
	piece, err := replay.Join(segments, span)
	if err != nil {
		return nil, err
	}
	return piece.Replay(nil)
}

// write writes a piece and says what is in it.
func write(p printer, piece *replay.Excerpt, out, comment string) error {
	if err := piece.Write(out, comment); err != nil {
		return inputError{err}
	}
	s, err := capture.ReadSegment(out)
	if err != nil {
		return inputError{err}
	}
	i, err := describe(s)
	if err != nil {
		return inputError{err}
	}
	p.line("%s: %d records over %v, %d B", out, i.Records, (i.Until - i.Meta.ModuleTime).Round(time.Millisecond), i.Bytes)
	return p.object(i)
}

func shrinkCommand() *cobra.Command {
	var out, comment, keep string
	c := &cobra.Command{Use: "shrink FILE -o FILE --keep PREDICATE", Short: "Drop events as long as something still shows",
		Long: "shrink drops requests and timers from a piece as long as a predicate holds when the events are fed to this\n" +
			"program's module, and writes what is left with this program's decisions. The predicates:\n" +
			"  refused:N, failed:N, run:N  the module's request N is refused, failed or run\n" +
			"  log:TEXT                    the module logs a line with the text\n" +
			"  jam:500ms                   for so long requests are held and none runs, though nothing is stalled" + statuses,
		Example: "  cataloguectl capture shrink complaint.capture --keep refused:4711 -o small.capture",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := newPrinter(cmd)
			predicate, err := replay.ParsePredicate(keep)
			if err != nil {
				return err
			}
			segments, _, err := open(p, args)
			if err != nil {
				return err
			}
			piece, err := replay.Join(segments, replay.Span{})
			if err != nil {
				return inputError{err}
			}
			small, runs, err := replay.Shrink(piece, predicate)
			if errors.Is(err, replay.ErrNotMatched) {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
				return errFound
			}
			if err != nil {
				return inputError{err}
			}
			p.line("%d records of %d are left after %d runs of the module", len(small.Records), len(piece.Records), runs)
			return write(p, small, out, comment)
		}}
	c.Flags().StringVar(&keep, "keep", "", "the predicate that must go on to hold")
	c.MarkFlagRequired("keep") // fails only for a flag that is not there
	outputFlags(c, &out, &comment)
	return c
}
