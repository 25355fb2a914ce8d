package routeconfig

import (
	"slices"

	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// validate looks for names that are given twice or stand for nothing.
func (d *Config) validate() error {
	pools, classes := map[string]sexp.Pos{}, map[string]sexp.Pos{}
	for _, p := range d.Pools {
		if at, twice := pools[p.Name]; twice {
			return sexp.Errorf(p.Pos, "pool %s is defined twice, first at %v", p.Name, at)
		}
		pools[p.Name] = p.Pos
	}
	for _, c := range d.Classes {
		if at, twice := classes[c.Name]; twice {
			return sexp.Errorf(c.Pos, "class %s is defined twice, first at %v", c.Name, at)
		}
		classes[c.Name] = c.Pos
	}
	for _, s := range d.Servers {
		if len(s.Listen) == 0 {
			return sexp.Errorf(s.Pos, "a server without (listen ...)")
		}
		named := []string{}
		for _, l := range s.Locations {
			if l.Kind == route.Named {
				named = append(named, l.Pattern)
			}
		}
		for _, l := range s.Locations {
			if err := l.validateReferences(pools, classes, named); err != nil {
				return err
			}
		}
	}
	return nil
}

// validateReferences checks that what a location names is there.
func (l *Location) validateReferences(pools, classes map[string]sexp.Pos, named []string) error {
	if l.Pool != "" {
		if _, ok := pools[l.Pool]; !ok {
			return sexp.Errorf(l.Pos, "location %s goes to the pool %s, which is not defined", l.Pattern, l.Pool)
		}
		if _, ok := classes[l.Class]; !ok {
			return sexp.Errorf(l.Pos, "location %s has the class %q, which is not defined", l.Pattern, l.Class)
		}
	}
	for _, f := range l.Fallbacks {
		if !slices.Contains(named, f.Location) {
			return sexp.Errorf(l.Pos, "location %s falls back to @%s, which its server does not have", l.Pattern, f.Location)
		}
	}
	for _, inner := range l.Locations {
		if err := inner.validateReferences(pools, classes, named); err != nil {
			return err
		}
	}
	return nil
}

// BuildTable builds the table of routes. The values of its locations are this description's.
func (d *Config) BuildTable() (*route.Table, error) {
	var servers []*route.Server
	for _, s := range d.Servers {
		rs := &route.Server{Names: s.Names, MergeSlashes: s.MergeSlashes, Rewrites: tableRewrites(s.Rewrites), Locations: tableLocations(s.Locations), Source: s.Pos.String()}
		for _, l := range s.Listen {
			rs.Listen = append(rs.Listen, route.Listen{Addr: l.Addr, Default: l.Default})
		}
		servers = append(servers, rs)
	}
	return route.New(servers)
}

// tableRewrites turns rewrites into the table's.
func tableRewrites(list []Rewrite) []*route.Rewrite {
	var out []*route.Rewrite
	for _, w := range list {
		out = append(out, &route.Rewrite{Pattern: w.Pattern, Replacement: w.Replacement, Flag: w.Flag, Source: w.Pos.String()})
	}
	return out
}

// tableLocations turns locations into the table's.
func tableLocations(list []*Location) []*route.Location {
	var out []*route.Location
	for _, l := range list {
		passes := l.Pool != "" && (l.Kind == route.Prefix || l.Kind == route.PrefixNoRegex)
		out = append(out, &route.Location{Kind: l.Kind, Pattern: l.Pattern, Value: l, Source: l.Pos.String(),
			Rewrites: tableRewrites(l.Rewrites), RedirectTrailingSlash: passes && l.Pattern[len(l.Pattern)-1] == '/', Locations: tableLocations(l.Locations)})
	}
	return out
}
