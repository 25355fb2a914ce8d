package route

import "net/netip"

// Server is a virtual server: its addresses, names and locations.
type Server struct {
	Listen       []Listen
	Names        []string // exact, *.suffix, .suffix, prefix.*, ~regex, or ""
	MergeSlashes bool     // adjacent slashes in paths are merged into one
	Rewrites     []*Rewrite
	Locations    []*Location
	Source       string // position of the definition, for messages

	locations locationIndex
	named     map[string]*Location // the named locations of Locations, by name
}

// Listen is an address at which a server listens. The address 0.0.0.0 stands for any address, and 0.0.0.0 with port 0
// stands for any address and port.
type Listen struct {
	Addr    netip.AddrPort
	Default bool // the server gets the requests for host names that no server at this address has
}

// Table finds the virtual server of a request. It does not change after New.
type Table struct {
	hosts map[netip.AddrPort]*virtualHosts
}

// New builds a table. It stores compiled patterns and indexes in the servers, their locations and their rewrites, so
// the caller must not change them afterwards. The error is a *ConfigError for the first invalid server, location or
// rewrite.
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

// compile compiles the locations and rewrites of a server.
func (s *Server) compile() (err error) {
	if s.locations, err = newLocationIndex(s.Locations, nil); err != nil {
		return err
	}
	if err := s.indexNamed(); err != nil {
		return err
	}
	return compileRewrites(s.Rewrites)
}

// indexNamed indexes the named locations of a server by name.
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

// NamedLocation returns the named location with a name, which is given without @, or nil.
func (s *Server) NamedLocation(name string) *Location { return s.named[name] }

// add adds a server under one of its addresses.
func (t *Table) add(server *Server, listen Listen) error {
	hosts := t.hosts[listen.Addr]
	if hosts == nil {
		hosts = newVirtualHosts()
		t.hosts[listen.Addr] = hosts
	}
	if listen.Default && hosts.hasExplicitDefault {
		first := hosts.defaultServer.Source
		return configErrorf(server.Source, "duplicate default server for %v, first at %s", listen.Addr, first)
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

// FindServer returns the server for a request that was received at a local address with a Host field, and the reason
// for the choice. It returns nil if no server listens at the address.
func (t *Table) FindServer(localAddr netip.AddrPort, host string) (*Server, string) {
	anyAddr := netip.AddrPortFrom(netip.IPv4Unspecified(), localAddr.Port())
	anyAddrAndPort := netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	for _, addr := range []netip.AddrPort{localAddr, anyAddr, anyAddrAndPort} {
		if hosts := t.hosts[addr]; hosts != nil {
			return hosts.find(hostName(host))
		}
	}
	return nil, "no server listens at " + localAddr.String()
}
