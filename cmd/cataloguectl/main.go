// Command cataloguectl is the operators' command line beside the daemon: captures and their replay, storms on loopback, routes
// and their import, fleets in virtual time, and what servers keep over restarts.
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
	statusFound   = 1 // the command did its work and found what it looks for: damage, a difference, a broken rule
	statusUsage   = 2 // wrong arguments
	statusNoInput = 3 // what it should read is not there or is none
)

// errFound ends a command that did its work with statusFound; what was found is printed already.
var errFound = errors.New("found")

// inputError is one that the input is to blame for.
type inputError struct{ error }

func (e inputError) Unwrap() error { return e.error }

const statuses = `
Exit status: 0 all is well, 1 the command found damage, a difference or a broken rule, 2 wrong arguments,
3 there is nothing to read.`

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and returns its exit status.
func execute(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{Use: "cataloguectl", Short: "Look into, replay and rehearse catalogue servers",
		Long:         "cataloguectl looks into what a catalogue server recorded, replays it, and lets storms loose on one.\n" + statuses,
		SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().Bool("json", false, "print JSON, one object a line where there are many")
	root.AddCommand(captureCommand(), replayCommand(), explainCommand(), configCommand(), importCommand(), poolCommand(), stormCommand(), modelCommand(), stateCommand(), rehearseCommand())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	return status(root.Execute(), root)
}

// status tells an error and turns it into an exit status.
func status(err error, root *cobra.Command) int {
	var input inputError
	var served errServed
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, errFound):
		return statusFound
	case errors.As(err, &served):
		return served.status // it said why
	case errors.As(err, &input):
		fmt.Fprintln(root.ErrOrStderr(), err)
		return statusNoInput
	}
	fmt.Fprintf(root.ErrOrStderr(), "%v; see cataloguectl --help\n", err)
	return statusUsage
}
