package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"tillerusher/internal/config"
)

const serveUsage = `catalogue-server runs one catalogue server, configured by the environment variables RELAY_CONFIG,
RELAY_NAME and RELAY_LISTEN.

Usage:
  catalogue-server [serve] [flags]
  catalogue-server route --config FILE [flags]    run a router, see catalogue-server route --help

Flags:
  --settings FILE   read the operators' settings from the file: S-expressions, as in deploy/settings.sexp
  --capture DIR     record the decision module's events and actions in the directory
  --state DIR       keep the results of requests with an idempotency key in the directory, so that a retry after a restart
                    does not run the request again

Examples:
  RELAY_CONFIG=/run/balancer/config.json catalogue-server
  RELAY_CONFIG=/run/balancer/config.json catalogue-server serve --capture /var/lib/tillerusher/capture
  RELAY_CONFIG=/run/balancer/config.json catalogue-server serve --state /var/lib/tillerusher/state

SIGTERM drains the server, SIGHUP reads RELAY_CONFIG again, SIGUSR1 logs the counters.
Exit status: 0 after a drain, 1 if serving failed, 2 for invalid arguments, settings or configuration.
`

// The subcommands of catalogue-server.
const (
	serveCommand = "serve"
	routeCommand = "route"
)

// The programs that replace this one for routing and for keeping state across restarts. They are separate programs, so
// that the catalogue server does not link the router and the store.
const (
	routerProgram  = "catalogue-router"
	durableProgram = "catalogue-server-durable"
)

// execProgram replaces this process with another program in the directory of this executable. On an error it prints the
// error and returns the exit status; otherwise it does not return.
func execProgram(program string, args []string, stderr io.Writer) int {
	self, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(self), program)
		err = syscall.Exec(path, append([]string{program}, args...), os.Environ())
		err = fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}

// parseServeArgs parses the command line and returns the operators' settings, in which the flags override the settings
// file. On --help it prints the usage text and returns flag.ErrHelp.
func parseServeArgs(args []string, stderr io.Writer) (*config.OperatorConfig, error) {
	if len(args) > 0 && args[0] == serveCommand {
		args = args[1:]
	}
	flags := flag.NewFlagSet("catalogue-server", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // the caller prints the error
	settings := flags.String("settings", "", "")
	captureDirectory := flags.String("capture", "", "")
	stateDirectory := flags.String("state", "", "")
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(stderr, serveUsage)
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("arguments: %w; see catalogue-server --help", err)
	case flags.NArg() > 0:
		return nil, fmt.Errorf("arguments: %q is not known, want serve, route or flags; see catalogue-server --help", flags.Arg(0))
	}
	operator, err := LoadOperator(*settings, *captureDirectory)
	if err != nil {
		return nil, err
	}
	if *stateDirectory != "" {
		if operator.State == nil {
			operator.State = config.DefaultStateConfig()
		}
		operator.State.Directory = *stateDirectory
	}
	return operator, nil
}
