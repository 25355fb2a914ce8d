// Package routemodel is a reference model of how nginx selects servers and locations and applies rewrites. It follows
// the nginx manual and is written for clarity instead of speed. Tests compare internal/route and imported
// configurations with the model, so it shares no code and no data structures with them.
package routemodel

import (
	"fmt"
	"regexp"
	"strings"
)

// Location is a location block of an nginx configuration.
type Location struct {
	Modifier     string // "", "^~", "=", "~" or "~*"
	Pattern      string
	PassesToPool bool // so a path that lacks only the trailing slash of the pattern is redirected
	Locations    []Location
	Name         string
}

// isRegex reports whether the pattern is a regex.
func (l Location) isRegex() bool { return l.Modifier == "~" || l.Modifier == "~*" }

// isPrefix reports whether the pattern is a prefix.
func (l Location) isPrefix() bool { return l.Modifier == "" || l.Modifier == "^~" }

// matches reports whether a regex location matches a path.
func (l Location) matches(path string) bool {
	regex := l.Pattern
	if l.Modifier == "~*" {
		regex = "(?i)" + regex
	}
	return regexp.MustCompile(regex).MatchString(path)
}

// NormalizePath normalizes a path in the order of the manual: decode escapes, merge slashes, resolve dot segments. It
// returns false for an invalid path.
func NormalizePath(raw string, mergeSlashes bool) (string, bool) {
	raw, _, _ = strings.Cut(raw, "?")
	raw, _, _ = strings.Cut(raw, "#")
	if !strings.HasPrefix(raw, "/") {
		return "", false
	}
	decoded, ok := decode(raw)
	if !ok {
		return "", false
	}
	if mergeSlashes {
		for strings.Contains(decoded, "//") {
			decoded = strings.ReplaceAll(decoded, "//", "/")
		}
	}
	return resolveDots(decoded)
}

// decode replaces each %XX by its byte. It returns false for an invalid or a zero escape.
func decode(raw string) (string, bool) {
	decoded := ""
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			decoded += raw[i : i+1]
			continue
		}
		if i+3 > len(raw) {
			return "", false
		}
		digits := raw[i+1 : i+3]
		var value int
		_, err := fmt.Sscanf(strings.ToLower(digits), "%02x", &value)
		if err != nil || value == 0 || strings.Trim(digits, "0123456789abcdefABCDEF") != "" {
			return "", false
		}
		decoded += string([]byte{byte(value)})
		i += len(digits)
	}
	return decoded, true
}

// resolveDots resolves the segments "." and "..". It returns false if they lead above the root.
func resolveDots(path string) (string, bool) {
	kept := []string{}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		isLast := i == len(segments)-1
		switch {
		case segment == ".":
		case segment == ".." && len(kept) == 0:
			return "", false
		case segment == "..":
			kept = kept[:len(kept)-1]
		default:
			kept = append(kept, segment)
			continue
		}
		if isLast {
			kept = append(kept, "") // a dot segment at the end leaves a slash
		}
	}
	return "/" + strings.Join(kept, "/"), true
}

// FindLocation returns the name of the location for a path, or "". The name has the prefix "301 " if the client is
// redirected to the path with a slash appended. final reports whether the match is final, so that the regexes of the
// enclosing level are not tried.
func FindLocation(locations []Location, path string) (name string, final bool) {
	for _, l := range locations {
		if l.Modifier == "=" && l.Pattern == path {
			return l.Name, true
		}
	}
	longest := findLongestPrefix(locations, path)
	if longest < 0 || locations[longest].Pattern != path {
		if name := findSlashRedirect(locations, path); name != "" {
			return name, true
		}
	}
	if longest >= 0 {
		prefix := locations[longest]
		name = prefix.Name
		if nested, nestedFinal := FindLocation(prefix.Locations, path); nested != "" {
			name = nested
			if nestedFinal {
				return name, true
			}
		}
		if prefix.Modifier == "^~" {
			return name, false
		}
	}
	for _, l := range locations {
		if !l.isRegex() || !l.matches(path) {
			continue
		}
		if nested, _ := FindLocation(l.Locations, path); nested != "" {
			return strings.TrimPrefix(nested, "301 "), true
		}
		return l.Name, true
	}
	return name, false
}

// findLongestPrefix returns the index of the longest prefix location that matches a path, or -1.
func findLongestPrefix(locations []Location, path string) int {
	longest := -1
	for i, l := range locations {
		if l.isPrefix() && strings.HasPrefix(path, l.Pattern) &&
			(longest < 0 || len(l.Pattern) > len(locations[longest].Pattern)) {
			longest = i
		}
	}
	return longest
}

// findSlashRedirect returns "301 " and the name of the prefix location that redirects a path to the path with a slash
// appended, or "".
func findSlashRedirect(locations []Location, path string) string {
	for _, l := range locations {
		if l.isPrefix() && l.Pattern == path+"/" && l.PassesToPool {
			return "301 " + l.Name
		}
	}
	return ""
}

// FindServer returns the index of the server for a host. names has a list of names for each server. The first server is
// the default.
func FindServer(names [][]string, host string) int {
	host = strings.ToLower(strings.TrimSuffix(host, "."))
	exact := findName(names, func(name string) int {
		return lengthIf(name == host || strings.HasPrefix(name, ".") && name[1:] == host, 1)
	})
	if exact >= 0 {
		return exact
	}
	longestSuffix := findName(names, func(name string) int {
		suffix := strings.TrimPrefix(name, "*")
		hasStar := strings.HasPrefix(name, "*.") || strings.HasPrefix(name, ".")
		return lengthIf(hasStar && strings.HasSuffix(host, suffix) && len(host) > len(suffix), len(suffix))
	})
	if longestSuffix >= 0 {
		return longestSuffix
	}
	longestPrefix := findName(names, func(name string) int {
		prefix, hasStar := strings.CutSuffix(name, "*")
		return lengthIf(hasStar && strings.HasPrefix(host, prefix) && len(host) > len(prefix), len(prefix))
	})
	if longestPrefix >= 0 {
		return longestPrefix
	}
	regex := findName(names, func(name string) int {
		regex, isRegex := strings.CutPrefix(name, "~")
		return lengthIf(isRegex && regexp.MustCompile(regex).MatchString(host), 1)
	})
	return max(regex, 0)
}

// findName returns the index of the first list that has a name with the longest match, or -1 if no name matches.
// matchLength returns the length of the match of a name, or 0.
func findName(names [][]string, matchLength func(name string) int) int {
	best, longest := -1, 0
	for i, list := range names {
		for _, name := range list {
			if n := matchLength(name); n > longest {
				best, longest = i, n
			}
		}
	}
	return best
}

// lengthIf returns n if the name matches, else 0.
func lengthIf(matches bool, n int) int {
	if matches {
		return n
	}
	return 0
}
