package route

import "strings"

// node is a node of a radix tree of the patterns of exact and prefix locations.
type node struct {
	label    string    // of the edge that leads to it
	children []*node   // sorted by the first byte of their labels, no two with the same
	exact    *Location // whose pattern ends here, or nil
	prefix   *Location // whose pattern ends here, or nil
}

// findChild returns the index of the child whose label begins with the byte, or where it has to be inserted.
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

// insert returns the node of a pattern, which it adds if there is none.
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

// commonPrefixLen returns how many first bytes of two texts are the same.
func commonPrefixLen(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// add files a location under its pattern. It returns the one that is there already, if there is one.
func (n *node) add(l *Location) (existing *Location) {
	at := n.insert(l.Pattern)
	slot := &at.prefix
	if l.Kind == Exact {
		slot = &at.exact
	}
	if *slot != nil {
		return *slot
	}
	*slot = l
	return nil
}

// match is what a search found.
type match uint8

// The kinds of match.
const (
	noMatch       match = iota
	prefixMatch         // a prefix: a regex may still take its place
	finalMatch          // an exact location or a regex
	redirectMatch       // the path lacks only the slash at the location's end
)

// find returns the exact location of a path, else the longest prefix. A location to which the path is redirected comes
// before shorter prefixes.
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

// redirectTarget returns the location at a node to which the path without its last slash is redirected, or nil.
func (n *node) redirectTarget() *Location {
	if n.exact != nil && n.exact.RedirectTrailingSlash {
		return n.exact
	}
	if n.prefix != nil && n.prefix.RedirectTrailingSlash {
		return n.prefix
	}
	return nil
}
