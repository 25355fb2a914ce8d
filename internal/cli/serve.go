package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
	"tillerusher/server"
)

// releaseSlack is the time beyond its stop timeout for which the previous process may still use the state directory.
const releaseSlack = 2 * time.Second

// StateDirectory describes the directory in which a server keeps state across restarts.
type StateDirectory struct {
	Path            string
	Server          string // name of the server
	SiteFingerprint string // fingerprint of the settings that the stored results depend on
	OnWait          func() // called once if another process uses the directory, before the wait for it
}

// OpenStore opens a state directory. While another process uses the directory, it waits until the context ends.
type OpenStore func(ctx context.Context, d StateDirectory) (server.DurableStore, error)

// Serve runs a catalogue server, configured by the environment and the arguments, and returns the exit status. SIGTERM and
// SIGINT drain the server, SIGHUP reloads its configuration and SIGUSR1 logs its counters.
func Serve(args []string, getenv func(string) string, stderr io.Writer) int {
	return serve(args, getenv, stderr, nil)
}

// ServeDurable is like Serve for a program that keeps state across restarts. During a release the previous process still
// drains and uses the state directory. Therefore ServeDurable waits for the directory, at most for the stop timeout plus
// releaseSlack.
func ServeDurable(args []string, getenv func(string) string, stderr io.Writer, open OpenStore) int {
	return serve(args, getenv, stderr, open)
}

// serve implements Serve and ServeDurable. open is nil in a program that keeps no state.
func serve(args []string, getenv func(string) string, stderr io.Writer, open OpenStore) int {
	signals := CatchSignals()
	if len(args) > 0 && args[0] == routeCommand {
		return execProgram(routerProgram, args[1:], stderr)
	}
	operator, err := parseServeArgs(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err == nil && operator.State != nil && open == nil {
		return execProgram(durableProgram, args, stderr)
	}
	var cfg *server.Config
	if err == nil {
		cfg, err = config.Load(getenv)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	cfg.Capture = operator.Capture
	log, flush := NewLogger(stderr)
	defer flush()
	created, err := newServer(cfg, operator.State, open, log)
	switch {
	case errors.Is(err, errStopped):
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	go reloadOnSignal(created, signals, getenv, operator, log)
	return Run(created, signals, stderr)
}

// errStopped is returned if a signal arrived during the wait for the state directory.
var errStopped = errors.New("stopped while waiting for the state directory")

// newServer returns a listening server. If state is not nil, the server keeps results across restarts.
func newServer(cfg *server.Config, state *config.StateConfig, open OpenStore, log *zap.Logger) (*server.Server, error) {
	var store server.DurableStore
	if state != nil {
		var err error
		if store, err = openStore(cfg, state.Directory, open, log); err != nil {
			return nil, err
		}
	}
	TuneRuntime(cfg.Limits)
	created, err := server.New(cfg, log)
	if err != nil {
		return nil, err
	}
	if store != nil {
		if err := created.EnableDurableResults(store, state.Limits); err != nil {
			created.Close()
			return nil, err
		}
	}
	return created, nil
}

// openStore opens the state directory. It returns errStopped if SIGTERM or SIGINT arrives during the wait.
func openStore(cfg *server.Config, path string, open OpenStore, log *zap.Logger) (server.DurableStore, error) {
	signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	maxWait := cfg.StopTimeout + releaseSlack
	ctx, cancel := context.WithTimeout(signalled, maxWait)
	defer cancel()
	store, err := open(ctx, StateDirectory{
		Path:            path,
		Server:          cfg.Name,
		SiteFingerprint: cfg.Settings.IdempotencyFingerprint(),
		OnWait: func() {
			log.Info("waiting for the state directory", zap.String("directory", path), zap.Duration("at_most_ms", maxWait))
		},
	})
	if err != nil && signalled.Err() != nil {
		return nil, errStopped
	}
	return store, err
}

// reloadOnSignal reloads the configuration on each SIGHUP. It runs on a separate goroutine, since reading a file may take
// long.
func reloadOnSignal(s *server.Server, signals Signals, getenv func(string) string, operator *config.OperatorConfig, log *zap.Logger) {
	for range signals.Reload {
		cfg, err := config.Load(getenv)
		if err != nil {
			log.Error("configuration not reloaded", zap.Error(err))
			continue
		}
		cfg.Capture = operator.Capture // changes only at a restart
		s.Reload(cfg)
	}
}
