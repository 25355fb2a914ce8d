package main

import (
	"github.com/spf13/cobra"
)

func newSimulateCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"model"},
		Short:   "Simulate clusters in virtual time and compare policies",
		Long: "simulate runs clusters of catalogue servers in virtual time, with the real decision module or with other policies. It\n" +
			"also runs and evaluates experiments; docs/experiments.md describes one step by step." + statusHelp,
	}
	cmd.AddCommand(
		newSimulateRunCommand(),
		newSimulateSweepCommand(),
		newSimulateShowCommand(),
		newSimulateCompareCommand(),
		newSimulatePlotCommand(),
		newSimulateSearchCommand(),
		newSimulateCalibrateCommand(),
	)
	return cmd
}
