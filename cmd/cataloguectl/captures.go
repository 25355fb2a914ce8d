package main

import (
	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
)

// openCaptures reads captures. unreadable is the number of files that can't be read. openCaptures prints the path and the error of
// each of them to standard error.
func openCaptures(out printer, paths []string) (segments []*capture.Segment, unreadable int, err error) {
	for _, path := range paths {
		list, bad, err := capture.Open(path)
		if err != nil {
			return nil, 0, inputError{err}
		}
		segments = append(segments, list...)
		unreadable += len(bad)
		for _, b := range bad {
			out.warnf("%s: skipped: %v", b.Path, b.Err)
		}
	}
	return segments, unreadable, nil
}

// withCaptures returns the RunE function of a command whose arguments are all captures. It opens them and calls run with their
// segments and the number of files that can't be read.
func withCaptures(run func(out printer, segments []*capture.Segment, unreadable int) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		out := newPrinter(cmd)
		segments, unreadable, err := openCaptures(out, args)
		if err != nil {
			return err
		}
		return run(out, segments, unreadable)
	}
}
