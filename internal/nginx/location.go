package nginx

import (
	"fmt"
	"strconv"
	"strings"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/sexp"
)

// importLocation imports a location block and the locations nested in it.
func (im *importer) importLocation(directive *Directive, outer levelSettings) (*routeconfig.Location, error) {
	location := &routeconfig.Location{InterceptErrors: true, Pos: directive.Pos}
	if err := parsePattern(location, directive); err != nil {
		return nil, err
	}
	settings, err := im.inherit(outer, directive.Block)
	if err != nil {
		return nil, err
	}
	location.Fallbacks = settings.fallbacks
	rewrites := rewriteContext{rewrites: &location.Rewrites, location: location}
	var tryFiles *Directive // imported last because its effect depends on the other directives
	for _, inner := range directive.Block {
		if inner.Name == "try_files" {
			tryFiles = inner
			continue
		}
		if err := im.importLocationDirective(location, inner, settings, &rewrites); err != nil {
			return nil, err
		}
	}
	if tryFiles != nil {
		im.importTryFiles(location, tryFiles)
	}
	return location, nil
}

// importLocationDirective imports a directive of a location block.
func (im *importer) importLocationDirective(location *routeconfig.Location, directive *Directive, settings levelSettings,
	rewrites *rewriteContext) error {
	switch {
	case directive.Name == "fastcgi_pass", directive.Name == "scgi_pass":
		return im.importPass(location, directive, settings)
	case directive.Name == "rewrite":
		return im.importRewrite(rewrites, directive)
	case directive.Name == "return":
		rewrites.afterReturn = true
		return im.importReturn(location, directive)
	case directive.Name == "location":
		nested, err := im.importLocation(directive, settings)
		if err != nil {
			return err
		}
		location.Locations = append(location.Locations, nested)
	case !isInherited(directive.Name):
		im.reportUnsupported(directive)
	}
	return nil
}

// modifiers are the modifiers of patterns. "~*" precedes "~" because parseModifiedPattern uses the first that matches.
var modifiers = []struct {
	text string
	kind route.Kind
}{
	{"=", route.Exact},
	{"~*", route.RegexIgnoreCase},
	{"~", route.Regex},
	{"^~", route.PrefixNoRegex},
}

// parsePattern reads a location's modifier and pattern, which may be joined in one word.
func parsePattern(location *routeconfig.Location, directive *Directive) error {
	args := directive.ArgTexts()
	switch len(args) {
	case 1:
		parseModifiedPattern(location, args[0])
		return nil
	case 2:
		for _, m := range modifiers {
			if args[0] == m.text {
				location.Kind = m.kind
				location.Pattern = args[1]
				return nil
			}
		}
		return directive.errorf("found %q in location, want =, ~, ~* or ^~", args[0])
	}
	return directive.errorf("location has %d arguments, want a pattern with or without a modifier", len(args))
}

// parseModifiedPattern reads a pattern from a word that may begin with a modifier, or with the @ of a named location.
func parseModifiedPattern(location *routeconfig.Location, word string) {
	for _, m := range modifiers {
		if pattern, ok := strings.CutPrefix(word, m.text); ok {
			location.Kind = m.kind
			location.Pattern = pattern
			return
		}
	}
	if name, ok := strings.CutPrefix(word, "@"); ok {
		location.Kind = route.Named
		location.Pattern = name
		return
	}
	location.Pattern = word
}

// statusFound is the HTTP status of a return that has a URL and no status.
const statusFound = 302

// importReturn reads return STATUS [TEXT] and return URL. A location uses its first return whose text has no variables.
func (im *importer) importReturn(location *routeconfig.Location, directive *Directive) error {
	first, text := directive.Arg(0), directive.Arg(1)
	status, isStatus := routeconfig.ParseStatus(first, routeconfig.MinStatus)
	if _, err := strconv.Atoi(first); err != nil && len(directive.Args) == 1 {
		status = statusFound
		text = first
		isStatus = true
	}
	if !isStatus {
		return directive.errorf("found %q in return, want a status of 100 to 599", first)
	}
	if strings.Contains(text, "$") {
		im.report(directive, Unsafe, "its text is made of variables, which are not computed")
		return nil
	}
	if location.ReturnStatus == 0 {
		location.ReturnStatus = status
		location.ReturnText = text
	}
	return nil
}

// poolKey identifies a pool. Locations with equal keys share a pool.
type poolKey struct {
	upstream string
	protocol string
	poolSettings
}

// importPass reads fastcgi_pass and scgi_pass, which send a location's requests to a pool.
func (im *importer) importPass(location *routeconfig.Location, directive *Directive, outer levelSettings) error {
	target := directive.Arg(0)
	if strings.Contains(target, "$") {
		im.report(directive, Unsafe, "the pool is named through a variable")
		return nil
	}
	upstream, err := im.findUpstream(target, directive)
	if err != nil {
		return err
	}
	protocol, _ := cutProtocol(directive.Name)
	settings := outer.byProtocol[protocol]
	key := poolKey{target, protocol, settings.poolSettings}
	name, ok := im.poolNames[key]
	if !ok {
		if name, err = im.addPool(key, upstream, directive); err != nil {
			return err
		}
	}
	location.Pool = name
	location.Class = className
	location.Params = settings.params
	location.InterceptErrors = settings.interceptErrors || len(location.Fallbacks) == 0 // no effect without fallbacks
	return nil
}

// findUpstream returns the upstream that is named target. If target is an address instead, findUpstream returns an
// upstream with that address as its only member.
func (im *importer) findUpstream(target string, directive *Directive) (*upstreamBlock, error) {
	if upstream := im.upstreams[target]; upstream != nil {
		return upstream, nil
	}
	addr, ok := memberAddress(target)
	if !ok {
		return nil, directive.errorf("upstream %s is not defined, and host names are not resolved", target)
	}
	upstream := &upstreamBlock{pos: directive.Pos, config: pool.DefaultConfig()}
	upstream.config.Name = target
	upstream.config.Members = []pool.Member{pool.DefaultMember(addr)}
	return upstream, nil
}

// addPool adds a pool with the members of an upstream and the settings of a key, and returns the name of the pool. The
// name is the name of the upstream; if another pool has it already, a number is appended to it.
func (im *importer) addPool(key poolKey, upstream *upstreamBlock, directive *Directive) (string, error) {
	name := key.upstream
	for n := 2; im.usedNames[name]; n++ {
		name = fmt.Sprintf("%s-%d", key.upstream, n)
	}
	if name != key.upstream {
		im.report(directive, ChangesBehavior,
			"the pool %s has settings of its own and its state is kept apart from %s's", name, key.upstream)
	}
	im.poolNames[key] = name
	im.usedNames[name] = true
	added := routeconfig.Pool{
		Config:         upstream.config,
		HashKey:        upstream.hashKey,
		Protocol:       key.protocol,
		RetryOn:        key.retryOn,
		MaxIdleConns:   upstream.maxIdleConns,
		ConnectTimeout: key.connectTimeout,
		ReadTimeout:    key.readTimeout,
		SendTimeout:    key.sendTimeout,
		Pos:            directive.Pos,
	}
	added.Name = name
	added.MaxAttempts = key.maxAttempts
	added.RetryTimeout = key.retryTimeout
	if err := added.Validate(); err != nil {
		return "", sexp.Errorf(upstream.pos, "%v", err)
	}
	im.config.Pools = append(im.config.Pools, added)
	return name, nil
}
