package routeconfig

import (
	"strconv"

	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// format writes a server.
func (s *Server) format(out *formatter) {
	out.open("server")
	for _, l := range s.Listen {
		words := []string{"listen", sexp.Quote(l.Addr.String())}
		if l.Default {
			words = append(words, wordDefault)
		}
		out.line(words...)
	}
	if len(s.Names) > 0 {
		words := []string{"name"}
		for _, name := range s.Names {
			words = append(words, sexp.Quote(name))
		}
		out.line(words...)
	}
	if !s.MergeSlashes {
		out.line("merge-slashes", wordNo)
	}
	formatRewrites(out, s.Rewrites)
	for _, l := range s.Locations {
		l.format(out)
	}
	out.close()
}

// formatRewrites writes rewrites.
func formatRewrites(out *formatter, rewrites []Rewrite) {
	for _, w := range rewrites {
		words := []string{"rewrite", sexp.Quote(w.Pattern), sexp.Quote(w.Replacement)}
		if w.Flag != route.FlagNone {
			words = append(words, flagNames[w.Flag])
		}
		out.line(words...)
	}
}

// format writes a location and those in it.
func (l *Location) format(out *formatter) {
	out.open("location", kindNames[l.Kind], sexp.Quote(l.Pattern))
	if l.Pool != "" {
		out.line("pool", sexp.Quote(l.Pool))
	}
	if l.Class != "" {
		out.line("class", sexp.Quote(l.Class))
	}
	if l.ReturnStatus != 0 {
		words := []string{"return", strconv.Itoa(l.ReturnStatus)}
		if l.ReturnText != "" {
			words = append(words, sexp.Quote(l.ReturnText))
		}
		out.line(words...)
	}
	for _, fallback := range l.Fallbacks {
		fallback.format(out)
	}
	if !l.InterceptErrors {
		out.line("intercept", wordNo)
	}
	formatRewrites(out, l.Rewrites)
	formatParams(out, l.Params)
	for _, nested := range l.Locations {
		nested.format(out)
	}
	out.close()
}

// format writes a fallback.
func (b *Fallback) format(out *formatter) {
	words := []string{"fallback", sexp.Quote(b.Location)}
	for _, status := range b.Statuses {
		words = append(words, strconv.Itoa(status))
	}
	switch b.ResponseStatus {
	case OwnStatus:
	case KeepStatus:
		words = append(words, inline("status", wordKeepStatus))
	default:
		words = append(words, inline("status", strconv.Itoa(b.ResponseStatus)))
	}
	out.line(words...)
}
