package route

import "fmt"

// level is the locations of a server, or those nested in one location, compiled for lookups.
type level struct {
	tree    *node
	regexes []*Location // in the order of the file
}

// newLevel compiles a list of locations and all that is nested in them.
func newLevel(locations []*Location, parent *Location) (level, error) {
	compiled := level{tree: &node{}}
	for _, location := range locations {
		location.parent = parent
		if err := location.validate(); err != nil {
			return level{}, err
		}
		if err := compileRewrites(location.Rewrites); err != nil {
			return level{}, err
		}
		if err := compiled.add(location); err != nil {
			return level{}, err
		}
		var err error
		if location.nested, err = newLevel(location.Locations, location); err != nil {
			return level{}, err
		}
	}
	return compiled, nil
}

// add files a location by its kind; named ones are not looked up by path.
func (v *level) add(location *Location) error {
	switch location.Kind {
	case Regex, RegexIgnoreCase:
		if err := location.compileRegex(); err != nil {
			return err
		}
		v.regexes = append(v.regexes, location)
	case Prefix, PrefixNoRegex, Exact:
		if existing := v.tree.add(location); existing != nil {
			return configErrorf(location.Source, "location %v is defined twice, first at %s", location, existing.Source)
		}
	}
	return nil
}

// search finds the location for a path: the exact one, else the first regex that matches, else the longest prefix. What
// is nested in the longest prefix or in a regex that matches is searched likewise, before the level's own regexes.
func (v *level) search(path string, trace tracer) (*Location, match) {
	best, found := v.tree.find(path)
	switch found {
	case finalMatch:
		trace.traceLocation(best, "is the path exactly")
		return best, finalMatch
	case redirectMatch:
		trace.traceLocation(best, "is the path but for its last slash: a redirect")
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
			trace.traceLocation(best, "no regex is looked at, by ^~")
			return best, found
		}
	}
	if l := v.searchRegexes(path, trace); l != nil {
		return l, finalMatch
	}
	return best, found
}

// searchRegexes returns the location for a path by the first regex that matches, or nil.
func (v *level) searchRegexes(path string, trace tracer) *Location {
	for _, location := range v.regexes {
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

// Step is a step of a search, for Explain.
type Step struct {
	Location *Location // that was looked at, or whose rewrite was; nil for a server's rewrite
	Rewrite  *Rewrite  // nil if the step is no rewrite
	Detail   string
}

// String describes the step for operators.
func (s Step) String() string {
	if s.Rewrite != nil {
		return fmt.Sprintf("%s: rewrite %s %s", s.Rewrite.Source, s.Rewrite.Pattern, s.Detail)
	}
	return fmt.Sprintf("%s: location %v %s", s.Location.Source, s.Location, s.Detail)
}

// tracer is called for each step of a search; nil for none.
type tracer func(Step)

// traceLocation reports what became of a location.
func (t tracer) traceLocation(l *Location, detail string) {
	if t != nil {
		t(Step{Location: l, Detail: detail})
	}
}

// traceRewrite reports what became of a rewrite of a location, or of the server if that is nil.
func (t tracer) traceRewrite(w *Rewrite, l *Location, detail string) {
	if t != nil {
		t(Step{Location: l, Rewrite: w, Detail: detail})
	}
}
