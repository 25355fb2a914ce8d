package main

import (
	"cmp"
	"encoding/csv"
	"io"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"tillerusher/internal/experiment"
	"tillerusher/internal/report"
)

// groupByHelp is the help text of the flag that groups results.
const groupByHelp = "variable to group by, or \"day\" to group by the kind of workload"

// withResults returns the RunE function of a command whose argument is a results file. It reads the file and calls run.
func withResults(run func(out printer, results *experiment.Results) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		results, err := experiment.ReadResults(args[0])
		if err != nil {
			return inputError{err}
		}
		return run(newPrinter(cmd), results)
	}
}

// simulateShowOptions are the flags of simulate show.
type simulateShowOptions struct {
	measures []string
	by       string
}

func newSimulateShowCommand() *cobra.Command {
	var opts simulateShowOptions
	cmd := &cobra.Command{
		Use:     "show RESULTS",
		Short:   "Print the means of measures with confidence intervals",
		Long:    "show prints the mean of each measure by policy, with its 95 % bootstrap confidence interval." + statusHelp,
		Example: "  cataloguectl simulate show days.results --by day --measure g,share,p99",
		Args:    cobra.ExactArgs(1),
		RunE:    withResults(opts.run),
	}
	cmd.Flags().StringSliceVar(&opts.measures, "measure", []string{"g"}, "comma-separated measures")
	cmd.Flags().StringVar(&opts.by, "by", "", groupByHelp)
	return cmd
}

func (o *simulateShowOptions) run(out printer, results *experiment.Results) error {
	for _, measure := range o.measures {
		groups, err := results.Groups(measure, o.by)
		if err != nil {
			return inputError{err}
		}
		for _, g := range groups {
			out.linef("%-12s %-10s %-10s %10.4f  %10.4f to %.4f  %d runs, %d with violated invariants, %d infeasible", g.Measure, g.Label, g.Policy,
				g.Mean, g.Lower, g.Upper, g.Runs, g.RunsWithViolations, g.Infeasible)
			if err := out.encode(g); err != nil {
				return err
			}
		}
	}
	return nil
}

// simulateCompareOptions are the flags of simulate compare.
type simulateCompareOptions struct {
	measures  []string
	by        string
	policy    string
	baseline  string
	worstRuns int
}

func newSimulateCompareCommand() *cobra.Command {
	var opts simulateCompareOptions
	cmd := &cobra.Command{
		Use:   "compare RESULTS",
		Short: "Compare two policies in pairs of runs with the same point and seed",
		Long: "compare prints the difference between two policies in runs of the same point and seed, with its 95 % bootstrap\n" +
			"confidence interval over the pairs. It marks differences that are not significant." + statusHelp,
		Example: "  cataloguectl simulate compare days.results --by day --b codel\n" +
			"  cataloguectl simulate compare days.results --b codel --worst 10",
		Args: cobra.ExactArgs(1),
		RunE: withResults(opts.run),
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&opts.measures, "measure", []string{"g"}, "comma-separated measures")
	flags.StringVar(&opts.by, "by", "", groupByHelp)
	flags.StringVar(&opts.policy, "a", "module", "policy to compare")
	flags.StringVar(&opts.baseline, "b", "codel", "baseline policy")
	flags.IntVar(&opts.worstRuns, "worst", 0,
		"number of the worst runs of policy --a to print, and how their means differ from the means of all its runs; 0 means none")
	return cmd
}

func (o *simulateCompareOptions) run(out printer, results *experiment.Results) error {
	for _, measure := range o.measures {
		differences, err := results.Compare(measure, o.by, o.policy, o.baseline)
		if err != nil {
			return inputError{err}
		}
		for _, d := range differences {
			out.linef("%v", d)
			if err := out.encode(d); err != nil {
				return err
			}
		}
	}
	if o.worstRuns == 0 {
		return nil
	}
	return o.printWorst(out, results)
}

// worstRuns is the JSON form of the runs in which a policy does worst.
type worstRuns struct {
	Worst  []experiment.Row       `json:"worst"`
	Common []experiment.Deviation `json:"common"`
}

// printWorst prints the runs in which the policy has the lowest values of the first measure, and how they differ from all its runs.
func (o *simulateCompareOptions) printWorst(out printer, results *experiment.Results) error {
	measure := o.measures[0]
	rows, common := results.WorstRuns(o.policy, measure, o.worstRuns)
	for _, row := range rows {
		out.linef("worst for %s: %s %.4f in point %d %s, seed %d", o.policy, measure, row.Measures[measure], row.Point, row.Workload, row.Seed)
	}
	for _, d := range common {
		out.linef("mean of %s: %.4g in the worst runs, %.4g in all runs: %+.1f standard deviations", d.Name, d.WorstMean,
			d.OverallMean, d.StdDevs)
	}
	return out.encode(worstRuns{rows, common})
}

// simulatePlotOptions are the flags of simulate plot.
type simulatePlotOptions struct {
	measure  string
	variable string
	output   string
}

func newSimulatePlotCommand() *cobra.Command {
	var opts simulatePlotOptions
	cmd := &cobra.Command{
		Use:   "plot RESULTS",
		Short: "Plot a measure over a variable, with confidence intervals",
		Long: "plot draws the mean of a measure over a variable for each policy, with its 95 % confidence interval. The extension of\n" +
			"the output file selects a chart (.svg), a page with chart and table (.html) or a table (.csv)." + statusHelp,
		Example: "  cataloguectl simulate plot load.results --x load --measure g --output load.svg",
		Args:    cobra.ExactArgs(1),
		RunE:    withResults(opts.run),
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.measure, "measure", "g", "measure on the y axis")
	flags.StringVar(&opts.variable, "x", "load", "variable on the x axis")
	flags.StringVarP(&opts.output, "output", "o", "plot.svg", "output file: .svg, .html or .csv")
	return cmd
}

func (o *simulatePlotOptions) run(out printer, results *experiment.Results) error {
	groups, err := results.Groups(o.measure, o.variable)
	if err != nil {
		return inputError{err}
	}
	slices.SortStableFunc(groups, func(a, b experiment.Group) int { return cmp.Compare(a.X, b.X) })
	section := o.plot(results.Experiment, groups)
	chart := section.Charts[0]
	err = writeOutput(o.output, func(w io.Writer) error {
		switch filepath.Ext(o.output) {
		case ".html":
			return report.Page{Title: results.Experiment, Sections: []report.Section{section}}.HTML(w)
		case ".csv":
			return csv.NewWriter(w).WriteAll(append([][]string{section.Header}, section.Rows...))
		}
		return chart.SVG(w)
	})
	if err != nil {
		return err
	}
	out.linef("%s: %d policies, %d groups", o.output, len(chart.Series), len(groups))
	return out.encode(groups)
}

// plot returns a section with a table of the groups and a chart with a series for each policy. Groups without runs add a series for
// their policy, but no point and no table row.
func (o *simulatePlotOptions) plot(title string, groups []experiment.Group) report.Section {
	chart := report.Chart{Title: title, XLabel: o.variable, YLabel: o.measure}
	section := report.Section{Title: o.measure, Header: []string{"policy", o.variable, "mean", "low", "high", "runs"}}
	seriesOf := map[string]int{} // index by policy
	for _, group := range groups {
		n, ok := seriesOf[group.Policy]
		if !ok {
			n = len(chart.Series)
			seriesOf[group.Policy] = n
			chart.Series = append(chart.Series, report.Series{Name: group.Policy})
		}
		if group.Runs == 0 {
			continue
		}
		series := &chart.Series[n]
		series.Points = append(series.Points, report.Point{X: group.X, Y: group.Mean})
		series.Low = append(series.Low, group.Lower)
		series.High = append(series.High, group.Upper)
		section.Rows = append(section.Rows, []string{
			group.Policy,
			group.Label,
			formatFixed(group.Mean, 3),
			formatFixed(group.Lower, 3),
			formatFixed(group.Upper, 3),
			strconv.Itoa(group.Runs),
		})
	}
	section.Charts = []report.Chart{chart}
	return section
}
