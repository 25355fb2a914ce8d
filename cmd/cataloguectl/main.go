// Command cataloguectl is the operators' command line beside the daemon. It inspects and replays captures, checks and imports route
// configurations, load-tests a daemon on loopback, runs scenarios and simulations in virtual time, and inspects the state that
// servers keep over restarts.
//
// A command's function builds the cobra command; its run method does the work, and print functions write the result as text, or the
// printer as JSON.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// The exit statuses, which scripts may rely on.
const (
	statusOK      = 0
	statusFound   = 1 // the command did its work and found what it looks for: damage, a difference, a violated invariant
	statusUsage   = 2 // wrong arguments
	statusNoInput = 3 // what it should read is missing or can't be read
)

const statusHelp = `
Exit status: 0 success, 1 the command found damage, a difference or a violated invariant, 2 wrong arguments,
3 the input is missing or can't be read.`

// errFound ends a command that did its work with statusFound. What was found is printed already.
var errFound = errors.New("found")

// inputError is an error whose cause is the input. It ends a command with statusNoInput.
type inputError struct{ error }

// Unwrap returns the cause.
func (e inputError) Unwrap() error { return e.error }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and returns its exit status.
func execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	return exitStatus(root.Execute(), root.ErrOrStderr())
}

// newRootCommand builds the command tree. Commands that were renamed keep their old names as aliases, for scripts.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "cataloguectl",
		Short: "Inspect, replay, test and simulate catalogue servers",
		Long: "cataloguectl inspects what a catalogue server recorded and keeps, replays it, and tests and simulates servers.\n" +
			statusHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().Bool("json", false, "print JSON, one object a line where there are many")
	root.AddCommand(
		newCaptureCommand(),
		newReplayCommand(),
		newExplainCommand(),
		newConfigCommand(),
		newImportCommand(),
		newRetriesCommand(),
		newLoadCommand(),
		newSimulateCommand(),
		newStateCommand(),
		newScenarioCommand(),
	)
	return root
}

// exitStatus prints an error, unless it was printed already, and returns the exit status that it stands for.
func exitStatus(err error, stderr io.Writer) int {
	var input inputError
	var served serverExitError
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, errFound):
		return statusFound
	case errors.As(err, &served):
		return served.status // the server printed the reason
	case errors.As(err, &input):
		fmt.Fprintln(stderr, err)
		return statusNoInput
	}
	fmt.Fprintf(stderr, "%v; see cataloguectl --help\n", err)
	return statusUsage
}
