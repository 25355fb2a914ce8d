package nginx

import (
	"strings"

	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
)

// namedTarget is the named location to which try_files sends the requests of a location.
type namedTarget struct {
	name     string
	tryFiles *Directive
}

// importTryFiles reads try_files. The router serves no files, so the last argument applies to all requests, unless the
// location passes requests to a pool or has a return.
func (im *importer) importTryFiles(location *routeconfig.Location, directive *Directive) {
	last := directive.Arg(len(directive.Args) - 1)
	name, isNamed := strings.CutPrefix(last, "@")
	statusText, hasStatus := strings.CutPrefix(last, "=")
	status, isStatus := routeconfig.ParseStatus(statusText, routeconfig.MinStatus)
	switch {
	case location.Pool != "" && (isNamed || hasStatus):
		im.report(directive, ChangesBehavior, "no files are looked for: all requests go to the pool")
	case location.Pool != "":
		im.report(directive, Unsafe, "no files are looked for, and its last address is not gone to")
	case isNamed && location.ReturnStatus == 0:
		im.namedTargets[location] = namedTarget{name, directive}
		im.report(directive, ChangesBehavior, "no files are looked for: all requests go to @%s", name)
	case hasStatus && isStatus && location.ReturnStatus == 0:
		location.ReturnStatus = status
		im.report(directive, ChangesBehavior, "no files are looked for: all requests are answered with %d", status)
	default:
		im.report(directive, Unsafe, "no files are looked for")
	}
}

// resolveNamedTargets copies the settings of a named location to the locations of the server whose try_files leads to
// it. It must be called after all locations of the server are imported.
func (im *importer) resolveNamedTargets(server *routeconfig.Server) {
	named := namedLocations(server)
	walkLocations(server.Locations, func(location *routeconfig.Location) {
		target, ok := im.namedTargets[location]
		if !ok {
			return
		}
		source := named[target.name]
		if source == nil {
			im.report(target.tryFiles, Unsafe, "its server has no location @%s", target.name)
			return
		}
		location.Pool = source.Pool
		location.Class = source.Class
		location.ReturnStatus = source.ReturnStatus
		location.ReturnText = source.ReturnText
		location.Params = source.Params
		location.Fallbacks = source.Fallbacks
		location.InterceptErrors = source.InterceptErrors
	})
}

// dropUnknownFallbacks removes and reports fallbacks to named locations that the server does not have. An error_page in
// the http block applies to all servers, but the named location may exist in only some of them.
func (im *importer) dropUnknownFallbacks(directive *Directive, server *routeconfig.Server) {
	named := namedLocations(server)
	reported := map[string]bool{}
	walkLocations(server.Locations, func(location *routeconfig.Location) {
		var kept []routeconfig.Fallback
		for _, fallback := range location.Fallbacks {
			switch {
			case named[fallback.Location] != nil:
				kept = append(kept, fallback)
			case !reported[fallback.Location]:
				reported[fallback.Location] = true
				im.report(directive, ChangesBehavior,
					"error_page leads to @%s, which this server does not have: the status is answered", fallback.Location)
			}
		}
		location.Fallbacks = kept
		if len(kept) == 0 {
			location.InterceptErrors = true
		}
	})
}

// namedLocations returns the named locations of a server by name. If two have the same name, it returns the last one;
// the parser of route configurations rejects such a server.
func namedLocations(s *routeconfig.Server) map[string]*routeconfig.Location {
	named := map[string]*routeconfig.Location{}
	for _, l := range s.Locations {
		if l.Kind == route.Named {
			named[l.Pattern] = l
		}
	}
	return named
}

// walkLocations calls visit for each location, and for nested locations before the location that contains them.
func walkLocations(locations []*routeconfig.Location, visit func(*routeconfig.Location)) {
	for _, l := range locations {
		walkLocations(l.Locations, visit)
		visit(l)
	}
}
