package route

import (
	"regexp"
	"strings"
)

// RewriteFlag says what follows a rewrite whose regex matched (the manual's ngx_http_rewrite_module).
type RewriteFlag uint8

// The flags.
const (
	FlagNone      RewriteFlag = iota // the next rewrite; after the last one the location is searched again
	FlagLast                         // the location is searched again
	FlagBreak                        // the location stays, and of it only its pool counts
	FlagRedirect                     // the client is redirected with status 302
	FlagPermanent                    // the client is redirected with status 301
)

// Rewrite changes the path and the query of a request, or redirects its client.
type Rewrite struct {
	Pattern     string // a regex of RE2, matched against the normalized path
	Replacement string // with $1 to $9 for groups; a query in it goes before the request's, or replaces that if it ends in ?
	Flag        RewriteFlag
	Source      string // where it was defined, for messages

	regex *regexp.Regexp
}

// redirects reports whether clients are redirected, by the flag or by the replacement.
func (w *Rewrite) redirects() bool {
	return w.isAbsolute() || w.Flag == FlagRedirect || w.Flag == FlagPermanent
}

// isAbsolute reports whether the replacement is an absolute URL, to which clients are redirected whatever the flag.
func (w *Rewrite) isAbsolute() bool {
	return strings.HasPrefix(w.Replacement, "http://") || strings.HasPrefix(w.Replacement, "https://")
}

// compile checks a rewrite and compiles its regex.
func (w *Rewrite) compile() (err error) {
	if w.regex, err = regexp.Compile(w.Pattern); err != nil {
		return configErrorf(w.Source, "rewrite %s: not a regex of RE2: %w", w.Pattern, err)
	}
	for i := 0; i < len(w.Replacement); i++ {
		if w.Replacement[i] != '$' {
			continue
		}
		if i+1 == len(w.Replacement) || w.Replacement[i+1] < '1' || w.Replacement[i+1] > '9' {
			return configErrorf(w.Source, "rewrite to %s: only $1 to $9 can stand in it", w.Replacement)
		}
		if group := int(w.Replacement[i+1] - '0'); group > w.regex.NumSubexp() {
			return configErrorf(w.Source, "rewrite to %s: %s has no group %d", w.Replacement, w.Pattern, group)
		}
	}
	if w.Replacement == "" {
		return configErrorf(w.Source, "rewrite %s: it leads nowhere", w.Pattern)
	}
	return nil
}

// compileRewrites compiles a list of rewrites.
func compileRewrites(rewrites []*Rewrite) error {
	for _, w := range rewrites {
		if err := w.compile(); err != nil {
			return err
		}
	}
	return nil
}

// target is a normalized path with its query.
type target struct{ path, query string }

// apply returns what a rewrite makes of a request, or the request itself if its regex does not match.
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
	case dropsQuery: // the replacement's query is all that is left
	case !hasQuery:
		to.query = from.query
	case from.query != "":
		to.query += "&" + from.query
	}
	return to, true
}

// expandGroups puts what the groups matched in the path in place of $1 to $9.
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
			continue // it took no part in the match
		}
		text := path[groups[group]:groups[group+1]]
		if escape {
			text = escapeURL(text)
		}
		b.WriteString(text)
	}
	return b.String()
}

// escapedInURL are the printable characters that can't stand for themselves in a path of a URL.
const escapedInURL = "%?#&+\"<>"

// escapeURL writes a decoded part of a path as it can stand in a URL.
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
