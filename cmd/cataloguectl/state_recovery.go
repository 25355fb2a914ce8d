package main

import (
	"github.com/spf13/cobra"

	"tillerusher/internal/experiment"
	"tillerusher/internal/loadtest"
	"tillerusher/internal/report"
)

func stateRecoveryCommand() *cobra.Command {
	c := loadtest.RecoveryConfig{Config: loadtest.Defaults(), Pairs: 20, Parallel: 2}
	c.Requests, c.DrainRequests = 12000, 0
	var picture string
	cmd := &cobra.Command{Use: "recovery", Short: "Measure how soon a daemon serves as before it was killed, with its state and without",
		Long: "recovery plays storms in pairs of one seed. Half way the daemon is killed and started again: with the folder that it\n" +
			"left, and with none. It prints how long it took until the share of requests served was back to 95 % of before, with\n" +
			"intervals at 95 %." + statuses,
		Example: "  cataloguectl state recovery --pairs 20 --picture recovery.svg",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			if err := c.Validate(); err != nil {
				return err
			}
			if err := beside(&c.Daemon); err != nil {
				return err
			}
			c.Args, c.Progress = []string{"serve"}, progressOf("storms", 2*c.Pairs)
			list, err := loadtest.MeasureRecovery(cmd.Context(), c)
			if err != nil {
				return inputError{err}
			}
			breaches := 0
			for _, r := range list {
				p.line("seed %-4d %-10s before %.3f after %.3f back after %5.2f s", r.Seed, recoveryName(r.StateRemoved), r.ServedBefore, r.ServedAfter, r.RecoverySeconds)
				if !r.StateRemoved {
					breaches += len(r.Violations)
				}
				for _, b := range r.Violations {
					p.line("  %s: broken rule: %s", recoveryName(r.StateRemoved), b)
				}
			}
			differences(p, list)
			if picture != "" {
				if err := drawRecovery(picture, list); err != nil {
					return err
				}
			}
			if err := p.object(list); err != nil {
				return err
			}
			return found(breaches > 0)
		}}
	f := cmd.Flags()
	f.StringVar(&c.Daemon, "daemon", "", "the daemon's program; the catalogue-server beside this one if empty")
	f.IntVar(&c.Pairs, "pairs", c.Pairs, "pairs of storms")
	f.IntVar(&c.Parallel, "parallel", c.Parallel, "storms at a time")
	f.IntVar(&c.Requests, "requests", c.Requests, "first tries of each storm")
	f.Float64Var(&c.Rate, "rate", c.Rate, "first tries a second")
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the first pair")
	f.IntVar(&c.MaxAttempts, "tries", c.MaxAttempts, "tries of one request at the most")
	f.StringVar(&picture, "picture", "", "file for a picture (SVG) of the share over time")
	return cmd
}

func recoveryName(cold bool) string {
	if cold {
		return "cold"
	}
	return "remembered"
}

// differences prints what the remembered ones did otherwise than the cold ones of their seeds.
func differences(p printer, list []loadtest.Recovery) {
	var seconds, after []float64
	never := map[bool]int{}
	for n := 0; n+1 < len(list); n += 2 {
		cold, warm := list[n], list[n+1]
		after = append(after, warm.ServedAfter-cold.ServedAfter)
		if cold.RecoverySeconds >= 0 && warm.RecoverySeconds >= 0 {
			seconds = append(seconds, warm.RecoverySeconds-cold.RecoverySeconds)
		}
		for _, r := range []loadtest.Recovery{cold, warm} {
			if r.RecoverySeconds < 0 {
				never[r.StateRemoved]++
			}
		}
	}
	mean, low, high := experiment.ConfidenceInterval(seconds)
	p.line("remembered less cold: back after %+.2f s (%+.2f to %+.2f) over %d pairs", mean, low, high, len(seconds))
	mean, low, high = experiment.ConfidenceInterval(after)
	p.line("remembered less cold: share from the restart on %+.4f (%+.4f to %+.4f)", mean, low, high)
	p.line("not back by the end: %d cold, %d remembered", never[true], never[false])
}

// drawRecovery draws the mean shares of both kinds over time, counted from the restart.
func drawRecovery(path string, list []loadtest.Recovery) error {
	chart := report.Chart{Title: "Share of requests served round a restart", XLabel: "seconds after the kill", YLabel: "share"}
	for _, cold := range []bool{true, false} {
		sums := map[int]loadtest.SeriesPoint{}
		least, most := 0, 0
		for _, r := range list {
			if r.StateRemoved != cold {
				continue
			}
			for n, s := range r.Series {
				sum := sums[n-r.RestartStep]
				sum.Requests, sum.Served = sum.Requests+s.Requests, sum.Served+s.Served
				sums[n-r.RestartStep] = sum
				least, most = min(least, n-r.RestartStep), max(most, n-r.RestartStep)
			}
		}
		l := report.Series{Name: recoveryName(cold)}
		for n := least; n <= most; n++ {
			if s := sums[n]; s.Requests > 0 {
				l.Points = append(l.Points, [2]float64{float64(n) * loadtest.SeriesStep.Seconds(), float64(s.Served) / float64(s.Requests)})
			}
		}
		chart.Series = append(chart.Series, l)
	}
	return writeFile(path, chart.SVG)
}
