package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/calibration"
)

// simulateCalibrateOptions are the flags of simulate calibrate.
type simulateCalibrateOptions struct {
	daemon   string
	length   time.Duration
	seeds    int
	parallel int
}

func newSimulateCalibrateCommand() *cobra.Command {
	opts := simulateCalibrateOptions{length: 12 * time.Second, seeds: 5, parallel: 3}
	cmd := &cobra.Command{
		Use:     "calibrate",
		Aliases: []string{"hold"},
		Short:   "Compare the simulation with the real daemon in twelve workloads",
		Long: "calibrate runs twelve small workloads, from a low load to a load far above the capacity, with the real daemon over\n" +
			"loopback and in the simulation. It prints the served shares and latencies of both, and the differences of more than\n" +
			"0.03 in the share or 15 % in a latency." + statusHelp,
		Example: "  cataloguectl simulate calibrate --for 30s",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	flags := cmd.Flags()
	addDaemonFlag(cmd, &opts.daemon)
	flags.DurationVar(&opts.length, "for", opts.length, "duration of each workload")
	flags.IntVar(&opts.seeds, "seeds", opts.seeds, "number of seeds with which each workload is run")
	flags.IntVar(&opts.parallel, "at-once", opts.parallel, "number of runs at a time; each workload has one run per seed")
	return cmd
}

func (o *simulateCalibrateOptions) run(cmd *cobra.Command) error {
	if o.length < time.Second || o.seeds < 1 || o.parallel < 1 {
		return errors.New("--for must be at least 1s, and --seeds and --at-once must be at least 1")
	}
	if err := setDefaultDaemon(&o.daemon); err != nil {
		return err
	}
	ctx, stop := interruptibleContext(cmd)
	defer stop()
	progress := newProgressBar("runs", len(calibration.Cases()))
	rows, err := calibration.Compare(ctx, o.daemon, o.length, o.seeds, o.parallel, progress)
	if err != nil {
		return inputError{err}
	}
	out := newPrinter(cmd)
	hasDeviation := false
	for _, row := range rows {
		out.linef("%-18s served share %.3f daemon, %.3f simulation; p50 %6.1f, %6.1f ms; p99 %7.1f, %7.1f ms; "+
			"attempts per request %.2f, %.2f%s", row.CaseName, row.Daemon.ServedShare, row.Simulated.ServedShare,
			row.Daemon.P50, row.Simulated.P50, row.Daemon.P99, row.Simulated.P99,
			row.Daemon.AttemptsPerRequest, row.Simulated.AttemptsPerRequest, row.Deviation)
		hasDeviation = hasDeviation || row.Deviation != ""
		if err := out.encode(row); err != nil {
			return err
		}
	}
	return problemFoundIf(hasDeviation)
}
