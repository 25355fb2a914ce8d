package routemodel

import (
	"fmt"
	"regexp"
	"strings"
)

// Rewrite is a rewrite directive as it is written. Groups are the only variables of its replacement.
type Rewrite struct {
	Regex       string
	Replacement string
	Flag        string // "", "last", "break", "redirect" or "permanent"
}

// redirects reports whether clients are redirected.
func (w Rewrite) redirects() bool {
	return w.Flag == "redirect" || w.Flag == "permanent" || strings.HasPrefix(w.Replacement, "http")
}

// Result is where a request ends: at a location, or with a URL to which its client is redirected.
type Result struct {
	Target         string // a location's name, as FindLocation has it, or "302 URL", "301 URL" or "500"
	Path           string
	Query          string
	StoppedByBreak bool // nothing else of the location's rewrites and returns counts
}

// maxCycles is how often the location is searched again at most.
const maxCycles = 10

// Resolve follows the manual: the server's rewrites are applied once, then the location is searched and its own rewrites
// are applied, until none of them changes the path. rewritesOf holds the rewrites of each location by its name.
func Resolve(server []Rewrite, rewritesOf map[string][]Rewrite, locations []Location, path, query string) Result {
	current, _ := applyAll(server, Result{Path: path, Query: query})
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

// applyAll applies rewrites in order and reports whether one of them changed the path.
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

// replace returns the path and the query that the replacement gives.
func (w Rewrite) replace(groups []string, oldQuery string) (path, query string) {
	replacement := w.Replacement
	if strings.HasSuffix(replacement, "?") { // the old query is dropped
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

// redirect returns the status and the URL of a redirect.
func (w Rewrite) redirect(path, query string) string {
	status := "302 "
	if w.Flag == "permanent" {
		status = "301 "
	}
	url := path
	if !strings.HasPrefix(w.Replacement, "http") && strings.HasPrefix(url, "//") {
		url = "/" + strings.TrimLeft(url, "/") // it would name another host
	}
	if query != "" {
		url += "?" + query
	}
	return status + url
}

// expand puts what groups matched in place of $1 to $9.
func expand(text string, groups []string, escape bool) string {
	const dollar = "\x01" // stands for a $ that a group matched until all are expanded
	for i := len(groups) - 1; i > 0; i-- {
		group := groups[i]
		if escape {
			group = escapeURL(group)
		}
		text = strings.ReplaceAll(text, fmt.Sprint("$", i), strings.ReplaceAll(group, "$", dollar))
	}
	return strings.ReplaceAll(text, dollar, "$")
}

// escapeURL writes a part of a path as it can stand in a URL.
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
