package nginx

import (
	"regexp"
	"strconv"

	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
)

// rewriteContext is the server or location to which rewrites are added.
type rewriteContext struct {
	rewrites    *[]routeconfig.Rewrite
	location    *routeconfig.Location // nil for a server
	afterReturn bool                  // whether a return precedes: later rewrites are never reached
}

// The variables in the replacement of a rewrite: references to groups of its regex, and all others.
var (
	groupReference = regexp.MustCompile(`\$[1-9]`)
	otherVariable  = regexp.MustCompile(`\$([^1-9]|$)`)
)

// importRewrite adds a rewrite to a level, or reports it if it can't be imported. In particular, the replacement must not
// have variables other than the groups of its regex.
func (im *importer) importRewrite(level *rewriteContext, directive *Directive) error {
	flag := route.FlagNone
	var err error
	if len(directive.Args) == 3 {
		flag, err = routeconfig.ParseRewriteFlag(directive.Arg(2))
	}
	if len(directive.Args) < 2 || len(directive.Args) > 3 || err != nil {
		return directive.errorf("want rewrite REGEX TARGET with last, break, redirect, permanent or no flag")
	}
	pattern, replacement := directive.Arg(0), directive.Arg(1)
	switch {
	case level.afterReturn:
		im.report(directive, Harmless, "a return stands before it, so it is never reached")
		return nil
	case level.location != nil && level.location.Kind == route.Named:
		im.report(directive, Unsafe, "the path is not changed in a named location")
		return nil
	case otherVariable.MatchString(replacement):
		im.report(directive, Unsafe, "the path is not changed: its target is made of variables")
		return nil
	case replacement == "":
		im.report(directive, Unsafe, "the path is not changed: its target is empty")
		return nil
	}
	regex, err := regexp.Compile(pattern)
	if err != nil {
		im.report(directive, Unsafe, "the path is not changed: its regex is not one of RE2")
		return nil
	}
	for _, reference := range groupReference.FindAllString(replacement, -1) {
		if group, _ := strconv.Atoi(reference[1:]); group > regex.NumSubexp() {
			return directive.errorf("found %s in rewrite %s, whose regex has %d groups", reference, pattern, regex.NumSubexp())
		}
	}
	*level.rewrites = append(*level.rewrites, routeconfig.Rewrite{
		Pattern:     pattern,
		Replacement: replacement,
		Flag:        flag,
		Pos:         directive.Pos,
	})
	return nil
}
