package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/spf13/cobra"

	"tillerusher/internal/cli"
	"tillerusher/internal/faultfs"
	"tillerusher/internal/store"
	"tillerusher/server"
)

// serverExitError is the exit status of a server that this program ran as. The server has printed the reason.
type serverExitError struct{ status int }

// Error implements error.
func (e serverExitError) Error() string {
	return fmt.Sprintf("the server ended with status %d", e.status)
}

// stateServeOptions are the flags of state serve.
type stateServeOptions struct {
	faults faultfs.Profile
	dir    string
}

func newStateServeCommand() *cobra.Command {
	var opts stateServeOptions
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a catalogue server that keeps its state on a faulty disk",
		Long: "serve is `catalogue-server serve --state DIR` over a disk that stalls now and then or is full at times, to test what a\n" +
			"server does then. Without --dir nothing is kept. It is configured as catalogue-server is, and its exit status is\n" +
			"catalogue-server's: 0 after a drain, 1 when serving failed, 2 for wrong arguments, settings or configuration.",
		Example: "  RELAY_CONFIG=/run/balancer/config.json cataloguectl state serve --dir /tmp/state --stall 100ms --every 1s\n" +
			"  RELAY_CONFIG=/run/balancer/config.json cataloguectl state serve --dir /tmp/state --full-while /tmp/full  # touch /tmp/full",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return opts.run() },
	}
	addStallFlags(cmd, &opts.faults)
	cmd.Flags().StringVar(&opts.dir, "dir", "", "directory in which results of idempotent requests are kept")
	cmd.Flags().StringVar(&opts.faults.FullMarkerFile, "full-while", "", "file while whose presence the disk is full")
	return cmd
}

// addStallFlags adds the flags of a disk's stalls.
func addStallFlags(cmd *cobra.Command, faults *faultfs.Profile) {
	flags := cmd.Flags()
	flags.DurationVar(&faults.StallTime, "stall", faults.StallTime, "how long the disk stalls at a time")
	flags.DurationVar(&faults.StallInterval, "every", max(faults.StallInterval, time.Second), "from the begin of one stall to the next")
}

func (o *stateServeOptions) run() error {
	if err := o.faults.Validate(); err != nil {
		return err
	}
	args := []string{"serve"}
	if o.dir != "" {
		args = append(args, "--state", o.dir)
	}
	if status := cli.ServeDurable(args, os.Getenv, os.Stderr, o.openStore); status != 0 {
		return serverExitError{status}
	}
	return nil
}

// openStore opens the server's store over the faulty disk.
func (o *stateServeOptions) openStore(ctx context.Context, d cli.StateDirectory) (server.DurableStore, error) {
	cfg := store.Config{Dir: d.Path, Server: d.Server, SiteFingerprint: d.Site, FS: faultfs.Wrap(vfs.Default, o.faults)}
	return store.OpenWait(ctx, cfg, d.OnWait)
}
