package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"tillerusher/internal/arrival"
	"tillerusher/internal/capture"
	"tillerusher/internal/loadtest"
)

func stormCommand() *cobra.Command {
	c := loadtest.Defaults()
	var dir, settings, state, recorded string
	c.Arrival = arrival.Config{BurstFactor: 2, BurstFraction: 0.2, MeanBurst: 2 * time.Second, Amplitude: 0.5, Period: 10 * time.Second}
	cmd := &cobra.Command{Use: "storm", Short: "Start a daemon with stand-ins on loopback and drive a bounded storm at it",
		Long: "storm starts the daemon with the project's own interpreter, gateways and announce service on loopback, and drives\n" +
			"a mixed load at it that asks for more than the interpreter can do: first tries, further tries, repeats, a lost\n" +
			"link, a reload and a drain. It checks the rules from outside. Nothing but loopback is used." + statuses,
		Example: "  cataloguectl storm\n  cataloguectl storm --capture /tmp/storm && cataloguectl replay /tmp/storm\n" +
			"  cataloguectl storm --requests 2000 --rate 300 --json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			if recorded != "" {
				times, err := capture.ReadArrivals(recorded)
				if err != nil {
					return inputError{err}
				}
				c.Arrival.Kind, c.Arrival.Times, c.Requests = arrival.Replay, times, min(c.Requests, len(times))
			}
			if err := c.Validate(); err != nil {
				return err
			}
			if err := beside(&c.Daemon); err != nil {
				return err
			}
			c.Args = []string{"serve"}
			if settings != "" {
				c.Args = append(c.Args, "--settings", settings)
			}
			if state != "" {
				c.Args = append(c.Args, "--state", state)
			}
			if dir != "" {
				c.Args = append(c.Args, "--capture", dir)
			}
			c.Progress = progress(c.Requests)
			r, err := loadtest.Run(cmd.Context(), c)
			if err != nil {
				return inputError{err}
			}
			printStorm(p, r)
			if err := p.object(r); err != nil {
				return err
			}
			return found(len(r.Violations) > 0)
		}}
	cmd.AddCommand(costCommand())
	f := cmd.Flags()
	f.StringVar(&c.Daemon, "daemon", "", "the daemon's program; the catalogue-server beside this one if empty")
	f.StringVar(&dir, "capture", "", "directory in which the daemon records what it is told and decides")
	f.StringVar(&state, "state", "", "directory in which the daemon keeps results of keyed requests")
	f.StringVar(&settings, "settings", "", "file of operators' settings for the daemon")
	f.IntVar(&c.Requests, "requests", c.Requests, "first tries")
	f.Float64Var(&c.Rate, "rate", c.Rate, "first tries a second")
	f.StringVar((*string)(&c.Arrival.Kind), "arrivals", string(arrival.Poisson), "how first tries come: poisson, bursty, diurnal, or replay of --arrivals-of")
	f.StringVar(&recorded, "arrivals-of", "", "capture whose arrivals are played again")
	f.Float64Var(&c.Arrival.Speed, "arrivals-factor", 1, "how many times as fast")
	f.IntVar(&c.Gateways, "gateways", c.Gateways, "connections, each of up to 32 open requests")
	f.Float64Var(&c.IdempotentShare, "keyed", c.IdempotentShare, "part of the requests that must run once only")
	f.Float64Var(&c.RepeatShare, "repeat", c.RepeatShare, "part of those that come again after they were served")
	f.IntVar(&c.MaxAttempts, "tries", c.MaxAttempts, "tries of one request at the most")
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of all that is drawn")
	f.IntVar(&c.InterpreterCores, "cores", c.InterpreterCores, "cores of the interpreter")
	f.DurationVar(&c.MeanWork, "work", c.MeanWork, "mean time of a core that a run takes")
	f.BoolVar(&c.CutLink, "cut-link", c.CutLink, "cut the interpreter's link three times")
	f.BoolVar(&c.Reload, "reload", c.Reload, "move the interpreter and send SIGHUP half way")
	f.IntVar(&c.PinnedCore, "pin", c.PinnedCore, "core on which the daemon is kept; -1 is any")
	return cmd
}

// beside fills in the daemon that lies beside this program.
func beside(daemon *string) error {
	if *daemon != "" {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	*daemon = filepath.Join(filepath.Dir(self), "catalogue-server")
	return nil
}

func costCommand() *cobra.Command {
	c := loadtest.SaturationConfig{Gateways: 8, OpenRequests: 8, RoundDuration: 3 * time.Second, Rounds: 5, PinnedCore: 0}
	cmd := &cobra.Command{Use: "cost", Short: "Measure what capturing costs a daemon on one core",
		Long: "cost has a daemon on one core answer as much as it can, with the capture on and off in turn, and prints the\n" +
			"median of the ratios." + statuses,
		Example: "  cataloguectl storm cost --rounds 10 --for 5s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			if c.Rounds < 1 || c.Gateways < 1 || c.OpenRequests < 1 || c.OpenRequests > 32 || c.RoundDuration <= 0 {
				return fmt.Errorf("rounds, gateways and time must be more than 0, open requests 1 to 32")
			}
			if err := beside(&c.Daemon); err != nil {
				return err
			}
			c.Progress = progress(2 * c.Rounds)
			r, err := loadtest.MeasureCaptureCost(cmd.Context(), c)
			if err != nil {
				return inputError{err}
			}
			for _, l := range r.Rounds {
				p.line("capture %-5t  %8.0f answers/s  p50 %7.3f ms  p99 %7.3f ms  p99.9 %7.3f ms  %6.2f us of CPU  %.0f records lost",
					l.Capturing, l.Rate, l.P50, l.P99, l.P999, l.CPUMicros, l.LostRecords)
			}
			p.line("on over off, median of %d pairs: answers/s %.3f, p50 %.3f, p99 %.3f, p99.9 %.3f, CPU an answer %.3f", c.Rounds,
				r.Ratio["rate"], r.Ratio["p50"], r.Ratio["p99"], r.Ratio["p999"], r.Ratio["cpu"])
			return p.object(r)
		}}
	f := cmd.Flags()
	f.StringVar(&c.Daemon, "daemon", "", "the daemon's program; the catalogue-server beside this one if empty")
	holdFlags(cmd, &c, "connections", "pairs of rounds")
	return cmd
}

// holdFlags are the flags of a measurement at full load.
func holdFlags(cmd *cobra.Command, c *loadtest.SaturationConfig, gateways, rounds string) {
	f := cmd.Flags()
	f.IntVar(&c.Gateways, "gateways", c.Gateways, gateways)
	f.IntVar(&c.OpenRequests, "open", c.OpenRequests, "requests that each connection keeps open")
	f.DurationVar(&c.RoundDuration, "for", c.RoundDuration, "length of each round")
	f.IntVar(&c.Rounds, "rounds", c.Rounds, rounds)
	f.IntVar(&c.PinnedCore, "pin", c.PinnedCore, "core on which the daemon is kept; -1 is any")
}

// progress shows a bar of requests on a terminal, and nothing elsewhere.
func progress(total int) func(done, of int) { return progressOf("requests", total) }

// progressOf shows a bar with the time that is left on a terminal, and nothing elsewhere.
func progressOf(what string, total int) func(done, of int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(),
		progressbar.OptionSetDescription(what), progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	return func(done, _ int) {
		bar.Set(done) // a bar that can't be drawn is no reason to stop
	}
}

// printStorm prints the summary of a storm.
func printStorm(p printer, r *loadtest.Result) {
	p.line("%d requests in %d tries over %.1f s (seed %d), %.0f tries answered a second", r.Requests, r.Attempts, r.Seconds, r.Seed, r.Rate)
	p.line("served %d, refused %d, failed %d, connection lost %d, no room to send %d", r.Served, r.Rejected, r.Failed, r.Lost, r.Unsent)
	p.line("share of requests served %.3f; %d repeats; %d interpreter links", r.ServedShare, r.Repeats, r.LinkCount)
	p.line("latency of the served: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms", r.P50, r.P99, r.P999)
	p.line("daemon: exit status %d, %.2f s of CPU, peak memory %d kB", r.ExitStatus, r.DaemonCPUSeconds, r.DaemonPeakKB)
	if r.Capture != nil {
		p.line("capture: %v records, %v lost, %v bytes, %v before compression", whole(r.Capture["records"]),
			whole(r.Capture["lost"]), whole(r.Capture["bytes"]), whole(r.Capture["raw"]))
	}
	for _, b := range r.Violations {
		p.line("broken rule: %s", b)
	}
	if len(r.Violations) == 0 {
		p.line("all rules were kept")
	}
}

// whole writes a figure of the daemon's log.
func whole(v any) string {
	n, ok := v.(float64)
	if !ok {
		return "?"
	}
	return fmt.Sprintf("%.0f", n)
}
