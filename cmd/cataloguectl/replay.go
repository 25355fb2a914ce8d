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
	changes []string // of settings
	write   string
	against string
}

func newReplayCommand() *cobra.Command {
	var opts replayOptions
	cmd := &cobra.Command{
		Use:   "replay CAPTURE...",
		Short: "Replay captures to the decision module and compare every action",
		Long: "replay feeds what was recorded to this program's decision module, in virtual time and as fast as the machine\n" +
			"can, and compares every action with the recorded one.\n\n" +
			"With --set, --write or --against it simulates what would have happened instead: requests arrive as recorded, runs\n" +
			"take as long as recorded, and callers do not react to other answers. --set changes settings\n" +
			"(cores=4, quota.northern=40, aim.part-lookup=1s; an unknown name lists those that exist), --write writes this build's\n" +
			"outcomes to a file, and --against compares this build with such a file of another one." + statusHelp,
		Example: "  cataloguectl replay /var/lib/tillerusher/capture\n" +
			"  cataloguectl replay --fresh DIR   # from every segment's snapshot\n" +
			"  cataloguectl replay DIR --set quota.northern=40\n" +
			"  old/cataloguectl replay DIR --write old.json; new/cataloguectl replay DIR --against old.json",
		Args: cobra.MinimumNArgs(1),
		RunE: withCaptures(opts.run),
	}
	cmd.Flags().BoolVar(&opts.fresh, "fresh", false, "begin each segment from its own snapshot")
	cmd.Flags().StringArrayVar(&opts.changes, "set", nil, "NAME=VALUE of a setting to be changed; may be given again")
	cmd.Flags().StringVar(&opts.write, "write", "", "file for the outcome of every request")
	cmd.Flags().StringVar(&opts.against, "against", "", "file that another build wrote with --write")
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
		out.linef("%d events behind damaged parts were skipped", result.Skipped)
	}
	printDifference(out, result.FirstDifference)
	if err := out.encode(result); err != nil {
		return err
	}
	return foundIf(result.FirstDifference != nil || damaged > 0)
}

// printReplay prints what was replayed and how fast.
func printReplay(out printer, result *replay.Result, took time.Duration) {
	out.linef("%d segments, %d records, %d events, %d actions: %d requests, %d runs, %d refused, %d failed", result.Segments,
		result.Records, result.Events, result.Actions, result.Requests, result.Runs, result.Rejected, result.Failed)
	out.linef("%v of the server's time in %v: %.0f events/s, %.0f times as fast", result.Duration.Round(time.Millisecond),
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
		out.linef("every decision that was replayed is the recorded one")
		return
	}
	out.linef("the decisions differ: %v", d)
	out.linef("before it:")
	for _, line := range replay.DescribeState(&d.StateBefore) {
		out.linef("  %s", line)
	}
}

// simulate replays the recorded arrivals with changed settings or another build, and compares the outcomes of requests.
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
		out.linef("%d outcomes are in %s", len(after), o.write)
		return nil
	}
	comparison := replay.Compare(before, after, meta, settings.Classes)
	printComparison(out, comparison, len(before))
	return out.encode(comparison)
}

// baseline returns the outcomes to compare with: the other build's, or this one's without changes. Without either it is nil.
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
		out.linef("%12v  %s (#%d)  %s, now %s", change.At.Round(time.Millisecond), change.WireID, change.ID, change.From, change.To)
	}
	out.linef("%d of %d tries end otherwise", len(comparison.Changes), attempts)
	out.linef("%-16s %-12s %7s  %15s  %15s  %15s  %15s", "class", "tenant", "tries", "served", "on time", "refused", "failed")
	for n := range min(len(comparison.Before), len(comparison.After)) {
		before, after := comparison.Before[n], comparison.After[n]
		out.linef("%-16s %-12s %7d  %15s  %15s  %15s  %15s", after.Class, after.Tenant, after.Attempts,
			formatChange(before.Served, after.Served),
			formatChange(before.OnTime, after.OnTime),
			formatChange(before.Rejected, after.Rejected),
			formatChange(before.Failed, after.Failed))
	}
}

// formatChange formats a count that may have changed.
func formatChange(before, after int) string {
	if before == after {
		return fmt.Sprint(after)
	}
	return fmt.Sprintf("%d -> %d", before, after)
}

// readAttempts reads outcomes that another build wrote of the same capture.
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

// writeAttempts writes outcomes for another build.
func writeAttempts(path string, meta capture.Meta, attempts []*replay.Attempt) error {
	return writeFile(path, func(w io.Writer) error { return replay.WriteAttempts(w, meta, attempts) })
}
