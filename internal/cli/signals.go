package cli

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses.
const (
	ExitOK     = 0 // after a drain, or for help
	ExitFailed = 1 // when serving failed
	ExitUsage  = 2 // for wrong arguments, settings or configuration
)

// Signals are the signals that a server handles. Each kind has a channel of its own, so that many of one kind can't
// crowd out another. Signals of a kind that arrive while one is pending are merged with it.
type Signals struct {
	Drain       <-chan os.Signal // SIGTERM, SIGINT
	Reload      <-chan os.Signal // SIGHUP
	LogCounters <-chan os.Signal // SIGUSR1
}

// CatchSignals redirects the signals to channels. It has to be called before anything else: the default action of each
// is the end of the process.
func CatchSignals() Signals {
	return Signals{
		Drain:       notify(syscall.SIGTERM, syscall.SIGINT),
		Reload:      notify(syscall.SIGHUP),
		LogCounters: notify(syscall.SIGUSR1),
	}
}

// notify returns a channel to which signals are sent from now on.
func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// Runner is a server that runs until it has drained.
type Runner interface {
	Run() error
	Drain()
	LogCounters()
}

// Run runs a server under the signals and returns the exit status.
func Run(server Runner, signals Signals, stderr io.Writer) int {
	go func() {
		for {
			select {
			case <-signals.Drain:
				server.Drain()
			case <-signals.LogCounters:
				server.LogCounters()
			}
		}
	}()
	if err := server.Run(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}
