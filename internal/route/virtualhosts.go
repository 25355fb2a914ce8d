package route

import (
	"fmt"
	"regexp"
	"strings"
)

// virtualHosts indexes the servers that listen at one address by their names.
type virtualHosts struct {
	exact              map[string]*Server
	bySuffix           map[string]*Server // *.suffix by ".suffix"
	byPrefix           map[string]*Server // prefix.* by "prefix."
	byRegex            []regexName        // in file order
	defaultServer      *Server            // the server with Listen.Default, else the first server
	hasExplicitDefault bool               // defaultServer has Listen.Default
}

// regexName is a server name that is a regex.
type regexName struct {
	regex  *regexp.Regexp
	server *Server
}

// newVirtualHosts returns an index without servers.
func newVirtualHosts() *virtualHosts {
	return &virtualHosts{exact: map[string]*Server{}, bySuffix: map[string]*Server{}, byPrefix: map[string]*Server{}}
}

// addName adds a server under one of its names. If two servers have the same name, the first one keeps it, as in nginx.
func (v *virtualHosts) addName(server *Server, name string) error {
	if pattern, ok := strings.CutPrefix(name, "~"); ok {
		regex, err := regexp.Compile(ignoreCase + pattern)
		if err != nil {
			return fmt.Errorf("server name %q: invalid RE2 regex: %w", name, err)
		}
		v.byRegex = append(v.byRegex, regexName{regex, server})
		return nil
	}
	name = strings.ToLower(name)
	switch stars := strings.Count(name, "*"); {
	case stars == 0 && strings.HasPrefix(name, "."): // short for the name itself and *.name
		addIfAbsent(v.exact, name[1:], server)
		addIfAbsent(v.bySuffix, name, server)
	case stars == 0:
		addIfAbsent(v.exact, name, server)
	case stars == 1 && strings.HasPrefix(name, "*.") && len(name) > 2:
		addIfAbsent(v.bySuffix, name[1:], server)
	case stars == 1 && strings.HasSuffix(name, ".*") && len(name) > 2:
		addIfAbsent(v.byPrefix, name[:len(name)-1], server)
	default:
		return fmt.Errorf("server name %q: want at most one *, before the first dot or after the last dot", name)
	}
	return nil
}

// addIfAbsent adds a server under a key unless the key has a server already.
func addIfAbsent(servers map[string]*Server, key string, s *Server) {
	if servers[key] == nil {
		servers[key] = s
	}
}

// find returns the server for a host name and the reason for the choice. In order of precedence, the server has the
// exact name, the longest matching name that begins with *, the longest matching name that ends with *, or the first
// regex that matches. Else it is the default server.
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

// hostName returns the host name of a Host field in lower case, without the port and without a trailing dot.
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
