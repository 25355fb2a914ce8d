package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/admission"
	"tillerusher/internal/capture"
	"tillerusher/internal/replay"
)

// replayOptions are the flags of replay.
type replayOptions struct {
	fresh   bool
	changes []string // NAME=VALUE of changed settings
	write   string
	against string
}

func newReplayCommand() *cobra.Command {
	var opts replayOptions
	cmd := &cobra.Command{
		Use:   "replay CAPTURE...",
		Short: "Replay captures to the decision module and compare every action",
		Long: "replay passes the recorded events to this program's decision module, in virtual time and as fast as possible, and\n" +
			"compares every action with the recorded one.\n\n" +
			"With --set, --write or --against it simulates other decisions instead: requests arrive as recorded, runs take as\n" +
			"long as recorded, and callers do not react to changed answers. --set changes settings (cores=4, quota.northern=40,\n" +
			"aim.part-lookup=1s; the error for an unknown name lists the known names). --write writes the outcomes of this build\n" +
			"to a file. --against compares the outcomes of this build with such a file from another build." + statusHelp,
		Example: "  cataloguectl replay /var/lib/tillerusher/capture\n" +
			"  cataloguectl replay --fresh DIR   # restart at the snapshot of each segment\n" +
			"  cataloguectl replay DIR --set quota.northern=40\n" +
			"  old/cataloguectl replay DIR --write old.json; new/cataloguectl replay DIR --against old.json",
		Args: cobra.MinimumNArgs(1),
		RunE: withCaptures(opts.run),
	}
	cmd.Flags().BoolVar(&opts.fresh, "fresh", false, "start each segment from its own snapshot")
	cmd.Flags().StringArrayVar(&opts.changes, "set", nil, "NAME=VALUE of a setting to change; may be repeated")
	cmd.Flags().StringVar(&opts.write, "write", "", "output file for the outcome of every attempt")
	cmd.Flags().StringVar(&opts.against, "against", "", "file of outcomes that another build wrote with --write")
	return cmd
}

func (o *replayOptions) run(out printer, segments []*capture.Segment, _ int) error {
	if len(o.changes) > 0 || o.write != "" || o.against != "" {
		return o.simulate(out, replay.SegmentsOfRun(segments, ""))
	}
	return o.verify(out, segments)
}

// verify replays captures and compares every action with the recorded one.
func (o *replayOptions) verify(out printer, segments []*capture.Segment) error {
	startedAt := time.Now()
	result, err := replay.Run(segments, o.fresh, replay.Visitor{})
	if err != nil {
		return inputError{err}
	}
	printReplay(out, result, time.Since(startedAt))
	damaged := printDamage(out, segments)
	if result.Skipped > 0 {
		out.linef("%d events after damaged parts were skipped", result.Skipped)
	}
	printDifference(out, result.FirstDifference)
	if err := out.encode(result); err != nil {
		return err
	}
	return problemFoundIf(result.FirstDifference != nil || damaged > 0)
}

// printReplay prints counts of the replayed records and the speed of the replay.
func printReplay(out printer, result *replay.Result, took time.Duration) {
	out.linef("%d segments, %d records, %d events, %d actions: %d requests, %d runs, %d rejected, %d failed", result.Segments,
		result.Records, result.Events, result.Actions, result.Requests, result.Runs, result.Rejected, result.Failed)
	out.linef("replayed %v of server time in %v: %.0f events/s, %.0f times real time", result.Duration.Round(time.Millisecond),
		took.Round(time.Millisecond), float64(result.Events)/took.Seconds(), result.Duration.Seconds()/took.Seconds())
}

// printDamage prints the damaged parts of segments and returns how many there are.
func printDamage(out printer, segments []*capture.Segment) int {
	damaged := 0
	for _, s := range segments {
		for _, d := range s.Damage {
			damaged++
			out.linef("%s: %v", s.Path, d)
		}
	}
	return damaged
}

// printDifference prints the first action that differs from the recorded one, with the module's state before it.
func printDifference(out printer, d *replay.Difference) {
	if d == nil {
		out.linef("all replayed decisions match the recorded ones")
		return
	}
	out.linef("the decisions differ: %v", d)
	out.linef("module state before it:")
	for _, line := range replay.DescribeState(&d.StateBefore) {
		out.linef("  %s", line)
	}
}

// simulate replays the recorded arrivals to this build, with changed settings if there are any. It writes the outcomes if that is
// wanted, and compares them with the baseline if there is one.
func (o *replayOptions) simulate(out printer, segments []*capture.Segment) error {
	meta := segments[0].Meta
	changes, err := replay.ParseSettingChanges(o.changes)
	if err != nil {
		return err
	}
	after, settings, err := replay.Simulate(segments, replay.ApplySettingChanges(changes, meta))
	if errors.Is(err, replay.ErrNoState) {
		return inputError{err}
	}
	if err != nil {
		return err
	}
	before, err := o.baseline(segments, meta)
	if err != nil {
		return err
	}
	if o.write != "" {
		if err := writeAttempts(o.write, meta, after); err != nil {
			return err
		}
	}
	if before == nil {
		out.linef("wrote %d outcomes to %s", len(after), o.write)
		return nil
	}
	comparison := replay.Compare(before, after, meta, settings.Classes)
	printComparison(out, comparison, len(before))
	return out.encode(comparison)
}

// baseline returns the outcomes to compare with. With --against it reads the outcomes of the other build; with --set it returns the
// outcomes of this build without the changes; otherwise it returns nil.
func (o *replayOptions) baseline(segments []*capture.Segment, meta capture.Meta) ([]*replay.Attempt, error) {
	if o.against != "" {
		return readAttempts(o.against, meta)
	}
	if len(o.changes) == 0 {
		return nil, nil
	}
	unchanged := func(*admission.Settings) error { return nil }
	attempts, _, err := replay.Simulate(segments, unchanged)
	return attempts, err
}

// printComparison prints the attempts whose outcome changed, and the counts by class and tenant.
func printComparison(out printer, comparison replay.Comparison, attempts int) {
	for _, change := range comparison.Changes {
		out.linef("%12v  %s (#%d)  %s -> %s", change.At.Round(time.Millisecond), change.WireID, change.ID, change.From, change.To)
	}
	out.linef("%d of %d attempts have a different outcome", len(comparison.Changes), attempts)
	out.linef("%-16s %-12s %8s  %15s  %15s  %15s  %15s", "class", "tenant", "attempts", "served", "on time", "rejected", "failed")
	for n := range min(len(comparison.Before), len(comparison.After)) {
		before, after := comparison.Before[n], comparison.After[n]
		out.linef("%-16s %-12s %8d  %15s  %15s  %15s  %15s", after.Class, after.Tenant, after.Attempts,
			formatChange(before.Served, after.Served),
			formatChange(before.OnTime, after.OnTime),
			formatChange(before.Rejected, after.Rejected),
			formatChange(before.Failed, after.Failed))
	}
}

// formatChange formats a count, or both counts if they differ.
func formatChange(before, after int) string {
	if before == after {
		return fmt.Sprint(after)
	}
	return fmt.Sprintf("%d -> %d", before, after)
}

// readAttempts reads the outcomes that another build wrote for the same capture.
func readAttempts(path string, meta capture.Meta) ([]*replay.Attempt, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, inputError{err}
	}
	defer f.Close()
	attempts, err := replay.ReadAttempts(f, meta)
	if err != nil {
		return nil, inputError{fmt.Errorf("%s: %w", path, err)}
	}
	return attempts, nil
}

// writeAttempts writes outcomes to a file that another build can compare with.
func writeAttempts(path string, meta capture.Meta, attempts []*replay.Attempt) error {
	return writeFile(path, func(w io.Writer) error { return replay.WriteAttempts(w, meta, attempts) })
}
