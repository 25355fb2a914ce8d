package route

import "strings"

// node is a node of a radix tree over the patterns of exact and prefix locations.
type node struct {
	label    string    // of the edge from the parent
	children []*node   // sorted by the first byte of their labels, which is unique among them
	exact    *Location // exact location whose pattern ends here, or nil
	prefix   *Location // prefix location whose pattern ends here, or nil
}

// findChild returns the index of the child whose label begins with a byte and true, or the index at which to insert
// such a child and false.
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

// insert returns the node of a pattern. It adds the node if the tree doesn't have it.
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
		child := n.children[i]
		shared := commonPrefixLen(pattern, child.label)
		if shared < len(child.label) {
			split := &node{label: child.label[:shared], children: []*node{child}}
			child.label = child.label[shared:]
			n.children[i] = split
			child = split
		}
		n = child
		pattern = pattern[shared:]
	}
	return n
}

// commonPrefixLen returns the length in bytes of the longest common prefix of two strings.
func commonPrefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// add adds an exact or prefix location. If the tree already has a location of the same pattern, and both are exact or
// neither is, it returns that location and adds nothing.
func (n *node) add(l *Location) (existing *Location) {
	patternNode := n.insert(l.Pattern)
	slot := &patternNode.prefix
	if l.Kind == Exact {
		slot = &patternNode.exact
	}
	if *slot != nil {
		return *slot
	}
	*slot = l
	return nil
}

// match is the kind of result of a search.
type match uint8

// The kinds of matches.
const (
	noMatch       match = iota
	prefixMatch         // a prefix location, which a matching regex may replace
	finalMatch          // an exact location or a regex location
	redirectMatch       // a location whose pattern is the path with a slash appended
)

// find returns the exact location for a path, else the longest prefix. A location that redirects the path to the path
// with a slash takes precedence over shorter prefixes.
func (n *node) find(path string) (*Location, match) {
	best, found := n.prefix, noMatch
	if best != nil {
		found = prefixMatch
	}
	for path != "" {
		i, ok := n.findChild(path[0])
		if !ok {
			return best, found
		}
		child := n.children[i]
		if !strings.HasPrefix(path, child.label) {
			if child.label == path+"/" {
				if location := child.redirectTarget(); location != nil {
					return location, redirectMatch
				}
			}
			return best, found
		}
		n = child
		path = path[len(child.label):]
		if n.prefix != nil {
			best, found = n.prefix, prefixMatch
		}
	}
	if n.exact != nil {
		return n.exact, finalMatch
	}
	if n.prefix == nil {
		if i, ok := n.findChild('/'); ok && n.children[i].label == "/" {
			if location := n.children[i].redirectTarget(); location != nil {
				return location, redirectMatch
			}
		}
	}
	return best, found
}

// redirectTarget returns the location of a node if it redirects the path without the trailing slash, or nil.
func (n *node) redirectTarget() *Location {
	if n.exact != nil && n.exact.RedirectTrailingSlash {
		return n.exact
	}
	if n.prefix != nil && n.prefix.RedirectTrailingSlash {
		return n.prefix
	}
	return nil
}
