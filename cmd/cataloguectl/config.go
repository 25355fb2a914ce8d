package main

import (
	"github.com/spf13/cobra"

	"tillerusher/internal/routeconfig"
)

func newConfigCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check and show route configurations",
		Long:  "A route configuration is a file that `catalogue-server route --config FILE` reads; docs/routes.md defines its grammar.",
	}
	cmd.AddCommand(newConfigCheckCommand(), newConfigShowCommand())
	return cmd
}

func newConfigCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check whether a route configuration can be served, and print the error with its position if not",
		Long:    "check reads a route configuration with all included files." + statusHelp,
		Example: "  cataloguectl config check routes.sexp && kill -HUP $PID",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := routeconfig.Load(args[0])
			if err != nil {
				return inputError{err}
			}
			members := 0
			for _, pool := range cfg.Pools {
				members += len(pool.Members)
			}
			out := newPrinter(cmd)
			out.linef("%s: %d servers, %d pools with %d members, %d classes", args[0], len(cfg.Servers), len(cfg.Pools), members,
				len(cfg.Classes))
			return out.encode(cfg)
		},
	}
}

func newConfigShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show FILE",
		Short:   "Print a route configuration with its included files in canonical form",
		Example: "  cataloguectl config show routes.sexp | diff - routes.sexp",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := routeconfig.Load(args[0])
			if err != nil {
				return inputError{err}
			}
			out := newPrinter(cmd)
			out.text(cfg.Format())
			return out.encode(cfg)
		},
	}
}
