package routeconfig

import (
	"math"
	"net/netip"
	"strings"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/sexp"
)

// defaultPool returns a pool with the defaults of nginx, and with the default retry budget and outlier detection of
// package pool.
func defaultPool() Pool {
	return Pool{
		Config:         pool.DefaultConfig(),
		Protocol:       ProtocolFastCGI,
		RetryOn:        pool.DefaultRetryOn,
		ConnectTimeout: time.Minute,
		ReadTimeout:    time.Minute,
		SendTimeout:    time.Minute,
	}
}

// parsePool parses (pool NAME FORM ...).
func parsePool(n sexp.Node) (parsed Pool, err error) {
	parsed = defaultPool()
	parsed.Pos = n.Pos
	if parsed.Name, err = n.WordAt(1, "the name of a pool"); err != nil {
		return parsed, err
	}
	policy := parsed.BalancingPolicy.String()
	once := formParsers{
		"method":    sexp.OneOf(&policy, balancingPolicyNames()...),
		"key":       sexp.Text(&parsed.HashKey),
		"protocol":  sexp.OneOf(&parsed.Protocol, ProtocolFastCGI, ProtocolSCGI),
		"tries":     sexp.Int(&parsed.MaxAttempts, 0, 1000),
		"try-for":   sexp.Duration(&parsed.RetryTimeout, 0, time.Hour),
		"next":      parseRetryConditions(&parsed.RetryOn),
		"keepalive": sexp.Int(&parsed.MaxIdleConns, 0, 1e5),
		"connect":   sexp.Duration(&parsed.ConnectTimeout, time.Millisecond, time.Hour),
		"read":      sexp.Duration(&parsed.ReadTimeout, time.Millisecond, time.Hour),
		"send":      sexp.Duration(&parsed.SendTimeout, time.Millisecond, time.Hour),
		"budget":    parseRetryBudget(&parsed.RetryPolicy),
		"eject":     parseOutlierDetection(&parsed.OutlierDetection),
	}
	repeated := formParsers{
		"member": func(form sexp.Node) error {
			m, err := parseMember(form)
			parsed.Members = append(parsed.Members, m)
			return err
		},
		"param": parseParam(&parsed.Params),
	}
	if err := sexp.ReadForms(n.ItemsFrom(2), once, repeated); err != nil {
		return parsed, err
	}
	if parsed.BalancingPolicy, err = pool.ParseBalancingPolicy(policy); err != nil {
		return parsed, sexp.Errorf(n.Pos, "%v", err)
	}
	return parsed, parsed.validate()
}

// balancingPolicyNames returns the names of all balancing policies.
func balancingPolicyNames() []string {
	var names []string
	for policy := pool.RoundRobin; policy <= pool.RandomTwo; policy++ {
		names = append(names, policy.String())
	}
	return names
}

// validate checks the settings of one pool.
func (p *Pool) validate() error {
	hashesByKey := p.BalancingPolicy == pool.Hash || p.BalancingPolicy == pool.HashConsistent
	if hashesByKey != (p.HashKey != "") {
		return sexp.Errorf(p.Pos, "pool %s: (key ...) is required with the methods hash and hash-consistent and not allowed with others",
			p.Name)
	}
	if hashesByKey && !isHashKey(p.HashKey) {
		return sexp.Errorf(p.Pos, "pool %s: key %q, want %s or header:NAME", p.Name, p.HashKey, strings.Join(hashKeys, ", "))
	}
	if err := p.Validate(); err != nil {
		return sexp.Errorf(p.Pos, "%v", err)
	}
	return nil
}

// parseRetryBudget returns a parser of (budget FORM ...).
func parseRetryBudget(r *pool.RetryPolicy) func(sexp.Node) error {
	return func(form sexp.Node) error {
		return sexp.ReadFields(form.Args(), formParsers{
			"share": sexp.Number(&r.RetryRatio, 0, 100),
			"least": sexp.Number(&r.MinRetriesPerSecond, 0, 1e6),
			"burst": sexp.Number(&r.RetryBurst, 1, 1e6),
		})
	}
}

// parseOutlierDetection returns a parser of (eject FORM ...).
func parseOutlierDetection(o *pool.OutlierDetection) func(sexp.Node) error {
	return func(form sexp.Node) error {
		return sexp.ReadFields(form.Args(), formParsers{
			"factor":      sexp.Number(&o.EjectionLatencyFactor, 0, 1e6),
			"errors":      sexp.Number(&o.EjectionErrorRate, 0, 1),
			"after":       sexp.Int(&o.EjectionMinAttempts, 1, 1e6),
			"for":         sexp.Duration(&o.BaseEjectionTime, time.Millisecond, time.Hour),
			"most":        sexp.Number(&o.MaxEjectedRatio, 0, 1),
			"panic-under": sexp.Number(&o.PanicThreshold, 0, 1),
		})
	}
}

// parseRetryConditions returns a parser of (next CONDITION ...), which replaces the set of retry conditions.
func parseRetryConditions(to *pool.RetryCondition) func(sexp.Node) error {
	return func(form sexp.Node) error {
		*to = 0
		for _, arg := range form.Args() {
			condition, err := ParseRetryCondition(arg.Text)
			if err != nil || arg.Kind == sexp.List {
				return sexp.Errorf(arg.Pos, "found %v, want error, timeout, invalid_header, http_500 ... or off", arg)
			}
			*to |= condition
		}
		return nil
	}
}

// parseMember parses (member ADDRESS FORM ...).
func parseMember(n sexp.Node) (member pool.Member, err error) {
	addr, err := n.WordAt(1, "a member's address")
	if err != nil {
		return member, err
	}
	member = pool.DefaultMember(addr)
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return member, sexp.Errorf(n.Pos, "member %q: want an IP address and a port", addr)
	}
	err = sexp.ReadFields(n.ItemsFrom(2), formParsers{
		"weight":       sexp.Int(&member.Weight, 1, math.MaxInt32),
		"max-conns":    sexp.Int(&member.MaxConns, 0, math.MaxInt32),
		"max-fails":    sexp.Int(&member.MaxFails, 0, math.MaxInt32),
		"fail-timeout": sexp.Duration(&member.FailTimeout, 0, 24*time.Hour),
		"slow-start":   sexp.Duration(&member.SlowStart, 0, 24*time.Hour),
		"backup":       parsePresence(&member.Backup),
		"down":         parsePresence(&member.Down),
	})
	return member, err
}
