package main

import (
	"github.com/spf13/cobra"

	"tillerusher/internal/capture"
)

// openCaptures reads captures. It returns how many of their files can't be read, which it names on standard error.
func openCaptures(out printer, paths []string) (segments []*capture.Segment, unreadable int, err error) {
	for _, path := range paths {
		list, bad, err := capture.Open(path)
		if err != nil {
			return nil, 0, inputError{err}
		}
		segments = append(segments, list...)
		unreadable += len(bad)
		for _, b := range bad {
			out.warnf("%s: left out: %v", b.Path, b.Err)
		}
	}
	return segments, unreadable, nil
}

// withCaptures adapts a function to a command whose arguments are all captures. The function also gets the number of their files
// that can't be read.
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
