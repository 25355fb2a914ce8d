package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"syscall"
	"time"

	"tillerusher/internal/cli"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/router"
)

const usage = `catalogue-server route receives requests from gateways over FastCGI, lets the decision module admit or reject them,
and forwards admitted requests to the members of pools over FastCGI or SCGI.

Usage:
  catalogue-server route --config FILE [flags]

Flags:
  --config FILE       routes and pools, see docs/routes.md; cataloguectl import nginx creates such a file
  --listen ADDR       IP address and port for connections from gateways (127.0.0.1:4100)
  --name NAME         name in the log (router)
  --stop TIME         longest time from SIGTERM to the exit (5s)
  --memory-mb N       memory limit of the process, in MB (64)
  --sockets N         maximum number of file descriptors (1024)
  --settings FILE     read the operators' settings from the file
  --metrics ADDR      serve Prometheus metrics at http://ADDR/metrics; off by default
  --capture DIR       record the decision module's events and actions in the directory

Example:
  catalogue-server route --config routes.sexp --listen 127.0.0.1:4100

SIGTERM drains the server, SIGHUP reads the file of --config again, SIGUSR1 logs the counters.
Exit status: 0 after a drain, 1 if serving failed, 2 for invalid arguments, settings or routes.
`

// The defaults and lower bounds of the flags.
const (
	defaultListen      = "127.0.0.1:4100"
	defaultName        = "router"
	defaultStopTimeout = 5 * time.Second
	defaultMemoryMB    = 64
	defaultSockets     = 1024
	minMemoryMB        = 16
	minSockets         = 64
	minStopTimeout     = time.Second
)

// options holds the parsed command line and the contents of the files that it names.
type options struct {
	router      router.Config
	routesFile  string
	metricsAddr string // empty means no metrics
}

// parseArgs parses the command line and reads the files that it names. It returns flag.ErrHelp if --help is given.
func parseArgs(args []string) (*options, error) {
	parsed := &options{}
	flags := flag.NewFlagSet("catalogue-server route", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // the caller prints the error
	flags.StringVar(&parsed.routesFile, "config", "", "")
	flags.StringVar(&parsed.metricsAddr, "metrics", "", "")
	flags.StringVar(&parsed.router.Name, "name", defaultName, "")
	flags.DurationVar(&parsed.router.StopTimeout, "stop", defaultStopTimeout, "")
	flags.IntVar(&parsed.router.MemoryMB, "memory-mb", defaultMemoryMB, "")
	flags.IntVar(&parsed.router.Sockets, "sockets", defaultSockets, "")
	listen := flags.String("listen", defaultListen, "")
	settings := flags.String("settings", "", "")
	captureDirectory := flags.String("capture", "", "")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	if err := parsed.check(flags); err != nil {
		return nil, err
	}
	if err := parsed.load(*listen, *settings, *captureDirectory); err != nil {
		return nil, err
	}
	parsed.router.Seed = uint64(time.Now().UnixNano()) ^ uint64(syscall.Getpid())
	return parsed, nil
}

// check returns an error if a flag is missing or out of bounds, or if there are other arguments.
func (o *options) check(flags *flag.FlagSet) error {
	cfg := &o.router
	switch {
	case flags.NArg() > 0:
		return fmt.Errorf("arguments: %q is not known, want only flags; see catalogue-server route --help", flags.Arg(0))
	case o.routesFile == "":
		return errors.New("arguments: --config FILE is missing; see catalogue-server route --help")
	case cfg.MemoryMB < minMemoryMB || cfg.Sockets < minSockets || cfg.StopTimeout < minStopTimeout:
		return fmt.Errorf("arguments: --memory-mb %d, --sockets %d and --stop %v, want at least %d, %d and %v",
			cfg.MemoryMB, cfg.Sockets, cfg.StopTimeout, minMemoryMB, minSockets, minStopTimeout)
	}
	return nil
}

// load parses the listen address and reads the files that the flags name.
func (o *options) load(listen, settings, captureDirectory string) (err error) {
	if o.router.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("arguments: --listen %s: want an IP address and a port", listen)
	}
	if o.router.Routes, err = routeconfig.Load(o.routesFile); err != nil {
		return err
	}
	o.router.Operator, err = cli.LoadOperator(settings, captureDirectory)
	return err
}
