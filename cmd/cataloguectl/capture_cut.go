package main

import (
	"errors"
	"math"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// excerptOptions are the flags of the commands that write a capture.
type excerptOptions struct {
	output  string
	comment string
}

func (o *excerptOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.output, "output", "o", "", "the file to write, which must not exist")
	cmd.Flags().StringVar(&o.comment, "comment", "", "what the excerpt is, kept in it")
	cmd.MarkFlagRequired("output") // fails only for a flag that is not there
}

// write writes an excerpt and prints what is in it.
func (o *excerptOptions) write(out printer, excerpt *replay.Excerpt) error {
	if err := excerpt.Write(o.output, o.comment); err != nil {
		return inputError{err}
	}
	segment, err := capture.ReadSegment(o.output)
	if err != nil {
		return inputError{err}
	}
	info, err := describeSegment(segment)
	if err != nil {
		return inputError{err}
	}
	length := (info.Until - info.Meta.ModuleTime).Round(time.Millisecond)
	out.linef("%s: %d records over %v, %d B", o.output, info.Records, length, info.Bytes)
	return out.encode(info)
}

// captureCutOptions are the flags of capture cut.
type captureCutOptions struct {
	excerptOptions
	span     replay.Span
	around   string // a request's
	redecide bool
}

func newCaptureCutCommand() *cobra.Command {
	var opts captureCutOptions
	cmd := &cobra.Command{
		Use:   "cut CAPTURE... -o FILE",
		Short: "Cut out the smallest capture that still replays the same",
		Long: "cut takes a part of a capture, by the module's clock or around all attempts of a request, from the last boundary\n" +
			"between two rounds before it to the end of its last round, with the state at its start. With --redecide the\n" +
			"events are kept and this program's own decisions replace the recorded ones." + statusHelp,
		Example: "  cataloguectl capture cut DIR --around 9b1f03aa5c7e2d41 -o complaint.capture\n" +
			"  cataloguectl capture cut DIR --from 2m --to 2m30s -o half-minute.capture",
		Args: cobra.MinimumNArgs(1),
		RunE: withCaptures(opts.run),
	}
	cmd.Flags().DurationVar(&opts.span.From, "from", 0, "first time of the module's clock")
	cmd.Flags().DurationVar(&opts.span.To, "to", 0, "last time of the module's clock; 0 is the end")
	cmd.Flags().StringVar(&opts.around, "around", "", "Request-Id, key or #number of a request")
	cmd.Flags().BoolVar(&opts.redecide, "redecide", false, "replace the recorded decisions by this program's")
	opts.addFlags(cmd)
	return cmd
}

func (o *captureCutOptions) run(out printer, segments []*capture.Segment, _ int) error {
	segments = replay.SegmentsOfRun(segments, "")
	span, err := o.wantedSpan(segments)
	if err != nil {
		return err
	}
	excerpt, err := o.cut(segments, span)
	if err != nil {
		return inputError{err}
	}
	return o.write(out, excerpt)
}

// wantedSpan returns the span that the flags ask for.
func (o *captureCutOptions) wantedSpan(segments []*capture.Segment) (replay.Span, error) {
	if o.around != "" {
		traces, err := replay.Explain(segments, o.around)
		if err != nil {
			return replay.Span{}, inputError{err}
		}
		return replay.SpanOf(traces), nil
	}
	span := o.span
	if span.To == 0 {
		span.To = math.MaxInt64
	}
	return span, nil
}

// cut cuts a span out of a capture.
func (o *captureCutOptions) cut(segments []*capture.Segment, span replay.Span) (*replay.Excerpt, error) {
	if !o.redecide {
		return replay.Cut(segments, span)
	}
	excerpt, err := replay.Join(segments, span)
	if err != nil {
		return nil, err
	}
	return excerpt.Replay(nil)
}

// captureShrinkOptions are the flags of capture shrink.
type captureShrinkOptions struct {
	excerptOptions
	predicate string
}

func newCaptureShrinkCommand() *cobra.Command {
	var opts captureShrinkOptions
	cmd := &cobra.Command{
		Use:   "shrink FILE -o FILE --keep PREDICATE",
		Short: "Remove events for as long as a predicate holds",
		Long: "shrink removes requests and timers from a capture for as long as a predicate holds when the events are replayed to\n" +
			"this program's module, and writes what is left with this program's decisions. The predicates:\n" +
			"  refused:N, failed:N, run:N  the module's request N is refused, failed or run\n" +
			"  log:TEXT                    the module logs a line with the text\n" +
			"  jam:500ms                   requests are queued for so long while none runs and nothing is stalled" + statusHelp,
		Example: "  cataloguectl capture shrink complaint.capture --keep refused:4711 -o small.capture",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return opts.run(newPrinter(cmd), args) },
	}
	cmd.Flags().StringVar(&opts.predicate, "keep", "", "the predicate that must go on to hold")
	cmd.MarkFlagRequired("keep") // fails only for a flag that is not there
	opts.addFlags(cmd)
	return cmd
}

func (o *captureShrinkOptions) run(out printer, paths []string) error {
	predicate, err := replay.ParsePredicate(o.predicate)
	if err != nil {
		return err
	}
	segments, _, err := openCaptures(out, paths)
	if err != nil {
		return err
	}
	excerpt, err := replay.Join(segments, replay.Span{})
	if err != nil {
		return inputError{err}
	}
	smallest, runs, err := replay.Shrink(excerpt, predicate)
	if errors.Is(err, replay.ErrNotMatched) {
		out.warnf("%v", err)
		return errFound
	}
	if err != nil {
		return inputError{err}
	}
	out.linef("%d records of %d are left after %d runs of the module", len(smallest.Records), len(excerpt.Records), runs)
	return o.write(out, smallest)
}
