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
	arrivalsCapture string // capture whose arrivals are replayed
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
		Short:   "Load-test a daemon on loopback, with a fake interpreter and fake gateways",
		Long: "load starts the daemon with the project's own interpreter, gateways and load report receiver on loopback, and drives\n" +
			"a mixed load at it that exceeds the interpreter's capacity: requests, retries, duplicates, a broken link, a reload\n" +
			"and a drain. It checks the invariants from outside. Nothing but loopback is used." + statusHelp,
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
	flags.StringVar(&o.stateDir, "state", "", "directory in which the daemon keeps results of idempotent requests")
	flags.StringVar(&o.settings, "settings", "", "file of operators' settings for the daemon")
	flags.IntVar(&cfg.Requests, "requests", cfg.Requests, "requests, retries left out")
	flags.Float64Var(&cfg.Rate, "rate", cfg.Rate, "requests a second")
	flags.StringVar(&o.arrivalKind, "arrivals", string(arrival.Poisson),
		"arrival process: poisson, bursty, diurnal, or replay of --arrivals-of")
	flags.StringVar(&o.arrivalsCapture, "arrivals-of", "", "capture whose arrivals are replayed")
	flags.Float64Var(&cfg.Arrival.Speed, "arrivals-factor", 1, "how many times as fast")
	flags.IntVar(&cfg.Gateways, "gateways", cfg.Gateways, "connections, each of up to 32 requests in flight")
	flags.Float64Var(&cfg.IdempotentShare, "keyed", cfg.IdempotentShare, "share of the requests with an idempotency key")
	flags.Float64Var(&cfg.RepeatShare, "repeat", cfg.RepeatShare, "share of those that are sent again after they were served")
	flags.IntVar(&cfg.MaxAttempts, "tries", cfg.MaxAttempts, "maximum number of attempts of one request")
	flags.Uint64Var(&cfg.Seed, "seed", cfg.Seed, "seed of all random numbers")
	flags.IntVar(&cfg.InterpreterCores, "cores", cfg.InterpreterCores, "cores of the interpreter")
	flags.DurationVar(&cfg.MeanWork, "work", cfg.MeanWork, "mean core time of a run")
	flags.BoolVar(&cfg.CutLink, "cut-link", cfg.CutLink, "cut the interpreter's link three times")
	flags.BoolVar(&cfg.Reload, "reload", cfg.Reload, "move the interpreter and send SIGHUP half way")
	addPinFlag(cmd, &cfg.PinnedCore)
}

// addPinFlag adds the flag for the core on which the daemon runs.
func addPinFlag(cmd *cobra.Command, core *int) {
	cmd.Flags().IntVar(core, "pin", *core, "core to which the daemon is pinned; -1 is none")
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

// setArrivals sets the arrival process. A capture bounds the number of requests.
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

// daemonArgs returns the daemon's command line.
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

// printLoad prints the summary of a load test.
func printLoad(out printer, result *loadtest.Result) {
	out.linef("%d requests in %d tries over %.1f s (seed %d), %.0f tries answered a second", result.Requests, result.Attempts, result.Seconds,
		result.Seed, result.Rate)
	out.linef("served %d, refused %d, failed %d, connection lost %d, no room to send %d", result.Served, result.Rejected, result.Failed,
		result.Lost, result.Unsent)
	out.linef("share of requests served %.3f; %d repeats; %d interpreter links", result.ServedShare, result.Repeats, result.LinkCount)
	out.linef("latency of the served: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", result.P50, result.P99, result.P999)
	out.linef("daemon: exit status %d, %.2f s of CPU, peak memory %d kB", result.ExitStatus, result.DaemonCPUSeconds, result.DaemonPeakKB)
	if result.Capture != nil {
		out.linef("capture: %v records, %v lost, %v bytes, %v before compression", formatLogged(result.Capture["records"]),
			formatLogged(result.Capture["lost"]), formatLogged(result.Capture["bytes"]), formatLogged(result.Capture["raw"]))
	}
	for _, violation := range result.Violations {
		out.linef("broken rule: %s", violation)
	}
	if len(result.Violations) == 0 {
		out.linef("all rules were kept")
	}
}

// formatLogged formats a number of the daemon's log, which is ? if it is missing.
func formatLogged(v any) string {
	n, ok := v.(float64)
	if !ok {
		return "?"
	}
	return fmt.Sprintf("%.0f", n)
}
