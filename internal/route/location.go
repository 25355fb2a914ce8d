package route

import (
	"fmt"
	"regexp"
	"strings"
)

// Kind is how a location's pattern is meant.
type Kind uint8

// The kinds of location.
const (
	Prefix          Kind = iota // the longest of those that begin the path
	PrefixNoRegex               // ^~: as Prefix, and no regex is looked at where it is the longest
	Exact                       // =: the path is the pattern
	Regex                       // ~: the first that matches, in the order of the file
	RegexIgnoreCase             // ~*: as Regex, with case ignored
	Named                       // @: only by its name
)

// Location is one place in the tree of a server.
type Location struct {
	Kind                  Kind
	Pattern               string // without the modifier; of a named one without @
	RedirectTrailingSlash bool   `json:"Redirect"` // a Prefix that ends in a slash: the same path without it is redirected to it
	Rewrites              []*Rewrite
	Locations             []*Location
	Value                 any    // what it stands for; the table only hands it on
	Source                string `json:"At"` // where it was defined, for messages

	regex  *regexp.Regexp
	parent *Location
	tree   *node
	order  []*Location // byRegex in the order of the file
}

// Modifier is the pattern's modifier as nginx writes it.
func (k Kind) Modifier() string {
	return [...]string{"", "^~", "=", "~", "~*", "@"}[k]
}

// String is the location as nginx writes it.
func (l *Location) String() string {
	switch l.Kind {
	case Prefix:
		return l.Pattern
	case Named:
		return "@" + l.Pattern
	}
	return l.Kind.Modifier() + " " + l.Pattern
}

// node is a place in a radix tree of patterns.
type node struct {
	label    string  // on the edge to it
	children []*node // by the first byte of their labels, in order
	exact    *Location
	prefix   *Location
}

// findChild is the place among the children of the one that begins with the byte, or where it belongs.
func (n *node) findChild(c byte) (int, bool) {
	low, high := 0, len(n.children)
	for low < high {
		mid := int(uint(low+high) >> 1)
		if n.children[mid].label[0] < c {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, low < len(n.children) && n.children[low].label[0] == c
}

// insert returns the node of a pattern, made where there is none.
func (n *node) insert(pattern string) *node {
	for pattern != "" {
		i, ok := n.findChild(pattern[0])
		if !ok {
			leaf := &node{label: pattern}
			n.children = append(n.children, nil)
			copy(n.children[i+1:], n.children[i:])
			n.children[i] = leaf
			return leaf
		}
		c := n.children[i]
		shared := 0
		for shared < len(pattern) && shared < len(c.label) && pattern[shared] == c.label[shared] {
			shared++
		}
		if shared < len(c.label) {
			split := &node{label: c.label[:shared], children: []*node{c}}
			c.label = c.label[shared:]
			n.children[i] = split
			c = split
		}
		n, pattern = c, pattern[shared:]
	}
	return n
}

// match is how a search among prefixes ended.
type match uint8

const (
	noMatch       match = iota
	prefixMatch         // a prefix
	finalMatch          // an exact one: nothing else is looked at
	redirectMatch       // the path lacks only the slash that the location ends with
)

// find looks for the exact location or the longest prefix.
func (n *node) find(path string) (*Location, match) {
	best, how := n.prefix, noMatch
	if best != nil {
		how = prefixMatch
	}
	for {
		if path == "" {
			if n.exact != nil {
				return n.exact, finalMatch
			}
			if n.prefix == nil {
				if i, ok := n.findChild('/'); ok && n.children[i].label == "/" {
					if l := n.children[i].redirectTarget(); l != nil {
						return l, redirectMatch
					}
				}
			}
			return best, how
		}
		i, ok := n.findChild(path[0])
		if !ok {
			return best, how
		}
		c := n.children[i]
		if !strings.HasPrefix(path, c.label) {
			if c.label == path+"/" {
				if l := c.redirectTarget(); l != nil {
					return l, redirectMatch
				}
			}
			return best, how
		}
		n, path = c, path[len(c.label):]
		if n.prefix != nil {
			best, how = n.prefix, prefixMatch
		}
	}
}

// redirectTarget is the location to which the path without the last slash is redirected, or nil.
func (n *node) redirectTarget() *Location {
	for _, l := range []*Location{n.exact, n.prefix} {
		if l != nil && l.RedirectTrailingSlash {
			return l
		}
	}
	return nil
}

// level is one list of locations, ready to be searched.
func level(list []*Location, parent *Location) (tree *node, order []*Location, err error) {
	tree = &node{}
	for _, l := range list {
		l.parent = parent
		if err := l.validate(); err != nil {
			return nil, nil, err
		}
		if err := compileRewrites(l.Rewrites); err != nil {
			return nil, nil, err
		}
		switch l.Kind {
		case Regex, RegexIgnoreCase:
			text := l.Pattern
			if l.Kind == RegexIgnoreCase {
				text = "(?i)" + text
			}
			if l.regex, err = regexp.Compile(text); err != nil {
				return nil, nil, fmt.Errorf("%s: location %v: not a regex of RE2: %w", l.Source, l, err)
			}
			order = append(order, l)
		case Prefix, PrefixNoRegex, Exact:
			n := tree.insert(l.Pattern)
			place := &n.prefix
			if l.Kind == Exact {
				place = &n.exact
			}
			if *place != nil {
				return nil, nil, fmt.Errorf("%s: location %v is defined twice, first at %s", l.Source, l, (*place).Source)
			}
			*place = l
		}
		if l.tree, l.order, err = level(l.Locations, l); err != nil {
			return nil, nil, err
		}
	}
	return tree, order, nil
}

// validate tells what of a location can't stand where it does.
func (l *Location) validate() error {
	p := l.parent
	switch {
	case l.Pattern == "":
		return fmt.Errorf("%s: a location without a pattern", l.Source)
	case l.Kind == Named && len(l.Rewrites) > 0:
		return fmt.Errorf("%s: location %v can't rewrite: its path stays", l.Source, l)
	case p == nil:
		return nil
	case l.Kind == Named:
		return fmt.Errorf("%s: location %v can only stand in a server", l.Source, l)
	case p.Kind == Exact || p.Kind == Named:
		return fmt.Errorf("%s: location %v can't stand in location %v", l.Source, l, p)
	case l.Kind != Regex && l.Kind != RegexIgnoreCase && !strings.HasPrefix(l.Pattern, p.Pattern):
		// nginx compares with the text of the pattern where the outer one is a regex, too.
		return fmt.Errorf("%s: location %v is outside location %v", l.Source, l, p)
	}
	return nil
}

// Step is one step of a search, for those who ask why.
type Step struct {
	Location *Location // or that of the rewrite; nil for a server's
	Rewrite  *Rewrite  // nil where the step is no rewrite's
	Detail   string    `json:"What"`
}

// String is the step as it is told to operators.
func (s Step) String() string {
	if s.Rewrite != nil {
		return fmt.Sprintf("%s: rewrite %s %s", s.Rewrite.Source, s.Rewrite.Pattern, s.Detail)
	}
	return fmt.Sprintf("%s: location %v %s", s.Location.Source, s.Location, s.Detail)
}

// tracer hears of the steps of a search; nil hears of none.
type tracer func(Step)

func (t tracer) step(l *Location, what string) {
	if t != nil {
		t(Step{Location: l, Detail: what})
	}
}

func (t tracer) rewrite(w *Rewrite, l *Location, what string) {
	if t != nil {
		t(Step{Location: l, Rewrite: w, Detail: what})
	}
}

// search looks through one level and what is nested in it.
func search(tree *node, order []*Location, path string, t tracer) (*Location, match) {
	l, how := tree.find(path)
	noRegex := false
	switch how {
	case finalMatch:
		t.step(l, "is the path exactly")
		return l, finalMatch
	case redirectMatch:
		t.step(l, "is the path but for its last slash: a redirect")
		return l, redirectMatch
	case prefixMatch:
		t.step(l, "is the longest prefix")
		noRegex = l.Kind == PrefixNoRegex
		inner, innerHow := search(l.tree, l.order, path, t)
		if inner != nil {
			if innerHow != prefixMatch {
				return inner, innerHow
			}
			l, how = inner, innerHow
		}
	}
	if noRegex {
		t.step(l, "no regex is looked at, by ^~")
		return l, how
	}
	for _, r := range order {
		if !r.regex.MatchString(path) {
			t.step(r, "does not match")
			continue
		}
		t.step(r, "is the first regex that matches")
		if inner, _ := search(r.tree, r.order, path, t); inner != nil {
			return inner, finalMatch
		}
		return r, finalMatch
	}
	return l, how
}
