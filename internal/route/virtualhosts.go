package route

import (
	"fmt"
	"regexp"
	"strings"
)

// virtualHosts are the servers that listen at one address, by their names.
type virtualHosts struct {
	exact              map[string]*Server
	bySuffix           map[string]*Server // *.suffix under ".suffix"
	byPrefix           map[string]*Server // prefix.* under "prefix."
	byRegex            []regexName        // in the order of the file
	defaultServer      *Server            // the one that Listen.Default names, else the first
	hasExplicitDefault bool
}

// regexName is a server name that is a regex.
type regexName struct {
	regex  *regexp.Regexp
	server *Server
}

// newVirtualHosts returns the servers of an address that has none yet.
func newVirtualHosts() *virtualHosts {
	return &virtualHosts{exact: map[string]*Server{}, bySuffix: map[string]*Server{}, byPrefix: map[string]*Server{}}
}

// addName files a server under one of its names. Of two servers with the same name the first keeps it, as in nginx.
func (v *virtualHosts) addName(server *Server, name string) error {
	if pattern, ok := strings.CutPrefix(name, "~"); ok {
		regex, err := regexp.Compile(ignoreCase + pattern)
		if err != nil {
			return fmt.Errorf("server name %q: not a regex of RE2: %w", name, err)
		}
		v.byRegex = append(v.byRegex, regexName{regex, server})
		return nil
	}
	name = strings.ToLower(name)
	switch stars := strings.Count(name, "*"); {
	case stars == 0 && strings.HasPrefix(name, "."): // short for the name itself and *.name
		addFirst(v.exact, name[1:], server)
		addFirst(v.bySuffix, name, server)
	case stars == 0:
		addFirst(v.exact, name, server)
	case stars == 1 && strings.HasPrefix(name, "*.") && len(name) > 2:
		addFirst(v.bySuffix, name[1:], server)
	case stars == 1 && strings.HasSuffix(name, ".*") && len(name) > 2:
		addFirst(v.byPrefix, name[:len(name)-1], server)
	default:
		return fmt.Errorf("server name %q: a star stands only for all before the first or behind the last dot", name)
	}
	return nil
}

// addFirst adds a server under a key that has none.
func addFirst(servers map[string]*Server, key string, s *Server) {
	if servers[key] == nil {
		servers[key] = s
	}
}

// find returns the server for a host name, and why that one: by the exact name, the longest name that begins with a star,
// the longest that ends with one, the first regex that matches, and else the default.
func (v *virtualHosts) find(host string) (*Server, string) {
	if s := v.exact[host]; s != nil {
		return s, "the exact name " + host
	}
	for i := 0; i < len(host); i++ { // longest suffix first
		if host[i] == '.' {
			if s := v.bySuffix[host[i:]]; s != nil && i > 0 {
				return s, "the name *" + host[i:]
			}
		}
	}
	for i := len(host) - 1; i > 0; i-- { // longest prefix first
		if host[i] == '.' && i < len(host)-1 {
			if s := v.byPrefix[host[:i+1]]; s != nil {
				return s, "the name " + host[:i+1] + "*"
			}
		}
	}
	for _, name := range v.byRegex {
		if name.regex.MatchString(host) {
			return name.server, "the regex " + name.regex.String()[len(ignoreCase):]
		}
	}
	return v.defaultServer, "the default server"
}

// hostName returns the name in a Host field: without the port and a dot at its end, in lower case.
func hostName(host string) string {
	if strings.HasPrefix(host, "[") { // an IPv6 address
		if end := strings.IndexByte(host, ']'); end > 0 {
			return strings.ToLower(host[:end+1])
		}
	}
	if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
