package main

import (
	"errors"
	"os"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/faultfs"
	"tillerusher/internal/loadtest"
)

// stateCostOptions are the flags of state cost.
type stateCostOptions struct {
	config loadtest.StateCostConfig
}

func newStateCostCommand() *cobra.Command {
	opts := stateCostOptions{loadtest.StateCostConfig{
		SaturationConfig: loadtest.SaturationConfig{Gateways: 8, OpenRequests: 8, RoundDuration: 5 * time.Second, Rounds: 5, PinnedCore: 0},
		IdempotentRate:   100,
		FaultProfile:     faultfs.Profile{StallTime: 100 * time.Millisecond, StallInterval: time.Second},
	}}
	cmd := &cobra.Command{
		Use:   "cost",
		Short: "Measure the cost of keeping state for a daemon on one core",
		Long: "cost saturates a daemon on one core with lookups, and sends idempotent requests at a fixed rate on a separate connection.\n" +
			"It measures, in turn, a daemon that keeps no state, one that keeps it on the disk of the temporary directory, and one that\n" +
			"keeps it on that disk with injected stalls. It prints the medians of the ratios to the rounds without state." + statusHelp,
		Example: "  cataloguectl state cost --keyed-rate 500 --rounds 3\n  cataloguectl state cost --stall 100ms --every 500ms",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	addStallFlags(cmd, &opts.config.FaultProfile)
	cmd.Flags().Float64Var(&opts.config.IdempotentRate, "keyed-rate", opts.config.IdempotentRate, "idempotent requests per second")
	addSaturationFlags(cmd, &opts.config.SaturationConfig, "number of connections for lookups", "number of rounds per disk")
	return cmd
}

func (o *stateCostOptions) run(cmd *cobra.Command) error {
	if !isValidSaturation(&o.config.SaturationConfig) || !(o.config.IdempotentRate > 0) {
		return errors.New("--rounds, --gateways, --for and --keyed-rate must be more than 0, and --open must be 1 to 32")
	}
	if err := o.config.FaultProfile.Validate(); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o.config.Daemon = self // state serve runs this program as the server
	o.config.Progress = newProgressBar("rounds", 3*o.config.Rounds)
	result, err := loadtest.MeasureStateCost(cmd.Context(), o.config)
	if err != nil {
		return inputError{err}
	}
	out := newPrinter(cmd)
	printStateCost(out, o.config.Rounds, result)
	return out.encode(result)
}

// printStateCost prints the rounds and the median ratios.
func printStateCost(out printer, rounds int, result *loadtest.StateCost) {
	for _, round := range result.Rounds {
		out.linef("disk %-8s  lookups %8.0f/s p50 %7.3f p99 %7.3f p99.9 %7.3f ms  "+
			"idempotent %5.0f/s p50 %7.3f p99 %7.3f p99.9 %7.3f ms, %d not served, %.2f syncs per request", round.Disk,
			round.Lookups.Rate, round.Lookups.P50, round.Lookups.P99, round.Lookups.P999,
			round.Idempotent.Rate, round.Idempotent.P50, round.Idempotent.P99, round.Idempotent.P999, round.Rejected, round.Syncs)
	}
	for _, disk := range []loadtest.Disk{loadtest.HealthyDisk, loadtest.FaultyDisk} {
		for _, class := range []string{loadtest.LookupClass, loadtest.IdempotentClass} {
			ratio := result.Ratio[disk][class]
			out.linef("disk %s relative to none, %s, median of %d rounds: rate %.3f, p50 %.3f, p99 %.3f, p99.9 %.3f", disk, class, rounds,
				ratio["rate"], ratio["p50"], ratio["p99"], ratio["p999"])
		}
		out.linef("disk %s relative to none, CPU time per lookup: %.3f", disk, result.Ratio[disk][loadtest.LookupClass]["cpu"])
	}
}
