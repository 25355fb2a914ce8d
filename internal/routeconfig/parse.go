package routeconfig

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// Load reads a description and all that it includes.
func Load(path string) (*Config, error) {
	forms, err := sexp.ParseFiles(path, os.ReadFile, filepath.Glob)
	if err != nil {
		return nil, err
	}
	return parseConfig(forms)
}

// Parse reads a description from one text without includes.
func Parse(file string, text []byte) (*Config, error) {
	forms, err := sexp.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return parseConfig(forms)
}

// parseConfig reads the forms of a description.
func parseConfig(forms []sexp.Node) (*Config, error) {
	d := &Config{Capacity: DefaultCapacity}
	err := sexp.ReadForms(forms, map[string]func(sexp.Node) error{"capacity": sexp.Int(&d.Capacity, 1, 1e6)}, map[string]func(sexp.Node) error{
		"class": func(n sexp.Node) error {
			c, err := parseClass(n)
			d.Classes = append(d.Classes, c)
			return err
		},
		"pool": func(n sexp.Node) error {
			p, err := parsePool(n)
			d.Pools = append(d.Pools, p)
			return err
		},
		"server": func(n sexp.Node) error {
			s, err := parseServer(n)
			d.Servers = append(d.Servers, s)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	if err := d.validate(); err != nil {
		return nil, err
	}
	_, err = d.BuildTable()
	return d, err
}

func parseClass(n sexp.Node) (c Class, err error) {
	c = Class{LatencyObjective: time.Second, Deadline: 5 * time.Second, Effect: EffectSafe, Weight: 1, Pos: n.Pos}
	if c.Name, err = n.WordAt(1, "the name of a class"); err != nil {
		return c, err
	}
	err = sexp.ReadFields(n.ItemsFrom(2), map[string]func(sexp.Node) error{
		"aim":      sexp.Duration(&c.LatencyObjective, time.Millisecond, time.Hour),
		"deadline": sexp.Duration(&c.Deadline, time.Millisecond, time.Hour),
		"effect":   sexp.OneOf(&c.Effect, EffectSafe, EffectIdempotentByKey, EffectNonIdempotent, EffectByMethod),
		"window":   sexp.Duration(&c.KeyWindow, time.Millisecond, 24*time.Hour),
		"worth":    sexp.Number(&c.Weight, 0, 1e6),
	})
	switch {
	case err != nil:
	case c.Deadline < c.LatencyObjective:
		err = sexp.Errorf(n.Pos, "class %s: the deadline %v is shorter than the aim %v", c.Name, c.Deadline, c.LatencyObjective)
	case c.Effect == EffectIdempotentByKey && c.KeyWindow == 0:
		err = sexp.Errorf(n.Pos, "class %s is keyed and has no (window ...)", c.Name)
	}
	return c, err
}

// defaultPool is a pool with nginx's defaults.
func defaultPool() Pool {
	return Pool{Config: pool.DefaultConfig(), Protocol: "fastcgi", RetryOn: pool.DefaultRetryOn, ConnectTimeout: time.Minute, ReadTimeout: time.Minute, SendTimeout: time.Minute}
}

func parsePool(n sexp.Node) (p Pool, err error) {
	p = defaultPool()
	p.Pos = n.Pos
	if p.Name, err = n.WordAt(1, "the name of a pool"); err != nil {
		return p, err
	}
	method := p.BalancingPolicy.String()
	methods := []string{}
	for m := pool.RoundRobin; m <= pool.RandomTwo; m++ {
		methods = append(methods, m.String())
	}
	budget := func(form sexp.Node) error {
		return sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
			"share": sexp.Number(&p.RetryRatio, 0, 100), "least": sexp.Number(&p.MinRetriesPerSecond, 0, 1e6),
			"burst": sexp.Number(&p.RetryBurst, 1, 1e6)})
	}
	eject := func(form sexp.Node) error {
		return sexp.ReadFields(form.Args(), map[string]func(sexp.Node) error{
			"factor": sexp.Number(&p.EjectionLatencyFactor, 0, 1e6), "errors": sexp.Number(&p.EjectionErrorRate, 0, 1),
			"after": sexp.Int(&p.EjectionMinAttempts, 1, 1e6), "for": sexp.Duration(&p.BaseEjectionTime, time.Millisecond, time.Hour),
			"most": sexp.Number(&p.MaxEjectedRatio, 0, 1), "panic-under": sexp.Number(&p.PanicThreshold, 0, 1)})
	}
	err = sexp.ReadForms(n.ItemsFrom(2), map[string]func(sexp.Node) error{
		"method":    sexp.OneOf(&method, methods...),
		"key":       sexp.Text(&p.HashKey),
		"protocol":  sexp.OneOf(&p.Protocol, "fastcgi", "scgi"),
		"tries":     sexp.Int(&p.MaxAttempts, 0, 1000),
		"try-for":   sexp.Duration(&p.RetryTimeout, 0, time.Hour),
		"next":      func(form sexp.Node) (err error) { p.RetryOn, err = parseRetryConditions(form); return err },
		"keepalive": sexp.Int(&p.MaxIdleConns, 0, 1e5),
		"connect":   sexp.Duration(&p.ConnectTimeout, time.Millisecond, time.Hour),
		"read":      sexp.Duration(&p.ReadTimeout, time.Millisecond, time.Hour),
		"send":      sexp.Duration(&p.SendTimeout, time.Millisecond, time.Hour),
		"budget":    budget,
		"eject":     eject,
	}, map[string]func(sexp.Node) error{
		"member": func(form sexp.Node) error {
			m, err := parseMember(form)
			p.Members = append(p.Members, m)
			return err
		},
		"param": func(form sexp.Node) error { return parseParam(form, &p.Params) },
	})
	if err != nil {
		return p, err
	}
	if p.BalancingPolicy, err = pool.ParseBalancingPolicy(method); err != nil {
		return p, sexp.Errorf(n.Pos, "%v", err)
	}
	if hashed := p.BalancingPolicy == pool.Hash || p.BalancingPolicy == pool.HashConsistent; hashed != (p.HashKey != "") {
		return p, sexp.Errorf(n.Pos, "pool %s: (key ...) goes with the methods hash and hash-consistent, and only with them", p.Name)
	}
	if p.HashKey != "" && !slices.Contains(hashKeys, p.HashKey) && !strings.HasPrefix(p.HashKey, "header:") {
		return p, sexp.Errorf(n.Pos, "pool %s: key %q, want %s or header:NAME", p.Name, p.HashKey, strings.Join(hashKeys, ", "))
	}
	if err := p.Validate(); err != nil {
		return p, sexp.Errorf(n.Pos, "%v", err)
	}
	return p, nil
}

// hashKeys are what of a request a hash may go by.
var hashKeys = []string{"uri", "path", "query", "host", "client"}

func parseMember(n sexp.Node) (m pool.Member, err error) {
	addr, err := n.WordAt(1, "a member's address")
	if err != nil {
		return m, err
	}
	m = pool.DefaultMember(addr)
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return m, sexp.Errorf(n.Pos, "member %q: want an IP address and a port", addr)
	}
	flag := func(to *bool) func(sexp.Node) error {
		return func(form sexp.Node) error {
			*to = true
			return form.RequireNoArgs()
		}
	}
	return m, sexp.ReadFields(n.ItemsFrom(2), map[string]func(sexp.Node) error{
		"weight": sexp.Int(&m.Weight, 1, math.MaxInt32), "max-conns": sexp.Int(&m.MaxConns, 0, math.MaxInt32),
		"max-fails": sexp.Int(&m.MaxFails, 0, math.MaxInt32), "fail-timeout": sexp.Duration(&m.FailTimeout, 0, 24*time.Hour),
		"slow-start": sexp.Duration(&m.SlowStart, 0, 24*time.Hour), "backup": flag(&m.Backup), "down": flag(&m.Down)})
}

func parseParam(n sexp.Node, to *[]Param) error {
	args := n.Args()
	if len(args) != 2 || args[0].Kind == sexp.List || args[1].Kind == sexp.List {
		return sexp.Errorf(n.Pos, "want (param NAME VALUE)")
	}
	*to = append(*to, Param{args[0].Text, args[1].Text})
	return nil
}

// retryConditions are the conditions in the words of the settings, which are nginx's.
var retryConditions = []struct {
	word string
	is   pool.RetryCondition
}{{"error", pool.ConnectionError}, {"timeout", pool.Timeout}, {"invalid_header", pool.InvalidHeader}, {"http_500", pool.HTTP500},
	{"http_503", pool.HTTP503}, {"http_403", pool.HTTP403}, {"http_404", pool.HTTP404}, {"http_429", pool.HTTP429},
	{"non_idempotent", pool.NonIdempotent}}

// ParseRetryCondition reads a condition's word; "off" is none.
func ParseRetryCondition(word string) (pool.RetryCondition, error) {
	for _, c := range retryConditions {
		if c.word == word {
			return c.is, nil
		}
	}
	if word == "off" {
		return 0, nil
	}
	return 0, fmt.Errorf("no condition is called %q", word)
}

func parseRetryConditions(n sexp.Node) (all pool.RetryCondition, err error) {
	for _, a := range n.Args() {
		c, err := ParseRetryCondition(a.Text)
		if err != nil || a.Kind == sexp.List {
			return 0, sexp.Errorf(a.Pos, "found %v, want error, timeout, invalid_header, http_500 ... or off", a)
		}
		all |= c
	}
	return all, nil
}

func parseServer(n sexp.Node) (s Server, err error) {
	s = Server{MergeSlashes: true, Pos: n.Pos}
	merge := "yes"
	err = sexp.ReadForms(n.Args(), map[string]func(sexp.Node) error{
		"merge-slashes": sexp.OneOf(&merge, "yes", "no"),
		"name": func(form sexp.Node) error {
			for _, a := range form.Args() {
				if a.Kind == sexp.List {
					return sexp.Errorf(a.Pos, "found %v, want a server's name", a)
				}
				s.Names = append(s.Names, a.Text)
			}
			return nil
		},
	}, map[string]func(sexp.Node) error{
		"rewrite": func(form sexp.Node) error { return parseRewrite(form, &s.Rewrites) },
		"listen": func(form sexp.Node) error {
			l, err := parseListen(form)
			s.Listen = append(s.Listen, l)
			return err
		},
		"location": func(form sexp.Node) error {
			l, err := parseLocation(form)
			s.Locations = append(s.Locations, l)
			return err
		},
	})
	s.MergeSlashes = merge == "yes"
	return s, err
}

func parseListen(n sexp.Node) (l Listen, err error) {
	text, err := n.WordAt(1, "an address and a port")
	if err != nil {
		return l, err
	}
	if l.Addr, err = netip.ParseAddrPort(text); err != nil {
		return l, sexp.Errorf(n.Pos, "found %s in (listen ...), want an IP address and a port", text)
	}
	if rest := n.ItemsFrom(2); len(rest) > 0 {
		if len(rest) > 1 || rest[0].Text != "default" {
			return l, sexp.Errorf(rest[0].Pos, "found %v, want default or nothing", rest[0])
		}
		l.Default = true
	}
	return l, nil
}

// kindNames are the kinds of location in the words of the settings.
var kindNames = []string{route.Prefix: "prefix", route.PrefixNoRegex: "prefix-only", route.Exact: "exact", route.Regex: "regex",
	route.RegexIgnoreCase: "regex-fold", route.Named: "named"}

func parseLocation(n sexp.Node) (*Location, error) {
	l, intercept := &Location{Pos: n.Pos}, "yes"
	kind, err := n.WordAt(1, "a kind of location")
	if err != nil {
		return l, err
	}
	i := slices.Index(kindNames, kind)
	if i < 0 {
		return l, sexp.Errorf(n.Pos, "found %s in (location ...), want %s", kind, strings.Join(kindNames, ", "))
	}
	l.Kind = route.Kind(i)
	if l.Pattern, err = n.WordAt(2, "the location's pattern"); err != nil {
		return l, err
	}
	err = sexp.ReadForms(n.ItemsFrom(3), map[string]func(sexp.Node) error{
		"pool":  sexp.Text(&l.Pool),
		"class": sexp.Text(&l.Class),
		"return": func(form sexp.Node) error {
			return parseReturn(form, l)
		},
		"intercept": sexp.OneOf(&intercept, "yes", "no"),
	}, map[string]func(sexp.Node) error{
		"fallback": func(form sexp.Node) error { return parseFallback(form, l) },
		"rewrite":  func(form sexp.Node) error { return parseRewrite(form, &l.Rewrites) },
		"param":    func(form sexp.Node) error { return parseParam(form, &l.Params) },
		"location": func(form sexp.Node) error {
			inner, err := parseLocation(form)
			l.Locations = append(l.Locations, inner)
			return err
		},
	})
	l.InterceptErrors = intercept == "yes"
	if err == nil && l.Pool != "" && l.ReturnStatus != 0 {
		err = sexp.Errorf(n.Pos, "location %s has both (pool ...) and (return ...)", l.Pattern)
	}
	return l, err
}

func parseReturn(n sexp.Node, l *Location) error {
	word, err := n.WordAt(1, "a status")
	if err != nil {
		return err
	}
	if l.ReturnStatus, err = strconv.Atoi(word); err != nil || l.ReturnStatus < 100 || l.ReturnStatus > 599 {
		return sexp.Errorf(n.Pos, "found %s in (return ...), want a status of 100 to 599", word)
	}
	switch rest := n.ItemsFrom(2); {
	case len(rest) == 1 && rest[0].Kind != sexp.List:
		l.ReturnText = rest[0].Text
	case len(rest) > 0:
		return sexp.Errorf(n.Pos, "want (return STATUS) or (return STATUS TEXT)")
	}
	return nil
}

// parseFallback reads (fallback NAME STATUS ... [(status own|same|N)]).
func parseFallback(n sexp.Node, l *Location) (err error) {
	f := Fallback{}
	if f.Location, err = n.WordAt(1, "the name of a location"); err != nil {
		return err
	}
	for _, a := range n.ItemsFrom(2) {
		if a.Kind == sexp.List && a.Name() == "status" {
			word, err := a.WordAt(1, "own, same or a status")
			if err != nil {
				return err
			}
			switch f.ResponseStatus, err = strconv.Atoi(word); {
			case word == "own":
				f.ResponseStatus = 0
			case word == "same":
				f.ResponseStatus = KeepStatus
			case err != nil || f.ResponseStatus < 100 || f.ResponseStatus > 599:
				return sexp.Errorf(a.Pos, "found %s in (status ...), want own, same or a status of 100 to 599", word)
			}
			continue
		}
		status, err := strconv.Atoi(a.Text)
		if err != nil || a.Kind != sexp.Atom || status < 300 || status > 599 {
			return sexp.Errorf(a.Pos, "found %v, want a status of 300 to 599", a)
		}
		f.Statuses = append(f.Statuses, status)
	}
	if len(f.Statuses) == 0 {
		return sexp.Errorf(n.Pos, "(fallback %s) has no statuses, want some of 300 to 599", f.Location)
	}
	l.Fallbacks = append(l.Fallbacks, f)
	return nil
}

// flagNames are the flags of rewrites in the words of the settings, which are nginx's.
var flagNames = []string{route.FlagNone: "onward", route.FlagLast: "last", route.FlagBreak: "break", route.FlagRedirect: "redirect",
	route.FlagPermanent: "permanent"}

// ParseRewriteFlag reads the flag of a rewrite.
func ParseRewriteFlag(word string) (route.RewriteFlag, error) {
	if i := slices.Index(flagNames, word); i >= 0 {
		return route.RewriteFlag(i), nil
	}
	return 0, fmt.Errorf("no flag is called %q, want %s", word, strings.Join(flagNames, ", "))
}

// parseRewrite reads (rewrite REGEX TO [FLAG]).
func parseRewrite(n sexp.Node, to *[]Rewrite) (err error) {
	w := Rewrite{Pos: n.Pos}
	if w.Pattern, err = n.WordAt(1, "a regex"); err != nil {
		return err
	}
	if w.Replacement, err = n.WordAt(2, "what the path becomes"); err != nil {
		return err
	}
	switch rest := n.ItemsFrom(3); {
	case len(rest) == 1 && rest[0].Kind == sexp.Atom:
		if w.Flag, err = ParseRewriteFlag(rest[0].Text); err != nil {
			return sexp.Errorf(rest[0].Pos, "%v", err)
		}
	case len(rest) > 0:
		return sexp.Errorf(n.Pos, "want (rewrite REGEX TO) or (rewrite REGEX TO FLAG)")
	}
	*to = append(*to, w)
	return nil
}
