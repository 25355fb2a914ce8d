// Package routemodel is nginx's documented choice of servers and locations, written from the manual with lists and loops
// of its own: the checker of internal/route and of what is imported. It shares no code and no data structures with them.
package routemodel

import (
	"fmt"
	"regexp"
	"strings"
)

// Location is one location block as it is written.
type Location struct {
	Modifier     string // "", "^~", "=", "~", "~*"
	Pattern      string
	PassesToPool bool // it passes to a pool, so a missing slash is redirected
	Locations    []Location
	Name         string
}

// NormalizePath normalises as the manual says: decode, resolve, merge.
func NormalizePath(raw string, merge bool) (string, bool) {
	raw, _, _ = strings.Cut(raw, "?")
	raw, _, _ = strings.Cut(raw, "#")
	if !strings.HasPrefix(raw, "/") {
		return "", false
	}
	decoded := ""
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			decoded += raw[i : i+1]
			continue
		}
		var n int
		if i+3 > len(raw) {
			return "", false
		}
		if _, err := fmt.Sscanf(strings.ToLower(raw[i+1:i+3]), "%02x", &n); err != nil || n == 0 || strings.Trim(raw[i+1:i+3], "0123456789abcdefABCDEF") != "" {
			return "", false
		}
		decoded += string([]byte{byte(n)})
		i += 2
	}
	if merge {
		for strings.Contains(decoded, "//") {
			decoded = strings.ReplaceAll(decoded, "//", "/")
		}
	}
	kept := []string{}
	segments := strings.Split(decoded[1:], "/")
	for i, s := range segments {
		last := i == len(segments)-1
		switch {
		case s == ".":
		case s == ".." && len(kept) == 0:
			return "", false
		case s == "..":
			kept = kept[:len(kept)-1]
		default:
			kept = append(kept, s)
			continue
		}
		if last {
			kept = append(kept, "") // a dot segment at the end leaves a slash
		}
	}
	return "/" + strings.Join(kept, "/"), true
}

// FindLocation is the name of the location for a path, with "301 " before it for a redirect, or "".
func FindLocation(list []Location, path string) (name string, exact bool) {
	for _, l := range list {
		if l.Modifier == "=" && l.Pattern == path {
			return l.Name, true
		}
	}
	longest := -1
	for i, l := range list {
		if (l.Modifier == "" || l.Modifier == "^~") && strings.HasPrefix(path, l.Pattern) &&
			(longest < 0 || len(l.Pattern) > len(list[longest].Pattern)) {
			longest = i
		}
	}
	// Without an own location for the path, the one that only has a slash more redirects to itself.
	if longest < 0 || list[longest].Pattern != path {
		for _, l := range list {
			if l.Modifier != "~" && l.Modifier != "~*" && l.Pattern == path+"/" {
				if l.PassesToPool && l.Modifier != "=" {
					return "301 " + l.Name, true
				}
			}
		}
	}
	if longest >= 0 {
		name = list[longest].Name
		if inner, stop := FindLocation(list[longest].Locations, path); inner != "" {
			if name = inner; stop {
				return name, true
			}
		}
		if list[longest].Modifier == "^~" {
			return name, false
		}
	}
	for _, l := range list {
		if l.Modifier != "~" && l.Modifier != "~*" {
			continue
		}
		text := l.Pattern
		if l.Modifier == "~*" {
			text = "(?i)" + text
		}
		if regexp.MustCompile(text).MatchString(path) {
			if inner, _ := FindLocation(l.Locations, path); inner != "" {
				return strings.TrimPrefix(inner, "301 "), true
			}
			return l.Name, true
		}
	}
	return name, false
}

// FindServer is the name of the server for a host, among lists of names; the first is the default.
func FindServer(names [][]string, host string) int {
	host = strings.ToLower(strings.TrimSuffix(host, "."))
	for i, list := range names {
		for _, n := range list {
			if n == host || strings.HasPrefix(n, ".") && n[1:] == host {
				return i
			}
		}
	}
	best, length := -1, 0
	for i, list := range names {
		for _, n := range list {
			suffix := strings.TrimPrefix(n, "*")
			if (strings.HasPrefix(n, "*.") || strings.HasPrefix(n, ".")) && strings.HasSuffix(host, suffix) && len(host) > len(suffix) &&
				len(suffix) > length {
				best, length = i, len(suffix)
			}
		}
	}
	if best >= 0 {
		return best
	}
	for i, list := range names {
		for _, n := range list {
			if prefix, ok := strings.CutSuffix(n, "*"); ok && strings.HasPrefix(host, prefix) && len(host) > len(prefix) && len(prefix) > length {
				best, length = i, len(prefix)
			}
		}
	}
	if best >= 0 {
		return best
	}
	for i, list := range names {
		for _, n := range list {
			if text, ok := strings.CutPrefix(n, "~"); ok && regexp.MustCompile(text).MatchString(host) {
				return i
			}
		}
	}
	return 0
}
