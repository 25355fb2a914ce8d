package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// daemonProgram is the daemon's file, which lies beside this program's.
const daemonProgram = "catalogue-server"

// newProgress returns a function that draws a bar with the time left, or nil if standard error is no terminal.
func newProgress(unit string, total int) func(done, of int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(total,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionShowCount(),
		progressbar.OptionSetDescription(unit),
		progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(),
	)
	return func(done, _ int) {
		bar.Set(done) // the error is ignored: a bar that can't be drawn is no reason to stop
	}
}

// interruptible returns a context that ends with the first SIGINT or SIGTERM.
func interruptible(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
}

// findDaemon sets an empty path to the daemon that lies beside this program.
func findDaemon(path *string) error {
	if *path != "" {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	*path = filepath.Join(filepath.Dir(self), daemonProgram)
	return nil
}

// addDaemonFlag adds the flag that findDaemon completes.
func addDaemonFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "daemon", "", "the daemon's program; the catalogue-server beside this one if empty")
}
