package route

import (
	"fmt"
	"regexp"
	"strings"
)

// RewriteFlag says what follows a rewrite whose regex matched (the manual's ngx_http_rewrite_module).
type RewriteFlag uint8

// The flags.
const (
	FlagNone      RewriteFlag = iota // the next rewrite; behind the last one the location is looked for again
	FlagLast                         // the location is looked for again
	FlagBreak                        // the location stays, and nothing else of it but its pool counts
	FlagRedirect                     // the caller is sent there with 302
	FlagPermanent                    // likewise with 301
)

// Rewrite changes the path of a request, or sends its caller elsewhere.
type Rewrite struct {
	Pattern     string // a regex of RE2, matched against the normalised path
	Replacement string `json:"To"` // $1 to $9 stand for what groups matched; behind a ? stands a query, to which that of the request is added unless To ends with a ?
	Flag        RewriteFlag
	Source      string `json:"At"` // where it was defined, for messages

	regex *regexp.Regexp
}

// redirects tells whether callers are sent elsewhere, by the flag or by the target.
func (w *Rewrite) redirects() bool {
	return w.isAbsolute() || w.Flag == FlagRedirect || w.Flag == FlagPermanent
}

// isAbsolute tells whether callers are sent to another place whatever the flag says.
func (w *Rewrite) isAbsolute() bool {
	return strings.HasPrefix(w.Replacement, "http://") || strings.HasPrefix(w.Replacement, "https://")
}

// compile checks a rewrite.
func (w *Rewrite) compile() (err error) {
	if w.regex, err = regexp.Compile(w.Pattern); err != nil {
		return fmt.Errorf("%s: rewrite %s: not a regex of RE2: %w", w.Source, w.Pattern, err)
	}
	for i := 0; i < len(w.Replacement); i++ {
		if w.Replacement[i] != '$' {
			continue
		}
		if i+1 == len(w.Replacement) || w.Replacement[i+1] < '1' || w.Replacement[i+1] > '9' {
			return fmt.Errorf("%s: rewrite to %s: only $1 to $9 can stand in it", w.Source, w.Replacement)
		}
		if group := int(w.Replacement[i+1] - '0'); group > w.regex.NumSubexp() {
			return fmt.Errorf("%s: rewrite to %s: %s has no group %d", w.Source, w.Replacement, w.Pattern, group)
		}
	}
	if w.Replacement == "" {
		return fmt.Errorf("%s: rewrite %s: it leads nowhere", w.Source, w.Pattern)
	}
	return nil
}

// compileRewrites checks a list of rewrites.
func compileRewrites(list []*Rewrite) error {
	for _, w := range list {
		if err := w.compile(); err != nil {
			return err
		}
	}
	return nil
}

// target is a path with its query.
type target struct{ path, query string }

// apply returns what a rewrite makes of a request, where its regex matches.
func (w *Rewrite) apply(from target) (to target, matched bool) {
	groups := w.regex.FindStringSubmatchIndex(from.path)
	if groups == nil {
		return from, false
	}
	away := w.redirects()
	text, addQuery := strings.CutSuffix(w.Replacement, "?")
	addQuery = !addQuery
	path, query, hasQuery := strings.Cut(text, "?")
	to = target{expandGroups(path, from.path, groups, away), from.query}
	switch {
	case hasQuery && addQuery && from.query != "":
		to.query = expandGroups(query, from.path, groups, true) + "&" + from.query
	case hasQuery:
		to.query = expandGroups(query, from.path, groups, true)
	case !addQuery:
		to.query = ""
	}
	return to, true
}

// expandGroups puts what groups matched into a text.
func expandGroups(text, path string, groups []int, escape bool) string {
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] != '$' {
			b.WriteByte(text[i])
			continue
		}
		i++
		group := 2 * int(text[i]-'0')
		if groups[group] < 0 {
			continue // it took no part in the match
		}
		part := path[groups[group]:groups[group+1]]
		if escape {
			part = escapeURL(part)
		}
		b.WriteString(part)
	}
	return b.String()
}

// escapeURL writes a decoded part of a path as it can stand in an address.
func escapeURL(part string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := 0; i < len(part); i++ {
		if c := part[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("%?#&+\"<>", c) >= 0 {
			b.Write([]byte{'%', hex[c>>4], hex[c&15]})
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}

// Resolution is where a request belongs once it was rewritten.
type Resolution struct {
	Match
	Query          string
	Rewritten      bool   // the path or the query is not what was asked for, normalised
	Status         int    // 301 or 302 where a rewrite sends the caller away, 500 where rewrites go round
	RedirectURL    string // the address of a redirect
	StoppedByBreak bool   // a rewrite broke off: of the location only its pool counts
}

// maxRewriteCycles is how often a path may be changed before rewrites are taken to go round, as in nginx.
const maxRewriteCycles = 10

// Resolve finds the location of a path as it was sent, with the rewrites of the server and of the locations on the way.
// The error is ErrInvalidPath.
func (s *Server) Resolve(raw, query string) (Resolution, error) { return s.resolve(raw, query, nil) }

// Explain is Resolve with the steps that led to it.
func (s *Server) Explain(raw, query string) (Resolution, []Step, error) {
	var steps []Step
	o, err := s.resolve(raw, query, func(step Step) { steps = append(steps, step) })
	return o, steps, err
}

func (s *Server) resolve(raw, query string, t tracer) (Resolution, error) {
	path, err := NormalizePath(raw, s.MergeSlashes)
	if err != nil {
		return Resolution{Match: Match{Server: s}}, err
	}
	asked := target{path, query}
	at := asked
	if o, _ := s.applyRewrites(s.Rewrites, &at, nil, t); o.Status != 0 {
		return o, nil
	}
	for range maxRewriteCycles + 1 {
		l, how := search(s.tree, s.order, at.path, t)
		o := Resolution{Match: Match{Server: s, Location: l, Path: at.path, RedirectTrailingSlash: how == redirectMatch}, Query: at.query, Rewritten: at != asked}
		if l == nil || o.RedirectTrailingSlash || len(l.Rewrites) == 0 {
			return o, nil
		}
		sent, next := s.applyRewrites(l.Rewrites, &at, l, t)
		switch {
		case sent.Status != 0:
			return sent, nil
		case next != rewriteSearchAgain:
			o.Path, o.Query, o.Rewritten, o.StoppedByBreak = at.path, at.query, at != asked, next == rewriteBreak
			return o, nil
		}
	}
	return Resolution{Match: Match{Server: s, Path: at.path}, Query: at.query, Status: 500}, nil
}

// rewriteEffect is what follows a list of rewrites.
type rewriteEffect uint8

const (
	rewriteNone rewriteEffect = iota
	rewriteSearchAgain
	rewriteBreak
)

// applyRewrites applies a list in order.
func (s *Server) applyRewrites(list []*Rewrite, at *target, l *Location, t tracer) (Resolution, rewriteEffect) {
	then := rewriteNone
	for _, w := range list {
		to, matched := w.apply(*at)
		if !matched {
			t.rewrite(w, l, "does not match")
			continue
		}
		if w.redirects() {
			t.rewrite(w, l, "sends the caller away")
			o := Resolution{Match: Match{Server: s, Path: at.path}, Query: at.query, Status: 302, RedirectURL: to.path}
			if w.Flag == FlagPermanent {
				o.Status = 301
			}
			if !w.isAbsolute() && strings.HasPrefix(o.RedirectURL, "//") {
				o.RedirectURL = "/" + strings.TrimLeft(o.RedirectURL, "/") // a second slash would name another host
			}
			if to.query != "" {
				o.RedirectURL += "?" + to.query
			}
			return o, rewriteNone
		}
		*at = to
		t.rewrite(w, l, "makes it "+to.path)
		switch w.Flag {
		case FlagBreak:
			return Resolution{}, rewriteBreak
		case FlagLast:
			return Resolution{}, rewriteSearchAgain
		}
		then = rewriteSearchAgain
	}
	return Resolution{}, then
}
