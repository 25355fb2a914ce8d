package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/report"
	"tillerusher/internal/scenario"
)

func rehearseCommand() *cobra.Command {
	c := &cobra.Command{Use: "rehearse", Short: "Play bad days through the real server on a simulated system",
		Long: "rehearse plays a day through the real server, its loop and its sessions included, on an operating system and a network\n" +
			"that are simulated, in virtual time. The same seed gives the same report." + statuses}
	c.AddCommand(rehearseListCommand(), rehearseRunCommand(), rehearseHuntCommand(), rehearseReplayCommand(), rehearseShrinkCommand())
	return c
}

func rehearseListCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Name the scenarios that ship with the kit", Args: cobra.NoArgs, Long: "list names each scenario and what it teaches." + statuses,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			list, err := scenario.Library()
			if err != nil {
				return err
			}
			for _, s := range list {
				p.line("%-20s %s", s.Name, s.Purpose)
				if err := p.object(map[string]string{"name": s.Name, "teaches": s.Purpose}); err != nil {
					return err
				}
			}
			return nil
		}}
}

// printDay prints a day's report.
func printDay(p printer, r *scenario.Report) {
	p.line("%s, seed %d: %d requests in %d tries; share served %.3f, p50 %.1f ms, p99 %.1f ms", r.Scenario, r.Seed, r.Requests, r.Attempts, r.ServedShare, r.P50, r.P99)
	p.line("tries: served %d, refused %d, failed %d, lost with their connection %d, not sent %d, unanswered %d; %d runs", r.Served, r.Rejected, r.Failed,
		r.Lost, r.Unsent, r.Unanswered, r.Runs)
	var b strings.Builder
	for _, s := range r.Seconds {
		part := float64(s.Served) / float64(max(s.Requests, 1))
		b.WriteRune([]rune(" .:-=+*#%@")[min(int(part*10), 9)])
	}
	p.line("share by second, blank is under 0.1 and @ from 0.9: |%s|", b.String())
	for _, breach := range r.Violations {
		p.line("broken rule: %s", breach)
	}
	if n := r.ViolationCount - len(r.Violations); n > 0 {
		p.line("and %d more", n)
	}
	for _, m := range r.UnmetExpectations {
		p.line("not as expected: %s", m)
	}
}

func rehearseRunCommand() *cobra.Command {
	seed, page := uint64(1), ""
	cmd := &cobra.Command{Use: "run NAME", Short: "Play a scenario", Args: cobra.ExactArgs(1),
		Long:    "run plays a scenario of the library, or of a file that ends in .sexp. Exit status 1 where a rule is broken or what was\nexpected does not hold." + statuses,
		Example: "  cataloguectl rehearse run rolling-deploy --seed 7\n  cataloguectl rehearse run friday.sexp --page friday.html",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Find(args[0])
			if err != nil {
				return inputError{err}
			}
			return playDay(newPrinter(cmd), s, seed, fmt.Sprintf("cataloguectl rehearse run %s --seed %d", args[0], seed), page)
		}}
	cmd.Flags().StringVar(&page, "page", "", "file for a page (HTML) with the figures and a picture of the day")
	cmd.Flags().Uint64Var(&seed, "seed", seed, "seed of all that is drawn")
	return cmd
}

// playDay plays a day, prints it, and says how to play it again where something is wrong.
func playDay(p printer, s *scenario.Scenario, seed uint64, again, page string) error {
	r, err := scenario.Run(s, seed)
	if err != nil {
		return err
	}
	if page != "" {
		if err := writeFile(page, dayPage(s, r).HTML); err != nil {
			return err
		}
	}
	printDay(p, r)
	bad := r.HasViolations() || len(r.UnmetExpectations) > 0
	if bad {
		p.line("again: %s", again)
	}
	if err := p.object(r); err != nil {
		return err
	}
	return found(bad)
}

// dayPage is the page of a day.
func dayPage(s *scenario.Scenario, r *scenario.Report) report.Page {
	share := report.Series{Name: "share of requests served"}
	load := report.Series{Name: "requests"}
	for n, second := range r.Seconds {
		share.Points = append(share.Points, [2]float64{float64(n), float64(second.Served) / float64(max(second.Requests, 1))})
		load.Points = append(load.Points, [2]float64{float64(n), float64(second.Requests)})
	}
	var shades [][2]float64
	incidents := report.Section{Title: "Incidents", Head: []string{"what", "at", "for", "server"}}
	for _, i := range s.Incidents {
		shades = append(shades, [2]float64{i.At.Seconds(), (i.At + i.Duration).Seconds()})
		where := "all"
		if i.Server > 0 {
			where = strconv.Itoa(i.Server)
		}
		incidents.Rows = append(incidents.Rows, []string{string(i.Kind), i.At.String(), i.Duration.String(), where})
	}
	row := func(name string, n int) []string { return []string{name, strconv.Itoa(n)} }
	sums := report.Section{Title: "Result", Head: []string{"what", "figure"}, Rows: [][]string{row("requests", r.Requests), {"share served", fmt.Sprintf("%.3f", r.ServedShare)},
		{"p50", fmt.Sprintf("%.1f ms", r.P50)}, {"p99", fmt.Sprintf("%.1f ms", r.P99)}, {"recovered after", fmt.Sprintf("%.0f s", r.RecoverySeconds)}, row("tries", r.Attempts),
		row("refused", r.Rejected), row("failed", r.Failed), row("lost with their connection", r.Lost), row("not sent", r.Unsent),
		row("unanswered", r.Unanswered), row("broken rules", r.ViolationCount), row("expectations that do not hold", len(r.UnmetExpectations))},
		Charts: []report.Chart{{Title: "Share served", XLabel: "seconds", YLabel: "share", Series: []report.Series{share}, Shades: shades},
			{Title: "Load", XLabel: "seconds", YLabel: "requests a second", Series: []report.Series{load}, Shades: shades}}}
	for _, text := range append(append([]string(nil), r.Violations...), r.UnmetExpectations...) {
		sums.Text += text + ". "
	}
	return report.Page{Title: s.Name + ", seed " + strconv.FormatUint(r.Seed, 10), Lead: s.Purpose, Sections: []report.Section{sums, incidents}}
}

func rehearseHuntCommand() *cobra.Command {
	first, seeds, most, parallel, length := uint64(1), 1_000_000_000, 5, runtime.GOMAXPROCS(0), time.Minute
	cmd := &cobra.Command{Use: "hunt", Short: "Play days that seeds draw until a rule breaks", Args: cobra.NoArgs,
		Long:    "hunt plays short days whose fleet, load, network faults and incidents are drawn by a seed, one seed after the other, and\nnames those that break a rule, with the command that plays them again." + statuses,
		Example: "  cataloguectl rehearse hunt --for 10m\n  cataloguectl rehearse hunt --first 1 --seeds 1000",
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			ctx, cancel := context.WithTimeout(cmd.Context(), length)
			defer cancel()
			h, err := scenario.Explore(ctx, scenario.ExploreConfig{FirstSeed: first, Seeds: seeds, MaxFindings: most, Parallel: parallel, Progress: progressOf("seeds", seeds)})
			if err != nil {
				return err
			}
			p.line("%d days: %d requests, %d tries, %d runs; served %d, refused %d, failed %d, lost with their connection %d", h.Seeds, h.Requests, h.Attempts,
				h.Runs, h.Served, h.Rejected, h.Failed, h.Lost)
			p.line("faults: %+v", h.Simulation)
			for _, f := range h.Findings {
				what := fmt.Sprintf("%d tries unanswered", f.Report.Unanswered)
				if len(f.Report.Violations) > 0 {
					what = f.Report.Violations[0]
				}
				p.line("seed %d: %s\n  again: cataloguectl rehearse replay %d", f.Seed, what, f.Seed)
			}
			if err := p.object(h); err != nil {
				return err
			}
			return found(len(h.Findings) > 0)
		}}
	f := cmd.Flags()
	f.Uint64Var(&first, "first", first, "the first seed")
	f.IntVar(&seeds, "seeds", seeds, "how many")
	f.DurationVar(&length, "for", length, "how long at the most")
	f.IntVar(&most, "most", most, "how many findings end it")
	f.IntVar(&parallel, "parallel", parallel, "days at a time")
	return cmd
}

// seedArg reads a seed.
func seedArg(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("found %q, want a seed: a whole number", text)
	}
	return seed, nil
}

func rehearseReplayCommand() *cobra.Command {
	return &cobra.Command{Use: "replay SEED", Short: "Play a day that a hunt drew again", Args: cobra.ExactArgs(1),
		Long: "replay plays the day that a seed of hunt draws." + statuses, Example: "  cataloguectl rehearse replay 4711",
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, err := seedArg(args[0])
			if err != nil {
				return err
			}
			return playDay(newPrinter(cmd), scenario.Generate(seed), seed, "cataloguectl rehearse replay "+args[0], "")
		}}
}

func rehearseShrinkCommand() *cobra.Command {
	return &cobra.Command{Use: "shrink SEED", Short: "Find the smallest day that still breaks a rule", Args: cobra.ExactArgs(1),
		Long: "shrink takes away from the day that a seed of hunt draws what it can, as long as a rule still breaks." + statuses,
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, err := seedArg(args[0])
			if err != nil {
				return err
			}
			p := newPrinter(cmd)
			s, err := scenario.Shrink(scenario.Generate(seed), seed)
			if err != nil {
				return err
			}
			r, err := scenario.Run(s, seed)
			if err != nil {
				return err
			}
			p.line("%+v", *s)
			printDay(p, r)
			return p.object(s)
		}}
}
