package route

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// FindServer is one server: where it listens, its names and its locations.
type Server struct {
	Listen       []Listen
	Names        []string // exact, *.suffix, .suffix, prefix.*, ~regex, or ""
	MergeSlashes bool     // adjacent slashes in paths are one
	Rewrites     []*Rewrite
	Locations    []*Location
	Source       string

	tree  *node
	order []*Location
	named map[string]*Location
}

// Listen is where a server is reached. An address that is not specified stands for any, port 0 too.
type Listen struct {
	Addr    netip.AddrPort
	Default bool // it answers for names that none of this place has
}

// virtualHosts is all servers that listen at one address.
type virtualHosts struct {
	exact              map[string]*Server
	bySuffix           map[string]*Server // *.suffix by ".suffix"
	byPrefix           map[string]*Server // prefix.* by "prefix."
	byRegex            []regexName
	defaultServer      *Server
	hasExplicitDefault bool // defaultServer was named so
}

type regexName struct {
	re     *regexp.Regexp
	server *Server
}

// Table finds the server and the location of a request. It is not changed once it is built.
type Table struct {
	hosts map[netip.AddrPort]*virtualHosts
}

// New builds a table, or tells the first thing that makes no sense.
func New(servers []*Server) (*Table, error) {
	t := &Table{hosts: map[netip.AddrPort]*virtualHosts{}}
	for _, s := range servers {
		var err error
		if s.tree, s.order, err = level(s.Locations, nil); err != nil {
			return nil, err
		}
		if err := s.indexNamed(); err != nil {
			return nil, err
		}
		if err := compileRewrites(s.Rewrites); err != nil {
			return nil, err
		}
		for _, l := range s.Listen {
			if err := t.add(s, l); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// indexNamed finds the named locations.
func (s *Server) indexNamed() error {
	s.named = map[string]*Location{}
	for _, l := range s.Locations {
		if l.Kind != Named {
			continue
		}
		if before := s.named[l.Pattern]; before != nil {
			return fmt.Errorf("%s: location %v is defined twice, first at %s", l.Source, l, before.Source)
		}
		s.named[l.Pattern] = l
	}
	return nil
}

// NamedLocation is the location with the name, or nil.
func (s *Server) NamedLocation(name string) *Location { return s.named[name] }

// add has a server answer at an address.
func (t *Table) add(s *Server, l Listen) error {
	p := t.hosts[l.Addr]
	if p == nil {
		p = &virtualHosts{exact: map[string]*Server{}, bySuffix: map[string]*Server{}, byPrefix: map[string]*Server{}}
		t.hosts[l.Addr] = p
	}
	if l.Default && p.hasExplicitDefault {
		return fmt.Errorf("%s: a second default server for %v, first at %s", s.Source, l.Addr, p.defaultServer.Source)
	}
	if p.defaultServer == nil || l.Default {
		p.defaultServer, p.hasExplicitDefault = s, l.Default
	}
	for _, name := range s.Names {
		if err := p.addName(s, name); err != nil {
			return fmt.Errorf("%s: %w", s.Source, err)
		}
	}
	return nil
}

// addName files a server under one of its names. Of two servers with one name the first keeps it, as in nginx.
func (p *virtualHosts) addName(s *Server, name string) error {
	if text, ok := strings.CutPrefix(name, "~"); ok {
		re, err := regexp.Compile("(?i)" + text)
		if err != nil {
			return fmt.Errorf("server name %q: not a regex of RE2: %w", name, err)
		}
		p.byRegex = append(p.byRegex, regexName{re, s})
		return nil
	}
	name = strings.ToLower(name)
	first := func(m map[string]*Server, key string) {
		if m[key] == nil {
			m[key] = s
		}
	}
	switch star := strings.Count(name, "*"); {
	case star == 0 && strings.HasPrefix(name, "."):
		first(p.exact, name[1:])
		first(p.bySuffix, name)
	case star == 0:
		first(p.exact, name)
	case star == 1 && strings.HasPrefix(name, "*.") && len(name) > 2:
		first(p.bySuffix, name[1:])
	case star == 1 && strings.HasSuffix(name, ".*") && len(name) > 2:
		first(p.byPrefix, name[:len(name)-1])
	default:
		return fmt.Errorf("server name %q: a star stands only for all before the first or behind the last dot", name)
	}
	return nil
}

// find is the server for a host name: the exact name, the longest name that begins with a star, the longest that ends
// with one, the first regex, and else the default.
func (p *virtualHosts) find(host string) (*Server, string) {
	if s := p.exact[host]; s != nil {
		return s, "the exact name " + host
	}
	for i := 0; i < len(host); i++ { // prefixMatch first
		if host[i] == '.' {
			if s := p.bySuffix[host[i:]]; s != nil && i > 0 {
				return s, "the name *" + host[i:]
			}
		}
	}
	for i := len(host) - 1; i > 0; i-- {
		if host[i] == '.' && i < len(host)-1 {
			if s := p.byPrefix[host[:i+1]]; s != nil {
				return s, "the name " + host[:i+1] + "*"
			}
		}
	}
	for _, r := range p.byRegex {
		if r.re.MatchString(host) {
			return r.server, "the regex " + r.re.String()[len("(?i)"):]
		}
	}
	return p.defaultServer, "the default server"
}

// hostName takes the port and a last dot off a Host and folds its case.
func hostName(host string) string {
	if strings.HasPrefix(host, "[") {
		if i := strings.IndexByte(host, ']'); i > 0 {
			return strings.ToLower(host[:i+1])
		}
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// FindServer is the server for a request that came in at the address with the Host, and why; nil where none listens there.
func (t *Table) FindServer(at netip.AddrPort, host string) (*Server, string) {
	anyAddr := netip.AddrPortFrom(netip.IPv4Unspecified(), at.Port())
	for _, a := range []netip.AddrPort{at, anyAddr, netip.AddrPortFrom(netip.IPv4Unspecified(), 0)} {
		if p := t.hosts[a]; p != nil {
			return p.find(hostName(host))
		}
	}
	return nil, "no server listens at " + at.String()
}

// Match is where a request belongs.
type Match struct {
	Server                *Server
	Location              *Location // nil where the server has none for it
	Path                  string    // normalised
	RedirectTrailingSlash bool      // to the path with a slash behind it
}
