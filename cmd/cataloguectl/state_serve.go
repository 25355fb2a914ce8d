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

// serverExitError is returned when this program ran as a server that exited with a status other than 0. The server has printed the
// reason.
type serverExitError struct{ status int }

// Error implements error.
func (e serverExitError) Error() string {
	return fmt.Sprintf("the server exited with status %d", e.status)
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
		Long: "serve runs `catalogue-server serve --state DIR` with injected disk faults: the disk stalls periodically or is full for\n" +
			"a while. It is for tests of a server's behaviour during the faults. Without --dir the server keeps no state. serve\n" +
			"reads the same configuration as catalogue-server and has the same exit statuses: 0 after a drain, 1 if serving\n" +
			"failed, 2 for wrong arguments, settings or configuration.",
		Example: "  RELAY_CONFIG=/run/balancer/config.json cataloguectl state serve --dir /tmp/state --stall 100ms --every 1s\n" +
			"  RELAY_CONFIG=/run/balancer/config.json cataloguectl state serve --dir /tmp/state --full-while /tmp/full  # touch /tmp/full",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return opts.run() },
	}
	addStallFlags(cmd, &opts.faults)
	cmd.Flags().StringVar(&opts.dir, "dir", "", "directory in which the server stores results of idempotent requests")
	cmd.Flags().StringVar(&opts.faults.FullMarkerFile, "full-while", "", "path of a marker file: the disk is full while it exists")
	return cmd
}

// addStallFlags adds the flags for the injected stalls of a disk.
func addStallFlags(cmd *cobra.Command, faults *faultfs.Profile) {
	flags := cmd.Flags()
	flags.DurationVar(&faults.StallTime, "stall", faults.StallTime, "duration of each stall of the disk; 0 disables stalls")
	flags.DurationVar(&faults.StallInterval, "every", max(faults.StallInterval, time.Second),
		"time from the start of one stall to the start of the next")
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

// openStore opens the server's store on the faulty disk.
func (o *stateServeOptions) openStore(ctx context.Context, d cli.StateDirectory) (server.DurableStore, error) {
	cfg := store.Config{Dir: d.Path, Server: d.Server, SiteFingerprint: d.SiteFingerprint, FS: faultfs.Wrap(vfs.Default, o.faults)}
	return store.OpenWait(ctx, cfg, d.OnWait)
}
