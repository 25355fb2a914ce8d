package main

import (
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"tillerusher/internal/experiment"
)

// resultsExtension is what the name of a file of results ends in.
const resultsExtension = ".results"

// simulateSweepOptions are the flags of simulate sweep.
type simulateSweepOptions struct {
	output  string
	workers int
}

func newSimulateSweepCommand() *cobra.Command {
	var opts simulateSweepOptions
	cmd := &cobra.Command{
		Use:   "sweep FILE",
		Short: "Run an experiment on all cores; one that was stopped continues",
		Long: "sweep does all runs of an experiment and keeps their measures in a file, one line of JSON a run, in the order of the\n" +
			"plan. If the file is there already, it continues after its last whole line." + statusHelp,
		Example: "  cataloguectl simulate sweep examples/load.sexp --output load.results",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return opts.run(cmd, args[0]) },
	}
	cmd.Flags().StringVarP(&opts.output, "output", "o", "", "file of the results; the experiment's name with .results if empty")
	cmd.Flags().IntVar(&opts.workers, "workers", 0, "runs at once; 0 is one a core")
	return cmd
}

func (o *simulateSweepOptions) run(cmd *cobra.Command, path string) error {
	exp, err := experiment.Load(path)
	if err != nil {
		return inputError{err}
	}
	output := o.output
	if output == "" {
		output = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)) + resultsExtension
	}
	plan, err := exp.Plan()
	if err != nil {
		return inputError{err}
	}
	ctx, stop := interruptibleContext(cmd)
	defer stop()
	if err := experiment.Run(ctx, exp, output, o.workers, newProgressBar("runs", len(plan))); err != nil {
		return inputError{err}
	}
	results, err := experiment.ReadResults(output)
	if err != nil {
		return inputError{err}
	}
	return printSweep(newPrinter(cmd), output, results)
}

// sweepSummary is the JSON of a sweep.
type sweepSummary struct {
	File        string `json:"file"`
	Runs        int    `json:"runs"`
	NotFeasible int    `json:"not_feasible"`
	Broken      int    `json:"broken"`
}

// printSweep prints a sweep's summary, and the errors of its runs on standard error.
func printSweep(out printer, path string, results *experiment.Results) error {
	summary := sweepSummary{File: path, Runs: len(results.Rows)}
	for _, row := range results.Rows {
		if row.Error != "" {
			summary.NotFeasible++
			out.warnf("run %d, point %d: %s", row.Index, row.Point, row.Error)
		}
		if len(row.Violations) > 0 {
			summary.Broken++
		}
	}
	out.linef("%s: %d runs, %d of them not feasible, %d with broken rules", summary.File, summary.Runs, summary.NotFeasible, summary.Broken)
	return out.encode(summary)
}
