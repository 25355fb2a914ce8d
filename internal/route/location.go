package route

import (
	"regexp"
	"strings"
)

// Kind says how the pattern of a location is matched.
type Kind uint8

// The kinds of locations, with their nginx modifiers.
const (
	Prefix          Kind = iota // no modifier: matches paths that begin with the pattern; the longest such pattern wins
	PrefixNoRegex               // ^~: like Prefix, but no regex is tried if it is the longest match
	Exact                       // =: matches only the path that equals the pattern
	Regex                       // ~: the first match in file order wins
	RegexIgnoreCase             // ~*: like Regex, but case-insensitive
	Named                       // @: is found by name and never by path
)

// modifiers maps each kind to the modifier that nginx writes before the pattern.
var modifiers = [...]string{
	Prefix:          "",
	PrefixNoRegex:   "^~",
	Exact:           "=",
	Regex:           "~",
	RegexIgnoreCase: "~*",
	Named:           "@",
}

// Modifier returns the modifier that nginx writes before the pattern, which is empty for Prefix.
func (k Kind) Modifier() string { return modifiers[k] }

// isRegex reports whether the pattern is a regex.
func (k Kind) isRegex() bool { return k == Regex || k == RegexIgnoreCase }

// Location is a location of a server or a location nested in another one.
type Location struct {
	Kind                  Kind
	Pattern               string // without the modifier; without the @ of a named location
	RedirectTrailingSlash bool   // for a prefix that ends in a slash: the path without that slash is redirected
	Rewrites              []*Rewrite
	Locations             []*Location
	Value                 any    // data of the caller, which this package doesn't use
	Source                string // position of the definition, for messages

	regex  *regexp.Regexp // nil unless Kind is Regex or RegexIgnoreCase
	parent *Location
	nested locationIndex // index of Locations
}

// String returns the modifier and the pattern in nginx syntax.
func (l *Location) String() string {
	switch l.Kind {
	case Prefix:
		return l.Pattern
	case Named:
		return "@" + l.Pattern
	}
	return l.Kind.Modifier() + " " + l.Pattern
}

// compileRegex compiles the pattern of a location of kind Regex or RegexIgnoreCase.
func (l *Location) compileRegex() (err error) {
	pattern := l.Pattern
	if l.Kind == RegexIgnoreCase {
		pattern = ignoreCase + pattern
	}
	if l.regex, err = regexp.Compile(pattern); err != nil {
		return configErrorf(l.Source, "location %v: invalid RE2 regex: %w", l, err)
	}
	return nil
}

// ignoreCase is the prefix that makes a regex case-insensitive.
const ignoreCase = "(?i)"

// validate checks the pattern and the kind of a location and its nesting. The caller sets l.parent before the call.
func (l *Location) validate() error {
	enclosing := l.parent
	switch {
	case l.Pattern == "":
		return configErrorf(l.Source, "location has no pattern")
	case l.Kind == Named && len(l.Rewrites) > 0:
		return configErrorf(l.Source, "location %v can't have rewrites: a named location keeps the path of the request", l)
	case enclosing == nil:
		return nil
	case l.Kind == Named:
		return configErrorf(l.Source, "location %v must be directly in a server", l)
	case enclosing.Kind == Exact || enclosing.Kind == Named:
		return configErrorf(l.Source, "location %v can't be nested in location %v", l, enclosing)
	case !l.Kind.isRegex() && !strings.HasPrefix(l.Pattern, enclosing.Pattern):
		// Like nginx, this compares with the text of the enclosing pattern even if that is a regex.
		return configErrorf(l.Source, "location %v is outside location %v", l, enclosing)
	}
	return nil
}
