package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/spf13/cobra"

	"tillerusher/internal/faultfs"
	"tillerusher/internal/loadtest"
	"tillerusher/internal/store"
	"tillerusher/server"
)

// errServed is the status of a server that this program was.
type errServed struct{ status int }

func (e errServed) Error() string { return fmt.Sprintf("the server ended with status %d", e.status) }

// sickFlags are the flags of a disk's habits.
func sickFlags(cmd *cobra.Command, h *faultfs.Profile) {
	f := cmd.Flags()
	f.DurationVar(&h.StallTime, "stall", h.StallTime, "how long the disk stands still at a time")
	f.DurationVar(&h.StallInterval, "every", max(h.StallInterval, time.Second), "from the begin of one such time to the next")
}

func stateServeCommand() *cobra.Command {
	var h faultfs.Profile
	var dir string
	cmd := &cobra.Command{Use: "serve", Short: "Be a catalogue server that keeps its state on a sick disk",
		Long: "serve is `catalogue-server serve --state DIR` over a disk that stands still now and then or is full at times, to rehearse\n" +
			"what a server does then. Without --dir nothing is kept. It is configured as catalogue-server is, and its exit status is\n" +
			"catalogue-server's: 0 after a drain, 1 when serving failed, 2 for wrong arguments, settings or configuration.",
		Example: "  RELAY_CONFIG=/run/balancer/config.json cataloguectl state serve --dir /tmp/state --stall 100ms --every 1s\n" +
			"  RELAY_CONFIG=/run/balancer/config.json cataloguectl state serve --dir /tmp/state --full-while /tmp/full  # touch /tmp/full",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := h.Validate(); err != nil {
				return err
			}
			args := []string{"serve"}
			if dir != "" {
				args = append(args, "--state", dir)
			}
			status := server.ServeDurable(args, os.Getenv, os.Stderr, func(ctx context.Context, f server.StateDirectory) (server.DurableStore, error) {
				return store.OpenWait(ctx, store.Config{Dir: f.Path, Server: f.Server, SiteHash: f.Site, FS: faultfs.Wrap(vfs.Default, h)}, f.OnWait)
			})
			if status != 0 {
				return errServed{status}
			}
			return nil
		}}
	sickFlags(cmd, &h)
	f := cmd.Flags()
	f.StringVar(&dir, "dir", "", "directory in which results of keyed requests are kept")
	f.StringVar(&h.FullMarkerFile, "full-while", "", "file while whose presence the disk is full")
	return cmd
}

func stateCostCommand() *cobra.Command {
	c := loadtest.StateCostConfig{SaturationConfig: loadtest.SaturationConfig{Gateways: 8, OpenRequests: 8, RoundDuration: 5 * time.Second, Rounds: 5, PinnedCore: 0}, IdempotentRate: 100,
		FaultProfile: faultfs.Profile{StallTime: 100 * time.Millisecond, StallInterval: time.Second}}
	cmd := &cobra.Command{Use: "cost", Short: "Measure what keeping state costs a daemon on one core",
		Long: "cost has a daemon on one core answer as many lookups as it can, beside keyed requests at a rate on a connection of their\n" +
			"own: with nothing kept, on the disk of the temporary directory, and on that disk standing still now and then, in\n" +
			"turn. It prints the medians of the ratios to nothing kept." + statuses,
		Example: "  cataloguectl state cost --keyed-rate 500 --rounds 3\n  cataloguectl state cost --stall 100ms --every 500ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := newPrinter(cmd)
			if c.Rounds < 1 || c.Gateways < 1 || c.OpenRequests < 1 || c.OpenRequests > 32 || c.RoundDuration <= 0 || !(c.IdempotentRate > 0) {
				return errors.New("rounds, gateways, time and the rate must be more than 0, open requests 1 to 32")
			}
			if err := c.FaultProfile.Validate(); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			c.Daemon, c.Progress = self, progressOf("rounds", 3*c.Rounds)
			r, err := loadtest.MeasureStateCost(cmd.Context(), c)
			if err != nil {
				return inputError{err}
			}
			for _, l := range r.Rounds {
				p.line("disk %-8s  lookups %8.0f/s p50 %7.3f p99 %7.3f p99.9 %7.3f ms  keyed %5.0f/s p50 %7.3f p99 %7.3f p99.9 %7.3f ms, %d not served, %.2f syncs each",
					l.Disk, l.Lookups.Rate, l.Lookups.P50, l.Lookups.P99, l.Lookups.P999, l.Idempotent.Rate, l.Idempotent.P50, l.Idempotent.P99, l.Idempotent.P999, l.Rejected, l.Syncs)
			}
			for _, disk := range []loadtest.Disk{loadtest.HealthyDisk, loadtest.FaultyDisk} {
				for _, class := range []string{"lookups", "keyed"} {
					m := r.Ratio[disk][class]
					p.line("%s over none, %s, median of %d: rate %.3f, p50 %.3f, p99 %.3f, p99.9 %.3f", disk, class, c.Rounds, m["rate"], m["p50"], m["p99"], m["p999"])
				}
				p.line("%s over none, CPU a lookup: %.3f", disk, r.Ratio[disk]["lookups"]["cpu"])
			}
			return p.object(r)
		}}
	sickFlags(cmd, &c.FaultProfile)
	f := cmd.Flags()
	f.Float64Var(&c.IdempotentRate, "keyed-rate", c.IdempotentRate, "keyed requests a second")
	holdFlags(cmd, &c.SaturationConfig, "connections of lookups", "rounds of each disk")
	return cmd
}
