package routeconfig

import (
	"strings"

	"tillerusher/internal/route"
)

// BuildTable builds the routing table. The Value of each route.Location is the *Location of the configuration. The
// error is a *route.ConfigError.
func (c *Config) BuildTable() (*route.Table, error) {
	var servers []*route.Server
	for _, s := range c.Servers {
		server := &route.Server{
			Names:        s.Names,
			MergeSlashes: s.MergeSlashes,
			Rewrites:     tableRewrites(s.Rewrites),
			Locations:    tableLocations(s.Locations),
			Source:       s.Pos.String(),
		}
		for _, l := range s.Listen {
			server.Listen = append(server.Listen, route.Listen{Addr: l.Addr, Default: l.Default})
		}
		servers = append(servers, server)
	}
	return route.New(servers)
}

// tableRewrites converts rewrites to rewrites of the routing table.
func tableRewrites(rewrites []Rewrite) []*route.Rewrite {
	var out []*route.Rewrite
	for _, w := range rewrites {
		out = append(out, &route.Rewrite{Pattern: w.Pattern, Replacement: w.Replacement, Flag: w.Flag, Source: w.Pos.String()})
	}
	return out
}

// tableLocations converts locations to locations of the routing table.
func tableLocations(locations []*Location) []*route.Location {
	var out []*route.Location
	for _, l := range locations {
		out = append(out, &route.Location{
			Kind:                  l.Kind,
			Pattern:               l.Pattern,
			RedirectTrailingSlash: l.redirectsTrailingSlash(),
			Rewrites:              tableRewrites(l.Rewrites),
			Locations:             tableLocations(l.Locations),
			Value:                 l,
			Source:                l.Pos.String(),
		})
	}
	return out
}

// redirectsTrailingSlash reports whether a request for the pattern without its trailing slash is redirected to the
// pattern. Like nginx, this is so for prefixes whose requests are passed to a pool.
func (l *Location) redirectsTrailingSlash() bool {
	isPrefix := l.Kind == route.Prefix || l.Kind == route.PrefixNoRegex
	return l.Pool != "" && isPrefix && strings.HasSuffix(l.Pattern, "/")
}
