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

const serveUsage = `catalogue-server is one catalogue server, configured by RELAY_CONFIG, RELAY_NAME and RELAY_LISTEN.

Usage:
  catalogue-server [serve] [flags]
  catalogue-server route --config FILE [flags]    route to pools, see catalogue-server route --help

Flags:
  --settings FILE   the operators' own settings, S-expressions as in deploy/settings.sexp
  --capture DIR     record into the directory what the decision module is told and decides
  --state DIR       keep results of keyed requests in the directory, so that a restart does not run them again

Examples:
  RELAY_CONFIG=/run/balancer/config.json catalogue-server
  RELAY_CONFIG=/run/balancer/config.json catalogue-server serve --capture /var/lib/tillerusher/capture
  RELAY_CONFIG=/run/balancer/config.json catalogue-server serve --state /var/lib/tillerusher/state

SIGTERM drains the server, SIGHUP has RELAY_CONFIG read anew, SIGUSR1 logs the counters.
Exit status: 0 after a drain, 1 when serving failed, 2 for wrong arguments, settings or configuration.
`

// The subcommands of catalogue-server.
const (
	serveCommand = "serve"
	routeCommand = "route"
)

// The programs that route and that keep state over restarts. They are separate, so that the catalogue server does not
// link the router and the store.
const (
	routerProgram  = "catalogue-router"
	durableProgram = "catalogue-server-durable"
)

// execProgram replaces this process by another program, from the directory of this one. It returns only on an error.
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

// parseServeArgs reads the command line into the operators' own settings. It returns flag.ErrHelp once it has printed
// the help.
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
