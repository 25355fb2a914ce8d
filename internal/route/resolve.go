package route

import "strings"

// The statuses of a Resolution.
const (
	statusMovedPermanently = 301
	statusFound            = 302
	statusInternalError    = 500
)

// Match is the location that a request belongs to.
type Match struct {
	Server                *Server
	Location              *Location // nil if the server has none for the path
	Path                  string    // normalized
	RedirectTrailingSlash bool      // the client is redirected to the path with a slash at its end
}

// Resolution is where a request belongs after rewrites.
type Resolution struct {
	Match
	Query          string
	Rewritten      bool   // path or query differ from the normalized request
	Status         int    // 301 or 302 if a rewrite redirects the client, 500 if rewrites go in circles, else 0
	RedirectURL    string // of status 301 or 302
	StoppedByBreak bool   // by a rewrite with FlagBreak: of the location only its pool counts
}

// maxRewriteCycles is how often the location may be searched again before rewrites are taken to go in circles, as in
// nginx.
const maxRewriteCycles = 10

// Resolve finds the location of a request, given its path as sent and its query, with the rewrites of the server and of
// the locations on the way. The only error is ErrInvalidPath.
func (s *Server) Resolve(rawPath, query string) (Resolution, error) {
	return s.resolve(rawPath, query, nil)
}

// Explain is Resolve with the steps that led to its result.
func (s *Server) Explain(rawPath, query string) (Resolution, []Step, error) {
	var steps []Step
	r, err := s.resolve(rawPath, query, func(step Step) { steps = append(steps, step) })
	return r, steps, err
}

// resolve is Resolve with a tracer, which may be nil.
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

// rewriteEffect is what follows a list of rewrites.
type rewriteEffect uint8

// The effects.
const (
	rewriteNone        rewriteEffect = iota // none matched
	rewriteSearchAgain                      // the location has to be searched again
	rewriteBreak                            // one with FlagBreak matched
)

// applyRewrites applies a list of rewrites in order to a target. The resolution has a status if one redirects the client.
func (s *Server) applyRewrites(rewrites []*Rewrite, at *target, location *Location,
	trace tracer) (Resolution, rewriteEffect) {
	effect := rewriteNone
	for _, rewrite := range rewrites {
		to, matched := rewrite.apply(*at)
		if !matched {
			trace.traceRewrite(rewrite, location, "does not match")
			continue
		}
		if rewrite.redirects() {
			trace.traceRewrite(rewrite, location, "sends the caller away")
			return s.redirect(rewrite, *at, to), rewriteNone
		}
		*at = to
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
		// With two slashes it would name another host.
		resolution.RedirectURL = "/" + strings.TrimLeft(resolution.RedirectURL, "/")
	}
	if to.query != "" {
		resolution.RedirectURL += "?" + to.query
	}
	return resolution
}
