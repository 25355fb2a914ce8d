package route

import (
	"regexp"
	"strings"
)

// Kind is how a location's pattern is matched.
type Kind uint8

// The kinds of location.
const (
	Prefix          Kind = iota // the longest one that begins the path
	PrefixNoRegex               // ^~: as Prefix; if it is the longest one, no regex is tried
	Exact                       // =: the path is the pattern
	Regex                       // ~: the first one that matches, in the order of the file
	RegexIgnoreCase             // ~*: as Regex, case-insensitive
	Named                       // @: by its name only
)

// modifiers are the kinds as nginx writes them before the pattern.
var modifiers = [...]string{
	Prefix:          "",
	PrefixNoRegex:   "^~",
	Exact:           "=",
	Regex:           "~",
	RegexIgnoreCase: "~*",
	Named:           "@",
}

// Modifier returns the modifier that nginx writes before the pattern.
func (k Kind) Modifier() string { return modifiers[k] }

// isRegex reports whether the pattern is a regex.
func (k Kind) isRegex() bool { return k == Regex || k == RegexIgnoreCase }

// Location is a location of a server, or one nested in another location.
type Location struct {
	Kind                  Kind
	Pattern               string // without the modifier; of a named location without @
	RedirectTrailingSlash bool   // of a Prefix with a slash at its end: the same path without it is redirected to it
	Rewrites              []*Rewrite
	Locations             []*Location
	Value                 any    // what the caller keeps for the location; the table only hands it on
	Source                string // where it was defined, for messages

	regex  *regexp.Regexp // nil unless Kind is one of a regex
	parent *Location
	nested level // of Locations
}

// String returns the location as nginx writes it.
func (l *Location) String() string {
	switch l.Kind {
	case Prefix:
		return l.Pattern
	case Named:
		return "@" + l.Pattern
	}
	return l.Kind.Modifier() + " " + l.Pattern
}

// compileRegex compiles the pattern of a regex location.
func (l *Location) compileRegex() (err error) {
	pattern := l.Pattern
	if l.Kind == RegexIgnoreCase {
		pattern = ignoreCase + pattern
	}
	if l.regex, err = regexp.Compile(pattern); err != nil {
		return configErrorf(l.Source, "location %v: not a regex of RE2: %w", l, err)
	}
	return nil
}

// ignoreCase before a regex makes it case-insensitive.
const ignoreCase = "(?i)"

// validate checks that a location can stand where it does. Its parent has to be set.
func (l *Location) validate() error {
	outer := l.parent
	switch {
	case l.Pattern == "":
		return configErrorf(l.Source, "a location without a pattern")
	case l.Kind == Named && len(l.Rewrites) > 0:
		return configErrorf(l.Source, "location %v can't rewrite: its path stays", l)
	case outer == nil:
		return nil
	case l.Kind == Named:
		return configErrorf(l.Source, "location %v can only stand in a server", l)
	case outer.Kind == Exact || outer.Kind == Named:
		return configErrorf(l.Source, "location %v can't stand in location %v", l, outer)
	case !l.Kind.isRegex() && !strings.HasPrefix(l.Pattern, outer.Pattern):
		// nginx compares with the text of the pattern also where the outer one is a regex.
		return configErrorf(l.Source, "location %v is outside location %v", l, outer)
	}
	return nil
}
