package route

import "fmt"

// locationIndex finds a location by path among the locations of one level: those directly in a server, or those nested
// directly in a location.
type locationIndex struct {
	tree    *node
	regexes []*Location // in file order
}

// newLocationIndex validates and compiles a list of locations and, recursively, the locations nested in them. parent is
// nil for the locations of a server.
func newLocationIndex(locations []*Location, parent *Location) (locationIndex, error) {
	compiled := locationIndex{tree: &node{}}
	for _, location := range locations {
		location.parent = parent
		if err := location.validate(); err != nil {
			return locationIndex{}, err
		}
		if err := compileRewrites(location.Rewrites); err != nil {
			return locationIndex{}, err
		}
		if err := compiled.add(location); err != nil {
			return locationIndex{}, err
		}
		var err error
		if location.nested, err = newLocationIndex(location.Locations, location); err != nil {
			return locationIndex{}, err
		}
	}
	return compiled, nil
}

// add adds a location to the index. Named locations are left out, since they are not found by path.
func (idx *locationIndex) add(location *Location) error {
	switch location.Kind {
	case Regex, RegexIgnoreCase:
		if err := location.compileRegex(); err != nil {
			return err
		}
		idx.regexes = append(idx.regexes, location)
	case Prefix, PrefixNoRegex, Exact:
		if existing := idx.tree.add(location); existing != nil {
			return configErrorf(location.Source, "location %v is defined twice, first at %s", location, existing.Source)
		}
	}
	return nil
}

// search finds the location for a path: the exact location, else the first regex that matches, else the longest prefix.
// It searches the locations nested in the longest prefix before the regexes of this level. It also searches the
// locations nested in a regex that matches.
func (idx *locationIndex) search(path string, trace tracer) (*Location, match) {
	best, found := idx.tree.find(path)
	switch found {
	case finalMatch:
		trace.traceLocation(best, "equals the path")
		return best, finalMatch
	case redirectMatch:
		trace.traceLocation(best, "equals the path with a slash appended: redirect")
		return best, redirectMatch
	case prefixMatch:
		trace.traceLocation(best, "is the longest prefix")
		skipsRegexes := best.Kind == PrefixNoRegex
		nested, nestedFound := best.nested.search(path, trace)
		if nested != nil {
			if nestedFound != prefixMatch {
				return nested, nestedFound
			}
			best, found = nested, nestedFound
		}
		if skipsRegexes {
			trace.traceLocation(best, "is kept without trying the regexes: ^~")
			return best, found
		}
	}
	if l := idx.searchRegexes(path, trace); l != nil {
		return l, finalMatch
	}
	return best, found
}

// searchRegexes returns the first regex location that matches a path, or the location found among those nested in it.
// It returns nil if no regex matches.
func (idx *locationIndex) searchRegexes(path string, trace tracer) *Location {
	for _, location := range idx.regexes {
		if !location.regex.MatchString(path) {
			trace.traceLocation(location, "does not match")
			continue
		}
		trace.traceLocation(location, "is the first regex that matches")
		if nested, _ := location.nested.search(path, trace); nested != nil {
			return nested
		}
		return location
	}
	return nil
}

// Step is a step of a search, as Explain returns it.
type Step struct {
	Location *Location // location that was tried, or whose rewrite was tried; nil for a rewrite of a server
	Rewrite  *Rewrite  // rewrite that was tried; nil if a location was tried
	Detail   string    // result of the step, as the end of a sentence
}

// String returns a line about the step for operators.
func (s Step) String() string {
	if s.Rewrite != nil {
		return fmt.Sprintf("%s: rewrite %s %s", s.Rewrite.Source, s.Rewrite.Pattern, s.Detail)
	}
	return fmt.Sprintf("%s: location %v %s", s.Location.Source, s.Location, s.Detail)
}

// tracer receives each step of a search. It may be nil.
type tracer func(Step)

// traceLocation reports the result of trying a location.
func (t tracer) traceLocation(l *Location, detail string) {
	if t != nil {
		t(Step{Location: l, Detail: detail})
	}
}

// traceRewrite reports the result of trying a rewrite of location l. l is nil for a rewrite of the server.
func (t tracer) traceRewrite(w *Rewrite, l *Location, detail string) {
	if t != nil {
		t(Step{Location: l, Rewrite: w, Detail: detail})
	}
}
