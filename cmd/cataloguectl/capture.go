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
		Long:  "A capture is a directory of segment files that `catalogue-server serve --capture DIR` writes, or a single segment file.",
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

// segmentInfo is the JSON form of a segment.
type segmentInfo struct {
	Path     string           `json:"path"`
	Bytes    int64            `json:"bytes"`
	Raw      int64            `json:"raw_bytes"`
	Meta     capture.Meta     `json:"meta"`
	Records  uint64           `json:"records"`
	Until    time.Duration    `json:"until"` // the decision module's clock at the last record
	Complete bool             `json:"complete"`
	State    bool             `json:"state"` // whether the snapshot of the module's state is readable
	Damage   []capture.Damage `json:"damage,omitempty"`
}

// describeSegment reads all records of a segment and returns its description.
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

// isFlawed reports whether the segment is damaged, has no readable snapshot or follows a gap.
func (i segmentInfo) isFlawed() bool { return len(i.Damage) > 0 || !i.State || i.Meta.Gap != nil }

// condition returns a text that says whether the segment was closed normally, and lists missing records and damage.
func (i segmentInfo) condition() string {
	text := "closed normally"
	if !i.Complete {
		text = "not closed normally"
	}
	if !i.State {
		text += ", snapshot unreadable"
	}
	if gap := i.Meta.Gap; gap != nil {
		text += fmt.Sprintf(", %d records missing before it: %s", gap.Records, gap.Cause)
	}
	for _, d := range i.Damage {
		text += "; " + d.String()
	}
	return text
}

func newCaptureInfoCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "info CAPTURE...",
		Short:   "Describe captures, one line per segment",
		Example: "  cataloguectl capture info /var/lib/tillerusher/capture\n  cataloguectl capture info --json 0000000007.capture",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(printSegments),
	}
}

// printSegments prints one line per segment.
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
		Long:    "verify reads every block of the captures and prints each segment that is damaged or follows a gap in the capture." + statusHelp,
		Example: "  cataloguectl capture verify /var/lib/tillerusher/capture && echo undamaged",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(verifySegments),
	}
}

// verifySegments prints the flawed segments. unreadable is the number of files that can't be read; they count as damaged.
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
	out.linef("%d segments, %d damaged or after a gap", len(segments)+unreadable, flawed)
	return problemFoundIf(flawed > 0)
}

// captureCatOptions are the flags of capture cat.
type captureCatOptions struct {
	from  time.Duration
	to    time.Duration // 0 means the end of the capture
	kinds []string      // empty means all
}

func newCaptureCatCommand() *cobra.Command {
	var opts captureCatOptions
	cmd := &cobra.Command{
		Use:     "cat CAPTURE...",
		Short:   "Print records, one per line",
		Example: "  cataloguectl capture cat DIR --from 2m --to 2m10s\n  cataloguectl capture cat --json --kind refuse,fail DIR",
		Args:    cobra.MinimumNArgs(1),
		RunE:    withCaptures(opts.run),
	}
	cmd.Flags().DurationVar(&opts.from, "from", 0, "start of the records to print, as time on the decision module's clock")
	cmd.Flags().DurationVar(&opts.to, "to", 0,
		"end of the records to print, as time on the decision module's clock; 0 means the end of the capture")
	cmd.Flags().StringSliceVar(&opts.kinds, "kind", nil, "comma-separated kinds of records to print, such as refuse; all if empty")
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

// printRecord prints a record. Actions are indented and follow the event that caused them.
func printRecord(out printer, at capture.Position, record *capture.Record) error {
	indent := ""
	if !record.Kind.IsEvent() {
		indent = "  "
	}
	out.linef("%8d %12v %s%s", at.Number, record.At, indent, replay.FormatRecord(record))
	return out.encode(record)
}
