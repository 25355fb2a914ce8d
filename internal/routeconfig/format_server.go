package routeconfig

import (
	"strconv"

	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// format writes a server form.
func (s *Server) format(out *formatter) {
	out.open("server")
	for _, l := range s.Listen {
		items := []string{"listen", sexp.Quote(l.Addr.String())}
		if l.Default {
			items = append(items, wordDefault)
		}
		out.line(items...)
	}
	if len(s.Names) > 0 {
		items := []string{"name"}
		for _, name := range s.Names {
			items = append(items, sexp.Quote(name))
		}
		out.line(items...)
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

// formatRewrites writes a rewrite form for each rewrite.
func formatRewrites(out *formatter, rewrites []Rewrite) {
	for _, w := range rewrites {
		items := []string{"rewrite", sexp.Quote(w.Pattern), sexp.Quote(w.Replacement)}
		if w.Flag != route.FlagNone {
			items = append(items, flagNames[w.Flag])
		}
		out.line(items...)
	}
}

// format writes a location form, including the nested locations.
func (l *Location) format(out *formatter) {
	out.open("location", kindNames[l.Kind], sexp.Quote(l.Pattern))
	if l.Pool != "" {
		out.line("pool", sexp.Quote(l.Pool))
	}
	if l.Class != "" {
		out.line("class", sexp.Quote(l.Class))
	}
	if l.ReturnStatus != 0 {
		items := []string{"return", strconv.Itoa(l.ReturnStatus)}
		if l.ReturnText != "" {
			items = append(items, sexp.Quote(l.ReturnText))
		}
		out.line(items...)
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

// format writes a fallback form.
func (f *Fallback) format(out *formatter) {
	items := []string{"fallback", sexp.Quote(f.Location)}
	for _, status := range f.Statuses {
		items = append(items, strconv.Itoa(status))
	}
	switch f.ResponseStatus {
	case OwnStatus: // the default
	case KeepStatus:
		items = append(items, inline("status", wordKeepStatus))
	default:
		items = append(items, inline("status", strconv.Itoa(f.ResponseStatus)))
	}
	out.line(items...)
}
