package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"tillerusher/internal/arrival"
	"tillerusher/internal/capture"
	"tillerusher/internal/loadtest"
)

// loadOptions are the flags of load.
type loadOptions struct {
	config          loadtest.Config
	captureDir      string
	stateDir        string
	settings        string
	arrivalsCapture string // path of a capture whose arrival times are used; empty means none
	arrivalKind     string
}

func newLoadCommand() *cobra.Command {
	opts := loadOptions{config: loadtest.DefaultConfig()}
	opts.config.Arrival = arrival.Config{
		BurstFactor:   2,
		BurstFraction: 0.2,
		MeanBurst:     2 * time.Second,
		Amplitude:     0.5,
		Period:        10 * time.Second,
	}
	cmd := &cobra.Command{
		Use:     "load",
		Aliases: []string{"storm"},
		Short:   "Load-test a daemon over loopback, with a fake interpreter and fake gateways",
		Long: "load starts the daemon with a fake interpreter, fake gateways and a fake load report receiver on loopback. It sends\n" +
			"a mixed load that exceeds the interpreter's capacity: requests, retries and duplicates. It cuts the interpreter's\n" +
			"link, reloads the configuration and drains the daemon. It checks the invariants from outside the daemon. It uses no\n" +
			"network but loopback." + statusHelp,
		Example: "  cataloguectl load\n  cataloguectl load --capture /tmp/capture && cataloguectl replay /tmp/capture\n" +
			"  cataloguectl load --requests 2000 --rate 300 --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return opts.run(cmd) },
	}
	cmd.AddCommand(newLoadCostCommand())
	opts.addFlags(cmd)
	return cmd
}

func (o *loadOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	cfg := &o.config
	addDaemonFlag(cmd, &cfg.Daemon)
	flags.StringVar(&o.captureDir, "capture", "", "directory in which the daemon records its inputs and decisions")
	flags.StringVar(&o.stateDir, "state", "", "directory in which the daemon stores results of idempotent requests")
	flags.StringVar(&o.settings, "settings", "", "operators' settings file for the daemon")
	flags.IntVar(&cfg.Requests, "requests", cfg.Requests, "number of requests, without retries")
	flags.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests per second")
	flags.StringVar(&o.arrivalKind, "arrivals", string(arrival.Poisson),
		"arrival process: poisson, bursty, diurnal, or replay of --arrivals-of")
	flags.StringVar(&o.arrivalsCapture, "arrivals-of", "", "capture whose arrival times are replayed")
	flags.Float64Var(&cfg.Arrival.Speed, "arrivals-factor", 1, "speed of the replayed arrivals, as a multiple of the recorded speed")
	flags.IntVar(&cfg.Gateways, "gateways", cfg.Gateways, "number of connections, each with up to 32 requests in flight")
	flags.Float64Var(&cfg.IdempotentShare, "keyed", cfg.IdempotentShare, "share of the requests with an idempotency key")
	flags.Float64Var(&cfg.RepeatShare, "repeat", cfg.RepeatShare,
		"share of the requests with a key that are sent again after they were served")
	flags.IntVar(&cfg.MaxAttempts, "tries", cfg.MaxAttempts, "maximum number of attempts of one request")
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all random numbers")
	flags.IntVar(&cfg.InterpreterCores, "cores", cfg.InterpreterCores, "number of cores of the interpreter")
	flags.DurationVar(&cfg.MeanWork, "work", cfg.MeanWork, "mean core time of a run")
	flags.BoolVar(&cfg.CutLink, "cut-link", cfg.CutLink, "cut the link to the interpreter three times")
	flags.BoolVar(&cfg.Reload, "reload", cfg.Reload, "halfway, move the interpreter to another address and send SIGHUP")
	addPinFlag(cmd, &cfg.PinnedCore)
}

// addPinFlag adds the flag for the core to which the daemon is pinned.
func addPinFlag(cmd *cobra.Command, core *int) {
	cmd.Flags().IntVar(core, "pin", *core, "number of the core to which the daemon is pinned; -1 means no pinning")
}

func (o *loadOptions) run(cmd *cobra.Command) error {
	out := newPrinter(cmd)
	if err := o.setArrivals(); err != nil {
		return err
	}
	if err := o.config.Validate(); err != nil {
		return err
	}
	if err := setDefaultDaemon(&o.config.Daemon); err != nil {
		return err
	}
	o.config.Args = o.daemonArgs()
	o.config.Progress = newProgressBar("requests", o.config.Requests)
	result, err := loadtest.Run(cmd.Context(), o.config)
	if err != nil {
		return inputError{err}
	}
	printLoad(out, result)
	if err := out.encode(result); err != nil {
		return err
	}
	return problemFoundIf(len(result.Violations) > 0)
}

// setArrivals sets the arrival process. With a capture, the number of requests is at most the number of recorded arrivals.
func (o *loadOptions) setArrivals() error {
	cfg := &o.config
	cfg.Arrival.Kind = arrival.Kind(o.arrivalKind)
	if o.arrivalsCapture == "" {
		return nil
	}
	times, err := capture.ReadArrivals(o.arrivalsCapture)
	if err != nil {
		return inputError{err}
	}
	cfg.Arrival.Kind = arrival.Replay
	cfg.Arrival.Times = times
	cfg.Requests = min(cfg.Requests, len(times))
	return nil
}

// daemonArgs returns the daemon's command-line arguments.
func (o *loadOptions) daemonArgs() []string {
	args := []string{"serve"}
	for _, flag := range []struct{ name, value string }{
		{"--settings", o.settings},
		{"--state", o.stateDir},
		{"--capture", o.captureDir},
	} {
		if flag.value != "" {
			args = append(args, flag.name, flag.value)
		}
	}
	return args
}

// printLoad prints the result of a load test.
func printLoad(out printer, result *loadtest.Result) {
	out.linef("%d requests in %d attempts over %.1f s (seed %d), %.0f attempts answered per second", result.Requests, result.Attempts,
		result.Seconds, result.Seed, result.Rate)
	out.linef("attempts: %d served, %d rejected, %d failed, %d lost with their connection, %d not sent because all connections were full",
		result.Served, result.Rejected, result.Failed, result.Lost, result.Unsent)
	out.linef("served share of requests %.3f; %d repeats of served requests; %d interpreter links", result.ServedShare, result.Repeats,
		result.LinkCount)
	out.linef("latency of served requests: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", result.P50, result.P99, result.P999)
	out.linef("daemon: exit status %d, %.2f s of CPU time, peak memory %d kB", result.ExitStatus, result.DaemonCPUSeconds, result.DaemonPeakKB)
	if result.Capture != nil {
		out.linef("capture: %v records, %v lost, %v bytes, %v bytes before compression", formatLogged(result.Capture["records"]),
			formatLogged(result.Capture["lost"]), formatLogged(result.Capture["bytes"]), formatLogged(result.Capture["raw"]))
	}
	for _, violation := range result.Violations {
		out.linef("invariant violated: %s", violation)
	}
	if len(result.Violations) == 0 {
		out.linef("no invariant was violated")
	}
}

// formatLogged formats a number from the daemon's log. A missing number is formatted as "?".
func formatLogged(v any) string {
	n, ok := v.(float64)
	if !ok {
		return "?"
	}
	return fmt.Sprintf("%.0f", n)
}
