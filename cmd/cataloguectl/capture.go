package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

func captureCommand() *cobra.Command {
	c := &cobra.Command{Use: "capture", Short: "Look into captures, check and cut them",
		Long: "A capture is a directory of segments, or one of them, as `catalogue-server serve --capture DIR` writes it."}
	c.AddCommand(infoCommand(), verifyCommand(), catCommand(), statsCommand(), cutCommand(), shrinkCommand())
	return c
}

// segmentInfo is what is told of a segment.
type segmentInfo struct {
	Path     string           `json:"path"`
	Bytes    int64            `json:"bytes"`
	Raw      int64            `json:"raw_bytes"`
	Meta     capture.Meta     `json:"meta"`
	Records  uint64           `json:"records"`
	Until    time.Duration    `json:"until"` // the module's clock at its last record
	Complete bool             `json:"complete"`
	State    bool             `json:"state"` // its snapshot can be read
	Damage   []capture.Damage `json:"damage,omitempty"`
}

func describe(s *capture.Segment) (segmentInfo, error) {
	i := segmentInfo{Path: s.Path, Bytes: s.Size, Raw: s.UncompressedBytes, Meta: s.Meta, Until: s.Meta.ModuleTime, Complete: s.Complete,
		State: s.Snapshot != nil, Damage: s.Damage}
	err := s.ForEach(func(_ capture.Position, r *capture.Record) error {
		i.Records++
		i.Until = max(i.Until, r.At)
		return nil
	})
	return i, err
}

func infoCommand() *cobra.Command {
	return &cobra.Command{Use: "info CAPTURE...", Short: "Say what is in captures, a line for each segment",
		Example: "  cataloguectl capture info /var/lib/tillerusher/capture\n  cataloguectl capture info --json 0000000007.capture",
		Args:    cobra.MinimumNArgs(1),
		RunE: onCaptures(func(p printer, segments []*capture.Segment, _ int) error {
			for _, s := range segments {
				i, err := describe(s)
				if err != nil {
					return inputError{err}
				}
				p.line("%s  %s  %s to %s  %d records  %d B, %.1f B/record  %s", i.Path, i.Meta.Server,
					s.UnixTime(i.Meta.ModuleTime).UTC().Format("2006-01-02 15:04:05.000"), s.UnixTime(i.Until).UTC().Format("15:04:05.000"),
					i.Records, i.Bytes, float64(i.Bytes)/float64(max(i.Records, 1)), condition(i))
				if err := p.object(i); err != nil {
					return err
				}
			}
			return nil
		})}
}

// condition says in words how whole a segment is.
func condition(i segmentInfo) string {
	text := "whole"
	if !i.Complete {
		text = "not ended in order"
	}
	if !i.State {
		text += ", its state is lost"
	}
	if g := i.Meta.Gap; g != nil {
		text += fmt.Sprintf(", %d records are missing before it: %s", g.Records, g.Cause)
	}
	for _, d := range i.Damage {
		text += "; " + d.String()
	}
	return text
}

func verifyCommand() *cobra.Command {
	return &cobra.Command{Use: "verify CAPTURE...", Short: "Check captures for damage and gaps",
		Long:    "verify reads every block of captures and names what is damaged or missing." + statuses,
		Example: "  cataloguectl capture verify /var/lib/tillerusher/capture && echo sound",
		Args:    cobra.MinimumNArgs(1),
		RunE: onCaptures(func(p printer, segments []*capture.Segment, unreadable int) error {
			flaws := unreadable
			for _, s := range segments {
				i, err := describe(s)
				if err != nil {
					return inputError{err}
				}
				if len(i.Damage) > 0 || !i.State || i.Meta.Gap != nil {
					flaws++
					p.line("%s: %s", i.Path, condition(i))
				}
				if err := p.object(i); err != nil {
					return err
				}
			}
			p.line("%d segments, %d with flaws", len(segments)+unreadable, flaws)
			return found(flaws > 0)
		})}
}

func catCommand() *cobra.Command {
	var from, to time.Duration
	var only []string
	c := &cobra.Command{Use: "cat CAPTURE...", Short: "Print records, one a line",
		Example: "  cataloguectl capture cat DIR --from 2m --to 2m10s\n  cataloguectl capture cat --json --kind refuse,fail DIR",
		Args:    cobra.MinimumNArgs(1),
		RunE: onCaptures(func(p printer, segments []*capture.Segment, _ int) error {
			wanted := map[string]bool{}
			for _, k := range only {
				if _, err := capture.ParseKind(k); err != nil {
					return err
				}
				wanted[k] = true
			}
			for _, s := range segments {
				err := s.ForEach(func(at capture.Position, r *capture.Record) error {
					if r.At < from || to > 0 && r.At > to || len(wanted) > 0 && !wanted[r.Kind.String()] {
						return nil
					}
					indent := ""
					if !r.Kind.IsEvent() {
						indent = "  "
					}
					p.line("%8d %12v %s%s", at.Number, r.At, indent, replay.FormatRecord(r))
					return p.object(r)
				})
				if err != nil {
					return err
				}
			}
			return nil
		})}
	c.Flags().DurationVar(&from, "from", 0, "first time of the module's clock")
	c.Flags().DurationVar(&to, "to", 0, "last time of the module's clock; 0 is the end")
	c.Flags().StringSliceVar(&only, "kind", nil, "kinds of record, such as refuse")
	return c
}
