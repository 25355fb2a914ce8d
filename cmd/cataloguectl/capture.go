package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

func newCaptureCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "capture",
		Short: "Inspect, check and cut captures",
		Long:  "A capture is a directory of segments, or one of them, as `catalogue-server serve --capture DIR` writes it.",
	}
	cmd.AddCommand(
		newCaptureInfoCommand(),
		newCaptureVerifyCommand(),
		newCaptureCatCommand(),
		newCaptureStatsCommand(),
		newCaptureCutCommand(),
		newCaptureShrinkCommand(),
	)
	return cmd
}

// segmentInfo is the JSON of a segment.
type segmentInfo struct {
	Path     string           `json:"path"`
	Bytes    int64            `json:"bytes"`
	Raw      int64            `json:"raw_bytes"`
	Meta     capture.Meta     `json:"meta"`
	Records  uint64           `json:"records"`
	Until    time.Duration    `json:"until"` // the module's clock at its last record
	Complete bool             `json:"complete"`
	State    bool             `json:"state"` // whether its snapshot can be read
	Damage   []capture.Damage `json:"damage,omitempty"`
}

// describeSegment reads all records of a segment.
func describeSegment(segment *capture.Segment) (segmentInfo, error) {
	info := segmentInfo{
		Path:     segment.Path,
		Bytes:    segment.Size,
		Raw:      segment.UncompressedBytes,
		Meta:     segment.Meta,
		Until:    segment.Meta.ModuleTime,
		Complete: segment.Complete,
		State:    segment.Snapshot != nil,
		Damage:   segment.Damage,
	}
	err := segment.ForEach(func(_ capture.Position, record *capture.Record) error {
		info.Records++
		info.Until = max(info.Until, record.At)
		return nil
	})
	return info, err
}

// isFlawed reports whether anything of the segment is damaged or missing.
func (i segmentInfo) isFlawed() bool { return len(i.Damage) > 0 || !i.State || i.Meta.Gap != nil }

// condition describes how complete the segment is.
func (i segmentInfo) condition() string {
	text := "whole"
	if !i.Complete {
		text = "not ended in order"
	}
	if !i.State {
		text += ", its state is lost"
	}
	if gap := i.Meta.Gap; gap != nil {
		text += fmt.Sprintf(", %d records are missing before it: %s", gap.Records, gap.Cause)
	}
	for _, d := range i.Damage {
		text += "; " + d.String()
	}
	return text
}

func newCaptureInfoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "info CAPTURE...",
		Short:   "Describe captures, one line for each segment",
		Example: "  cataloguectl capture info /var/lib/tillerusher/capture\n  cataloguectl capture info --json 0000000007.capture",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(printSegments),
	}
}

// printSegments prints one line for each segment.
func printSegments(out printer, segments []*capture.Segment, _ int) error {
	for _, segment := range segments {
		info, err := describeSegment(segment)
		if err != nil {
			return inputError{err}
		}
		from := segment.UnixTime(info.Meta.ModuleTime).UTC().Format("2006-01-02 15:04:05.000")
		to := segment.UnixTime(info.Until).UTC().Format("15:04:05.000")
		bytesPerRecord := float64(info.Bytes) / float64(max(info.Records, 1))
		out.linef("%s  %s  %s to %s  %d records  %d B, %.1f B/record  %s", info.Path, info.Meta.Server, from, to, info.Records, info.Bytes,
			bytesPerRecord, info.condition())
		if err := out.encode(info); err != nil {
			return err
		}
	}
	return nil
}

func newCaptureVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "verify CAPTURE...",
		Short:   "Check captures for damage and gaps",
		Long:    "verify reads every block of captures and names what is damaged or missing." + statusHelp,
		Example: "  cataloguectl capture verify /var/lib/tillerusher/capture && echo undamaged",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(verifySegments),
	}
}

// verifySegments prints the segments that are damaged or incomplete.
func verifySegments(out printer, segments []*capture.Segment, unreadable int) error {
	flawed := unreadable
	for _, segment := range segments {
		info, err := describeSegment(segment)
		if err != nil {
			return inputError{err}
		}
		if info.isFlawed() {
			flawed++
			out.linef("%s: %s", info.Path, info.condition())
		}
		if err := out.encode(info); err != nil {
			return err
		}
	}
	out.linef("%d segments, %d with flaws", len(segments)+unreadable, flawed)
	return foundIf(flawed > 0)
}

// captureCatOptions are the flags of capture cat.
type captureCatOptions struct {
	from  time.Duration
	to    time.Duration // 0 is the end
	kinds []string      // none is all
}

func newCaptureCatCommand() *cobra.Command {
	var opts captureCatOptions
	cmd := &cobra.Command{
		Use:     "cat CAPTURE...",
		Short:   "Print records, one a line",
		Example: "  cataloguectl capture cat DIR --from 2m --to 2m10s\n  cataloguectl capture cat --json --kind refuse,fail DIR",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(opts.run),
	}
	cmd.Flags().DurationVar(&opts.from, "from", 0, "first time of the module's clock")
	cmd.Flags().DurationVar(&opts.to, "to", 0, "last time of the module's clock; 0 is the end")
	cmd.Flags().StringSliceVar(&opts.kinds, "kind", nil, "kinds of record, such as refuse")
	return cmd
}

func (o *captureCatOptions) run(out printer, segments []*capture.Segment, _ int) error {
	isWanted := map[string]bool{}
	for _, kind := range o.kinds {
		if _, err := capture.ParseKind(kind); err != nil {
			return err
		}
		isWanted[kind] = true
	}
	for _, segment := range segments {
		err := segment.ForEach(func(at capture.Position, record *capture.Record) error {
			isOutside := record.At < o.from || o.to > 0 && record.At > o.to
			if isOutside || len(isWanted) > 0 && !isWanted[record.Kind.String()] {
				return nil
			}
			return printRecord(out, at, record)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// printRecord prints a record. Actions are indented below the events that caused them.
func printRecord(out printer, at capture.Position, record *capture.Record) error {
	indent := ""
	if !record.Kind.IsEvent() {
		indent = "  "
	}
	out.linef("%8d %12v %s%s", at.Number, record.At, indent, replay.FormatRecord(record))
	return out.encode(record)
}
