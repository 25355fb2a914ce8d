package cli

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of the commands.
const (
	ExitOK     = 0 // after a drain, or for help
	ExitFailed = 1 // serving failed
	ExitUsage  = 2 // invalid arguments, settings or configuration
)

// Signals delivers the signals that a server handles. Each kind has a separate channel, so that many signals of one kind
// cannot displace another kind. Signals that arrive while one of the same kind is pending are merged with it.
type Signals struct {
	Drain       <-chan os.Signal // SIGTERM, SIGINT
	Reload      <-chan os.Signal // SIGHUP
	LogCounters <-chan os.Signal // SIGUSR1
}

// CatchSignals redirects the signals to channels. Call it before anything else, since the default action of each of these
// signals terminates the process.
func CatchSignals() Signals {
	return Signals{
		Drain:       notify(syscall.SIGTERM, syscall.SIGINT),
		Reload:      notify(syscall.SIGHUP),
		LogCounters: notify(syscall.SIGUSR1),
	}
}

// notify returns a channel that receives the signals from now on.
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

// Run runs a server until it ends and returns the exit status. It handles the signals Drain and LogCounters; the caller
// handles Reload.
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
