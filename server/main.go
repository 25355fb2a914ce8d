package server

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
)

// Serve runs one server as a program does: configured by the environment and the arguments, drained by SIGTERM or
// SIGINT, its configuration read anew on SIGHUP and its counters logged on SIGUSR1. It returns the exit status: 0
// after a drain or for help, 1 when serving failed, 2 when it was told what it can't work with.
func Serve(args []string, getenv func(string) string, stderr io.Writer) int {
	return serveMain(args, getenv, stderr, nil)
}

// StateDirectory is where a server keeps what outlasts it.
type StateDirectory struct {
	Path   string
	Server string
	Site   string // by which sites can be told apart as far as keyed requests go
	OnWait func() // called once where another process uses the folder, which the opening waits for
}

// releaseSlack is how long the process before this one may take over its stop_ms to let go of the folder.
const releaseSlack = 2 * time.Second

// stateOpener opens what has a server keep its state. It returns context.Canceled where a signal ended the waiting.
type stateOpener func(o *config.StateConfig, cfg *Config, log *zap.Logger) (func(*Server) error, error)

// ServeDurable is Main in the program that keeps state over restarts; open opens a server's folder. At a release the process
// before this one still drains and uses the folder: its end is waited for, as long as it may take, until the context ends.
func ServeDurable(args []string, getenv func(string) string, stderr io.Writer, open func(ctx context.Context, f StateDirectory) (DurableStore, error)) int {
	return serveMain(args, getenv, stderr, func(o *config.StateConfig, cfg *Config, log *zap.Logger) (func(*Server) error, error) {
		signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		ctx, cancel := context.WithTimeout(signalled, cfg.StopTimeout+releaseSlack)
		defer cancel()
		keeper, err := open(ctx, StateDirectory{Path: o.Directory, Server: cfg.Name, Site: cfg.Settings.IdempotencyFingerprint(), OnWait: func() {
			log.Info("waiting for the folder", zap.String("directory", o.Directory), zap.Duration("at_most", cfg.StopTimeout+releaseSlack))
		}})
		switch {
		case err != nil && signalled.Err() != nil:
			return nil, context.Canceled
		case err != nil:
			return nil, err
		}
		return func(s *Server) error { return s.EnableDurableResults(keeper, o.Limits) }, nil
	})
}

// serveMain serves as a program does; open opens what has a server keep its state, nil in the program that keeps none.
func serveMain(args []string, getenv func(string) string, stderr io.Writer, open stateOpener) int {
	// Signals are caught before anything else and to the very end: the default action of SIGHUP and SIGUSR1 is
	// the end of the process. Each has a channel of its own, or many of one kind would push out another.
	drain, reload, report := notifySignals(syscall.SIGTERM, syscall.SIGINT), notifySignals(syscall.SIGHUP), notifySignals(syscall.SIGUSR1)
	if len(args) > 0 && args[0] == "route" {
		return execProgram(routeProgram, args[1:], stderr)
	}
	o, err := parseArgs(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil && o.State != nil && open == nil {
		return execProgram(stateProgram, args, stderr)
	}
	var cfg *Config
	if err == nil {
		cfg, err = LoadConfig(getenv)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	cfg.Capture = o.Capture
	log, flush := NewLogger(stderr)
	defer flush()
	persist := func(*Server) error { return nil }
	if o.State != nil {
		persist, err = open(o.State, cfg, log)
		if errors.Is(err, context.Canceled) {
			return 0 // it was told to leave before it served anything
		}
		if err != nil {
			fmt.Fprintln(stderr, err)
			return 2
		}
	}
	tuneRuntime(cfg)
	s, err := New(cfg, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	if err := persist(s); err != nil {
		fmt.Fprintln(stderr, err)
		s.Close()
		return 2
	}
	go func() { // reading a file may take long
		for range reload {
			if cfg, err := LoadConfig(getenv); err != nil {
				log.Error("configuration not reloaded", zap.Error(err))
			} else {
				cfg.Capture = o.Capture // needs a restart
				s.Reload(cfg)
			}
		}
	}()
	return s.serve(stderr, drain, report)
}

// serve runs the server as a program does, and returns the exit status.
func (s *Server) serve(stderr io.Writer, drain, report <-chan os.Signal) int {
	go func() {
		for {
			select {
			case <-drain:
				s.Drain()
			case <-report:
				s.LogCounters()
			}
		}
	}()
	if err := s.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}

// notifySignals has signals sent to a channel from now on. One that waits stands for those of its kind that follow.
func notifySignals(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// tuneRuntime fits the runtime to the limits: collections are rare while memory is far off and frequent near it, and
// no more threads run Go code than there are cores.
func tuneRuntime(cfg *Config) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 3 / 4)
	debug.SetGCPercent(200)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Limits.Cores))))
}
