package server

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/routeconfig"
)

const routeUsage = `catalogue-server route takes requests of gateways over FastCGI, has the decision module admit them, and passes them to the
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

// ServeRoutes runs one server that routes as a program does, with the signals of Main; metrics shows its metrics at an
// address, where that is asked for. It returns the exit status.
func ServeRoutes(args []string, stderr io.Writer, metrics func(s *Server, addr string) error) int {
	drain, reload, report := notifySignals(syscall.SIGTERM, syscall.SIGINT), notifySignals(syscall.SIGHUP), notifySignals(syscall.SIGUSR1)
	c := &RouterConfig{}
	flags := flag.NewFlagSet("catalogue-server route", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	file := flags.String("config", "", "")
	listen := flags.String("listen", "127.0.0.1:4100", "")
	settings, directory := flags.String("settings", "", ""), flags.String("capture", "", "")
	shown := flags.String("metrics", "", "")
	flags.StringVar(&c.Name, "name", "router", "")
	flags.DurationVar(&c.Stop, "stop", 5*time.Second, "")
	flags.IntVar(&c.MemoryMB, "memory-mb", 64, "")
	flags.IntVar(&c.Sockets, "sockets", 1024, "")
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(stderr, routeUsage)
		return 0
	}
	if err == nil {
		err = c.complete(flags, *file, *listen)
	}
	if err == nil {
		c.Operator, err = loadOperator(*settings, *directory)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	log, flush := NewLogger(stderr)
	defer flush()
	s, err := NewRouter(c, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	if *shown != "" {
		if err := metrics(s, *shown); err != nil {
			fmt.Fprintln(stderr, err)
			s.Close()
			return 2
		}
	}
	tuneRuntime(s.cfg)
	go func() {
		for range reload {
			if d, err := routeconfig.Load(*file); err != nil {
				log.Error("configuration not reloaded", zap.Error(err))
			} else {
				s.ReloadRoutes(d)
			}
		}
	}()
	return s.serve(stderr, drain, report)
}

// complete checks the arguments and reads the routes.
func (c *RouterConfig) complete(flags *flag.FlagSet, file, listen string) (err error) {
	switch {
	case flags.NArg() > 0:
		return fmt.Errorf("arguments: %q is not known; see catalogue-server route --help", flags.Arg(0))
	case file == "":
		return errors.New("arguments: --config FILE is missing; see catalogue-server route --help")
	case c.MemoryMB < 16 || c.Sockets < 64 || c.Stop < time.Second:
		return fmt.Errorf("arguments: %d MB, %d sockets and %v to stop, want at least 16, 64 and 1s", c.MemoryMB, c.Sockets, c.Stop)
	}
	if c.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return fmt.Errorf("arguments: --listen %s: want an IP address and a port", listen)
	}
	if c.Routes, err = routeconfig.Load(file); err != nil {
		return err
	}
	c.Seed = uint64(time.Now().UnixNano()) ^ uint64(syscall.Getpid())
	return nil
}
