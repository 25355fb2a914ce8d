package main

import (
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"tillerusher/internal/experiment"
)

// simulateSearchOptions are the flags of simulate search.
type simulateSearchOptions struct {
	search        experiment.Exploration
	printedPoints int
	outputDir     string
}

func newSimulateSearchCommand() *cobra.Command {
	opts := simulateSearchOptions{search: experiment.Exploration{Policy: "module", Measure: "g", Rounds: 8, PointsPerRound: 40, Seed: 1}}
	cmd := &cobra.Command{
		Use:     "search FILE",
		Aliases: []string{"worst"},
		Short:   "Search the ranges of a sweep for the points at which a policy does worst",
		Long: "search uses the cross-entropy method to find points within the ranges of an experiment's (vary ...) forms at which a\n" +
			"policy does worst, or worst relative to a baseline policy. It prints the worst points, and with --dir writes each of\n" +
			"them as an experiment." + statusHelp,
		Example: "  cataloguectl simulate search examples/hunt.sexp --against codel --cases 3 --dir found",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return opts.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.search.Policy, "policy", opts.search.Policy, "policy for which to search")
	flags.StringVar(&opts.search.BaselinePolicy, "against", "",
		"baseline policy: the score of a point is the policy's measure minus the baseline's")
	flags.StringVar(&opts.search.Measure, "measure", opts.search.Measure, "measure whose low values are bad")
	flags.IntVar(&opts.search.Rounds, "rounds", opts.search.Rounds, "number of rounds of the search")
	flags.IntVar(&opts.search.PointsPerRound, "size", opts.search.PointsPerRound, "number of points per round")
	flags.Uint64Var(&opts.search.Seed, "seed", opts.search.Seed, "seed of the search's random numbers")
	flags.IntVar(&opts.printedPoints, "cases", 5, "number of the worst points to print")
	flags.StringVar(&opts.outputDir, "dir", "", "directory in which these points are written as experiments; empty means none")
	return cmd
}

func (o *simulateSearchOptions) run(cmd *cobra.Command, path string) error {
	for _, name := range []string{o.search.Policy, o.search.BaselinePolicy} {
		if name == "" {
			continue
		}
		if _, err := experiment.LookupPolicy(name); err != nil {
			return err
		}
	}
	exp, err := experiment.Load(path)
	if err != nil {
		return inputError{err}
	}
	ctx, stop := interruptibleContext(cmd)
	defer stop()
	candidates, err := exp.Explore(ctx, o.search, newProgressBar("rounds", o.search.Rounds))
	if err != nil {
		return inputError{err}
	}
	out := newPrinter(cmd)
	for n, candidate := range candidates[:min(o.printedPoints, len(candidates))] {
		out.linef("score %.4f at %s", candidate.Score, formatValues(candidate.Values))
		if err := out.encode(candidate); err != nil {
			return err
		}
		if err := o.writeExperiment(exp, n+1, candidate); err != nil {
			return err
		}
	}
	return nil
}

// writeExperiment writes a point as an experiment file, if an output directory is set.
func (o *simulateSearchOptions) writeExperiment(exp *experiment.Experiment, number int, candidate experiment.Candidate) error {
	if o.outputDir == "" {
		return nil
	}
	policies := []string{o.search.Policy}
	if o.search.BaselinePolicy != "" {
		policies = append(policies, o.search.BaselinePolicy)
	}
	name := fmt.Sprintf("worst-%d", number)
	text := exp.FormatCandidate(name, exp.ConfigForm(), candidate, policies)
	return writeOutput(filepath.Join(o.outputDir, name+".sexp"), func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	})
}

// formatValues formats the values of a point's variables as a comma-separated list, sorted by name.
func formatValues(values map[string]float64) string {
	var list []string
	for name, value := range values {
		list = append(list, fmt.Sprintf("%s %.4g", name, value))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
