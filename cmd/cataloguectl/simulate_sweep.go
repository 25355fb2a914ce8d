package main

import (
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"tillerusher/internal/experiment"
)

// resultsExtension is the extension of the default name of a results file.
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
		Short: "Run an experiment on all cores, or resume an interrupted one",
		Long: "sweep executes all runs of an experiment and writes their measures to a results file, one line of JSON per run, in the\n" +
			"order of the plan. If the file exists, sweep resumes after its last complete line." + statusHelp,
		Example: "  cataloguectl simulate sweep examples/load.sexp --output load.results",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return opts.run(cmd, args[0]) },
	}
	cmd.Flags().StringVarP(&opts.output, "output", "o", "",
		"results file; if empty, FILE with the extension .results in the current directory")
	cmd.Flags().IntVar(&opts.workers, "workers", 0, "number of runs at a time; 0 means one per core")
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

// sweepSummary is the JSON form of the summary of a sweep.
type sweepSummary struct {
	File           string `json:"file"`
	Runs           int    `json:"runs"`
	Infeasible     int    `json:"not_feasible"`
	WithViolations int    `json:"broken"`
}

// printSweep prints a summary of a sweep, and the errors of its runs to standard error.
func printSweep(out printer, path string, results *experiment.Results) error {
	summary := sweepSummary{File: path, Runs: len(results.Rows)}
	for _, row := range results.Rows {
		if row.Error != "" {
			summary.Infeasible++
			out.warnf("run %d, point %d: %s", row.Index, row.Point, row.Error)
		}
		if len(row.Violations) > 0 {
			summary.WithViolations++
		}
	}
	out.linef("%s: %d runs, %d infeasible, %d with violated invariants", summary.File, summary.Runs, summary.Infeasible,
		summary.WithViolations)
	return out.encode(summary)
}
