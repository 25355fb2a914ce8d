package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/scenario"
)

// newScenarioCommand builds the scenario commands. The aliases of scenario and of its subcommands are the names of earlier versions.
func newScenarioCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "scenario",
		Aliases: []string{"rehearse"},
		Short:   "Run incidents against the real server on a simulated operating system",
		Long: "scenario runs a load and incidents against the real server, with its event loop and its connections, on a simulated\n" +
			"operating system and network in virtual time. The same seed gives the same report." + statusHelp,
	}
	cmd.AddCommand(
		newScenarioListCommand(),
		newScenarioRunCommand(),
		newScenarioExploreCommand(),
		newScenarioReplayCommand(),
		newScenarioShrinkCommand(),
	)
	return cmd
}

func newScenarioListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the built-in scenarios",
		Long:  "list prints the name and the purpose of each scenario." + statusHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := newPrinter(cmd)
			scenarios, err := scenario.Library()
			if err != nil {
				return err
			}
			for _, s := range scenarios {
				out.linef("%-20s %s", s.Name, s.Purpose)
				if err := out.encode(map[string]string{"name": s.Name, "teaches": s.Purpose}); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// scenarioRunOptions are the flags of scenario run.
type scenarioRunOptions struct {
	seed     uint64
	htmlPath string
}

func newScenarioRunCommand() *cobra.Command {
	opts := scenarioRunOptions{seed: 1}
	cmd := &cobra.Command{
		Use:   "run NAME",
		Short: "Run a scenario",
		Long: "run runs a built-in scenario, or the scenario in a file whose name ends in .sexp. The exit status is 1 if an invariant\n" +
			"is violated or an expectation is not met." + statusHelp,
		Example: "  cataloguectl scenario run rolling-deploy --seed 7\n  cataloguectl scenario run friday.sexp --page friday.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Find(args[0])
			if err != nil {
				return inputError{err}
			}
			repeat := fmt.Sprintf("cataloguectl scenario run %s --seed %d", args[0], opts.seed)
			return runScenario(newPrinter(cmd), s, opts.seed, repeat, opts.htmlPath)
		},
	}
	cmd.Flags().StringVar(&opts.htmlPath, "page", "", "output file for an HTML page with the result and charts over time")
	cmd.Flags().Uint64Var(&opts.seed, "seed", opts.seed, "seed of all random numbers")
	return cmd
}

// runScenario runs a scenario and prints its report. If an invariant is violated or an expectation is not met, it also prints repeat,
// the command that runs the scenario again. It writes a page unless pagePath is empty.
func runScenario(out printer, spec *scenario.Scenario, seed uint64, repeat, pagePath string) error {
	result, err := scenario.Run(spec, seed)
	if err != nil {
		return err
	}
	if pagePath != "" {
		if err := writeFile(pagePath, newScenarioPage(spec, result).HTML); err != nil {
			return err
		}
	}
	printReport(out, result)
	isBad := result.HasViolations() || len(result.UnmetExpectations) > 0
	if isBad {
		out.linef("to repeat: %s", repeat)
	}
	if err := out.encode(result); err != nil {
		return err
	}
	return problemFoundIf(isBad)
}

// printReport prints the report of a scenario.
func printReport(out printer, result *scenario.Report) {
	out.linef("%s, seed %d: %d requests in %d attempts; served share %.3f, p50 %.1f ms, p99 %.1f ms", result.Scenario,
		result.Seed, result.Requests, result.Attempts, result.ServedShare, result.P50, result.P99)
	out.linef("attempts: %d served, %d rejected, %d failed, %d lost with their connection, %d not sent, %d unanswered; %d runs",
		result.Served, result.Rejected, result.Failed, result.Lost, result.Unsent, result.Unanswered, result.Runs)
	out.linef("served share by second, from blank (below 0.1) to @ (0.9 or more): |%s|", sparkline(result.Seconds))
	for _, violation := range result.Violations {
		out.linef("invariant violated: %s", violation)
	}
	if unnamed := result.ViolationCount - len(result.Violations); unnamed > 0 {
		out.linef("and %d more violations", unnamed)
	}
	for _, expectation := range result.UnmetExpectations {
		out.linef("expectation not met: %s", expectation)
	}
}

// sparkline returns a text with one character per second, which shows the served share of the requests that arrived in it.
func sparkline(seconds []scenario.SecondStats) string {
	const shades = " .:-=+*#%@"
	line := make([]byte, len(seconds))
	for n, second := range seconds {
		share := float64(second.Served) / float64(max(second.Requests, 1))
		line[n] = shades[min(int(share*10), 9)]
	}
	return string(line)
}

// scenarioExploreOptions are the flags of scenario explore.
type scenarioExploreOptions struct {
	config   scenario.ExploreConfig
	duration time.Duration
}

func newScenarioExploreCommand() *cobra.Command {
	opts := scenarioExploreOptions{
		config:   scenario.ExploreConfig{FirstSeed: 1, Seeds: 1_000_000_000, MaxFindings: 5, Parallel: runtime.GOMAXPROCS(0)},
		duration: time.Minute,
	}
	cmd := &cobra.Command{
		Use:     "explore",
		Aliases: []string{"hunt"},
		Short:   "Run generated scenarios and print the violated invariants",
		Long: "explore runs short scenarios with consecutive seeds. It generates the cluster, load, network faults and incidents of\n" +
			"each from its seed. It prints the scenarios that violate an invariant, with the command that repeats them." + statusHelp,
		Example: "  cataloguectl scenario explore --for 10m\n  cataloguectl scenario explore --first 1 --seeds 1000",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	flags := cmd.Flags()
	flags.Uint64Var(&opts.config.FirstSeed, "first", opts.config.FirstSeed, "first seed")
	flags.IntVar(&opts.config.Seeds, "seeds", opts.config.Seeds, "number of seeds")
	flags.DurationVar(&opts.duration, "for", opts.duration, "maximum duration of the exploration")
	flags.IntVar(&opts.config.MaxFindings, "most", opts.config.MaxFindings, "number of findings after which the exploration ends")
	flags.IntVar(&opts.config.Parallel, "parallel", opts.config.Parallel, "number of scenarios that run at a time")
	return cmd
}

func (o *scenarioExploreOptions) run(cmd *cobra.Command) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.duration)
	defer cancel()
	o.config.Progress = newProgressBar("seeds", o.config.Seeds)
	result, err := scenario.Explore(ctx, o.config)
	if err != nil {
		return err
	}
	out := newPrinter(cmd)
	printExploration(out, result)
	if err := out.encode(result); err != nil {
		return err
	}
	return problemFoundIf(len(result.Findings) > 0)
}

// printExploration prints the totals and the findings of an exploration.
func printExploration(out printer, e *scenario.Exploration) {
	out.linef("%d scenarios: %d requests, %d attempts, %d runs; attempts: %d served, %d rejected, %d failed, %d lost with their connection",
		e.Seeds, e.Requests, e.Attempts, e.Runs, e.Served, e.Rejected, e.Failed, e.Lost)
	out.linef("simulated events and faults: %+v", e.Simulation)
	for _, finding := range e.Findings {
		problem := fmt.Sprintf("%d attempts unanswered", finding.Report.Unanswered)
		if len(finding.Report.Violations) > 0 {
			problem = finding.Report.Violations[0]
		}
		out.linef("seed %d: %s\n  to repeat: cataloguectl scenario replay %d", finding.Seed, problem, finding.Seed)
	}
}

// parseSeed parses a seed.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("found %q, want a seed: an integer from 0 to 2^64-1", text)
	}
	return seed, nil
}

func newScenarioReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "replay SEED",
		Short:   "Run the scenario that explore generates from a seed",
		Long:    "replay runs the scenario that explore generates from a seed, and prints its report." + statusHelp,
		Example: "  cataloguectl scenario replay 4711",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, err := parseSeed(args[0])
			if err != nil {
				return err
			}
			return runScenario(newPrinter(cmd), scenario.Generate(seed), seed, "cataloguectl scenario replay "+args[0], "")
		},
	}
}

func newScenarioShrinkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "shrink SEED",
		Short: "Find a smaller scenario that violates an invariant with the same seed",
		Long: "shrink reduces the scenario that explore generates from a seed as long as it violates an invariant, and prints the\n" +
			"reduced scenario and its report." + statusHelp,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, err := parseSeed(args[0])
			if err != nil {
				return err
			}
			s, err := scenario.Shrink(scenario.Generate(seed), seed)
			if err != nil {
				return err
			}
			r, err := scenario.Run(s, seed)
			if err != nil {
				return err
			}
			out := newPrinter(cmd)
			out.linef("%v", s)
			printReport(out, r)
			return out.encode(s)
		},
	}
}
