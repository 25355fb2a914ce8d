package route

import (
	"regexp"
	"strings"
)

// RewriteFlag says how processing continues after a rewrite whose regex matched. The nginx manual describes the flags
// on the page ngx_http_rewrite_module.
type RewriteFlag uint8

// The flags of rewrites.
const (
	FlagNone      RewriteFlag = iota // the next rewrite is tried; after the last one the location search is repeated
	FlagLast                         // the location search is repeated
	FlagBreak                        // the location is kept, and only its pool applies
	FlagRedirect                     // the client is redirected with status 302
	FlagPermanent                    // the client is redirected with status 301
)

// Rewrite changes the path and the query of a request, or redirects the client.
type Rewrite struct {
	Pattern string // RE2 regex that is matched against the normalized path
	// Replacement is the new path or an absolute URL. It may refer to groups by $1 to $9. Its query is put before the
	// query of the request, or replaces that if the replacement ends in a question mark.
	Replacement string
	Flag        RewriteFlag
	Source      string // position of the definition, for messages

	regex *regexp.Regexp
}

// redirects reports whether the rewrite redirects the client, because of its flag or of an absolute replacement.
func (w *Rewrite) redirects() bool {
	return w.isAbsolute() || w.Flag == FlagRedirect || w.Flag == FlagPermanent
}

// isAbsolute reports whether the replacement is an absolute URL. The client is then redirected, whatever the flag.
func (w *Rewrite) isAbsolute() bool {
	return strings.HasPrefix(w.Replacement, "http://") || strings.HasPrefix(w.Replacement, "https://")
}

// compile compiles the regex of a rewrite and validates the replacement.
func (w *Rewrite) compile() (err error) {
	if w.regex, err = regexp.Compile(w.Pattern); err != nil {
		return configErrorf(w.Source, "rewrite %s: invalid RE2 regex: %w", w.Pattern, err)
	}
	for i := 0; i < len(w.Replacement); i++ {
		if w.Replacement[i] != '$' {
			continue
		}
		if i+1 == len(w.Replacement) || w.Replacement[i+1] < '1' || w.Replacement[i+1] > '9' {
			return configErrorf(w.Source, "rewrite to %s: $ is not followed by a digit from 1 to 9", w.Replacement)
		}
		if group := int(w.Replacement[i+1] - '0'); group > w.regex.NumSubexp() {
			return configErrorf(w.Source, "rewrite to %s: regex %s has no group %d", w.Replacement, w.Pattern, group)
		}
	}
	if w.Replacement == "" {
		return configErrorf(w.Source, "rewrite %s: the replacement is empty, want a path or a URL", w.Pattern)
	}
	return nil
}

// compileRewrites compiles all rewrites of a list.
func compileRewrites(rewrites []*Rewrite) error {
	for _, w := range rewrites {
		if err := w.compile(); err != nil {
			return err
		}
	}
	return nil
}

// target is the normalized path and the query of a request.
type target struct{ path, query string }

// apply returns the target after the rewrite, or the same target and false if the regex does not match its path.
func (w *Rewrite) apply(from target) (to target, matched bool) {
	groups := w.regex.FindStringSubmatchIndex(from.path)
	if groups == nil {
		return from, false
	}
	replacement, dropsQuery := strings.CutSuffix(w.Replacement, "?")
	path, query, hasQuery := strings.Cut(replacement, "?")
	to = target{path: expandGroups(path, from.path, groups, w.redirects())}
	if hasQuery {
		to.query = expandGroups(query, from.path, groups, true)
	}
	switch {
	case dropsQuery: // only the query of the replacement is kept
	case !hasQuery:
		to.query = from.query
	case from.query != "":
		to.query += "&" + from.query
	}
	return to, true
}

// expandGroups replaces $1 to $9 by the text of the groups. groups has their indexes in path, as regexp returns them.
// The text of the groups is escaped for a URL if escape is set.
func expandGroups(replacement, path string, groups []int, escape bool) string {
	var b strings.Builder
	for i := 0; i < len(replacement); i++ {
		if replacement[i] != '$' {
			b.WriteByte(replacement[i])
			continue
		}
		i++
		group := 2 * int(replacement[i]-'0')
		if groups[group] < 0 {
			continue // the group is not part of the match
		}
		text := path[groups[group]:groups[group+1]]
		if escape {
			text = escapeURL(text)
		}
		b.WriteString(text)
	}
	return b.String()
}

// escapedInURL has the printable characters that must be escaped in the path of a URL.
const escapedInURL = "%?#&+\"<>"

// escapeURL escapes a decoded part of a path for use in a URL.
func escapeURL(text string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(escapedInURL, c) >= 0 {
			b.Write([]byte{'%', hex[c>>4], hex[c&15]})
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}
