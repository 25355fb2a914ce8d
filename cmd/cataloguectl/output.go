package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
)

// printer writes what a command has to say, as text or JSON.
type printer struct {
	cmd  *cobra.Command
	json bool
}

func newPrinter(cmd *cobra.Command) printer {
	asJSON, err := cmd.Flags().GetBool("json")
	return printer{cmd, err == nil && asJSON}
}

// line prints text where no JSON is wanted.
func (p printer) line(format string, args ...any) {
	if !p.json {
		fmt.Fprintf(p.cmd.OutOrStdout(), format+"\n", args...)
	}
}

// text prints text as it is where no JSON is wanted.
func (p printer) text(s string) {
	if !p.json {
		fmt.Fprint(p.cmd.OutOrStdout(), s)
	}
}

// object prints JSON where it is wanted.
func (p printer) object(v any) error {
	if !p.json {
		return nil
	}
	return json.NewEncoder(p.cmd.OutOrStdout()).Encode(v)
}

// open reads captures and names the files that can't be read.
func open(p printer, paths []string) ([]*capture.Segment, int, error) {
	var segments []*capture.Segment
	unreadable := 0
	for _, path := range paths {
		s, bad, err := capture.Open(path)
		if err != nil {
			return nil, 0, inputError{err}
		}
		segments = append(segments, s...)
		unreadable += len(bad)
		for _, b := range bad {
			fmt.Fprintf(p.cmd.ErrOrStderr(), "%s: left out: %v\n", b.Path, b.Err)
		}
	}
	return segments, unreadable, nil
}

// onCaptures is what a command does whose arguments are all captures; unreadable is how many of their files were left
// out.
func onCaptures(run func(p printer, segments []*capture.Segment, unreadable int) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		p := newPrinter(cmd)
		segments, unreadable, err := open(p, args)
		if err != nil {
			return err
		}
		return run(p, segments, unreadable)
	}
}

// found is errFound where the condition holds.
func found(is bool) error {
	if is {
		return errFound
	}
	return nil
}

// writeFile makes a file and writes it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// create is writeFile for a file that the command's input names.
func create(path string, write func(io.Writer) error) error {
	if err := writeFile(path, write); err != nil {
		return inputError{err}
	}
	return nil
}
