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
	m := &importer{d: &routeconfig.Config{Capacity: routeconfig.DefaultCapacity, Classes: []routeconfig.Class{{Name: className, LatencyObjective: time.Second,
		Deadline: time.Minute, Effect: routeconfig.EffectByMethod, Weight: 1}}}, upstreams: map[string]*upstream{}, used: map[string]bool{},
		pools: map[string]string{}, goes: map[*routeconfig.Location]goes{}}
	http := list
	for _, d := range list {
		if d.Name == "http" {
			http = d.Block
			for _, other := range list {
				if other != d {
					m.leave(other)
				}
			}
			break
		}
	}
	if err := m.http(http); err != nil {
		return nil, m.remarks, err
	}
	return m.d, m.remarks, nil
}

// importer is an import under way.
type importer struct {
	d         *routeconfig.Config
	remarks   []Diagnostic
	upstreams map[string]*upstream
	used      map[string]bool   // names of pools
	pools     map[string]string // names by what makes a pool of its own
	goes      map[*routeconfig.Location]goes
}

// upstream is an upstream block.
type upstream struct {
	at        sexp.Pos
	cfg       pool.Config
	hashKey   string
	keepalive int
}

// note names something.
func (m *importer) note(d *Directive, s Severity, format string, args ...any) {
	m.remarks = append(m.remarks, Diagnostic{d.Pos, d.String(), s, fmt.Sprintf(format, args...)})
}

// leave names a directive that is not carried over.
func (m *importer) leave(d *Directive) {
	if l, ok := left[d.Name]; ok {
		m.note(d, l.severity, "%s", l.reason)
		return
	}
	m.note(d, ChangesBehavior, "the importer does not know it")
}

// scope is what a level inherits to those within it.
type scope struct {
	merge     bool
	fallbacks []routeconfig.Fallback
	passing   map[string]passing // by protocol: fastcgi and scgi have directives of their own
}

// passing is what a level inherits of how requests are passed on by one protocol.
type passing struct {
	params    []routeconfig.Param
	next      pool.RetryCondition
	tries     int
	tryFor    time.Duration
	connect   time.Duration
	read      time.Duration
	send      time.Duration
	intercept bool
}

// protocols are those that members may speak.
var protocols = []string{"fastcgi", "scgi"}

// outermost is what holds where nothing is said.
func outermost() scope {
	s := scope{merge: true, passing: map[string]passing{}}
	for _, protocol := range protocols {
		s.passing[protocol] = passing{next: pool.DefaultRetryOn, connect: time.Minute, read: time.Minute, send: time.Minute}
	}
	return s
}

// http imports the http block, or a file that has its contents only.
func (m *importer) http(list []*Directive) error {
	for _, d := range list {
		if d.Name == "upstream" {
			if err := m.upstream(d); err != nil {
				return err
			}
		}
	}
	base, err := m.inherit(outermost(), list)
	if err != nil {
		return err
	}
	for _, d := range list {
		switch {
		case d.Name == "server":
			if err := m.server(d, base); err != nil {
				return err
			}
		case d.Name != "upstream" && !inherited(d.Name):
			m.leave(d)
		}
	}
	return nil
}

// protocolOf takes the protocol off a directive's name.
func protocolOf(name string) (protocol, rest string) {
	protocol, rest, _ = strings.Cut(name, "_")
	if !slices.Contains(protocols, protocol) {
		return "", name
	}
	return protocol, rest
}

// inherited tells whether a level takes the directive from that around it.
func inherited(name string) bool {
	switch protocol, rest := protocolOf(name); rest {
	case "merge_slashes", "error_page":
		return protocol == ""
	case "param", "next_upstream", "next_upstream_tries", "next_upstream_timeout", "connect_timeout", "read_timeout",
		"send_timeout", "intercept_errors":
		return protocol != ""
	}
	return false
}

// inherit is the scope of a level: the one around it with the level's own directives.
func (m *importer) inherit(outer scope, list []*Directive) (scope, error) {
	s := scope{merge: outer.merge, passing: maps.Clone(outer.passing)}
	params, pages := map[string][]routeconfig.Param{}, false
	for _, d := range list {
		if !inherited(d.Name) {
			continue
		}
		protocol, name := protocolOf(d.Name)
		p := s.passing[protocol]
		var err error
		switch name {
		case "merge_slashes":
			s.merge, err = onOff(d)
		case "error_page":
			pages = true
			err = m.errorPage(&s, d)
		case "intercept_errors":
			p.intercept, err = onOff(d)
		case "param":
			params[protocol], err = m.param(params[protocol], d)
		case "next_upstream":
			p.next, err = m.conditions(d)
		case "next_upstream_tries":
			p.tries, err = count(d)
		case "next_upstream_timeout":
			p.tryFor, err = span(d)
		case "connect_timeout":
			p.connect, err = span(d)
		case "read_timeout":
			p.read, err = span(d)
		case "send_timeout":
			p.send, err = span(d)
		}
		if err != nil {
			return s, err
		}
		if protocol != "" {
			s.passing[protocol] = p
		}
	}
	for protocol, own := range params { // a level with params of its own takes none from around it
		p := s.passing[protocol]
		p.params = own
		s.passing[protocol] = p
	}
	if !pages { // likewise
		s.fallbacks = outer.fallbacks
	}
	return s, nil
}

func onOff(d *Directive) (bool, error) {
	switch d.Arg(0) {
	case "on":
		return true, nil
	case "off":
		return false, nil
	}
	return false, sexp.Errorf(d.Pos, "found %q in %s, want on or off", d.Arg(0), d.Name)
}

func count(d *Directive) (int, error) {
	n, err := strconv.Atoi(d.Arg(0))
	if err != nil || n < 0 {
		return 0, sexp.Errorf(d.Pos, "found %q in %s, want a number", d.Arg(0), d.Name)
	}
	return n, nil
}

func span(d *Directive) (time.Duration, error) {
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

// param takes a parameter for members. Those whose values need variables are named.
func (m *importer) param(list []routeconfig.Param, d *Directive) ([]routeconfig.Param, error) {
	if len(d.Args) < 2 || len(d.Args) > 3 {
		return nil, sexp.Errorf(d.Pos, "%s has %d arguments, want a name and a value", d.Name, len(d.Args))
	}
	if list == nil {
		list = []routeconfig.Param{}
	}
	if strings.Contains(d.Arg(1), "$") {
		if !gatewayParams[d.Arg(0)] {
			m.note(d, ChangesBehavior, "its value is made of variables, which are not computed")
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

// errorPage takes a fallback to a named location; other targets are named.
func (m *importer) errorPage(s *scope, d *Directive) error {
	texts := d.ArgTexts()
	if len(texts) < 2 {
		return sexp.Errorf(d.Pos, "error_page has %d arguments, want statuses and a target", len(texts))
	}
	target, texts := texts[len(texts)-1], texts[:len(texts)-1]
	name, ok := strings.CutPrefix(target, "@")
	if !ok || strings.Contains(name, "$") {
		m.note(d, ChangesBehavior, "only named locations take over for statuses")
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

// upstream reads an upstream block.
func (m *importer) upstream(d *Directive) error {
	name := d.Arg(0)
	if len(d.Args) != 1 || !d.HasBlock {
		return sexp.Errorf(d.Pos, "want upstream NAME {...}")
	}
	if before := m.upstreams[name]; before != nil {
		return sexp.Errorf(d.Pos, "upstream %s is defined twice, first at %v", name, before.at)
	}
	u := &upstream{at: d.Pos, cfg: pool.DefaultConfig()}
	u.cfg.Name = name
	for _, s := range d.Block {
		if err := m.upstreamLine(u, s); err != nil {
			return err
		}
	}
	if len(u.cfg.Members) == 0 {
		return sexp.Errorf(d.Pos, "upstream %s has no servers that can be carried over", name)
	}
	m.upstreams[name] = u
	return nil
}

// upstreamLine reads one directive of an upstream block.
func (m *importer) upstreamLine(u *upstream, d *Directive) (err error) {
	switch d.Name {
	case "server":
		return m.member(u, d)
	case "least_conn":
		u.cfg.BalancingPolicy = pool.LeastConn
	case "ip_hash":
		u.cfg.BalancingPolicy = pool.IPHash
	case "random":
		u.cfg.BalancingPolicy = pool.RandomTwo
		if d.Arg(0) != "two" {
			m.note(d, ChangesBehavior, "two members are drawn, and the one with fewer connections is taken")
		} else if t := d.Arg(1); t != "" && t != "least_conn" {
			m.note(d, ChangesBehavior, "the one with fewer connections is taken")
		}
	case "hash":
		u.cfg.BalancingPolicy = pool.Hash
		if d.Arg(1) == "consistent" {
			u.cfg.BalancingPolicy = pool.HashConsistent
		}
		keys := map[string]string{"$request_uri": "uri", "$uri": "path", "$args": "query", "$host": "host",
			"$remote_addr": "client", "$binary_remote_addr": "client"}
		key, ok := keys[d.Arg(0)]
		if name, isHeader := strings.CutPrefix(d.Arg(0), "$http_"); isHeader {
			key, ok = "header:"+strings.ReplaceAll(name, "_", "-"), true
		}
		if !ok {
			m.note(d, ChangesBehavior, "the key %s is not known: the path is taken", d.Arg(0))
			key = "path"
		}
		u.hashKey = key
	case "keepalive":
		u.keepalive, err = count(d)
	case "keepalive_requests", "keepalive_timeout", "keepalive_time":
		m.note(d, Harmless, "members' connections are kept as long as they stand")
	default:
		m.leave(d)
	}
	return err
}

// member reads a server of an upstream.
func (m *importer) member(u *upstream, d *Directive) (err error) {
	addr, ok := address(d.Arg(0))
	if !ok {
		m.note(d, Unsafe, "members are reached by IP address and port: it is left out")
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
			m.note(d, ChangesBehavior, "%s is not carried over", name)
		default:
			return sexp.Errorf(w.Pos, "found %q, want weight, max_conns, max_fails, fail_timeout, slow_start, backup or down", w.Text)
		}
		if err != nil {
			return err
		}
	}
	u.cfg.Members = append(u.cfg.Members, mem)
	return nil
}

// address is a member's address, where it needs no look-up.
func address(text string) (string, bool) {
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

// server imports a server.
func (m *importer) server(d *Directive, outer scope) error {
	s := routeconfig.Server{Pos: d.Pos}
	inner, err := m.inherit(outer, d.Block)
	if err != nil {
		return err
	}
	s.MergeSlashes = inner.merge
	flow := rewriting{list: &s.Rewrites}
	for _, l := range d.Block {
		var err error
		switch {
		case l.Name == "listen":
			err = m.listen(&s, l)
		case l.Name == "server_name":
			s.Names = append(s.Names, l.ArgTexts()...)
		case l.Name == "location":
			var loc *routeconfig.Location
			if loc, err = m.location(l, inner); loc != nil {
				s.Locations = append(s.Locations, loc)
			}
		case l.Name == "rewrite":
			err = m.rewrite(&flow, l)
		case l.Name == "return":
			m.note(l, Unsafe, "a return for a whole server is not carried over: put it into location /")
		case !inherited(l.Name):
			m.leave(l)
		}
		if err != nil {
			return err
		}
	}
	m.passNames(&s)
	if len(inner.fallbacks) > 0 && !slices.ContainsFunc(s.Locations, func(l *routeconfig.Location) bool {
		return l.Pattern == "/" && (l.Kind == route.Prefix || l.Kind == route.PrefixNoRegex)
	}) { // what no location takes is a 404, for which the server may have a fallback
		s.Locations = append(s.Locations, &routeconfig.Location{Kind: route.Prefix, Pattern: "/", Fallbacks: inner.fallbacks, Pos: d.Pos})
	}
	if len(s.Listen) == 0 {
		s.Listen = []routeconfig.Listen{{Addr: netip.MustParseAddrPort("0.0.0.0:80")}}
	}
	m.fallOnly(d, &s)
	m.d.Servers = append(m.d.Servers, s)
	return nil
}

// listen reads where a server is reached.
func (m *importer) listen(s *routeconfig.Server, d *Directive) error {
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
		m.note(d, ChangesBehavior, "only addresses and ports are listened at")
		return nil
	}
	l := routeconfig.Listen{Addr: addr}
	for _, w := range d.Args[1:] {
		switch w.Text {
		case "default_server", "default":
			l.Default = true
		case "ssl", "http2", "quic":
			m.note(d, ChangesBehavior, "the gateway ends TLS and HTTP: %s is left out", w.Text)
		default:
			m.note(d, Harmless, "%s is about nginx's own socket", w.Text)
		}
	}
	s.Listen = append(s.Listen, l)
	return nil
}

// location imports a location and what is nested in it.
func (m *importer) location(d *Directive, outer scope) (*routeconfig.Location, error) {
	l := &routeconfig.Location{Pos: d.Pos, InterceptErrors: true}
	if err := pattern(l, d); err != nil {
		return nil, err
	}
	s, err := m.inherit(outer, d.Block)
	if err != nil {
		return nil, err
	}
	l.Fallbacks = s.fallbacks
	flow := rewriting{list: &l.Rewrites, in: l}
	var files *Directive
	for _, c := range d.Block {
		var err error
		switch {
		case c.Name == "fastcgi_pass", c.Name == "scgi_pass":
			err = m.pass(l, c, s)
		case c.Name == "rewrite":
			err = m.rewrite(&flow, c)
		case c.Name == "return":
			err = m.answer(l, c)
			flow.over = true
		case c.Name == "try_files":
			files = c
		case c.Name == "location":
			var inner *routeconfig.Location
			if inner, err = m.location(c, s); inner != nil {
				l.Locations = append(l.Locations, inner)
			}
		case !inherited(c.Name):
			m.leave(c)
		}
		if err != nil {
			return nil, err
		}
	}
	if files != nil {
		m.tryFiles(l, files)
	}
	return l, nil
}

// pattern reads a location's modifier and pattern, which may stand in one word.
func pattern(l *routeconfig.Location, d *Directive) error {
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

// answer reads a return.
func (m *importer) answer(l *routeconfig.Location, d *Directive) error {
	text, value := d.Arg(0), d.Arg(1)
	status, err := strconv.Atoi(text)
	if err != nil && len(d.Args) == 1 {
		status, value, err = 302, text, nil // return URL
	}
	if err != nil || status < 100 || status > 599 {
		return sexp.Errorf(d.Pos, "found %q in return, want a status", text)
	}
	if strings.Contains(value, "$") {
		m.note(d, Unsafe, "its text is made of variables, which are not computed")
		return nil
	}
	if l.ReturnStatus == 0 { // the first one counts
		l.ReturnStatus, l.ReturnText = status, value
	}
	return nil
}

// pass sends a location's requests to a pool.
func (m *importer) pass(l *routeconfig.Location, d *Directive, s scope) error {
	target := d.Arg(0)
	if strings.Contains(target, "$") {
		m.note(d, Unsafe, "the pool is named through a variable")
		return nil
	}
	u := m.upstreams[target]
	if u == nil {
		addr, ok := address(target)
		if !ok {
			return sexp.Errorf(d.Pos, "upstream %s is not defined, and names are not looked up", target)
		}
		u = &upstream{at: d.Pos, cfg: pool.DefaultConfig()}
		u.cfg.Name, u.cfg.Members = target, []pool.Member{pool.DefaultMember(addr)}
	}
	protocol, _ := protocolOf(d.Name)
	by := s.passing[protocol]
	p := routeconfig.Pool{Config: u.cfg, HashKey: u.hashKey, Protocol: protocol, RetryOn: by.next, MaxIdleConns: u.keepalive,
		ConnectTimeout: by.connect, ReadTimeout: by.read, SendTimeout: by.send, Pos: d.Pos}
	p.MaxAttempts, p.RetryTimeout = by.tries, by.tryFor
	key := fmt.Sprint(target, p.Protocol, p.RetryOn, p.MaxAttempts, p.RetryTimeout, p.ConnectTimeout, p.ReadTimeout, p.SendTimeout)
	name, known := m.pools[key]
	if !known {
		name = target
		for n := 2; m.used[name]; n++ {
			name = fmt.Sprintf("%s-%d", target, n)
		}
		if name != target {
			m.note(d, ChangesBehavior, "the pool %s has settings of its own and its state is kept apart from %s's", name, target)
		}
		m.pools[key], m.used[name] = name, true
		p.Name = name
		if err := p.Validate(); err != nil {
			return sexp.Errorf(u.at, "%v", err)
		}
		m.d.Pools = append(m.d.Pools, p)
	}
	l.Pool, l.Class, l.Params = name, className, by.params
	l.InterceptErrors = by.intercept || len(l.Fallbacks) == 0 // which has no meaning without any
	return nil
}
