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

// replayFlags are those of cataloguectl replay.
type replayFlags struct {
	fresh          bool
	set            []string
	write, against string
}

func replayCommand() *cobra.Command {
	var f replayFlags
	c := &cobra.Command{Use: "replay CAPTURE...", Short: "Feed captures to the decision module and compare every action",
		Long: "replay feeds what was recorded to this program's decision module, in virtual time and as fast as the machine\n" +
			"can, and compares every action with the recorded one.\n\n" +
			"With --set, --write or --against it asks what would have been instead: arrivals come as they were recorded, runs\n" +
			"take the time that they were recorded to take, and callers do not react to other answers. --set changes settings\n" +
			"(cores=4, quota.northern=40, aim.part-lookup=1s; a wrong one tells which there are), --write keeps this build's\n" +
			"outcome in a file, and --against compares this build with such a file of another one." + statuses,
		Example: "  cataloguectl replay /var/lib/tillerusher/capture\n  cataloguectl replay --fresh DIR   # from every segment's snapshot\n" +
			"  cataloguectl replay DIR --set quota.northern=40\n" +
			"  old/cataloguectl replay DIR --write old.json; new/cataloguectl replay DIR --against old.json",
		Args: cobra.MinimumNArgs(1),
		RunE: onCaptures(func(p printer, segments []*capture.Segment, _ int) error {
			if len(f.set) > 0 || f.write != "" || f.against != "" {
				return f.whatIf(p, replay.SegmentsOfRun(segments, ""))
			}
			return f.same(p, segments)
		})}
	c.Flags().BoolVar(&f.fresh, "fresh", false, "begin each segment from its own snapshot")
	c.Flags().StringArrayVar(&f.set, "set", nil, "NAME=VALUE of a setting to be changed; may be given again")
	c.Flags().StringVar(&f.write, "write", "", "file for the outcome of every request")
	c.Flags().StringVar(&f.against, "against", "", "file that another build wrote with --write")
	return c
}

// same replays and compares every action.
func (f *replayFlags) same(p printer, segments []*capture.Segment) error {
	begun := time.Now()
	r, err := replay.Run(segments, f.fresh, replay.Visitor{})
	if err != nil {
		return inputError{err}
	}
	took := time.Since(begun)
	p.line("%d segments, %d records, %d events, %d actions: %d requests, %d runs, %d refused, %d failed", r.Segments,
		r.Records, r.Events, r.Actions, r.Requests, r.Runs, r.Rejected, r.Failed)
	p.line("%v of the server's time in %v: %.0f events/s, %.0f times as fast", r.Duration.Round(time.Millisecond),
		took.Round(time.Millisecond), float64(r.Events)/took.Seconds(), r.Duration.Seconds()/took.Seconds())
	damaged := 0
	for _, s := range segments {
		for _, d := range s.Damage {
			damaged++
			p.line("%s: %v", s.Path, d)
		}
	}
	if r.Skipped > 0 {
		p.line("%d events behind damaged parts were skipped", r.Skipped)
	}
	if r.FirstDifference != nil {
		p.line("the decisions differ: %v", r.FirstDifference)
		p.line("before it:")
		for _, line := range replay.DescribeState(&r.FirstDifference.StateBefore) {
			p.line("  %s", line)
		}
	} else {
		p.line("every decision that was replayed is the recorded one")
	}
	if err := p.object(r); err != nil {
		return err
	}
	return found(r.FirstDifference != nil || damaged > 0)
}

// whatIf models what would have been.
func (f *replayFlags) whatIf(p printer, segments []*capture.Segment) error {
	m := segments[0].Meta
	set, err := replay.ParseSettingChanges(f.set)
	if err != nil {
		return err
	}
	after, now, err := replay.Simulate(segments, replay.ApplySettingChanges(set, m))
	if errors.Is(err, replay.ErrNoState) {
		return inputError{err}
	} else if err != nil {
		return err
	}
	before, err := f.before(segments, m)
	if err != nil {
		return err
	}
	if f.write != "" {
		if err := writeOutcomes(f.write, m, after); err != nil {
			return err
		}
	}
	if before == nil {
		p.line("%d outcomes are in %s", len(after), f.write)
		return nil
	}
	c := replay.Compare(before, after, m, now.Classes)
	for _, d := range c.Changes {
		p.line("%12v  %s (#%d)  %s, now %s", d.At.Round(time.Millisecond), d.WireID, d.ID, d.From, d.To)
	}
	p.line("%d of %d tries end otherwise", len(c.Changes), len(before))
	p.line("%-16s %-12s %7s  %15s  %15s  %15s  %15s", "class", "tenant", "tries", "served", "on time", "refused", "failed")
	for i := range min(len(c.Before), len(c.After)) {
		b, a := c.Before[i], c.After[i]
		p.line("%-16s %-12s %7d  %15s  %15s  %15s  %15s", a.Class, a.Tenant, a.Attempts, fromTo(b.Served, a.Served),
			fromTo(b.OnTime, a.OnTime), fromTo(b.Rejected, a.Rejected), fromTo(b.Failed, a.Failed))
	}
	return p.object(c)
}

// before is what the replay is compared with: the other build's, or this one's without changes, or nothing.
func (f *replayFlags) before(segments []*capture.Segment, m capture.Meta) ([]*replay.Attempt, error) {
	if f.against == "" {
		if len(f.set) == 0 {
			return nil, nil
		}
		outcomes, _, err := replay.Simulate(segments, func(*admission.Settings) error { return nil })
		return outcomes, err
	}
	file, err := os.Open(f.against)
	if err != nil {
		return nil, inputError{err}
	}
	defer file.Close()
	outcomes, err := replay.ReadAttempts(file, m)
	if err != nil {
		return nil, inputError{fmt.Errorf("%s: %w", f.against, err)}
	}
	return outcomes, nil
}

func writeOutcomes(path string, m capture.Meta, outcomes []*replay.Attempt) error {
	return writeFile(path, func(w io.Writer) error { return replay.WriteAttempts(w, m, outcomes) })
}

func fromTo(from, to int) string {
	if from == to {
		return fmt.Sprint(to)
	}
	return fmt.Sprintf("%d -> %d", from, to)
}
