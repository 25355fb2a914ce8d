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
		Short: "Convert configurations of other programs to route configurations",
	}
	cmd.AddCommand(newImportNginxCommand())
	return cmd
}

// importNginxOptions are the flags of import nginx.
type importNginxOptions struct {
	output        string
	strict        bool
	explainedPath string // request path to explain; empty means none
	host          string
}

func newImportNginxCommand() *cobra.Command {
	var opts importNginxOptions
	cmd := &cobra.Command{
		Use:   "nginx FILE",
		Short: "Convert an nginx configuration to a route configuration",
		Long: "nginx reads an nginx configuration with all included files, and prints a route configuration. For each directive\n" +
			"that it does not convert, or converts with a change, it prints the file, line and column to standard error, with the\n" +
			"reason and the severity: harmless, changes behaviour, or unsafe. docs/nginx.md lists every directive." + statusHelp,
		Example: "  cataloguectl import nginx /etc/nginx/nginx.conf -o routes.sexp\n" +
			"  cataloguectl import nginx nginx.conf --strict >/dev/null\n" +
			"  cataloguectl import nginx nginx.conf --explain /docs/a.php --host www.example.org",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return opts.run(newPrinter(cmd), args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVarP(&opts.output, "output", "o", "",
		"output file for the route configuration, which must not exist; standard output if empty")
	flags.BoolVar(&opts.strict, "strict", false, "exit with status 1 if a directive is not converted, or is converted with a change")
	flags.StringVar(&opts.explainedPath, "explain", "",
		"request path; explain step by step which location serves it, instead of printing the configuration")
	flags.StringVar(&opts.host, "host", "", "Host header of the request to explain")
	return cmd
}

// importDiagnostics is the JSON form of the diagnostics of an import.
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

// explainPath prints how the location for a path is found, once for each listening address.
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
			out.linef("at %v: server at %s (%s)", listen.Addr, server.Source, reason)
			if err := explainAtServer(out, server, path); err != nil {
				return err
			}
		}
	}
	return nil
}

// explainAtServer prints how the location for a path is found in a server.
func explainAtServer(out printer, server *route.Server, path string) error {
	rawPath, query, _ := strings.Cut(path, "?")
	resolution, steps, err := server.Explain(rawPath, query)
	if err != nil {
		out.linef("  the path %s is invalid: %v", path, err)
		return nil
	}
	if normalized, err := route.NormalizePath(rawPath, server.MergeSlashes); err == nil {
		out.linef("  normalized path of %s: %s", path, normalized)
	}
	for _, step := range steps {
		out.linef("  %v", step)
	}
	return printResolution(out, resolution)
}

// resolutionInfo is the JSON form of a resolution.
type resolutionInfo struct {
	Path     string `json:"path"`
	Location string `json:"location,omitempty"`
	At       string `json:"at,omitempty"`
	Pool     string `json:"pool,omitempty"`
	Status   int    `json:"status,omitempty"`
	To       string `json:"to,omitempty"`
}

// printResolution prints how a request with the resolution is answered.
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
		out.linef("  redirected to %s/", resolution.Path)
	default:
		printLocation(out, resolution, &info)
	}
	return out.encode(info)
}

// printLocation prints how the location of the resolution answers a request, and sets the fields of info.
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
		out.linef("  passed to the pool %s as %s", location.Pool, resolution.Path)
	default:
		info.Status = http.StatusNotFound
		out.linef("  the location has no pool: 404")
	}
}
