package main

import (
	"errors"
	"math"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// excerptOptions are the common flags of the commands that write an excerpt of a capture.
type excerptOptions struct {
	output  string
	comment string
}

func (o *excerptOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.output, "output", "o", "", "output file, which must not exist")
	cmd.Flags().StringVar(&o.comment, "comment", "", "description of the excerpt, which is stored in it")
	cmd.MarkFlagRequired("output") // ignore the error: the flag is defined above
}

// write writes an excerpt to a new file and prints its description.
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
	around   string // Request-Id, key or #number of a request; empty means the span
	redecide bool
}

func newCaptureCutCommand() *cobra.Command {
	var opts captureCutOptions
	cmd := &cobra.Command{
		Use:   "cut CAPTURE... -o FILE",
		Short: "Cut out the smallest capture that replays with the same decisions",
		Long: "cut writes an excerpt of a capture, with the module's state at its start. The span is given by the module's clock or\n" +
			"by a request, whose attempts it covers. The excerpt starts with the first round of events that starts in the span\n" +
			"or after it, and ends with the round in which the span ends. With --redecide the excerpt starts at the start of\n" +
			"a segment, its events are kept, and this program's decisions replace the recorded ones." + statusHelp,
		Example: "  cataloguectl capture cut DIR --around 9b1f03aa5c7e2d41 -o complaint.capture\n" +
			"  cataloguectl capture cut DIR --from 2m --to 2m30s -o half-minute.capture",
		Args: cobra.MinimumNArgs(1),
		RunE: withCaptures(opts.run),
	}
	cmd.Flags().DurationVar(&opts.span.From, "from", 0, "start of the span, as time on the decision module's clock")
	cmd.Flags().DurationVar(&opts.span.To, "to", 0, "end of the span, as time on the decision module's clock; 0 means the end of the capture")
	cmd.Flags().StringVar(&opts.around, "around", "", "Request-Id, key or #number of the request whose attempts the span covers")
	cmd.Flags().BoolVar(&opts.redecide, "redecide", false, "replace the recorded decisions with those of this program")
	opts.addFlags(cmd)
	return cmd
}

func (o *captureCutOptions) run(out printer, segments []*capture.Segment, _ int) error {
	segments = replay.SegmentsOfRun(segments, "")
	span, err := o.requestedSpan(segments)
	if err != nil {
		return err
	}
	excerpt, err := o.cut(segments, span)
	if err != nil {
		return inputError{err}
	}
	return o.write(out, excerpt)
}

// requestedSpan returns the span that the flags select.
func (o *captureCutOptions) requestedSpan(segments []*capture.Segment) (replay.Span, error) {
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

// cut returns the excerpt for a span.
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
		Short: "Remove events from a capture while a predicate still holds",
		Long: "shrink removes requests and timers from a capture as long as a predicate holds when the remaining events are\n" +
			"replayed to this program's decision module. It writes the remaining events with this program's decisions.\n" +
			"Predicates:\n" +
			"  refused:N, failed:N, run:N  the request with the module's number N is rejected, failed or run\n" +
			"  log:TEXT                    the module logs a line that contains TEXT\n" +
			"  jam:500ms                   for 500ms, requests are queued, none runs or waits for a call, and the module detects no stall" + statusHelp,
		Example: "  cataloguectl capture shrink complaint.capture --keep refused:4711 -o small.capture",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return opts.run(newPrinter(cmd), args) },
	}
	cmd.Flags().StringVar(&opts.predicate, "keep", "", "the predicate that must still hold for the shrunk capture")
	cmd.MarkFlagRequired("keep") // ignore the error: the flag is defined above
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
		return errProblemFound
	}
	if err != nil {
		return inputError{err}
	}
	out.linef("kept %d of %d records after %d replays", len(smallest.Records), len(excerpt.Records), runs)
	return o.write(out, smallest)
}
