package server

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"tillerusher/internal/capture"
	"tillerusher/internal/config"
)

const usage = `catalogue-server is one catalogue server, configured by RELAY_CONFIG, RELAY_NAME and RELAY_LISTEN.

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

// The programs that route and that keep state over restarts. They are programs of their own, so that the catalogue server
// stays as small as its machine wants it.
const (
	routeProgram = "catalogue-router"
	stateProgram = "catalogue-server-durable"
)

// execProgram goes on as another program, which lies beside this one. It returns only where it can't.
func execProgram(program string, args []string, stderr io.Writer) int {
	self, err := os.Executable()
	if err == nil {
		path := filepath.Join(filepath.Dir(self), program)
		err = syscall.Exec(path, append([]string{program}, args...), os.Environ())
		err = fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintln(stderr, err)
	return 2
}

// parseArgs reads the command line into what the operators want beside the platform's configuration.
func parseArgs(args []string, stderr io.Writer) (*config.OperatorConfig, error) {
	if len(args) > 0 && args[0] == "serve" {
		args = args[1:]
	}
	flags := flag.NewFlagSet("catalogue-server", flag.ContinueOnError)
	flags.SetOutput(io.Discard) // the error is told once, by the caller
	settings := flags.String("settings", "", "")
	directory := flags.String("capture", "", "")
	state := flags.String("state", "", "")
	if err := flags.Parse(args); err == flag.ErrHelp {
		fmt.Fprint(stderr, usage)
		return nil, err
	} else if err != nil {
		return nil, fmt.Errorf("arguments: %w; see catalogue-server --help", err)
	}
	if flags.NArg() > 0 {
		return nil, fmt.Errorf("arguments: %q is not known, want serve, route or flags; see catalogue-server --help", flags.Arg(0))
	}
	o, err := loadOperator(*settings, *directory)
	if err == nil && *state != "" {
		if o.State == nil {
			o.State = config.DefaultStateConfig()
		}
		o.State.Directory = *state
	}
	return o, err
}

// loadOperator reads the operators' own settings; a directory takes the place of the one in the file.
func loadOperator(settings, directory string) (*config.OperatorConfig, error) {
	o := &config.OperatorConfig{}
	if settings != "" {
		var err error
		if o, err = config.LoadOperatorConfig(settings); err != nil {
			return nil, err
		}
	}
	if directory != "" {
		if o.Capture == nil {
			o.Capture = &config.CaptureConfig{Config: capture.DefaultConfig()}
		}
		o.Capture.Directory = directory
	}
	return o, nil
}
