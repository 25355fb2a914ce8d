package routemodel

import (
	"fmt"
	"regexp"
	"strings"
)

// Rewrite is a rewrite directive of an nginx configuration. The only variables in its replacement are groups.
type Rewrite struct {
	Regex       string
	Replacement string
	Flag        string // "", "last", "break", "redirect" or "permanent"
}

// redirects reports whether the rewrite redirects the client.
func (w Rewrite) redirects() bool {
	return w.Flag == "redirect" || w.Flag == "permanent" || strings.HasPrefix(w.Replacement, "http")
}

// Result is the result for a request: a location, a redirect of the client to a URL, or an error status.
type Result struct {
	Target         string // name of a location as FindLocation returns it, or "302 URL", "301 URL" or "500"
	Path           string
	Query          string
	StoppedByBreak bool // the location's further rewrites and its return are ignored
}

// maxCycles is the maximum number of times that the location search is repeated.
const maxCycles = 10

// Resolve follows the manual. It applies the rewrites of the server once. Then it searches the location and applies the
// location's rewrites, and repeats this until no rewrite changes the path. rewritesOf has the rewrites of each location
// by its name.
func Resolve(serverRewrites []Rewrite, rewritesOf map[string][]Rewrite, locations []Location, path, query string) Result {
	current, _ := applyAll(serverRewrites, Result{Path: path, Query: query})
	if current.Target != "" {
		return current
	}
	current.StoppedByBreak = false
	for range maxCycles + 1 {
		name, _ := FindLocation(locations, current.Path)
		own := rewritesOf[name]
		if strings.HasPrefix(name, "301 ") {
			own = nil
		}
		next, changed := applyAll(own, current)
		switch {
		case next.Target != "":
			return next
		case next.StoppedByBreak || !changed:
			next.Target = name
			return next
		}
		current = next
	}
	return Result{Target: "500", Path: current.Path, Query: current.Query}
}

// applyAll applies rewrites in order. It reports whether a rewrite matched and did not redirect.
func applyAll(rewrites []Rewrite, result Result) (Result, bool) {
	changed := false
	for _, w := range rewrites {
		groups := regexp.MustCompile(w.Regex).FindStringSubmatch(result.Path)
		if groups == nil {
			continue
		}
		result.Path, result.Query = w.replace(groups, result.Query)
		if w.redirects() {
			return Result{Target: w.redirect(result.Path, result.Query)}, false
		}
		changed = true
		switch w.Flag {
		case "break":
			result.StoppedByBreak = true
			return result, true
		case "last":
			return result, true
		}
	}
	return result, changed
}

// replace returns the path and the query after the replacement.
func (w Rewrite) replace(groups []string, oldQuery string) (path, query string) {
	replacement := w.Replacement
	if strings.HasSuffix(replacement, "?") { // the query of the request is dropped
		replacement = replacement[:len(replacement)-1]
		oldQuery = ""
	}
	parts := strings.SplitN(replacement, "?", 2)
	path = expand(parts[0], groups, w.redirects())
	if len(parts) == 1 {
		return path, oldQuery
	}
	query = expand(parts[1], groups, true)
	if oldQuery != "" {
		query = strings.TrimSuffix(query+"&"+oldQuery, "&")
	}
	return path, query
}

// redirect returns the status of a redirect, a space and the URL.
func (w Rewrite) redirect(path, query string) string {
	status := "302 "
	if w.Flag == "permanent" {
		status = "301 "
	}
	url := path
	if !strings.HasPrefix(w.Replacement, "http") && strings.HasPrefix(url, "//") {
		url = "/" + strings.TrimLeft(url, "/") // a URL that begins with // refers to another host
	}
	if query != "" {
		url += "?" + query
	}
	return status + url
}

// expand replaces $1 to $9 by the text of the groups, which is escaped for a URL if escape is set.
func expand(text string, groups []string, escape bool) string {
	const escapedDollar = "\x01" // placeholder for a $ in the text of a group until all groups are expanded
	for i := len(groups) - 1; i > 0; i-- {
		group := groups[i]
		if escape {
			group = escapeURL(group)
		}
		text = strings.ReplaceAll(text, fmt.Sprint("$", i), strings.ReplaceAll(group, "$", escapedDollar))
	}
	return strings.ReplaceAll(text, escapedDollar, "$")
}

// escapeURL escapes a part of a path for use in a URL.
func escapeURL(text string) string {
	out := ""
	for _, c := range []byte(text) {
		if strings.ContainsRune("%?#&+\"<>", rune(c)) || c <= 32 || c >= 127 {
			out += fmt.Sprintf("%%%02X", c)
		} else {
			out += string(rune(c))
		}
	}
	return out
}
