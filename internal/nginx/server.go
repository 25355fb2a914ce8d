package nginx

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
)

// importServer imports a server block.
func (im *importer) importServer(directive *Directive, outer levelSettings) error {
	server := routeconfig.Server{Pos: directive.Pos}
	settings, err := im.inherit(outer, directive.Block)
	if err != nil {
		return err
	}
	server.MergeSlashes = settings.mergeSlashes
	rewrites := rewriteContext{rewrites: &server.Rewrites}
	for _, inner := range directive.Block {
		if err := im.importServerDirective(&server, inner, settings, &rewrites); err != nil {
			return err
		}
	}
	im.resolveNamedTargets(&server)
	if len(settings.fallbacks) > 0 && !hasRootPrefix(server.Locations) {
		// Requests that match no location are answered with 404, for which the server may have a fallback.
		server.Locations = append(server.Locations, &routeconfig.Location{Kind: route.Prefix, Pattern: "/",
			Fallbacks: settings.fallbacks, Pos: directive.Pos})
	}
	if len(server.Listen) == 0 {
		server.Listen = []routeconfig.Listen{{Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), defaultPort)}}
	}
	im.dropUnknownFallbacks(directive, &server)
	im.config.Servers = append(im.config.Servers, server)
	return nil
}

// importServerDirective imports a directive of a server block.
func (im *importer) importServerDirective(server *routeconfig.Server, directive *Directive, settings levelSettings,
	rewrites *rewriteContext) error {
	switch {
	case directive.Name == "listen":
		im.importListen(server, directive)
	case directive.Name == "server_name":
		server.Names = append(server.Names, directive.ArgTexts()...)
	case directive.Name == "location":
		location, err := im.importLocation(directive, settings)
		if err != nil {
			return err
		}
		server.Locations = append(server.Locations, location)
	case directive.Name == "rewrite":
		return im.importRewrite(rewrites, directive)
	case directive.Name == "return":
		im.report(directive, Unsafe, "a return for a whole server is not carried over: put it into location /")
	case !isInherited(directive.Name):
		im.reportUnsupported(directive)
	}
	return nil
}

// hasRootPrefix reports whether one of the locations is a prefix location for /, which matches all paths.
func hasRootPrefix(locations []*routeconfig.Location) bool {
	return slices.ContainsFunc(locations, func(l *routeconfig.Location) bool {
		return l.Pattern == "/" && (l.Kind == route.Prefix || l.Kind == route.PrefixNoRegex)
	})
}

// importListen adds the address of a listen directive to a server.
func (im *importer) importListen(server *routeconfig.Server, directive *Directive) {
	addr, ok := listenAddress(directive.Arg(0))
	if !ok {
		im.report(directive, ChangesBehavior, "only addresses and ports are listened at")
		return
	}
	listen := routeconfig.Listen{Addr: addr}
	for _, arg := range directive.Args[1:] {
		switch arg.Text {
		case "default_server", "default":
			listen.Default = true
		case "ssl", "http2", "quic":
			im.report(directive, ChangesBehavior, "the gateway ends TLS and HTTP: %s is left out", arg.Text)
		default:
			im.report(directive, Harmless, "%s is about nginx's own socket", arg.Text)
		}
	}
	server.Listen = append(server.Listen, listen)
}

// listenAddress reads a port, an IP address, or both. The address * means 0.0.0.0.
func listenAddress(text string) (netip.AddrPort, bool) {
	const anyAddress = "0.0.0.0:"
	if _, err := strconv.Atoi(text); err == nil {
		text = anyAddress + text
	}
	text = strings.Replace(text, "*:", anyAddress, 1)
	if ip, err := netip.ParseAddr(text); err == nil {
		return netip.AddrPortFrom(ip, defaultPort), true
	}
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil
}
