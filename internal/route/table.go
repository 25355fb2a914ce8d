package route

import "net/netip"

// Server is a virtual server: its addresses, names and locations.
type Server struct {
	Listen       []Listen
	Names        []string // exact, *.suffix, .suffix, prefix.*, ~regex, or ""
	MergeSlashes bool     // adjacent slashes in paths count as one
	Rewrites     []*Rewrite
	Locations    []*Location
	Source       string // where it was defined, for messages

	locations level
	named     map[string]*Location // of Locations
}

// Listen is an address of a server. An unspecified address stands for any, and so does port 0.
type Listen struct {
	Addr    netip.AddrPort
	Default bool // the server takes requests for names that no server at this address has
}

// Table finds the server and the location of a request. It does not change after New.
type Table struct {
	hosts map[netip.AddrPort]*virtualHosts
}

// New builds a table. The error is a *ConfigError for the first part of the description that can't be used.
func New(servers []*Server) (*Table, error) {
	table := &Table{hosts: map[netip.AddrPort]*virtualHosts{}}
	for _, server := range servers {
		if err := server.compile(); err != nil {
			return nil, err
		}
		for _, listen := range server.Listen {
			if err := table.add(server, listen); err != nil {
				return nil, err
			}
		}
	}
	return table, nil
}

// compile prepares a server for lookups.
func (s *Server) compile() (err error) {
	if s.locations, err = newLevel(s.Locations, nil); err != nil {
		return err
	}
	if err := s.indexNamed(); err != nil {
		return err
	}
	return compileRewrites(s.Rewrites)
}

// indexNamed indexes the named locations.
func (s *Server) indexNamed() error {
	s.named = map[string]*Location{}
	for _, l := range s.Locations {
		if l.Kind != Named {
			continue
		}
		if existing := s.named[l.Pattern]; existing != nil {
			return configErrorf(l.Source, "location %v is defined twice, first at %s", l, existing.Source)
		}
		s.named[l.Pattern] = l
	}
	return nil
}

// NamedLocation returns the named location, or nil.
func (s *Server) NamedLocation(name string) *Location { return s.named[name] }

// add files a server under one of its addresses.
func (t *Table) add(server *Server, listen Listen) error {
	hosts := t.hosts[listen.Addr]
	if hosts == nil {
		hosts = newVirtualHosts()
		t.hosts[listen.Addr] = hosts
	}
	if listen.Default && hosts.hasExplicitDefault {
		first := hosts.defaultServer.Source
		return configErrorf(server.Source, "a second default server for %v, first at %s", listen.Addr, first)
	}
	if hosts.defaultServer == nil || listen.Default {
		hosts.defaultServer = server
		hosts.hasExplicitDefault = listen.Default
	}
	for _, name := range server.Names {
		if err := hosts.addName(server, name); err != nil {
			return &ConfigError{Source: server.Source, Err: err}
		}
	}
	return nil
}

// FindServer returns the server for a request that came in at an address with a Host field, and why that one. It returns
// nil if no server listens at the address.
func (t *Table) FindServer(at netip.AddrPort, host string) (*Server, string) {
	anyAddr := netip.AddrPortFrom(netip.IPv4Unspecified(), at.Port())
	anyAddrAndPort := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	for _, addr := range []netip.AddrPort{at, anyAddr, anyAddrAndPort} {
		if hosts := t.hosts[addr]; hosts != nil {
			return hosts.find(hostName(host))
		}
	}
	return nil, "no server listens at " + at.String()
}
