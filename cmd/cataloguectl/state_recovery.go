package main

import (
	"github.com/spf13/cobra"

	"tillerusher/internal/experiment"
	"tillerusher/internal/loadtest"
	"tillerusher/internal/report"
)

// stateRecoveryOptions are the flags of state recovery.
type stateRecoveryOptions struct {
	config  loadtest.RecoveryConfig
	svgPath string
}

func newStateRecoveryCommand() *cobra.Command {
	opts := stateRecoveryOptions{config: loadtest.RecoveryConfig{Config: loadtest.DefaultConfig(), Pairs: 20, Parallel: 2}}
	opts.config.Requests = 12000
	opts.config.DrainRequests = 0
	cmd := &cobra.Command{
		Use:   "recovery",
		Short: "Measure how soon a daemon recovers from a crash, with its state and without",
		Long: "recovery runs load tests in pairs of one seed. Half way the daemon is killed and started again: with the directory that it\n" +
			"left, and with none. It prints how long it took until the share of requests served was back to 95 % of before, with\n" +
			"95 % confidence intervals." + statusHelp,
		Example: "  cataloguectl state recovery --pairs 20 --picture recovery.svg",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	flags := cmd.Flags()
	cfg := &opts.config
	addDaemonFlag(cmd, &cfg.Daemon)
	flags.IntVar(&cfg.Pairs, "pairs", cfg.Pairs, "pairs of load tests")
	flags.IntVar(&cfg.Parallel, "parallel", cfg.Parallel, "load tests at a time")
	flags.IntVar(&cfg.Requests, "requests", cfg.Requests, "requests of each load test, retries left out")
	flags.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests a second")
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the first pair")
	flags.IntVar(&cfg.MaxAttempts, "tries", cfg.MaxAttempts, "maximum number of attempts of one request")
	flags.StringVar(&opts.svgPath, "picture", "", "file for a picture (SVG) of the share over time")
	return cmd
}

func (o *stateRecoveryOptions) run(cmd *cobra.Command) error {
	if err := o.config.Validate(); err != nil {
		return err
	}
	if err := setDefaultDaemon(&o.config.Daemon); err != nil {
		return err
	}
	o.config.Args = []string{"serve"}
	o.config.Progress = newProgressBar("storms", 2*o.config.Pairs)
	recoveries, err := loadtest.MeasureRecovery(cmd.Context(), o.config)
	if err != nil {
		return inputError{err}
	}
	out := newPrinter(cmd)
	violations := printRecoveries(out, recoveries)
	printDifferences(out, recoveries)
	if o.svgPath != "" {
		if err := writeFile(o.svgPath, recoveryChart(recoveries).SVG); err != nil {
			return err
		}
	}
	if err := out.encode(recoveries); err != nil {
		return err
	}
	return problemFoundIf(violations > 0)
}

// recoveryName returns what a restart is called in texts and pictures.
func recoveryName(isStateRemoved bool) string {
	if isStateRemoved {
		return "cold"
	}
	return "remembered"
}

// printRecoveries prints a line for each restart. It returns the number of violations by servers that kept their state: without it,
// requests may run twice.
func printRecoveries(out printer, recoveries []loadtest.Recovery) int {
	violations := 0
	for _, r := range recoveries {
		name := recoveryName(r.StateRemoved)
		out.linef("seed %-4d %-10s before %.3f after %.3f back after %5.2f s", r.Seed, name, r.ServedBefore, r.ServedAfter, r.RecoverySeconds)
		if !r.StateRemoved {
			violations += len(r.Violations)
		}
		for _, violation := range r.Violations {
			out.linef("  %s: broken rule: %s", name, violation)
		}
	}
	return violations
}

// printDifferences prints the differences within the pairs, and how many restarts never recovered.
func printDifferences(out printer, recoveries []loadtest.Recovery) {
	var seconds, after []float64
	unrecovered := map[bool]int{} // by StateRemoved
	for n := 0; n+1 < len(recoveries); n += 2 {
		cold, warm := recoveries[n], recoveries[n+1]
		after = append(after, warm.ServedAfter-cold.ServedAfter)
		if cold.RecoverySeconds >= 0 && warm.RecoverySeconds >= 0 {
			seconds = append(seconds, warm.RecoverySeconds-cold.RecoverySeconds)
		}
		for _, r := range []loadtest.Recovery{cold, warm} {
			if r.RecoverySeconds < 0 {
				unrecovered[r.StateRemoved]++
			}
		}
	}
	mean, low, high := experiment.ConfidenceInterval(seconds)
	out.linef("remembered less cold: back after %+.2f s (%+.2f to %+.2f) over %d pairs", mean, low, high, len(seconds))
	mean, low, high = experiment.ConfidenceInterval(after)
	out.linef("remembered less cold: share from the restart on %+.4f (%+.4f to %+.4f)", mean, low, high)
	out.linef("not back by the end: %d cold, %d remembered", unrecovered[true], unrecovered[false])
}

// recoveryChart draws the mean shares with and without the state over time, which counts from the restart.
func recoveryChart(recoveries []loadtest.Recovery) report.Chart {
	return report.Chart{
		Title:  "Share of requests served round a restart",
		XLabel: "seconds after the kill",
		YLabel: "share",
		Series: []report.Series{recoverySeries(recoveries, true), recoverySeries(recoveries, false)},
	}
}

// recoverySeries sums the steps of restarts of one kind, aligned at the restart.
func recoverySeries(recoveries []loadtest.Recovery, isStateRemoved bool) report.Series {
	sums := map[int]loadtest.SeriesPoint{} // by steps since the restart
	first, last := 0, 0
	for _, r := range recoveries {
		if r.StateRemoved != isStateRemoved {
			continue
		}
		for n, point := range r.Series {
			step := n - r.RestartStep
			sum := sums[step]
			sum.Requests += point.Requests
			sum.Served += point.Served
			sums[step] = sum
			first = min(first, step)
			last = max(last, step)
		}
	}
	series := report.Series{Name: recoveryName(isStateRemoved)}
	for step := first; step <= last; step++ {
		sum := sums[step]
		if sum.Requests == 0 {
			continue
		}
		point := report.Point{X: float64(step) * loadtest.SeriesStep.Seconds(), Y: float64(sum.Served) / float64(sum.Requests)}
		series.Points = append(series.Points, point)
	}
	return series
}
