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
		Short:   "Search a sweep's ranges for the points at which a policy does worst",
		Long: "search looks within the ranges of an experiment's (vary ...) forms for the points at which a policy does worst, or stays\n" +
			"furthest below another one, by the cross-entropy method, and writes the worst as experiments of their own." + statusHelp,
		Example: "  cataloguectl simulate search examples/hunt.sexp --against codel --cases 3 --dir found",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return opts.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.search.Policy, "policy", opts.search.Policy, "the policy")
	flags.StringVar(&opts.search.BaselinePolicy, "against", "", "baseline policy: points count by how far the policy stays below it")
	flags.StringVar(&opts.search.Measure, "measure", opts.search.Measure, "measure whose low values are bad")
	flags.IntVar(&opts.search.Rounds, "rounds", opts.search.Rounds, "rounds of the search")
	flags.IntVar(&opts.search.PointsPerRound, "size", opts.search.PointsPerRound, "points a round")
	flags.Uint64Var(&opts.search.Seed, "seed", opts.search.Seed, "seed of the search")
	flags.IntVar(&opts.printedPoints, "cases", 5, "how many of the worst points are printed")
	flags.StringVar(&opts.outputDir, "dir", "", "directory in which they are written as experiments")
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

// writeExperiment writes a point as an experiment, if a directory is given.
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

// formatValues formats the variables of a point.
func formatValues(values map[string]float64) string {
	var list []string
	for name, value := range values {
		list = append(list, fmt.Sprintf("%s %.4g", name, value))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
