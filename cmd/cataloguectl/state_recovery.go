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
		Short: "Measure the time that a daemon takes to recover from a crash, with and without its state",
		Long: "recovery runs pairs of load tests with the same seed. Halfway through each, the daemon is killed and restarted: in one\n" +
			"with the state directory that it left, in the other without it. recovery prints the time until the served share of\n" +
			"requests was back at 95 % of its value before the kill, and the differences with 95 % confidence intervals." + statusHelp,
		Example: "  cataloguectl state recovery --pairs 20 --picture recovery.svg",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	flags := cmd.Flags()
	cfg := &opts.config
	addDaemonFlag(cmd, &cfg.Daemon)
	flags.IntVar(&cfg.Pairs, "pairs", cfg.Pairs, "number of pairs of load tests")
	flags.IntVar(&cfg.Parallel, "parallel", cfg.Parallel, "number of load tests that run at a time")
	flags.IntVar(&cfg.Requests, "requests", cfg.Requests, "number of requests of each load test, without retries")
	flags.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests per second")
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of the first pair")
	flags.IntVar(&cfg.MaxAttempts, "tries", cfg.MaxAttempts, "maximum number of attempts of one request")
	flags.StringVar(&opts.svgPath, "picture", "", "output file for an SVG chart of the served share over time")
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
	o.config.Progress = newProgressBar("load tests", 2*o.config.Pairs)
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

// recoveryName returns the name of a restart with or without state in texts and charts.
func recoveryName(isStateRemoved bool) string {
	if isStateRemoved {
		return "without state"
	}
	return "with state"
}

// printRecoveries prints a line for each restart and its violations. It returns the number of violations by daemons that kept their
// state. Other violations don't count, because requests may run twice without the state.
func printRecoveries(out printer, recoveries []loadtest.Recovery) int {
	violations := 0
	for _, r := range recoveries {
		name := recoveryName(r.StateRemoved)
		out.linef("seed %-4d %-13s served share %.3f before, %.3f after the kill; recovered after %5.2f s (-1: never)", r.Seed, name,
			r.ServedBefore, r.ServedAfter, r.RecoverySeconds)
		if !r.StateRemoved {
			violations += len(r.Violations)
		}
		for _, violation := range r.Violations {
			out.linef("  %s: invariant violated: %s", name, violation)
		}
	}
	return violations
}

// printDifferences prints the mean differences within the pairs, and the numbers of restarts that did not recover.
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
	out.linef("with minus without state: recovery time %+.2f s (%+.2f to %+.2f) over %d pairs", mean, low, high, len(seconds))
	mean, low, high = experiment.ConfidenceInterval(after)
	out.linef("with minus without state: served share after the kill %+.4f (%+.4f to %+.4f)", mean, low, high)
	out.linef("not recovered by the end: %d without state, %d with state", unrecovered[true], unrecovered[false])
}

// recoveryChart returns a chart of the mean served shares with and without the state, over the time since the kill.
func recoveryChart(recoveries []loadtest.Recovery) report.Chart {
	return report.Chart{
		Title:  "Served share of requests around a restart",
		XLabel: "seconds after the kill",
		YLabel: "share",
		Series: []report.Series{recoverySeries(recoveries, true), recoverySeries(recoveries, false)},
	}
}

// recoverySeries returns the served share per step over all restarts with or without state, aligned at the restart.
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
