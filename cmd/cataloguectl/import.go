package main

import (
	"errors"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"tillerusher/internal/nginx"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
)

func newImportCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "import",
		Short: "Convert other programs' configurations to route configurations",
	}
	cmd.AddCommand(newImportNginxCommand())
	return cmd
}

// importNginxOptions are the flags of import nginx.
type importNginxOptions struct {
	output        string
	strict        bool
	explainedPath string // a path
	host          string
}

func newImportNginxCommand() *cobra.Command {
	var opts importNginxOptions
	cmd := &cobra.Command{
		Use:   "nginx FILE",
		Short: "Convert an nginx configuration to a route configuration",
		Long: "nginx reads a configuration and all that it includes, and prints a route configuration. Everything that is not carried\n" +
			"over is named on standard error by file, line and column, with the reason and its severity: harmless, changes\n" +
			"behaviour, or unsafe. docs/nginx.md lists every directive." + statusHelp,
		Example: "  cataloguectl import nginx /etc/nginx/nginx.conf -o routes.sexp\n" +
			"  cataloguectl import nginx nginx.conf --strict >/dev/null\n" +
			"  cataloguectl import nginx nginx.conf --explain /docs/a.php --host www.example.org",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return opts.run(newPrinter(cmd), args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVarP(&opts.output, "output", "o", "", "file for the route configuration, which must not exist; standard output if empty")
	flags.BoolVar(&opts.strict, "strict", false, "end with status 1 if anything is not carried over")
	flags.StringVar(&opts.explainedPath, "explain", "", "explain step by step which location serves a path")
	flags.StringVar(&opts.host, "host", "", "the Host of the path that is explained")
	return cmd
}

// importDiagnostics is the JSON of an import.
type importDiagnostics struct {
	Diagnostics []nginx.Diagnostic `json:"remarks"`
}

func (o *importNginxOptions) run(out printer, path string) error {
	name, err := filepath.Abs(path)
	if err != nil {
		return err
	}
	directives, err := nginx.Parse(nginx.FSReader{FS: os.DirFS("/")}, name)
	if err != nil {
		return inputError{err}
	}
	cfg, diagnostics, err := nginx.Import(directives)
	for _, d := range diagnostics {
		out.warnf("%v", d)
	}
	if err != nil {
		return inputError{err}
	}
	if o.explainedPath != "" {
		return explainPath(out, cfg, o.host, o.explainedPath)
	}
	if err := writeRouteConfig(out, cfg, o.output); err != nil {
		return err
	}
	if err := out.encode(importDiagnostics{diagnostics}); err != nil {
		return err
	}
	return problemFoundIf(o.strict && len(diagnostics) > 0)
}

// writeRouteConfig writes a route configuration to a new file, or to standard output if the path is empty.
func writeRouteConfig(out printer, cfg *routeconfig.Config, path string) error {
	if path == "" {
		out.text(cfg.Format())
		return nil
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return inputError{err}
	}
	_, err = f.WriteString(cfg.Format())
	return errors.Join(err, f.Close())
}

// explainPath explains how a path finds its location, once for each listening address.
func explainPath(out printer, cfg *routeconfig.Config, host, path string) error {
	table, err := cfg.BuildTable()
	if err != nil {
		return inputError{err}
	}
	isExplained := map[netip.AddrPort]bool{}
	for _, s := range cfg.Servers {
		for _, listen := range s.Listen {
			if isExplained[listen.Addr] {
				continue
			}
			isExplained[listen.Addr] = true
			server, reason := table.FindServer(listen.Addr, host)
			out.linef("at %v: the server of %s, by %s", listen.Addr, server.Source, reason)
			if err := explainAtServer(out, server, path); err != nil {
				return err
			}
		}
	}
	return nil
}

// explainAtServer explains how a path finds its location in a server.
func explainAtServer(out printer, server *route.Server, path string) error {
	rawPath, query, _ := strings.Cut(path, "?")
	resolution, steps, err := server.Explain(rawPath, query)
	if err != nil {
		out.linef("  %s is a bad request: %v", path, err)
		return nil
	}
	if normalized, err := route.NormalizePath(rawPath, server.MergeSlashes); err == nil {
		out.linef("  %s is looked up as %s", path, normalized)
	}
	for _, step := range steps {
		out.linef("  %v", step)
	}
	return printResolution(out, resolution)
}

// resolutionInfo is the JSON of a resolution.
type resolutionInfo struct {
	Path     string `json:"path"`
	Location string `json:"location,omitempty"`
	At       string `json:"at,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Status   int    `json:"status,omitempty"`
	To       string `json:"to,omitempty"`
}

// printResolution prints how a request is answered at the location that was found.
func printResolution(out printer, resolution route.Resolution) error {
	info := resolutionInfo{Path: resolution.Path}
	switch {
	case resolution.Status != 0:
		info.Status = resolution.Status
		info.To = resolution.RedirectURL
		out.linef("  answered with %d %s", resolution.Status, resolution.RedirectURL)
	case resolution.Location == nil:
		info.Status = http.StatusNotFound
		out.linef("  no location: 404")
	case resolution.RedirectTrailingSlash:
		info.Status = http.StatusMovedPermanently
		out.linef("  a redirect to %s/", resolution.Path)
	default:
		printLocation(out, resolution, &info)
	}
	return out.encode(info)
}

// printLocation prints what the location does with a request, and notes it.
func printLocation(out printer, resolution route.Resolution, info *resolutionInfo) {
	location := resolution.Location.Value.(*routeconfig.Location)
	info.Location = resolution.Location.String()
	info.At = resolution.Location.Source
	info.Pool = location.Pool
	info.Status = location.ReturnStatus
	switch {
	case location.ReturnStatus != 0 && !resolution.StoppedByBreak:
		out.linef("  answered with %d", location.ReturnStatus)
	case location.Pool != "":
		out.linef("  goes to the pool %s as %s", location.Pool, resolution.Path)
	default:
		info.Status = http.StatusNotFound
		out.linef("  the location passes to no pool: 404")
	}
}
