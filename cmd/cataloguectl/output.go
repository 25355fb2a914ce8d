package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/spf13/cobra"
)

// printer writes the result of a command as text or as JSON.
type printer struct {
	cmd    *cobra.Command
	asJSON bool
}

// newPrinter returns a printer for the command. It prints JSON if the flag --json is set.
func newPrinter(cmd *cobra.Command) printer {
	asJSON, err := cmd.Flags().GetBool("json")
	return printer{cmd: cmd, asJSON: err == nil && asJSON}
}

// linef prints a line of text. It prints nothing in JSON mode.
func (p printer) linef(format string, args ...any) {
	if !p.asJSON {
		fmt.Fprintf(p.cmd.OutOrStdout(), format+"\n", args...)
	}
}

// text prints text without formatting it or adding a newline. It prints nothing in JSON mode.
func (p printer) text(s string) {
	if !p.asJSON {
		fmt.Fprint(p.cmd.OutOrStdout(), s)
	}
}

// encode prints a value as one line of JSON. It prints nothing in text mode.
func (p printer) encode(v any) error {
	if !p.asJSON {
		return nil
	}
	return json.NewEncoder(p.cmd.OutOrStdout()).Encode(v)
}

// warnf prints a line to standard error in both modes.
func (p printer) warnf(format string, args ...any) {
	fmt.Fprintf(p.cmd.ErrOrStderr(), format+"\n", args...)
}

// problemFoundIf returns errProblemFound if a problem was found, and nil otherwise.
func problemFoundIf(isFound bool) error {
	if isFound {
		return errProblemFound
	}
	return nil
}

// writeFile creates or truncates a file, calls write with it and closes it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// writeOutput is like writeFile for a path from the command line: it returns errors as an inputError.
func writeOutput(path string, write func(io.Writer) error) error {
	if err := writeFile(path, write); err != nil {
		return inputError{err}
	}
	return nil
}

// formatFixed formats a number with the given number of decimals.
func formatFixed(v float64, decimals int) string { return strconv.FormatFloat(v, 'f', decimals, 64) }
