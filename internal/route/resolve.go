package route

import "strings"

// The values of Resolution.Status.
const (
	statusMovedPermanently = 301
	statusFound            = 302
	statusInternalError    = 500
)

// Match is the server and the location of a request.
type Match struct {
	Server                *Server
	Location              *Location // nil if no location of the server matches the path
	Path                  string    // normalized
	RedirectTrailingSlash bool      // the client is redirected to Path with a slash appended
}

// Resolution is the result of the location search and of the rewrites.
type Resolution struct {
	Match
	Query          string
	Rewritten      bool   // the path or the query differs from that of the normalized request
	Status         int    // 301 or 302 if a rewrite redirects the client, 500 after too many rewrite cycles, else 0
	RedirectURL    string // set if Status is 301 or 302
	StoppedByBreak bool   // a rewrite of the location has FlagBreak and matched: only the pool of the location applies
}

// maxRewriteCycles is how many times the location search may be repeated for a request. If the rewrites ask for one
// more search, the status is 500. nginx has the same limit.
const maxRewriteCycles = 10

// Resolve finds the location of a request. It applies the rewrites of the server and those of each location that the
// search finds. rawPath is the path as the client sent it. The only error is ErrInvalidPath.
func (s *Server) Resolve(rawPath, query string) (Resolution, error) {
	return s.resolve(rawPath, query, nil)
}

// Explain is like Resolve and also returns the steps of the search.
func (s *Server) Explain(rawPath, query string) (Resolution, []Step, error) {
	var steps []Step
	r, err := s.resolve(rawPath, query, func(step Step) { steps = append(steps, step) })
	return r, steps, err
}

// resolve implements Resolve and Explain. trace may be nil.
func (s *Server) resolve(rawPath, query string, trace tracer) (Resolution, error) {
	path, err := NormalizePath(rawPath, s.MergeSlashes)
	if err != nil {
		return Resolution{Match: Match{Server: s}}, err
	}
	original := target{path, query}
	current := original
	if redirect, _ := s.applyRewrites(s.Rewrites, &current, nil, trace); redirect.Status != 0 {
		return redirect, nil
	}
	for range maxRewriteCycles + 1 {
		location, found := s.locations.search(current.path, trace)
		resolution := Resolution{
			Match:     Match{Server: s, Location: location, Path: current.path, RedirectTrailingSlash: found == redirectMatch},
			Query:     current.query,
			Rewritten: current != original,
		}
		if location == nil || resolution.RedirectTrailingSlash || len(location.Rewrites) == 0 {
			return resolution, nil
		}
		redirect, effect := s.applyRewrites(location.Rewrites, &current, location, trace)
		switch {
		case redirect.Status != 0:
			return redirect, nil
		case effect != rewriteSearchAgain:
			resolution.Path = current.path
			resolution.Query = current.query
			resolution.Rewritten = current != original
			resolution.StoppedByBreak = effect == rewriteBreak
			return resolution, nil
		}
	}
	return Resolution{Match: Match{Server: s, Path: current.path}, Query: current.query, Status: statusInternalError}, nil
}

// rewriteEffect says how the search continues after a list of rewrites.
type rewriteEffect uint8

// The effects of a list of rewrites.
const (
	rewriteNone        rewriteEffect = iota // no rewrite matched, or the client is redirected
	rewriteSearchAgain                      // the location search is repeated
	rewriteBreak                            // a rewrite with FlagBreak matched
)

// applyRewrites applies a list of rewrites to current in order. The resolution has a Status if a rewrite redirects the
// client, else it is the zero value. location is the location of the rewrites, or nil if they are those of the server.
func (s *Server) applyRewrites(rewrites []*Rewrite, current *target, location *Location,
	trace tracer) (Resolution, rewriteEffect) {
	effect := rewriteNone
	for _, rewrite := range rewrites {
		to, matched := rewrite.apply(*current)
		if !matched {
			trace.traceRewrite(rewrite, location, "does not match")
			continue
		}
		if rewrite.redirects() {
			trace.traceRewrite(rewrite, location, "redirects the client")
			return s.redirect(rewrite, *current, to), rewriteNone
		}
		*current = to
		trace.traceRewrite(rewrite, location, "makes it "+to.path)
		switch rewrite.Flag {
		case FlagBreak:
			return Resolution{}, rewriteBreak
		case FlagLast:
			return Resolution{}, rewriteSearchAgain
		}
		effect = rewriteSearchAgain
	}
	return Resolution{}, effect
}

// redirect returns the resolution of a rewrite that redirects the client.
func (s *Server) redirect(rewrite *Rewrite, from, to target) Resolution {
	resolution := Resolution{
		Match:       Match{Server: s, Path: from.path},
		Query:       from.query,
		Status:      statusFound,
		RedirectURL: to.path,
	}
	if rewrite.Flag == FlagPermanent {
		resolution.Status = statusMovedPermanently
	}
	if !rewrite.isAbsolute() && strings.HasPrefix(resolution.RedirectURL, "//") {
		// A URL that begins with two slashes refers to another host.
		resolution.RedirectURL = "/" + strings.TrimLeft(resolution.RedirectURL, "/")
	}
	if to.query != "" {
		resolution.RedirectURL += "?" + to.query
	}
	return resolution
}
