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

// printer writes a command's result, as text or as JSON.
type printer struct {
	cmd    *cobra.Command
	asJSON bool
}

// newPrinter returns the printer that the command's flags ask for.
func newPrinter(cmd *cobra.Command) printer {
	asJSON, err := cmd.Flags().GetBool("json")
	return printer{cmd: cmd, asJSON: err == nil && asJSON}
}

// linef prints a line of text, unless JSON is wanted.
func (p printer) linef(format string, args ...any) {
	if !p.asJSON {
		fmt.Fprintf(p.cmd.OutOrStdout(), format+"\n", args...)
	}
}

// text prints text as it is, unless JSON is wanted.
func (p printer) text(s string) {
	if !p.asJSON {
		fmt.Fprint(p.cmd.OutOrStdout(), s)
	}
}

// encode prints a value as one line of JSON, if JSON is wanted.
func (p printer) encode(v any) error {
	if !p.asJSON {
		return nil
	}
	return json.NewEncoder(p.cmd.OutOrStdout()).Encode(v)
}

// warnf prints a line on standard error.
func (p printer) warnf(format string, args ...any) {
	fmt.Fprintf(p.cmd.ErrOrStderr(), format+"\n", args...)
}

// foundIf returns errFound if the condition holds.
func foundIf(isFound bool) error {
	if isFound {
		return errFound
	}
	return nil
}

// writeFile creates a file and writes it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// writeOutput is writeFile for a path from the command line: if that fails, the input is wrong.
func writeOutput(path string, write func(io.Writer) error) error {
	if err := writeFile(path, write); err != nil {
		return inputError{err}
	}
	return nil
}

// formatFixed formats a figure of a table with a number of decimals.
func formatFixed(v float64, decimals int) string { return strconv.FormatFloat(v, 'f', decimals, 64) }
