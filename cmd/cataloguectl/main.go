// Command cataloguectl is the operators' command-line tool for catalogue servers. It inspects and replays captures, checks and
// imports route configurations, load-tests a daemon over loopback, runs scenarios and simulations in virtual time, and inspects the
// state that servers keep across restarts.
//
// Each new...Command function builds a cobra command. The run method of the command's options does the work. Print functions write
// the result as text, and printer.encode writes it as JSON.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit statuses. Scripts may rely on them.
const (
	statusOK           = 0
	statusProblemFound = 1 // the command succeeded and found a problem, such as damage, a difference or a violated invariant
	statusUsage        = 2 // wrong arguments
	statusNoInput      = 3 // the input is missing or can't be read
)

const statusHelp = `
Exit status: 0 success, 1 the command found damage, a difference or a violated invariant, 2 wrong arguments,
3 the input is missing or can't be read.`

// errProblemFound is returned by a command that succeeded and found a problem, which it has printed. The exit status is
// statusProblemFound.
var errProblemFound = errors.New("problem found")

// inputError is an error caused by the input. The exit status is statusNoInput.
type inputError struct{ error }

// Unwrap returns the underlying error.
func (e inputError) Unwrap() error { return e.error }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs a command line, without the program's name, and returns the exit status.
func execute(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	return exitStatus(root.Execute(), root.ErrOrStderr())
}

// newRootCommand builds the command tree. Renamed commands keep their old names as aliases, because scripts use them.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "cataloguectl",
		Short: "Inspect, replay, test and simulate catalogue servers",
		Long: "cataloguectl inspects and replays the captures of catalogue servers, inspects their stored state, and tests and\n" +
			"simulates servers.\n" +
			statusHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().Bool("json", false, "print JSON, one object per line if there are several")
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

// exitStatus returns the exit status for the error, which may be nil. It prints the error unless the command or the server has
// printed it.
func exitStatus(err error, stderr io.Writer) int {
	var input inputError
	var serverExit serverExitError
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, errProblemFound):
		return statusProblemFound
	case errors.As(err, &serverExit):
		return serverExit.status // the server printed the reason
	case errors.As(err, &input):
		fmt.Fprintln(stderr, err)
		return statusNoInput
	}
	fmt.Fprintf(stderr, "%v; see cataloguectl --help\n", err)
	return statusUsage
}
