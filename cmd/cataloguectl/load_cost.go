package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/loadtest"
)

// loadCostOptions are the flags of load cost.
type loadCostOptions struct {
	config loadtest.SaturationConfig
}

func newLoadCostCommand() *cobra.Command {
	opts := loadCostOptions{loadtest.SaturationConfig{Gateways: 8, OpenRequests: 8, RoundDuration: 3 * time.Second, Rounds: 5, PinnedCore: 0}}
	cmd := &cobra.Command{
		Use:   "cost",
		Short: "Measure the cost of capturing for a daemon on one core",
		Long: "cost saturates a daemon on one core in pairs of rounds, one with the capture on and one with it off, and prints the\n" +
			"medians of the ratios of on to off." +
			statusHelp,
		Example: "  cataloguectl load cost --rounds 10 --for 5s",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	addDaemonFlag(cmd, &opts.config.Daemon)
	addSaturationFlags(cmd, &opts.config, "number of connections", "number of pairs of rounds")
	return cmd
}

func (o *loadCostOptions) run(cmd *cobra.Command) error {
	out := newPrinter(cmd)
	if !isValidSaturation(&o.config) {
		return errors.New("--rounds, --gateways and --for must be more than 0, and --open must be 1 to 32")
	}
	if err := setDefaultDaemon(&o.config.Daemon); err != nil {
		return err
	}
	o.config.Progress = newProgressBar("rounds", 2*o.config.Rounds)
	result, err := loadtest.MeasureCaptureCost(cmd.Context(), o.config)
	if err != nil {
		return inputError{err}
	}
	printCaptureCost(out, o.config.Rounds, result)
	return out.encode(result)
}

// addSaturationFlags adds the flags of a measurement under a saturating load. The help texts of --gateways and --rounds differ between
// commands.
func addSaturationFlags(cmd *cobra.Command, c *loadtest.SaturationConfig, gatewaysHelp, roundsHelp string) {
	flags := cmd.Flags()
	flags.IntVar(&c.Gateways, "gateways", c.Gateways, gatewaysHelp)
	flags.IntVar(&c.OpenRequests, "open", c.OpenRequests, "number of requests that each connection keeps in flight")
	flags.DurationVar(&c.RoundDuration, "for", c.RoundDuration, "duration of each round")
	flags.IntVar(&c.Rounds, "rounds", c.Rounds, roundsHelp)
	addPinFlag(cmd, &c.PinnedCore)
}

// isValidSaturation reports whether the flags of a measurement under a saturating load are valid.
func isValidSaturation(c *loadtest.SaturationConfig) bool {
	return c.Rounds >= 1 && c.Gateways >= 1 && c.OpenRequests >= 1 && c.OpenRequests <= loadtest.MaxOpenRequests && c.RoundDuration > 0
}

// printCaptureCost prints the rounds and the median ratios.
func printCaptureCost(out printer, pairs int, result *loadtest.CaptureCost) {
	for _, round := range result.Rounds {
		out.linef("capture %-5t  %8.0f responses/s  p50 %7.3f ms  p99 %7.3f ms  p99.9 %7.3f ms  %6.2f us of CPU time per response  "+
			"%.0f records lost",
			round.Capturing, round.Rate, round.P50, round.P99, round.P999, round.CPUMicros, round.LostRecords)
	}
	out.linef("ratio of on to off, median of %d pairs: responses/s %.3f, p50 %.3f, p99 %.3f, p99.9 %.3f, CPU time per response %.3f", pairs,
		result.Ratio["rate"], result.Ratio["p50"], result.Ratio["p99"], result.Ratio["p999"], result.Ratio["cpu"])
}
