package nginx

import (
	"maps"
	"slices"
	"strings"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/sexp"
)

// levelSettings are the settings that a level (http, server or location) passes to the levels nested in it.
type levelSettings struct {
	mergeSlashes bool
	fallbacks    []routeconfig.Fallback
	byProtocol   map[string]protocolSettings // FastCGI and SCGI have separate directives
}

// protocolSettings are the settings of requests that are passed to members by one protocol.
type protocolSettings struct {
	poolSettings
	params          []routeconfig.Param
	interceptErrors bool
}

// poolSettings are the settings that nginx has per location and the router has per pool. They are comparable: locations
// with equal settings for the same upstream share a pool.
type poolSettings struct {
	retryOn        pool.RetryCondition
	maxAttempts    int
	retryTimeout   time.Duration
	connectTimeout time.Duration
	readTimeout    time.Duration
	sendTimeout    time.Duration
}

// protocols are the protocols of members. Their names are the prefixes of nginx's directives.
var protocols = []string{routeconfig.ProtocolFastCGI, routeconfig.ProtocolSCGI}

// defaultSettings returns nginx's defaults.
func defaultSettings() levelSettings {
	s := levelSettings{mergeSlashes: true, byProtocol: map[string]protocolSettings{}}
	for _, protocol := range protocols {
		s.byProtocol[protocol] = protocolSettings{poolSettings: poolSettings{
			retryOn:        pool.DefaultRetryOn,
			connectTimeout: time.Minute,
			readTimeout:    time.Minute,
			sendTimeout:    time.Minute,
		}}
	}
	return s
}

// cutProtocol splits a directive's name into the protocol that is its prefix and the rest after the underscore. Without
// such a prefix it returns "" and the name.
func cutProtocol(name string) (protocol, rest string) {
	protocol, rest, _ = strings.Cut(name, "_")
	if !slices.Contains(protocols, protocol) {
		return "", name
	}
	return protocol, rest
}

// isInherited reports whether inherit reads directives with this name.
func isInherited(name string) bool {
	switch protocol, rest := cutProtocol(name); rest {
	case "merge_slashes", "error_page":
		return protocol == ""
	case "param", "next_upstream", "next_upstream_tries", "next_upstream_timeout", "connect_timeout", "read_timeout",
		"send_timeout", "intercept_errors":
		return protocol != ""
	}
	return false
}

// inherit returns the settings of a level: the settings of the enclosing level, changed by the directives of the level.
// As in nginx, a level that sets parameters of a protocol inherits none of that protocol's parameters, and a level that
// sets error pages inherits none.
func (im *importer) inherit(outer levelSettings, directives []*Directive) (levelSettings, error) {
	level := levelSettings{mergeSlashes: outer.mergeSlashes, byProtocol: maps.Clone(outer.byProtocol)}
	ownParams := map[string][]routeconfig.Param{} // by protocol; has an entry for each protocol with a param directive
	hasErrorPages := false
	for _, directive := range directives {
		if !isInherited(directive.Name) {
			continue
		}
		protocol, name := cutProtocol(directive.Name)
		var err error
		switch name {
		case "merge_slashes":
			level.mergeSlashes, err = directive.parseOnOff()
		case "error_page":
			hasErrorPages = true
			err = im.importErrorPage(&level, directive)
		case "param":
			ownParams[protocol], err = im.importParam(ownParams[protocol], directive)
		default:
			settings := level.byProtocol[protocol]
			err = settings.apply(name, directive)
			level.byProtocol[protocol] = settings
		}
		if err != nil {
			return level, err
		}
	}
	for protocol, params := range ownParams {
		settings := level.byProtocol[protocol]
		settings.params = params
		level.byProtocol[protocol] = settings
	}
	if !hasErrorPages {
		level.fallbacks = outer.fallbacks
	}
	return level, nil
}

// apply changes one setting. name is the directive's name without the protocol.
func (s *protocolSettings) apply(name string, directive *Directive) (err error) {
	switch name {
	case "intercept_errors":
		s.interceptErrors, err = directive.parseOnOff()
	case "next_upstream":
		s.retryOn, err = directive.parseRetryConditions()
	case "next_upstream_tries":
		s.maxAttempts, err = directive.parseCount()
	case "next_upstream_timeout":
		s.retryTimeout, err = directive.parseDuration()
	case "connect_timeout":
		s.connectTimeout, err = directive.parseDuration()
	case "read_timeout":
		s.readTimeout, err = directive.parseDuration()
	case "send_timeout":
		s.sendTimeout, err = directive.parseDuration()
	}
	return err
}

// importParam adds a request parameter for members, unless its value contains variables.
func (im *importer) importParam(params []routeconfig.Param, directive *Directive) ([]routeconfig.Param, error) {
	if len(directive.Args) < 2 || len(directive.Args) > 3 {
		return nil, directive.errorf("%s has %d arguments, want a name and a value", directive.Name, len(directive.Args))
	}
	if params == nil {
		params = []routeconfig.Param{}
	}
	name, value := directive.Arg(0), directive.Arg(1)
	if strings.Contains(value, "$") {
		if !gatewayParams[name] {
			im.report(directive, ChangesBehavior, "its value is made of variables, which are not computed")
		}
		return params, nil
	}
	return append(params, routeconfig.Param{Name: name, Value: value}), nil
}

// gatewayParams are the parameters that members always get from the gateway's request, with the values that nginx's
// fastcgi_params file sets. importParam does not report them if their values contain variables.
var gatewayParams = map[string]bool{
	"QUERY_STRING":    true,
	"REQUEST_METHOD":  true,
	"CONTENT_TYPE":    true,
	"CONTENT_LENGTH":  true,
	"SCRIPT_NAME":     true,
	"REQUEST_URI":     true,
	"DOCUMENT_URI":    true,
	"SERVER_PROTOCOL": true,
	"REMOTE_ADDR":     true,
	"REMOTE_PORT":     true,
	"SERVER_ADDR":     true,
	"SERVER_PORT":     true,
	"SERVER_NAME":     true,
	"REQUEST_SCHEME":  true,
	"HTTPS":           true,
}

// importErrorPage adds a fallback to a named location. It reports other targets.
func (im *importer) importErrorPage(level *levelSettings, directive *Directive) error {
	args := directive.ArgTexts()
	if len(args) < 2 {
		return directive.errorf("error_page has %d arguments, want statuses and a target", len(args))
	}
	target, args := args[len(args)-1], args[:len(args)-1]
	name, isNamed := strings.CutPrefix(target, "@")
	if !isNamed || strings.Contains(name, "$") {
		im.report(directive, ChangesBehavior, "only named locations take over for statuses")
		return nil
	}
	fallback := routeconfig.Fallback{Location: name, ResponseStatus: routeconfig.KeepStatus}
	if response, ok := strings.CutPrefix(args[len(args)-1], "="); ok {
		args = args[:len(args)-1]
		fallback.ResponseStatus = routeconfig.OwnStatus
		if response != "" {
			status, ok := routeconfig.ParseStatus(response, routeconfig.MinStatus)
			if !ok {
				return directive.errorf("found \"=%s\" in error_page, want = and a status of 100 to 599", response)
			}
			fallback.ResponseStatus = status
		}
	}
	for _, arg := range args {
		status, ok := routeconfig.ParseStatus(arg, routeconfig.MinFallbackStatus)
		if !ok {
			return directive.errorf("found %q in error_page, want a status of 300 to 599", arg)
		}
		fallback.Statuses = append(fallback.Statuses, status)
	}
	if len(fallback.Statuses) == 0 {
		return directive.errorf("error_page has no status, want at least one of 300 to 599")
	}
	level.fallbacks = append(level.fallbacks, fallback)
	return nil
}

// parseRetryConditions reads the arguments of a next_upstream directive.
func (d *Directive) parseRetryConditions() (set pool.RetryCondition, err error) {
	for _, arg := range d.Args {
		condition, err := routeconfig.ParseRetryCondition(arg.Text)
		if err != nil {
			return 0, sexp.Errorf(arg.Pos, "found %q in %s, want a condition such as error or http_503", arg.Text, d.Name)
		}
		set |= condition
	}
	return set, nil
}
