package nginx

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tillerusher/internal/pool"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/sexp"
)

// defaultPort is the port of addresses that have none.
const defaultPort = 80

// upstreamBlock is an upstream block.
type upstreamBlock struct {
	pos          sexp.Pos
	config       pool.Config
	hashKey      string // in the format of routeconfig.Pool.HashKey
	maxIdleConns int
}

// importUpstream reads an upstream block.
func (im *importer) importUpstream(directive *Directive) error {
	name := directive.Arg(0)
	if len(directive.Args) != 1 || !directive.HasBlock {
		return directive.errorf("want upstream NAME {...}")
	}
	if existing := im.upstreams[name]; existing != nil {
		return directive.errorf("upstream %s is defined twice, first at %v", name, existing.pos)
	}
	upstream := &upstreamBlock{pos: directive.Pos, config: pool.DefaultConfig()}
	upstream.config.Name = name
	for _, inner := range directive.Block {
		if err := im.importUpstreamDirective(upstream, inner); err != nil {
			return err
		}
	}
	if len(upstream.config.Members) == 0 {
		return directive.errorf("upstream %s has no servers that can be imported", name)
	}
	im.upstreams[name] = upstream
	return nil
}

// importUpstreamDirective reads a directive of an upstream block.
func (im *importer) importUpstreamDirective(upstream *upstreamBlock, directive *Directive) (err error) {
	switch directive.Name {
	case "server":
		return im.importMember(upstream, directive)
	case "least_conn":
		upstream.config.BalancingPolicy = pool.LeastConn
	case "ip_hash":
		upstream.config.BalancingPolicy = pool.IPHash
	case "random":
		im.importRandom(upstream, directive)
	case "hash":
		im.importHash(upstream, directive)
	case "keepalive":
		upstream.maxIdleConns, err = directive.parseCount()
	case "keepalive_requests", "keepalive_timeout", "keepalive_time":
		im.report(directive, Harmless, "members' connections are kept as long as they stand")
	default:
		im.reportUnsupported(directive)
	}
	return err
}

// importRandom reads random. Every variant is imported as random two least_conn, the only one that pools have; a variant
// that differs from it is reported.
func (im *importer) importRandom(upstream *upstreamBlock, directive *Directive) {
	upstream.config.BalancingPolicy = pool.RandomTwo
	if directive.Arg(0) != "two" {
		im.report(directive, ChangesBehavior, "two members are drawn, and the one with fewer connections is taken")
	} else if criterion := directive.Arg(1); criterion != "" && criterion != "least_conn" {
		im.report(directive, ChangesBehavior, "the one with fewer connections is taken")
	}
}

// hashKeys maps nginx variables to the corresponding hash keys of route configurations. It has no header fields
// ($http_NAME); importHash converts them.
var hashKeys = map[string]string{
	"$request_uri":        routeconfig.HashByURI,
	"$uri":                routeconfig.HashByPath,
	"$args":               routeconfig.HashByQuery,
	"$host":               routeconfig.HashByHost,
	"$remote_addr":        routeconfig.HashByClient,
	"$binary_remote_addr": routeconfig.HashByClient,
}

// importHash reads hash KEY [consistent].
func (im *importer) importHash(upstream *upstreamBlock, directive *Directive) {
	upstream.config.BalancingPolicy = pool.Hash
	if directive.Arg(1) == "consistent" {
		upstream.config.BalancingPolicy = pool.HashConsistent
	}
	if field, ok := strings.CutPrefix(directive.Arg(0), "$http_"); ok {
		upstream.hashKey = routeconfig.HashByHeaderPrefix + strings.ReplaceAll(field, "_", "-")
		return
	}
	key, ok := hashKeys[directive.Arg(0)]
	if !ok {
		im.report(directive, ChangesBehavior, "the key %s is not known: the path is taken", directive.Arg(0))
		key = routeconfig.HashByPath
	}
	upstream.hashKey = key
}

// importMember reads server ADDRESS [PARAMETER ...] of an upstream.
func (im *importer) importMember(upstream *upstreamBlock, directive *Directive) error {
	addr, ok := memberAddress(directive.Arg(0))
	if !ok {
		im.report(directive, Unsafe, "members are reached by IP address and port: it is left out")
		return nil
	}
	member := pool.DefaultMember(addr)
	for _, arg := range directive.Args[1:] {
		if err := im.importMemberParameter(&member, directive, arg); err != nil {
			return err
		}
	}
	upstream.config.Members = append(upstream.config.Members, member)
	return nil
}

// importMemberParameter reads a parameter of a member.
func (im *importer) importMemberParameter(member *pool.Member, directive *Directive, arg Word) error {
	name, value, _ := strings.Cut(arg.Text, "=")
	switch name {
	case "weight":
		return arg.parseNumber(name, value, &member.Weight)
	case "max_conns":
		return arg.parseNumber(name, value, &member.MaxConns)
	case "max_fails":
		return arg.parseNumber(name, value, &member.MaxFails)
	case "fail_timeout":
		return arg.parseTime(name, value, &member.FailTimeout)
	case "slow_start":
		return arg.parseTime(name, value, &member.SlowStart)
	case "backup":
		member.Backup = true
	case "down":
		member.Down = true
	case "resolve", "service", "route", "drain":
		im.report(directive, ChangesBehavior, "%s is not carried over", name)
	default:
		return sexp.Errorf(arg.Pos,
			"found %q, want weight, max_conns, max_fails, fail_timeout, slow_start, backup or down", arg.Text)
	}
	return nil
}

// parseNumber reads the value of an argument NAME=NUMBER, an integer of 0 or more.
func (w Word) parseNumber(name, value string, to *int) (err error) {
	if *to, err = strconv.Atoi(value); err != nil || *to < 0 {
		return sexp.Errorf(w.Pos, "found %q, want %s=NUMBER", w.Text, name)
	}
	return nil
}

// parseTime reads the value of an argument NAME=TIME.
func (w Word) parseTime(name, value string, to *time.Duration) (err error) {
	if *to, err = ParseDuration(value); err != nil {
		return sexp.Errorf(w.Pos, "found %q, want %s=TIME", w.Text, name)
	}
	return nil
}

// memberAddress returns a member's IP address and port, or false for a host name, which would need a resolver. It maps
// localhost with a port to 127.0.0.1.
func memberAddress(text string) (string, bool) {
	if _, err := netip.ParseAddrPort(text); err == nil {
		return text, true
	}
	host, port, err := net.SplitHostPort(text)
	if err == nil && host == "localhost" {
		return net.JoinHostPort("127.0.0.1", port), true
	}
	if ip, err := netip.ParseAddr(text); err == nil {
		return netip.AddrPortFrom(ip, defaultPort).String(), true
	}
	return "", false
}
