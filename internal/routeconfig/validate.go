package routeconfig

import (
	"slices"

	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// positions maps the names of pools or of classes to the positions of their definitions.
type positions map[string]sexp.Pos

// validate checks that no pool or class is defined twice, that each server listens at an address, and that all
// references are to pools, classes and named locations that exist.
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
			return sexp.Errorf(s.Pos, "server has no (listen ...), want at least one")
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

// validateReferences checks that the pool, the class and the fallbacks of a location are defined, and does the same for
// the nested locations. A location without a pool needs no class.
func (l *Location) validateReferences(pools, classes positions, named []string) error {
	if l.Pool != "" {
		if _, ok := pools[l.Pool]; !ok {
			return sexp.Errorf(l.Pos, "location %s has the pool %s, which is not defined", l.Pattern, l.Pool)
		}
		if _, ok := classes[l.Class]; !ok {
			return sexp.Errorf(l.Pos, "location %s has the class %q, which is not defined", l.Pattern, l.Class)
		}
	}
	for _, f := range l.Fallbacks {
		if !slices.Contains(named, f.Location) {
			return sexp.Errorf(l.Pos, "location %s has the fallback @%s, which is not defined in its server", l.Pattern, f.Location)
		}
	}
	for _, nested := range l.Locations {
		if err := nested.validateReferences(pools, classes, named); err != nil {
			return err
		}
	}
	return nil
}
