package nginx

import (
	"regexp"
	"strconv"
	"strings"

	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/sexp"
)

// rewriteContext is what a level's rewrites come to so far.
type rewriteContext struct {
	rewrites    *[]routeconfig.Rewrite
	location    *routeconfig.Location // nil in a server
	afterReturn bool                  // a return stands before: what follows is never reached
}

// otherVariable finds what a rewrite's target may not hold: a variable that is no group.
var otherVariable = regexp.MustCompile(`\$([^1-9]|$)`)

// importRewrite takes a rewrite whose target needs no variables but the groups of its regex.
func (m *importer) importRewrite(r *rewriteContext, d *Directive) error {
	flag, err := route.FlagNone, error(nil)
	if len(d.Args) == 3 {
		flag, err = routeconfig.ParseRewriteFlag(d.Arg(2))
	}
	if len(d.Args) < 2 || len(d.Args) > 3 || err != nil {
		return sexp.Errorf(d.Pos, "want rewrite REGEX TARGET with last, break, redirect, permanent or no flag")
	}
	regex, to := d.Arg(0), d.Arg(1)
	switch {
	case r.afterReturn:
		m.report(d, Harmless, "a return stands before it, so it is never reached")
		return nil
	case r.location != nil && r.location.Kind == route.Named:
		m.report(d, Unsafe, "the path is not changed in a named location")
		return nil
	case otherVariable.MatchString(to):
		m.report(d, Unsafe, "the path is not changed: its target is made of variables")
		return nil
	case to == "":
		m.report(d, Unsafe, "the path is not changed: its target is empty")
		return nil
	}
	re, err := regexp.Compile(regex)
	if err != nil {
		m.report(d, Unsafe, "the path is not changed: its regex is not one of RE2")
		return nil
	}
	for _, group := range regexp.MustCompile(`\$[1-9]`).FindAllString(to, -1) {
		if n, _ := strconv.Atoi(group[1:]); n > re.NumSubexp() {
			return sexp.Errorf(d.Pos, "found %s in rewrite %s, whose regex has %d groups", group, regex, re.NumSubexp())
		}
	}
	*r.rewrites = append(*r.rewrites, routeconfig.Rewrite{Pattern: regex, Replacement: to, Flag: flag, Pos: d.Pos})
	return nil
}

// passedTo is the named location that a location's requests go to, and the directive that says so.
type namedTarget struct {
	name     string
	tryFiles *Directive
}

// importTryFiles takes what try_files leaves where no files are: its last argument. A location that passes to a pool keeps it.
func (m *importer) importTryFiles(l *routeconfig.Location, d *Directive) {
	last := d.Arg(len(d.Args) - 1)
	name, named := strings.CutPrefix(last, "@")
	status, isStatus := strings.CutPrefix(last, "=")
	code, err := strconv.Atoi(status)
	switch {
	case l.Pool != "" && (named || isStatus):
		m.report(d, ChangesBehavior, "no files are looked for: all requests go to the pool")
	case l.Pool != "":
		m.report(d, Unsafe, "no files are looked for, and its last address is not gone to")
	case named && l.ReturnStatus == 0:
		m.passedTo[l] = namedTarget{name, d}
		m.report(d, ChangesBehavior, "no files are looked for: all requests go to @%s", name)
	case isStatus && err == nil && code >= 100 && code <= 599 && l.ReturnStatus == 0:
		l.ReturnStatus = code
		m.report(d, ChangesBehavior, "no files are looked for: all requests are answered with %d", code)
	default:
		m.report(d, Unsafe, "no files are looked for")
	}
}

// resolveNamedTargets has locations that go to a named one do what that does.
func (m *importer) resolveNamedTargets(s *routeconfig.Server) {
	named := map[string]*routeconfig.Location{}
	for _, l := range s.Locations {
		if l.Kind == route.Named {
			named[l.Pattern] = l
		}
	}
	var each func(list []*routeconfig.Location)
	each = func(list []*routeconfig.Location) {
		for _, l := range list {
			each(l.Locations)
			g, ok := m.passedTo[l]
			if !ok {
				continue
			}
			to := named[g.name]
			if to == nil {
				m.report(g.tryFiles, Unsafe, "its server has no location @%s", g.name)
				continue
			}
			l.Pool, l.Class, l.ReturnStatus, l.ReturnText = to.Pool, to.Class, to.ReturnStatus, to.ReturnText
			l.Params, l.Fallbacks, l.InterceptErrors = to.Params, to.Fallbacks, to.InterceptErrors
		}
	}
	each(s.Locations)
}

// dropUnknownFallbacks takes away the fallbacks to named locations that a server does not have: error_page may stand around servers
// of which only some have them.
func (m *importer) dropUnknownFallbacks(d *Directive, s *routeconfig.Server) {
	has, told := map[string]bool{}, map[string]bool{}
	for _, l := range s.Locations {
		if l.Kind == route.Named {
			has[l.Pattern] = true
		}
	}
	var each func(list []*routeconfig.Location)
	each = func(list []*routeconfig.Location) {
		for _, l := range list {
			each(l.Locations)
			var kept []routeconfig.Fallback
			for _, f := range l.Fallbacks {
				switch {
				case has[f.Location]:
					kept = append(kept, f)
				case !told[f.Location]:
					told[f.Location] = true
					m.report(d, ChangesBehavior, "error_page leads to @%s, which this server does not have: the status is answered", f.Location)
				}
			}
			if l.Fallbacks = kept; len(kept) == 0 {
				l.InterceptErrors = true
			}
		}
	}
	each(s.Locations)
}
