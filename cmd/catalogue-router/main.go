// Command catalogue-router is a reverse proxy that forwards requests from gateways to pools of FastCGI and SCGI servers.
// The command catalogue-server route replaces itself with this program.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"go.uber.org/zap"

	"tillerusher/internal/cli"
	"tillerusher/internal/config"
	"tillerusher/internal/metrics"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/router"
)

// routerCores is the number of cores that the router uses. Its event loop is one goroutine.
const routerCores = 1

func main() { os.Exit(run(os.Args[1:], os.Stderr)) }

// run runs a router and returns the exit status. SIGTERM and SIGINT drain the router, SIGHUP reloads its routes and SIGUSR1
// logs its counters.
func run(args []string, stderr io.Writer) int {
	signals := cli.CatchSignals()
	options, err := parseArgs(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(stderr, usage)
		return cli.ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	log, flush := cli.NewLogger(stderr)
	defer flush()
	server, err := newRouter(options, log)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return cli.ExitUsage
	}
	cli.TuneRuntime(config.Limits{Cores: routerCores, MemoryMB: options.router.MemoryMB})
	go reloadOnSignal(server, signals, options.routesFile, log)
	return cli.Run(server, signals, stderr)
}

// newRouter returns a listening router. If opts.metricsAddr is not empty, it also serves the router's metrics.
func newRouter(opts *options, log *zap.Logger) (*router.Router, error) {
	created, err := router.New(&opts.router, log)
	if err != nil {
		return nil, err
	}
	if opts.metricsAddr != "" {
		if err := metrics.Serve(created, opts.metricsAddr); err != nil {
			created.Close()
			return nil, err
		}
	}
	return created, nil
}

// reloadOnSignal reloads the routes on each SIGHUP. If the file is invalid, the router keeps its old routes.
func reloadOnSignal(r *router.Router, signals cli.Signals, file string, log *zap.Logger) {
	for range signals.Reload {
		routes, err := routeconfig.Load(file)
		if err != nil {
			log.Error("configuration not reloaded", zap.Error(err))
			continue
		}
		r.Reload(routes)
	}
}
