package main

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/calibration"
	"tillerusher/internal/clustersim"
	"tillerusher/internal/experiment"
	"tillerusher/internal/report"
)

func modelCommand() *cobra.Command {
	c := &cobra.Command{Use: "model", Short: "Play fleets in virtual time, and compare what they decide by",
		Long: "model plays fleets of catalogue servers in virtual time, with the real decision module or with other policies, and\n" +
			"runs experiments on them; docs/experiments.md goes through one." + statuses}
	c.AddCommand(modelRunCommand(), modelSweepCommand(), modelShowCommand(), modelCompareCommand(), modelPlotCommand(), modelWorstCommand(), modelHoldCommand())
	return c
}

// interrupted is a context that ends with the first Ctrl-C.
func interrupted(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	parent := cmd.Context()
	if parent == nil {
		parent = context.Background()
	}
	return signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
}

func modelRunCommand() *cobra.Command {
	var policies []string
	var seed uint64
	var load float64
	var day, page, table, picture string
	var number uint64
	cmd := &cobra.Command{Use: "run [FILE]", Short: "Play one world and say what came of it",
		Long: "run plays the world of an experiment's file, or a day of the operators' brief, once with each policy, and prints\n" +
			"shares, latencies, how tries ended, broken rules and whether the fleet recovered from its incidents." + statuses,
		Example: "  cataloguectl model run --day storm --number 3 --policy module,codel --html storm.html\n" +
			"  cataloguectl model run examples/metastable.sexp --policy module,nolimit --json",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := newPrinter(cmd)
			w := clustersim.DefaultConfig()
			switch {
			case len(args) == 1 && day != "":
				return errors.New("a file and --day are two worlds: want one of them")
			case len(args) == 1:
				e, err := experiment.Load(args[0])
				if err != nil {
					return inputError{err}
				}
				if w, err = e.FirstConfig(); err != nil {
					return inputError{err}
				}
			case day != "":
				if !slices.Contains(clustersim.WorkloadKinds(), clustersim.WorkloadKind(day)) {
					return fmt.Errorf("no kind of day is called %q, want one of %v", day, clustersim.WorkloadKinds())
				}
				w = clustersim.GenerateConfig(clustersim.WorkloadKind(day), number)
			}
			if load > 0 {
				w.SetLoad(load)
			}
			w.RecordRejectReasons = true
			ctx, stop := interrupted(cmd)
			defer stop()
			var results []*clustersim.Result
			for _, name := range policies {
				policy, err := experiment.LookupPolicy(name)
				if err != nil {
					return err
				}
				r, err := clustersim.Run(ctx, w, policy, seed)
				if err != nil {
					return inputError{err}
				}
				results = append(results, r)
				printRun(p, name, r)
				if err := p.object(struct {
					Policy string `json:"policy"`
					*clustersim.Result
				}{name, r}); err != nil {
					return err
				}
			}
			if page != "" {
				if err := create(page, func(f io.Writer) error { return runPage(w, policies, results).HTML(f) }); err != nil {
					return err
				}
			}
			if table != "" {
				if err := create(table, func(f io.Writer) error { return timelineCSV(f, policies, results) }); err != nil {
					return err
				}
			}
			if picture != "" {
				chart := runPage(w, policies, results).Sections[0].Charts[0]
				if err := create(picture, chart.SVG); err != nil {
					return err
				}
			}
			broken := false
			for _, r := range results {
				broken = broken || len(r.ViolationMessages) > 0
			}
			return found(broken)
		}}
	f := cmd.Flags()
	f.StringSliceVar(&policies, "policy", []string{"module"}, "policies, of "+strings.Join(experiment.PolicyNames(), ", "))
	f.Uint64Var(&seed, "seed", 1, "seed of all that is drawn")
	f.Float64Var(&load, "load", 0, "part of what the fleet can do that is asked for; the world's own if 0")
	f.StringVar(&day, "day", "", "a kind of day of the brief: quiet, rough, overload, big or storm")
	f.Uint64Var(&number, "number", 1, "which day of that kind")
	f.StringVar(&page, "html", "", "file for a page with pictures")
	f.StringVar(&picture, "svg", "", "file for a picture of the share over time")
	f.StringVar(&table, "csv", "", "file for the figures of each second")
	return cmd
}

// printRun prints the summary of a run.
func printRun(p printer, policy string, r *clustersim.Result) {
	p.line("%s in %s (seed %d): %d servers, %d requests in %.0f s, load %.2f", policy, r.ConfigName, r.Seed, r.Servers, r.Requests, r.Seconds, r.Load)
	p.line("  share %.4f, worst 10 s %.4f, worst class %.4f, worst tenant %.4f, waste %.3f, score %.4f", r.GoodputShare, r.WorstWindowShare, r.WorstClassShare,
		r.WorstTenantShare, r.WastedWork, r.Score)
	p.line("  latency of the served: p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms", r.P50, r.P99, r.P999)
	p.line("  tries: %d, of them further ones %d; %s", r.Attempts, r.Retries, counts(r.AttemptOutcomes))
	if len(r.RejectReasons) > 0 {
		p.line("  refused because: %s", counts(r.RejectReasons))
	}
	if len(r.Unserved) > 0 {
		p.line("  requests not served: %s", counts(r.Unserved))
	}
	if v := r.Recovery; v.HadIncidents && v.Recovered {
		p.line("  recovered %.0f s after the last incident: share before %.3f, behind it %.3f", v.RecoverySeconds, v.ShareBefore, v.ShareAfter)
	} else if v.HadIncidents {
		p.line("  did not recover: share before the incidents %.3f, behind them %.3f", v.ShareBefore, v.ShareAfter)
	}
	for _, b := range r.ViolationMessages {
		p.line("  broken rule: %s", b)
	}
}

// counts writes counts by name.
func counts(m map[string]int) string {
	var list []string
	for name, n := range m {
		list = append(list, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// runPage is a report of runs of one world.
func runPage(w clustersim.Config, policies []string, results []*clustersim.Result) report.Page {
	var shades [][2]float64
	var incidents []string
	for _, i := range w.Incidents {
		shades = append(shades, [2]float64{i.Start.Seconds(), min((i.Start + i.Duration).Seconds(), w.Duration.Seconds())})
		incidents = append(incidents, i.String())
	}
	chart := func(title, y string, at func(clustersim.SecondStats) float64) report.Chart {
		c := report.Chart{Title: title, XLabel: "seconds", YLabel: y, Shades: shades}
		for k, r := range results {
			l := report.Series{Name: policies[k]}
			for i, s := range r.Timeline {
				l.Points = append(l.Points, [2]float64{float64(i), at(s)})
			}
			c.Series = append(c.Series, l)
		}
		return c
	}
	capacity := w.Capacity() * meanWork(results)
	page := report.Page{Title: "World " + w.Name, Lead: fmt.Sprintf("%d servers of %d cores, incidents (shaded): %s", w.Servers.Count, w.Servers.Cores,
		strings.Join(append(incidents, "none beyond these"), "; "))}
	summary := report.Section{Title: "Result", Head: []string{"policy", "score", "share", "worst 10 s", "p50 ms", "p99 ms", "waste", "tries a request",
		"recovered after", "broken rules"}}
	parts := report.Section{Title: "Classes and tenants", Head: []string{"policy", "who", "requests", "share", "p50 ms", "p99 ms"}}
	answers := report.Section{Title: "How tries ended", Head: []string{"policy", "how", "tries"}}
	for k, r := range results {
		recovered := "-"
		if v := r.Recovery; v.HadIncidents && v.Recovered {
			recovered = fmt.Sprintf("%.0f s", v.RecoverySeconds)
		} else if v.HadIncidents {
			recovered = "not"
		}
		broken := 0
		for _, n := range r.Violations {
			broken += n
		}
		summary.Rows = append(summary.Rows, []string{policies[k], figure(r.Score), figure(r.GoodputShare), figure(r.WorstWindowShare), whole0(r.P50), whole0(r.P99),
			figure(r.WastedWork), fmt.Sprintf("%.2f", float64(r.Attempts)/float64(max(r.Requests, 1))), recovered, strconv.Itoa(broken)})
		for _, part := range append(slices.Clone(r.Classes), r.Tenants...) {
			parts.Rows = append(parts.Rows, []string{policies[k], part.Name, strconv.Itoa(part.Requests), figure(part.GoodputShare), whole0(part.P50), whole0(part.P99)})
		}
		for _, line := range strings.Split(counts(r.AttemptOutcomes), ", ") {
			i := strings.LastIndexByte(line, ' ')
			answers.Rows = append(answers.Rows, []string{policies[k], line[:max(i, 0)], line[i+1:]})
		}
	}
	summary.Charts = []report.Chart{
		chart("Share of the worth asked for, served in its aim", "share", func(s clustersim.SecondStats) float64 {
			if s.OfferedWeight == 0 {
				return 1
			}
			return s.GoodputWeight / s.OfferedWeight
		}),
		chart("Work asked for over what the fleet can do", "load", func(s clustersim.SecondStats) float64 { return s.OfferedWork / max(capacity, 1e-9) }),
		chart("Tries that ended", "tries a second", func(s clustersim.SecondStats) float64 { return float64(s.Attempts) }),
		chart("Refusals", "refusals a second", func(s clustersim.SecondStats) float64 { return float64(s.Rejected) }),
	}
	reasons := report.Section{Title: "Refusals by reason", Head: []string{"policy", "because", "refusals"}}
	for k, r := range results {
		for _, why := range slices.Sorted(maps.Keys(r.RejectReasons)) {
			reasons.Rows = append(reasons.Rows, []string{policies[k], why, strconv.Itoa(r.RejectReasons[why])})
		}
	}
	page.Sections = []report.Section{summary, parts, answers, reasons}
	return page
}

// meanWork is the work of a request that was drawn in runs.
func meanWork(results []*clustersim.Result) float64 {
	work, n := 0.0, 0
	for _, r := range results {
		for _, s := range r.Timeline {
			work += s.OfferedWork
		}
		n += r.Requests
	}
	return work / float64(max(n, 1))
}

func figure(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
func whole0(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) }

// timelineCSV writes the figures of each second.
func timelineCSV(w io.Writer, policies []string, results []*clustersim.Result) error {
	out := csv.NewWriter(w)
	rows := [][]string{{"policy", "second", "asked", "earned", "work", "tries", "served", "refused", "failed"}}
	for k, r := range results {
		for i, s := range r.Timeline {
			rows = append(rows, []string{policies[k], strconv.Itoa(i), fmt.Sprint(s.OfferedWeight), fmt.Sprint(s.GoodputWeight), fmt.Sprint(s.OfferedWork), strconv.Itoa(s.Attempts),
				strconv.Itoa(s.Served), strconv.Itoa(s.Rejected), strconv.Itoa(s.Failed)})
		}
	}
	return out.WriteAll(rows)
}

func modelSweepCommand() *cobra.Command {
	var out string
	var workers int
	cmd := &cobra.Command{Use: "sweep FILE", Short: "Run an experiment over all cores; one that was stopped goes on",
		Long: "sweep plays all runs of an experiment and keeps their measures in a file, one line of JSON a run, in the order of the\n" +
			"plan. Where the file is there already it goes on behind its last whole line." + statuses,
		Example: "  cataloguectl model sweep examples/load.sexp --output load.results",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := newPrinter(cmd)
			e, err := experiment.Load(args[0])
			if err != nil {
				return inputError{err}
			}
			if out == "" {
				out = strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0])) + ".results"
			}
			jobs, err := e.Plan()
			if err != nil {
				return inputError{err}
			}
			ctx, stop := interrupted(cmd)
			defer stop()
			if err := experiment.Run(ctx, e, out, workers, progressOf("runs", len(jobs))); err != nil {
				return inputError{err}
			}
			r, err := experiment.ReadResults(out)
			if err != nil {
				return inputError{err}
			}
			failed, broken := 0, 0
			for _, row := range r.Rows {
				if row.Error != "" {
					failed++
					fmt.Fprintf(cmd.ErrOrStderr(), "run %d, point %d: %s\n", row.Index, row.Point, row.Error)
				}
				if len(row.Violations) > 0 {
					broken++
				}
			}
			p.line("%s: %d runs, %d of them not feasible, %d with broken rules", out, len(r.Rows), failed, broken)
			return p.object(struct {
				File        string `json:"file"`
				Runs        int    `json:"runs"`
				NotFeasible int    `json:"not_feasible"`
				Broken      int    `json:"broken"`
			}{out, len(r.Rows), failed, broken})
		}}
	cmd.Flags().StringVarP(&out, "output", "o", "", "file of the results; the experiment's name with .results if empty")
	cmd.Flags().IntVar(&workers, "workers", 0, "runs at once; 0 is one a core")
	return cmd
}

// onResults is what a command does with a file of results.
func onResults(do func(p printer, r *experiment.Results, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		r, err := experiment.ReadResults(args[0])
		if err != nil {
			return inputError{err}
		}
		return do(newPrinter(cmd), r, args[1:])
	}
}

func modelShowCommand() *cobra.Command {
	var measures []string
	var by string
	cmd := &cobra.Command{Use: "show RESULTS", Short: "Tell means of measures with their intervals",
		Long:    "show tells the mean of measures by policy, with the interval at 95 % by the bootstrap." + statuses,
		Example: "  cataloguectl model show days.results --by day --measure g,share,p99", Args: cobra.ExactArgs(1),
		RunE: onResults(func(p printer, r *experiment.Results, _ []string) error {
			for _, m := range measures {
				groups, err := r.Groups(m, by)
				if err != nil {
					return inputError{err}
				}
				for _, g := range groups {
					p.line("%-12s %-10s %-10s %10.4f  %10.4f to %.4f  %d runs, %d broke rules, %d not feasible", g.Measure, g.Label, g.Policy, g.Mean, g.Lower,
						g.Upper, g.Runs, g.RunsWithViolations, g.Infeasible)
					if err := p.object(g); err != nil {
						return err
					}
				}
			}
			return nil
		})}
	cmd.Flags().StringSliceVar(&measures, "measure", []string{"g"}, "measures")
	cmd.Flags().StringVar(&by, "by", "", "what to tell apart: a variable, or day for the kinds of day")
	return cmd
}

func modelCompareCommand() *cobra.Command {
	var measures []string
	var by, a, b string
	var worst int
	cmd := &cobra.Command{Use: "compare RESULTS", Short: "Compare two policies in pairs of equal points and seeds",
		Long: "compare tells how far one policy is over another in runs of the same point and seed, with the interval at 95 % by the\n" +
			"bootstrap over the pairs, and says so where no difference is seen." + statuses,
		Example: "  cataloguectl model compare days.results --by day --b codel\n  cataloguectl model compare days.results --b codel --worst 10",
		Args:    cobra.ExactArgs(1),
		RunE: onResults(func(p printer, r *experiment.Results, _ []string) error {
			for _, m := range measures {
				list, err := r.Compare(m, by, a, b)
				if err != nil {
					return inputError{err}
				}
				for _, d := range list {
					p.line("%v", d)
					if err := p.object(d); err != nil {
						return err
					}
				}
			}
			if worst == 0 {
				return nil
			}
			rows, common := r.WorstRuns(a, measures[0], worst)
			for _, row := range rows {
				p.line("worst for %s: %s %.4f in point %d %s, seed %d", a, measures[0], row.Measures[measures[0]], row.Point, row.Workload, row.Seed)
			}
			for _, c := range common {
				p.line("there %s is %.4g, %.4g in all: %+.1f spreads", c.Name, c.WorstMean, c.OverallMean, c.StdDevs)
			}
			return p.object(struct {
				Worst  []experiment.Row       `json:"worst"`
				Common []experiment.Deviation `json:"common"`
			}{rows, common})
		})}
	f := cmd.Flags()
	f.StringSliceVar(&measures, "measure", []string{"g"}, "measures")
	f.StringVar(&by, "by", "", "what to tell apart: a variable, or day for the kinds of day")
	f.StringVar(&a, "a", "module", "the one policy")
	f.StringVar(&b, "b", "codel", "the other")
	f.IntVar(&worst, "worst", 0, "tell the runs in which the one does worst, and what they have in common")
	return cmd
}

func modelPlotCommand() *cobra.Command {
	var measure, x, out string
	cmd := &cobra.Command{Use: "plot RESULTS", Short: "Draw a measure over what was varied, with intervals",
		Long: "plot draws the mean of a measure for each policy over a variable, with its interval at 95 %: as a picture (.svg), a page\n" +
			"with the figures (.html) or a table (.csv), by the ending of the file." + statuses,
		Example: "  cataloguectl model plot load.results --x load --measure g --output load.svg", Args: cobra.ExactArgs(1),
		RunE: onResults(func(p printer, r *experiment.Results, _ []string) error {
			groups, err := r.Groups(measure, x)
			if err != nil {
				return inputError{err}
			}
			slices.SortStableFunc(groups, func(a, b experiment.Group) int {
				switch {
				case a.X < b.X:
					return -1
				case a.X > b.X:
					return 1
				}
				return 0
			})
			chart := report.Chart{Title: r.Experiment, XLabel: x, YLabel: measure}
			index := map[string]int{}
			table := report.Section{Title: measure, Head: []string{"policy", x, "mean", "low", "high", "runs"}}
			for _, g := range groups {
				i, ok := index[g.Policy]
				if !ok {
					i = len(chart.Series)
					index[g.Policy] = i
					chart.Series = append(chart.Series, report.Series{Name: g.Policy})
				}
				if g.Runs == 0 {
					continue
				}
				l := &chart.Series[i]
				l.Points, l.Low, l.High = append(l.Points, [2]float64{g.X, g.Mean}), append(l.Low, g.Lower), append(l.High, g.Upper)
				table.Rows = append(table.Rows, []string{g.Policy, g.Label, figure(g.Mean), figure(g.Lower), figure(g.Upper), strconv.Itoa(g.Runs)})
			}
			table.Charts = []report.Chart{chart}
			err = create(out, func(f io.Writer) error {
				switch filepath.Ext(out) {
				case ".html":
					return report.Page{Title: r.Experiment, Sections: []report.Section{table}}.HTML(f)
				case ".csv":
					return csv.NewWriter(f).WriteAll(append([][]string{table.Head}, table.Rows...))
				}
				return chart.SVG(f)
			})
			if err != nil {
				return err
			}
			p.line("%s: %d policies, %d groups", out, len(chart.Series), len(groups))
			return p.object(groups)
		})}
	f := cmd.Flags()
	f.StringVar(&measure, "measure", "g", "what is drawn")
	f.StringVar(&x, "x", "load", "the variable over which it is drawn")
	f.StringVarP(&out, "output", "o", "plot.svg", "file: .svg, .html or .csv")
	return cmd
}

func modelWorstCommand() *cobra.Command {
	h := experiment.Exploration{Policy: "module", Measure: "g", Rounds: 8, PointsPerRound: 40, Seed: 1}
	var dir string
	var cases int
	cmd := &cobra.Command{Use: "worst FILE", Short: "Search for the points of a sweep's ranges at which a policy does worst",
		Long: "worst looks within the ranges of an experiment's (vary ...) forms for the points at which a policy does worst, or stays\n" +
			"furthest under another one, by the cross-entropy method, and writes the worst as experiments of their own." + statuses,
		Example: "  cataloguectl model worst examples/hunt.sexp --against codel --cases 3 --dir found", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := newPrinter(cmd)
			for _, name := range []string{h.Policy, h.BaselinePolicy} {
				if _, err := experiment.LookupPolicy(name); err != nil && name != "" {
					return err
				}
			}
			e, err := experiment.Load(args[0])
			if err != nil {
				return inputError{err}
			}
			ctx, stop := interrupted(cmd)
			defer stop()
			finds, err := e.Explore(ctx, h, progressOf("rounds", h.Rounds))
			if err != nil {
				return inputError{err}
			}
			policies := []string{h.Policy}
			if h.BaselinePolicy != "" {
				policies = append(policies, h.BaselinePolicy)
			}
			for i, f := range finds[:min(cases, len(finds))] {
				p.line("score %.4f at %s", f.Score, values(f.Values))
				if err := p.object(f); err != nil {
					return err
				}
				if dir == "" {
					continue
				}
				name := fmt.Sprintf("worst-%d", i+1)
				text := e.FormatCandidate(name, e.ConfigForm(), f, policies)
				if err := create(filepath.Join(dir, name+".sexp"), func(w io.Writer) error { _, err := io.WriteString(w, text); return err }); err != nil {
					return err
				}
			}
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&h.Policy, "policy", h.Policy, "the policy")
	f.StringVar(&h.BaselinePolicy, "against", "", "another policy, under which it is to stay")
	f.StringVar(&h.Measure, "measure", h.Measure, "of which little is bad")
	f.IntVar(&h.Rounds, "rounds", h.Rounds, "rounds of the search")
	f.IntVar(&h.PointsPerRound, "size", h.PointsPerRound, "points a round")
	f.Uint64Var(&h.Seed, "seed", h.Seed, "seed of the search")
	f.IntVar(&cases, "cases", 5, "how many of the worst points are told")
	f.StringVar(&dir, "dir", "", "directory in which they are written as experiments")
	return cmd
}

// values writes what is varied at a point.
func values(m map[string]float64) string {
	var list []string
	for name, v := range m {
		list = append(list, fmt.Sprintf("%s %.4g", name, v))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

func modelHoldCommand() *cobra.Command {
	var daemon string
	span, seeds, atOnce := 12*time.Second, 5, 3
	cmd := &cobra.Command{Use: "hold", Short: "Hold the model against the real daemon in twelve worlds",
		Long: "hold plays twelve small worlds, from calm to far over, by the real daemon over loopback and in the model, and tells share\n" +
			"and latencies of both, with all that lies further apart than 0.03 of share or 15 % of a latency." + statuses,
		Example: "  cataloguectl model hold --for 30s", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			if span < time.Second || seeds < 1 || atOnce < 1 {
				return errors.New("for, seeds and at-once must be at least 1s, 1 and 1")
			}
			if err := beside(&daemon); err != nil {
				return err
			}
			ctx, stop := interrupted(cmd)
			defer stop()
			rows, err := calibration.Compare(ctx, daemon, span, seeds, atOnce, progressOf("worlds", len(calibration.Cases())))
			if err != nil {
				return inputError{err}
			}
			missed := false
			for _, r := range rows {
				p.line("%-18s share %.3f real, %.3f model; p50 %6.1f, %6.1f ms; p99 %7.1f, %7.1f ms; tries %.2f, %.2f%s", r.CaseName, r.Daemon.ServedShare,
					r.Simulated.ServedShare, r.Daemon.P50, r.Simulated.P50, r.Daemon.P99, r.Simulated.P99, r.Daemon.AttemptsPerRequest, r.Simulated.AttemptsPerRequest, r.Deviation)
				missed = missed || r.Deviation != ""
				if err := p.object(r); err != nil {
					return err
				}
			}
			return found(missed)
		}}
	f := cmd.Flags()
	f.StringVar(&daemon, "daemon", "", "the daemon's program; the catalogue-server beside this one if empty")
	f.DurationVar(&span, "for", span, "length of each world")
	f.IntVar(&seeds, "seeds", seeds, "runs of the model for each")
	f.IntVar(&atOnce, "at-once", atOnce, "worlds that are played at once over loopback")
	return cmd
}
