package routemodel

import (
	"fmt"
	"regexp"
	"strings"
)

// Rewrite is one rewrite directive as it is written, with groups as its only variables.
type Rewrite struct{ Regex, Replacement, Flag string }

// Result is where a request ends: at a location, or with an address to which its caller is sent.
type Result struct {
	Target         string // of the location, as Find has it; or "302 ADDRESS", "301 ADDRESS", "500"
	Path           string
	Query          string
	StoppedByBreak bool // nothing else of the location's rewrites and returns counts
}

// Resolve follows the manual: the server's rewrites once, then the location is looked for and its own rewrites are
// applied, until none of them changes the path; ten changes are the most.
func Resolve(server []Rewrite, of map[string][]Rewrite, list []Location, path, query string) Result {
	r, _ := applyAll(server, Result{Path: path, Query: query})
	if r.Target != "" {
		return r
	}
	r.StoppedByBreak = false
	for changes := 0; changes <= 10; changes++ {
		name, _ := FindLocation(list, r.Path)
		own := of[name]
		if strings.HasPrefix(name, "301 ") {
			own = nil
		}
		next, changed := applyAll(own, r)
		switch {
		case next.Target != "":
			return next
		case next.StoppedByBreak || !changed:
			next.Target = name
			return next
		}
		r = next
	}
	return Result{Target: "500", Path: r.Path, Query: r.Query}
}

// applyAll applies directives in order.
func applyAll(list []Rewrite, r Result) (Result, bool) {
	changed := false
	for _, w := range list {
		groups := regexp.MustCompile(w.Regex).FindStringSubmatch(r.Path)
		if groups == nil {
			continue
		}
		away := w.Flag == "redirect" || w.Flag == "permanent" || strings.HasPrefix(w.Replacement, "http")
		old := r.Query
		to := w.Replacement
		if strings.HasSuffix(to, "?") { // the old query is left out
			to, old = to[:len(to)-1], ""
		}
		parts := strings.SplitN(to, "?", 2)
		fill := func(text string, escape bool) string {
			for i := len(groups) - 1; i > 0; i-- {
				g := groups[i]
				if escape {
					g = escapeURL(g)
				}
				text = strings.ReplaceAll(text, fmt.Sprint("$", i), strings.ReplaceAll(g, "$", "\x01"))
			}
			return strings.ReplaceAll(text, "\x01", "$")
		}
		r.Path, r.Query = fill(parts[0], away), old
		if len(parts) == 2 {
			r.Query = strings.TrimSuffix(fill(parts[1], true)+"&"+old, "&")
			if old == "" {
				r.Query = fill(parts[1], true)
			}
		}
		if away {
			code := "302 "
			if w.Flag == "permanent" {
				code = "301 "
			}
			address := r.Path
			if !strings.HasPrefix(w.Replacement, "http") && strings.HasPrefix(address, "//") {
				address = "/" + strings.TrimLeft(address, "/")
			}
			if r.Query != "" {
				address += "?" + r.Query
			}
			return Result{Target: code + address}, false
		}
		changed = true
		switch w.Flag {
		case "break":
			r.StoppedByBreak = true
			return r, true
		case "last":
			return r, true
		}
	}
	return r, changed
}

// escapeURL writes a part of a path for an address.
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
