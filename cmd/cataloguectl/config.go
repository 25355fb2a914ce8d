package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"tillerusher/internal/nginx"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
)

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check and show descriptions of routes and pools",
		Long: "A description is what `catalogue-server route --config FILE` reads; docs/routes.md states its grammar."}
	c.AddCommand(&cobra.Command{Use: "check FILE", Short: "Say whether a description can be served, or what is wrong and where",
		Example: "  cataloguectl config check routes.sexp && kill -HUP $PID", Args: cobra.ExactArgs(1),
		Long: "check reads a description and all that it includes." + statuses,
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := routeconfig.Load(args[0])
			if err != nil {
				return inputError{err}
			}
			p := newPrinter(cmd)
			members := 0
			for _, pool := range d.Pools {
				members += len(pool.Members)
			}
			p.line("%s: %d servers, %d pools with %d members, %d classes", args[0], len(d.Servers), len(d.Pools), members,
				len(d.Classes))
			return p.object(d)
		}})
	c.AddCommand(&cobra.Command{Use: "show FILE", Short: "Print a description with its includes in the one canonical form",
		Example: "  cataloguectl config show routes.sexp | diff - routes.sexp", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := routeconfig.Load(args[0])
			if err != nil {
				return inputError{err}
			}
			p := newPrinter(cmd)
			p.text(d.Format())
			return p.object(d)
		}})
	return c
}

func importCommand() *cobra.Command {
	var out, explain, host string
	var strict bool
	n := &cobra.Command{Use: "nginx FILE", Short: "Turn an nginx configuration into a description of routes and pools",
		Long: "nginx reads a configuration and all that it includes, and prints a description. Everything that is not carried\n" +
			"over is named on standard error by file, line and column, with the reason and its severity: harmless, changes\n" +
			"behaviour, or unsafe. docs/nginx.md lists every directive." + statuses,
		Example: "  cataloguectl import nginx /etc/nginx/nginx.conf -o routes.sexp\n" +
			"  cataloguectl import nginx nginx.conf --strict >/dev/null\n" +
			"  cataloguectl import nginx nginx.conf --explain /docs/a.php --host www.example.org",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p := newPrinter(cmd)
			name, err := filepath.Abs(args[0])
			if err != nil {
				return err
			}
			list, err := nginx.Parse(nginx.FSReader{FS: os.DirFS("/")}, name)
			if err != nil {
				return inputError{err}
			}
			d, remarks, err := nginx.Import(list)
			for _, r := range remarks {
				fmt.Fprintln(cmd.ErrOrStderr(), r)
			}
			if err != nil {
				return inputError{err}
			}
			if explain != "" {
				return explainPath(p, d, host, explain)
			}
			if err := writeDescription(p, d, out); err != nil {
				return err
			}
			if err := p.object(struct {
				Remarks []nginx.Diagnostic `json:"remarks"`
			}{remarks}); err != nil {
				return err
			}
			return found(strict && len(remarks) > 0)
		}}
	n.Flags().StringVarP(&out, "output", "o", "", "file for the description, which must not exist; standard output if empty")
	n.Flags().BoolVar(&strict, "strict", false, "end with status 1 if anything is not carried over")
	n.Flags().StringVar(&explain, "explain", "", "say step by step which location a path is served by")
	n.Flags().StringVar(&host, "host", "", "the Host of the path that is explained")
	c := &cobra.Command{Use: "import", Short: "Turn other programs' configurations into descriptions"}
	c.AddCommand(n)
	return c
}

// writeDescription writes a description to a new file or to standard output.
func writeDescription(p printer, d *routeconfig.Config, out string) error {
	if out == "" {
		p.text(d.Format())
		return nil
	}
	f, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return inputError{err}
	}
	_, err = f.WriteString(d.Format())
	return errors.Join(err, f.Close())
}

// explainPath says how a path finds its location in each server that listens.
func explainPath(p printer, d *routeconfig.Config, host, path string) error {
	table, err := d.BuildTable()
	if err != nil {
		return inputError{err}
	}
	seen := map[string]bool{}
	for _, s := range d.Servers {
		for _, l := range s.Listen {
			if seen[l.Addr.String()] {
				continue
			}
			seen[l.Addr.String()] = true
			server, why := table.FindServer(l.Addr, host)
			p.line("at %v: the server of %s, by %s", l.Addr, server.Source, why)
			asked, query, _ := strings.Cut(path, "?")
			m, steps, err := server.Explain(asked, query)
			if err != nil {
				p.line("  %s is a bad request: %v", path, err)
				continue
			}
			if first, err := route.NormalizePath(asked, server.MergeSlashes); err == nil {
				p.line("  %s is looked up as %s", path, first)
			}
			for _, step := range steps {
				p.line("  %v", step)
			}
			if err := told(p, m); err != nil {
				return err
			}
		}
	}
	return nil
}

// told says what becomes of a request at its location.
func told(p printer, m route.Resolution) error {
	result := struct {
		Path     string `json:"path"`
		Location string `json:"location,omitempty"`
		At       string `json:"at,omitempty"`
		Pool     string `json:"pool,omitempty"`
		Status   int    `json:"status,omitempty"`
		To       string `json:"to,omitempty"`
	}{Path: m.Path}
	switch {
	case m.Status != 0:
		result.Status, result.To = m.Status, m.RedirectURL
		p.line("  answered with %d %s", m.Status, m.RedirectURL)
	case m.Location == nil:
		result.Status = 404
		p.line("  no location: 404")
	case m.RedirectTrailingSlash:
		result.Status = 301
		p.line("  a redirect to %s/", m.Path)
	default:
		l := m.Location.Value.(*routeconfig.Location)
		result.Location, result.At, result.Pool, result.Status = m.Location.String(), m.Location.Source, l.Pool, l.ReturnStatus
		switch {
		case l.ReturnStatus != 0 && !m.StoppedByBreak:
			p.line("  answered with %d", l.ReturnStatus)
		case l.Pool != "":
			p.line("  goes to the pool %s as %s", l.Pool, m.Path)
		default:
			result.Status = 404
			p.line("  the location passes to no pool: 404")
		}
	}
	return p.object(result)
}
