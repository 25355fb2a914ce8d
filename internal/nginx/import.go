package nginx

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/sexp"
)

// className is the class of all that is imported. nginx knows no classes; operators name better ones afterwards.
const className = "imported"

// Import turns a configuration into a description, and names all that is not carried over. The error is for what
// can't be read at all.
func Import(list []*Directive) (*routeconfig.Config, []Diagnostic, error) {
	m := &importer{config: &routeconfig.Config{Capacity: routeconfig.DefaultCapacity, Classes: []routeconfig.Class{{Name: className, LatencyObjective: time.Second,
		Deadline: time.Minute, Effect: routeconfig.EffectByMethod, Weight: 1}}}, upstreams: map[string]*upstream{}, usedNames: map[string]bool{},
		poolNames: map[string]string{}, passedTo: map[*routeconfig.Location]namedTarget{}}
	http := list
	for _, d := range list {
		if d.Name == "http" {
			http = d.Block
			for _, other := range list {
				if other != d {
					m.reportUnsupported(other)
				}
			}
			break
		}
	}
	if err := m.importHTTP(http); err != nil {
		return nil, m.diagnostics, err
	}
	return m.config, m.diagnostics, nil
}

// importer is an import under way.
type importer struct {
	config      *routeconfig.Config
	diagnostics []Diagnostic
	upstreams   map[string]*upstream
	usedNames   map[string]bool   // names of pools
	poolNames   map[string]string // names by what makes a pool of its own
	passedTo    map[*routeconfig.Location]namedTarget
}

// importUpstream is an upstream block.
type upstream struct {
	pos          sexp.Pos
	config       pool.Config
	hashKey      string
	maxIdleConns int
}

// report names something.
func (m *importer) report(d *Directive, s Severity, format string, args ...any) {
	m.diagnostics = append(m.diagnostics, Diagnostic{d.Pos, d.String(), s, fmt.Sprintf(format, args...)})
}

// reportUnsupported names a directive that is not carried over.
func (m *importer) reportUnsupported(d *Directive) {
	if l, ok := unsupported[d.Name]; ok {
		m.report(d, l.severity, "%s", l.reason)
		return
	}
	m.report(d, ChangesBehavior, "the importer does not know it")
}

// levelSettings is what a level inherits to those within it.
type levelSettings struct {
	mergeSlashes bool
	fallbacks    []routeconfig.Fallback
	byProtocol   map[string]protocolSettings // tryFiles protocol: fastcgi and scgi have directives of their own
}

// byProtocol is what a level inherits of how requests are passed on by one protocol.
type protocolSettings struct {
	params          []routeconfig.Param
	retryOn         pool.RetryCondition
	maxAttempts     int
	retryTimeout    time.Duration
	connectTimeout  time.Duration
	readTimeout     time.Duration
	sendTimeout     time.Duration
	interceptErrors bool
}

// protocols are those that members may speak.
var protocols = []string{"fastcgi", "scgi"}

// defaultSettings is what holds where nothing is said.
func defaultSettings() levelSettings {
	s := levelSettings{mergeSlashes: true, byProtocol: map[string]protocolSettings{}}
	for _, protocol := range protocols {
		s.byProtocol[protocol] = protocolSettings{retryOn: pool.DefaultRetryOn, connectTimeout: time.Minute, readTimeout: time.Minute, sendTimeout: time.Minute}
	}
	return s
}

// importHTTP imports the http block, or a file that has its contents only.
func (m *importer) importHTTP(list []*Directive) error {
	for _, d := range list {
		if d.Name == "upstream" {
			if err := m.importUpstream(d); err != nil {
				return err
			}
		}
	}
	base, err := m.inherit(defaultSettings(), list)
	if err != nil {
		return err
	}
	for _, d := range list {
		switch {
		case d.Name == "server":
			if err := m.importServer(d, base); err != nil {
				return err
			}
		case d.Name != "upstream" && !isInherited(d.Name):
			m.reportUnsupported(d)
		}
	}
	return nil
}

// cutProtocol takes the protocol off a directive's name.
func cutProtocol(name string) (protocol, rest string) {
	protocol, rest, _ = strings.Cut(name, "_")
	if !slices.Contains(protocols, protocol) {
		return "", name
	}
	return protocol, rest
}

// isInherited tells whether a level takes the directive from that around it.
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

// inherit is the scope of a level: the one around it with the level's own directives.
func (m *importer) inherit(outer levelSettings, list []*Directive) (levelSettings, error) {
	s := levelSettings{mergeSlashes: outer.mergeSlashes, byProtocol: maps.Clone(outer.byProtocol)}
	params, pages := map[string][]routeconfig.Param{}, false
	for _, d := range list {
		if !isInherited(d.Name) {
			continue
		}
		protocol, name := cutProtocol(d.Name)
		p := s.byProtocol[protocol]
		var err error
		switch name {
		case "merge_slashes":
			s.mergeSlashes, err = parseOnOff(d)
		case "error_page":
			pages = true
			err = m.importErrorPage(&s, d)
		case "intercept_errors":
			p.interceptErrors, err = parseOnOff(d)
		case "param":
			params[protocol], err = m.importParam(params[protocol], d)
		case "next_upstream":
			p.retryOn, err = m.conditions(d)
		case "next_upstream_tries":
			p.maxAttempts, err = parseCount(d)
		case "next_upstream_timeout":
			p.retryTimeout, err = parseDuration(d)
		case "connect_timeout":
			p.connectTimeout, err = parseDuration(d)
		case "read_timeout":
			p.readTimeout, err = parseDuration(d)
		case "send_timeout":
			p.sendTimeout, err = parseDuration(d)
		}
		if err != nil {
			return s, err
		}
		if protocol != "" {
			s.byProtocol[protocol] = p
		}
	}
	for protocol, own := range params { // a level with params of its own takes none from around it
		p := s.byProtocol[protocol]
		p.params = own
		s.byProtocol[protocol] = p
	}
	if !pages { // likewise
		s.fallbacks = outer.fallbacks
	}
	return s, nil
}

func parseOnOff(d *Directive) (bool, error) {
	switch d.Arg(0) {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, sexp.Errorf(d.Pos, "found %q in %s, want on or off", d.Arg(0), d.Name)
}

func parseCount(d *Directive) (int, error) {
	n, err := strconv.Atoi(d.Arg(0))
	if err != nil || n < 0 {
		return 0, sexp.Errorf(d.Pos, "found %q in %s, want a number", d.Arg(0), d.Name)
	}
	return n, nil
}

func parseDuration(d *Directive) (time.Duration, error) {
	t, err := ParseDuration(d.Arg(0))
	if err != nil {
		return 0, sexp.Errorf(d.Pos, "found %q in %s, want a time", d.Arg(0), d.Name)
	}
	return t, nil
}

// ParseDuration reads a time as nginx writes it: figures with ms, s, m, h, d, w, M and y, one after the other; without a unit
// seconds.
func ParseDuration(text string) (time.Duration, error) {
	units := []struct {
		name string
		of   time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour},
		{"w", 7 * 24 * time.Hour}, {"M", 30 * 24 * time.Hour}, {"y", 365 * 24 * time.Hour}}
	if text == "" {
		return 0, fmt.Errorf("an empty time")
	}
	total := time.Duration(0)
	for rest := text; rest != ""; {
		digits := 0
		for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
			digits++
		}
		n, err := strconv.ParseInt(rest[:digits], 10, 32)
		if err != nil {
			return 0, err
		}
		if rest = rest[digits:]; rest == "" {
			return total + time.Duration(n)*time.Second, nil
		}
		i := slices.IndexFunc(units, func(u struct {
			name string
			of   time.Duration
		}) bool {
			return strings.HasPrefix(rest, u.name)
		})
		if i < 0 {
			return 0, fmt.Errorf("%q is no unit", rest)
		}
		total += time.Duration(n) * units[i].of
		rest = strings.TrimPrefix(rest[len(units[i].name):], " ")
	}
	return total, nil
}

// importParam takes a parameter for members. Those whose values need variables are named.
func (m *importer) importParam(list []routeconfig.Param, d *Directive) ([]routeconfig.Param, error) {
	if len(d.Args) < 2 || len(d.Args) > 3 {
		return nil, sexp.Errorf(d.Pos, "%s has %d arguments, want a name and a value", d.Name, len(d.Args))
	}
	if list == nil {
		list = []routeconfig.Param{}
	}
	if strings.Contains(d.Arg(1), "$") {
		if !gatewayParams[d.Arg(0)] {
			m.report(d, ChangesBehavior, "its value is made of variables, which are not computed")
		}
		return list, nil
	}
	return append(list, routeconfig.Param{Name: d.Arg(0), Value: d.Arg(1)}), nil
}

// gatewayParams are parameters that members get from the gateway's own request, as nginx's fastcgi_params sets them.
var gatewayParams = map[string]bool{"QUERY_STRING": true, "REQUEST_METHOD": true, "CONTENT_TYPE": true, "CONTENT_LENGTH": true,
	"SCRIPT_NAME": true, "REQUEST_URI": true, "DOCUMENT_URI": true, "SERVER_PROTOCOL": true, "REMOTE_ADDR": true,
	"REMOTE_PORT": true, "SERVER_ADDR": true, "SERVER_PORT": true, "SERVER_NAME": true, "REQUEST_SCHEME": true, "HTTPS": true}

// conditions reads next_upstream.
func (m *importer) conditions(d *Directive) (all pool.RetryCondition, err error) {
	for _, w := range d.Args {
		c, err := routeconfig.ParseRetryCondition(w.Text)
		if err != nil {
			return 0, sexp.Errorf(w.Pos, "found %q in %s, want a condition such as error or http_503", w.Text, d.Name)
		}
		all |= c
	}
	return all, nil
}

// importErrorPage takes a fallback to a named location; other targets are named.
func (m *importer) importErrorPage(s *levelSettings, d *Directive) error {
	texts := d.ArgTexts()
	if len(texts) < 2 {
		return sexp.Errorf(d.Pos, "error_page has %d arguments, want statuses and a target", len(texts))
	}
	target, texts := texts[len(texts)-1], texts[:len(texts)-1]
	name, ok := strings.CutPrefix(target, "@")
	if !ok || strings.Contains(name, "$") {
		m.report(d, ChangesBehavior, "only named locations take over for statuses")
		return nil
	}
	f := routeconfig.Fallback{Location: name, ResponseStatus: routeconfig.KeepStatus}
	if as, ok := strings.CutPrefix(texts[len(texts)-1], "="); ok {
		texts = texts[:len(texts)-1]
		f.ResponseStatus = 0
		var err error
		if as != "" {
			if f.ResponseStatus, err = strconv.Atoi(as); err != nil || f.ResponseStatus < 100 || f.ResponseStatus > 599 {
				return sexp.Errorf(d.Pos, "found \"=%s\" in error_page, want = and a status", as)
			}
		}
	}
	for _, t := range texts {
		status, err := strconv.Atoi(t)
		if err != nil || status < 300 || status > 599 {
			return sexp.Errorf(d.Pos, "found %q in error_page, want a status of 300 to 599", t)
		}
		f.Statuses = append(f.Statuses, status)
	}
	if len(f.Statuses) == 0 {
		return sexp.Errorf(d.Pos, "error_page has no status")
	}
	s.fallbacks = append(s.fallbacks, f)
	return nil
}

// importUpstream reads an upstream block.
func (m *importer) importUpstream(d *Directive) error {
	name := d.Arg(0)
	if len(d.Args) != 1 || !d.HasBlock {
		return sexp.Errorf(d.Pos, "want upstream NAME {...}")
	}
	if before := m.upstreams[name]; before != nil {
		return sexp.Errorf(d.Pos, "upstream %s is defined twice, first at %v", name, before.pos)
	}
	u := &upstream{pos: d.Pos, config: pool.DefaultConfig()}
	u.config.Name = name
	for _, s := range d.Block {
		if err := m.importUpstreamDirective(u, s); err != nil {
			return err
		}
	}
	if len(u.config.Members) == 0 {
		return sexp.Errorf(d.Pos, "upstream %s has no servers that can be carried over", name)
	}
	m.upstreams[name] = u
	return nil
}

// importUpstreamDirective reads one directive of an upstream block.
func (m *importer) importUpstreamDirective(u *upstream, d *Directive) (err error) {
	switch d.Name {
	case "server":
		return m.importMember(u, d)
	case "least_conn":
		u.config.BalancingPolicy = pool.LeastConn
	case "ip_hash":
		u.config.BalancingPolicy = pool.IPHash
	case "random":
		u.config.BalancingPolicy = pool.RandomTwo
		if d.Arg(0) != "two" {
			m.report(d, ChangesBehavior, "two members are drawn, and the one with fewer connections is taken")
		} else if t := d.Arg(1); t != "" && t != "least_conn" {
			m.report(d, ChangesBehavior, "the one with fewer connections is taken")
		}
	case "hash":
		u.config.BalancingPolicy = pool.Hash
		if d.Arg(1) == "consistent" {
			u.config.BalancingPolicy = pool.HashConsistent
		}
		keys := map[string]string{"$request_uri": "uri", "$uri": "path", "$args": "query", "$host": "host",
			"$remote_addr": "client", "$binary_remote_addr": "client"}
		key, ok := keys[d.Arg(0)]
		if name, isHeader := strings.CutPrefix(d.Arg(0), "$http_"); isHeader {
			key, ok = "header:"+strings.ReplaceAll(name, "_", "-"), true
		}
		if !ok {
			m.report(d, ChangesBehavior, "the key %s is not known: the path is taken", d.Arg(0))
			key = "path"
		}
		u.hashKey = key
	case "keepalive":
		u.maxIdleConns, err = parseCount(d)
	case "keepalive_requests", "keepalive_timeout", "keepalive_time":
		m.report(d, Harmless, "members' connections are kept as long as they stand")
	default:
		m.reportUnsupported(d)
	}
	return err
}

// importMember reads a server of an upstream.
func (m *importer) importMember(u *upstream, d *Directive) (err error) {
	addr, ok := memberAddress(d.Arg(0))
	if !ok {
		m.report(d, Unsafe, "members are reached by IP address and port: it is left out")
		return nil
	}
	mem := pool.DefaultMember(addr)
	for _, w := range d.Args[1:] {
		name, value, _ := strings.Cut(w.Text, "=")
		number := func(to *int) {
			if *to, err = strconv.Atoi(value); err != nil || *to < 0 {
				err = sexp.Errorf(w.Pos, "found %q, want %s=NUMBER", w.Text, name)
			}
		}
		duration := func(to *time.Duration) {
			if *to, err = ParseDuration(value); err != nil {
				err = sexp.Errorf(w.Pos, "found %q, want %s=TIME", w.Text, name)
			}
		}
		switch name {
		case "weight":
			number(&mem.Weight)
		case "max_conns":
			number(&mem.MaxConns)
		case "max_fails":
			number(&mem.MaxFails)
		case "fail_timeout":
			duration(&mem.FailTimeout)
		case "slow_start":
			duration(&mem.SlowStart)
		case "backup":
			mem.Backup = true
		case "down":
			mem.Down = true
		case "resolve", "service", "route", "drain":
			m.report(d, ChangesBehavior, "%s is not carried over", name)
		default:
			return sexp.Errorf(w.Pos, "found %q, want weight, max_conns, max_fails, fail_timeout, slow_start, backup or down", w.Text)
		}
		if err != nil {
			return err
		}
	}
	u.config.Members = append(u.config.Members, mem)
	return nil
}

// memberAddress is a member's address, where it needs no look-up.
func memberAddress(text string) (string, bool) {
	if _, err := netip.ParseAddrPort(text); err == nil {
		return text, true
	}
	host, port, err := net.SplitHostPort(text)
	if err == nil && host == "localhost" {
		return net.JoinHostPort("127.0.0.1", port), true
	}
	if ip, err := netip.ParseAddr(text); err == nil {
		return netip.AddrPortFrom(ip, 80).String(), true
	}
	return "", false
}

// importServer imports a server.
func (m *importer) importServer(d *Directive, outer levelSettings) error {
	s := routeconfig.Server{Pos: d.Pos}
	inner, err := m.inherit(outer, d.Block)
	if err != nil {
		return err
	}
	s.MergeSlashes = inner.mergeSlashes
	flow := rewriteContext{rewrites: &s.Rewrites}
	for _, l := range d.Block {
		var err error
		switch {
		case l.Name == "listen":
			err = m.importListen(&s, l)
		case l.Name == "server_name":
			s.Names = append(s.Names, l.ArgTexts()...)
		case l.Name == "location":
			var loc *routeconfig.Location
			if loc, err = m.importLocation(l, inner); loc != nil {
				s.Locations = append(s.Locations, loc)
			}
		case l.Name == "rewrite":
			err = m.importRewrite(&flow, l)
		case l.Name == "return":
			m.report(l, Unsafe, "a return for a whole server is not carried over: put it into location /")
		case !isInherited(l.Name):
			m.reportUnsupported(l)
		}
		if err != nil {
			return err
		}
	}
	m.resolveNamedTargets(&s)
	if len(inner.fallbacks) > 0 && !slices.ContainsFunc(s.Locations, func(l *routeconfig.Location) bool {
		return l.Pattern == "/" && (l.Kind == route.Prefix || l.Kind == route.PrefixNoRegex)
	}) { // what no location takes is a 404, for which the server may have a fallback
		s.Locations = append(s.Locations, &routeconfig.Location{Kind: route.Prefix, Pattern: "/", Fallbacks: inner.fallbacks, Pos: d.Pos})
	}
	if len(s.Listen) == 0 {
		s.Listen = []routeconfig.Listen{{Addr: netip.MustParseAddrPort("0.0.0.0:80")}}
	}
	m.dropUnknownFallbacks(d, &s)
	m.config.Servers = append(m.config.Servers, s)
	return nil
}

// importListen reads where a server is reached.
func (m *importer) importListen(s *routeconfig.Server, d *Directive) error {
	text := d.Arg(0)
	if _, err := strconv.Atoi(text); err == nil {
		text = "0.0.0.0:" + text
	}
	text = strings.Replace(text, "*:", "0.0.0.0:", 1)
	if ip, err := netip.ParseAddr(text); err == nil {
		text = netip.AddrPortFrom(ip, 80).String()
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		m.report(d, ChangesBehavior, "only addresses and ports are listened at")
		return nil
	}
	l := routeconfig.Listen{Addr: addr}
	for _, w := range d.Args[1:] {
		switch w.Text {
		case "default_server", "default":
			l.Default = true
		case "ssl", "http2", "quic":
			m.report(d, ChangesBehavior, "the gateway ends TLS and HTTP: %s is left out", w.Text)
		default:
			m.report(d, Harmless, "%s is about nginx's own socket", w.Text)
		}
	}
	s.Listen = append(s.Listen, l)
	return nil
}

// importLocation imports a location and what is nested in it.
func (m *importer) importLocation(d *Directive, outer levelSettings) (*routeconfig.Location, error) {
	l := &routeconfig.Location{Pos: d.Pos, InterceptErrors: true}
	if err := parsePattern(l, d); err != nil {
		return nil, err
	}
	s, err := m.inherit(outer, d.Block)
	if err != nil {
		return nil, err
	}
	l.Fallbacks = s.fallbacks
	flow := rewriteContext{rewrites: &l.Rewrites, location: l}
	var files *Directive
	for _, c := range d.Block {
		var err error
		switch {
		case c.Name == "fastcgi_pass", c.Name == "scgi_pass":
			err = m.importPass(l, c, s)
		case c.Name == "rewrite":
			err = m.importRewrite(&flow, c)
		case c.Name == "return":
			err = m.importReturn(l, c)
			flow.afterReturn = true
		case c.Name == "try_files":
			files = c
		case c.Name == "location":
			var inner *routeconfig.Location
			if inner, err = m.importLocation(c, s); inner != nil {
				l.Locations = append(l.Locations, inner)
			}
		case !isInherited(c.Name):
			m.reportUnsupported(c)
		}
		if err != nil {
			return nil, err
		}
	}
	if files != nil {
		m.importTryFiles(l, files)
	}
	return l, nil
}

// parsePattern reads a location's modifier and pattern, which may stand in one word.
func parsePattern(l *routeconfig.Location, d *Directive) error {
	kinds := map[string]route.Kind{"=": route.Exact, "~": route.Regex, "~*": route.RegexIgnoreCase, "^~": route.PrefixNoRegex}
	args := d.ArgTexts()
	switch len(args) {
	case 1:
		l.Pattern = args[0]
		for _, mod := range []string{"=", "~*", "~", "^~"} {
			if text, ok := strings.CutPrefix(l.Pattern, mod); ok {
				l.Kind, l.Pattern = kinds[mod], text
				return nil
			}
		}
		if name, ok := strings.CutPrefix(l.Pattern, "@"); ok {
			l.Kind, l.Pattern = route.Named, name
		}
		return nil
	case 2:
		kind, ok := kinds[args[0]]
		if !ok {
			return sexp.Errorf(d.Pos, "found %q in location, want =, ~, ~* or ^~", args[0])
		}
		l.Kind, l.Pattern = kind, args[1]
		return nil
	}
	return sexp.Errorf(d.Pos, "location has %d arguments, want a pattern with or without a modifier", len(args))
}

// importReturn reads a return.
func (m *importer) importReturn(l *routeconfig.Location, d *Directive) error {
	text, value := d.Arg(0), d.Arg(1)
	status, err := strconv.Atoi(text)
	if err != nil && len(d.Args) == 1 {
		status, value, err = 302, text, nil // return URL
	}
	if err != nil || status < 100 || status > 599 {
		return sexp.Errorf(d.Pos, "found %q in return, want a status", text)
	}
	if strings.Contains(value, "$") {
		m.report(d, Unsafe, "its text is made of variables, which are not computed")
		return nil
	}
	if l.ReturnStatus == 0 { // the first one counts
		l.ReturnStatus, l.ReturnText = status, value
	}
	return nil
}

// importPass sends a location's requests to a pool.
func (m *importer) importPass(l *routeconfig.Location, d *Directive, s levelSettings) error {
	target := d.Arg(0)
	if strings.Contains(target, "$") {
		m.report(d, Unsafe, "the pool is named through a variable")
		return nil
	}
	u := m.upstreams[target]
	if u == nil {
		addr, ok := memberAddress(target)
		if !ok {
			return sexp.Errorf(d.Pos, "upstream %s is not defined, and names are not looked up", target)
		}
		u = &upstream{pos: d.Pos, config: pool.DefaultConfig()}
		u.config.Name, u.config.Members = target, []pool.Member{pool.DefaultMember(addr)}
	}
	protocol, _ := cutProtocol(d.Name)
	by := s.byProtocol[protocol]
	p := routeconfig.Pool{Config: u.config, HashKey: u.hashKey, Protocol: protocol, RetryOn: by.retryOn, MaxIdleConns: u.maxIdleConns,
		ConnectTimeout: by.connectTimeout, ReadTimeout: by.readTimeout, SendTimeout: by.sendTimeout, Pos: d.Pos}
	p.MaxAttempts, p.RetryTimeout = by.maxAttempts, by.retryTimeout
	key := fmt.Sprint(target, p.Protocol, p.RetryOn, p.MaxAttempts, p.RetryTimeout, p.ConnectTimeout, p.ReadTimeout, p.SendTimeout)
	name, known := m.poolNames[key]
	if !known {
		name = target
		for n := 2; m.usedNames[name]; n++ {
			name = fmt.Sprintf("%s-%d", target, n)
		}
		if name != target {
			m.report(d, ChangesBehavior, "the pool %s has settings of its own and its state is kept apart from %s's", name, target)
		}
		m.poolNames[key], m.usedNames[name] = name, true
		p.Name = name
		if err := p.Validate(); err != nil {
			return sexp.Errorf(u.pos, "%v", err)
		}
		m.config.Pools = append(m.config.Pools, p)
	}
	l.Pool, l.Class, l.Params = name, className, by.params
	l.InterceptErrors = by.interceptErrors || len(l.Fallbacks) == 0 // which has no meaning without any
	return nil
}
