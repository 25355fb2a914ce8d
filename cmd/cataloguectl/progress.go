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

// daemonProgram is the file name of the daemon's executable, which is in the directory of this program's executable.
const daemonProgram = "catalogue-server"

// newProgressBar returns a function that draws a progress bar with the estimated remaining time. It returns nil if standard error is
// not a terminal.
func newProgressBar(unit string, total int) func(done, of int) {
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
		bar.Set(done) // ignore the error: the command must not fail because a bar can't be drawn
	}
}

// interruptibleContext returns a context that is cancelled by the first SIGINT or SIGTERM.
func interruptibleContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
}

// setDefaultDaemon sets an empty path to the path of the daemon in the directory of this program.
func setDefaultDaemon(path *string) error {
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

// addDaemonFlag adds the flag for the path of the daemon. The command must pass the path to setDefaultDaemon.
func addDaemonFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "daemon", "", "path of the daemon; if empty, catalogue-server in the directory of this program")
}
