package routeconfig

import (
	"slices"

	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// positions are where things with names were defined.
type positions map[string]sexp.Pos

// validate checks that no name is defined twice and that all references lead somewhere.
func (c *Config) validate() error {
	pools, classes := positions{}, positions{}
	for _, p := range c.Pools {
		if first, ok := pools[p.Name]; ok {
			return sexp.Errorf(p.Pos, "pool %s is defined twice, first at %v", p.Name, first)
		}
		pools[p.Name] = p.Pos
	}
	for _, class := range c.Classes {
		if first, ok := classes[class.Name]; ok {
			return sexp.Errorf(class.Pos, "class %s is defined twice, first at %v", class.Name, first)
		}
		classes[class.Name] = class.Pos
	}
	for _, s := range c.Servers {
		if len(s.Listen) == 0 {
			return sexp.Errorf(s.Pos, "a server without (listen ...)")
		}
		named := s.namedLocations()
		for _, l := range s.Locations {
			if err := l.validateReferences(pools, classes, named); err != nil {
				return err
			}
		}
	}
	return nil
}

// namedLocations returns the names of the server's named locations.
func (s *Server) namedLocations() []string {
	var names []string
	for _, l := range s.Locations {
		if l.Kind == route.Named {
			names = append(names, l.Pattern)
		}
	}
	return names
}

// validateReferences checks that the pool, the class and the fallbacks of a location and of those in it are defined.
func (l *Location) validateReferences(pools, classes positions, named []string) error {
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
	for _, nested := range l.Locations {
		if err := nested.validateReferences(pools, classes, named); err != nil {
			return err
		}
	}
	return nil
}
