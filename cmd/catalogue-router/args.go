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

const usage = `catalogue-server route takes requests of gateways over FastCGI, has the decision module admit them, and passes them to the
members of pools over FastCGI.

Usage:
  catalogue-server route --config FILE [flags]

Flags:
  --config FILE       routes and pools, see docs/routes.md; cataloguectl import nginx makes one
  --listen ADDR       where gateways connect (127.0.0.1:4100)
  --name NAME         name in the log (router)
  --stop TIME         from SIGTERM to the end at the latest (5s)
  --memory-mb N       memory that the process may take (64)
  --sockets N         descriptors that it may have (1024)
  --settings FILE     the operators' own settings
  --metrics ADDR      show Prometheus metrics at http://ADDR/metrics; off if not given
  --capture DIR       record what the decision module is told and decides

Example:
  catalogue-server route --config routes.sexp --listen 127.0.0.1:4100

SIGTERM drains the server, SIGHUP has FILE read anew, SIGUSR1 logs the counters.
Exit status: 0 after a drain, 1 when serving failed, 2 for wrong arguments, settings or routes.
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

// options are the parsed command line.
type options struct {
	router      router.Config
	routesFile  string
	metricsAddr string // empty means no metrics
}

// parseArgs reads the command line and the files that it names. It returns flag.ErrHelp where --help is given.
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

// check returns an error for flags that are missing or out of bounds.
func (o *options) check(flags *flag.FlagSet) error {
	cfg := &o.router
	switch {
	case flags.NArg() > 0:
		return fmt.Errorf("arguments: %q is not known; see catalogue-server route --help", flags.Arg(0))
	case o.routesFile == "":
		return errors.New("arguments: --config FILE is missing; see catalogue-server route --help")
	case cfg.MemoryMB < minMemoryMB || cfg.Sockets < minSockets || cfg.StopTimeout < minStopTimeout:
		return fmt.Errorf("arguments: %d MB, %d sockets and %v to stop, want at least %d, %d and %v",
			cfg.MemoryMB, cfg.Sockets, cfg.StopTimeout, minMemoryMB, minSockets, minStopTimeout)
	}
	return nil
}

// load parses the address, and reads the files that the flags name.
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
