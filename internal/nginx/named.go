package nginx

import (
	"strings"

	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
)

// namedTarget is the named location that try_files sends a location's requests to.
type namedTarget struct {
	name     string
	tryFiles *Directive
}

// importTryFiles reads try_files. There are no files, so its last argument counts, unless the location passes requests to
// a pool.
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
		im.passedTo[location] = namedTarget{name, directive}
		im.report(directive, ChangesBehavior, "no files are looked for: all requests go to @%s", name)
	case hasStatus && isStatus && location.ReturnStatus == 0:
		location.ReturnStatus = status
		im.report(directive, ChangesBehavior, "no files are looked for: all requests are answered with %d", status)
	default:
		im.report(directive, Unsafe, "no files are looked for")
	}
}

// resolveNamedTargets has the locations of a server whose requests go to a named location do what that one does. It runs
// once all locations of the server are known.
func (im *importer) resolveNamedTargets(server *routeconfig.Server) {
	named := namedLocations(server)
	walkLocations(server.Locations, func(location *routeconfig.Location) {
		target, ok := im.passedTo[location]
		if !ok {
			return
		}
		to := named[target.name]
		if to == nil {
			im.report(target.tryFiles, Unsafe, "its server has no location @%s", target.name)
			return
		}
		location.Pool = to.Pool
		location.Class = to.Class
		location.ReturnStatus = to.ReturnStatus
		location.ReturnText = to.ReturnText
		location.Params = to.Params
		location.Fallbacks = to.Fallbacks
		location.InterceptErrors = to.InterceptErrors
	})
}

// dropUnknownFallbacks removes fallbacks to named locations that the server does not have: an error_page around several
// servers may be meant for some of them only.
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

// namedLocations returns the named locations of a server. Of two with the same name the last one counts; reading the
// configuration rejects them.
func namedLocations(s *routeconfig.Server) map[string]*routeconfig.Location {
	named := map[string]*routeconfig.Location{}
	for _, l := range s.Locations {
		if l.Kind == route.Named {
			named[l.Pattern] = l
		}
	}
	return named
}

// walkLocations calls a function for each location, the nested ones before the one that they stand in.
func walkLocations(locations []*routeconfig.Location, visit func(*routeconfig.Location)) {
	for _, l := range locations {
		walkLocations(l.Locations, visit)
		visit(l)
	}
}
