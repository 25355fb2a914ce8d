package router

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"tillerusher/internal/fake"
	"tillerusher/internal/nginx"
	"tillerusher/internal/route/routemodel"
)

// nginxConfig contains the directives of an nginx configuration. It computes the expected result of a request by a model
// of nginx that follows the manual. The slices are indexed by server.
type nginxConfig struct {
	serverNames     [][]string
	serverLocations [][]routemodel.Location
	serverRewrites  [][]routemodel.Rewrite // at server level
	mergeSlashes    []bool
	unmatched       []*locationActions          // the actions for a path without a location
	actions         map[string]*locationActions // by the location's name
}

// locationActions are the effects of a location's own directives and of those that it inherits.
type locationActions struct {
	pool            string // or ""
	returnStatus    string // of its return directive, or ""
	hasReturnText   bool   // the return directive has a text
	rewrites        []routemodel.Rewrite
	errorPages      [][]string // error_page
	interceptErrors bool
	tryFilesLast    string // the last argument of try_files, or ""
	namedLocations  map[string]*locationActions
}

// blockContext contains the directives that a block inherits.
type blockContext struct {
	errorPages      [][]string
	interceptErrors map[string]bool // by protocol
	namedLocations  map[string]*locationActions
}

// enter returns the context inside a block: the block's own directives and those that it inherits. As in nginx, a block
// with an error_page directive inherits none.
func (a blockContext) enter(block []*nginx.Directive) blockContext {
	inner := blockContext{errorPages: nil, interceptErrors: map[string]bool{}, namedLocations: a.namedLocations}
	for k, v := range a.interceptErrors {
		inner.interceptErrors[k] = v
	}
	for _, c := range block {
		switch c.Name {
		case "error_page":
			inner.errorPages = append(inner.errorPages, c.ArgTexts())
		case "fastcgi_intercept_errors", "scgi_intercept_errors":
			inner.interceptErrors[strings.Split(c.Name, "_")[0]] = c.Arg(0) == "on"
		}
	}
	if inner.errorPages == nil {
		inner.errorPages = a.errorPages
	}
	return inner
}

// readNginxConfig reads the directives of a configuration. An http block at the end replaces the top level.
func readNginxConfig(list []*nginx.Directive) *nginxConfig {
	config := &nginxConfig{actions: map[string]*locationActions{}}
	if len(list) > 0 && list[len(list)-1].Name == "http" {
		list = list[len(list)-1].Block
	}
	base := blockContext{}.enter(list)
	for _, d := range list {
		if d.Name != "server" {
			continue
		}
		names, merge, rewrites := []string{}, true, []routemodel.Rewrite(nil)
		for _, c := range d.Block {
			switch c.Name {
			case "server_name":
				names = append(names, c.ArgTexts()...)
			case "merge_slashes":
				merge = c.Arg(0) != "off"
			case "rewrite":
				rewrites = append(rewrites, routemodel.Rewrite{Regex: c.Arg(0), Replacement: c.Arg(1), Flag: c.Arg(2)})
			}
		}
		config.serverNames, config.mergeSlashes, config.serverRewrites = append(config.serverNames, names),
			append(config.mergeSlashes, merge), append(config.serverRewrites, rewrites)
		context := base.enter(d.Block)
		context.namedLocations = map[string]*locationActions{}
		config.serverLocations = append(config.serverLocations, config.readLocations(d.Block, context))
		config.unmatched = append(config.unmatched, &locationActions{errorPages: context.errorPages, namedLocations: context.namedLocations})
	}
	return config
}

// readLocations returns the location blocks of a block, without named locations, and stores the actions of all of them.
func (o *nginxConfig) readLocations(block []*nginx.Directive, outer blockContext) []routemodel.Location {
	var blockLocations []routemodel.Location
	for _, d := range block {
		if d.Name != "location" {
			continue
		}
		context := outer.enter(d.Block)
		l := routemodel.Location{Pattern: d.Arg(0), Name: fmt.Sprint(d.Pos), Locations: o.readLocations(d.Block, context)}
		if len(d.Args) == 2 {
			l.Modifier, l.Pattern = d.Arg(0), d.Arg(1)
		} else {
			for _, m := range []string{"~*", "~", "^~", "="} { // the space after a modifier is optional
				if l.Modifier == "" && strings.HasPrefix(l.Pattern, m) {
					l.Modifier, l.Pattern = m, l.Pattern[len(m):]
				}
			}
		}
		actions := &locationActions{errorPages: context.errorPages, namedLocations: context.namedLocations}
		hasReturn := false
		for _, c := range d.Block {
			switch c.Name {
			case "fastcgi_pass", "scgi_pass":
				l.PassesToPool = true
				actions.pool, actions.interceptErrors = c.Arg(0), context.interceptErrors[strings.Split(c.Name, "_")[0]]
			case "return":
				actions.returnStatus, actions.hasReturnText, hasReturn = c.Arg(0), len(c.Args) > 1, true
			case "rewrite":
				if !hasReturn {
					actions.rewrites = append(actions.rewrites, routemodel.Rewrite{Regex: c.Arg(0), Replacement: c.Arg(1), Flag: c.Arg(2)})
				}
			case "try_files":
				actions.tryFilesLast = c.Arg(len(c.Args) - 1)
			}
		}
		if strings.HasPrefix(d.Arg(0), "@") {
			context.namedLocations[d.Arg(0)] = actions
			continue
		}
		o.actions[l.Name] = actions
		l.PassesToPool = l.PassesToPool && strings.HasSuffix(l.Pattern, "/")
		blockLocations = append(blockLocations, l)
	}
	return blockLocations
}

// memberStatus returns the status that the members of the corpus send for a path.
func memberStatus(path string) int {
	for suffix, status := range map[string]int{".gone": 404, ".broken": 500, ".busy": 503} {
		if strings.HasSuffix(path, suffix) {
			return status
		}
	}
	return 200
}

// expectedResult returns the expected member and status of a request, or only the status if no member responds.
func (o *nginxConfig) expectedResult(host, raw string) string {
	i := routemodel.FindServer(o.serverNames, host)
	path, ok := routemodel.NormalizePath(raw, o.mergeSlashes[i])
	if !ok {
		return "400"
	}
	rewrites := map[string][]routemodel.Rewrite{}
	for name, actions := range o.actions {
		rewrites[name] = actions.rewrites
	}
	_, query, _ := strings.Cut(raw, "?")
	r := routemodel.Resolve(o.serverRewrites[i], rewrites, o.serverLocations[i], path, query)
	name, _, _ := strings.Cut(r.Target, " ")
	switch {
	case name == "":
		return o.unmatched[i].expectedResult(r.Path, false, true)
	case name == "301" || name == "302" || name == "500":
		return name
	}
	actions := o.actions[r.Target]
	if actions.tryFilesLast != "" && actions.pool == "" && actions.returnStatus == "" { // no file exists
		if status, ok := strings.CutPrefix(actions.tryFilesLast, "="); ok {
			return status
		}
		actions = actions.namedLocations[actions.tryFilesLast]
	}
	return actions.expectedResult(r.Path, r.StoppedByBreak, true)
}

// expectedResult returns the expected member and status of a request to the location, or only the status if no member
// responds. stoppedByBreak means that a rewrite with the flag break disables the location's return directive. allowFallback
// is false for a location that is itself a fallback.
func (d *locationActions) expectedResult(path string, stoppedByBreak, allowFallback bool) string {
	status, member, canFallBack := "404", "", allowFallback
	switch {
	case d.returnStatus != "" && !stoppedByBreak:
		status, canFallBack = d.returnStatus, canFallBack && !d.hasReturnText
	case d.pool != "":
		status, member, canFallBack = fmt.Sprint(memberStatus(path)), d.pool, canFallBack && d.interceptErrors
	}
	for _, page := range d.errorPages {
		target, codes := page[len(page)-1], page[:len(page)-1]
		if !canFallBack || !slices.Contains(codes, status) {
			continue
		}
		fallbackResult := d.namedLocations[target].expectedResult(path, false, false)
		switch responseCode := codes[len(codes)-1]; {
		case responseCode == "=":
			return fallbackResult
		case strings.HasPrefix(responseCode, "="):
			status = responseCode[1:]
		}
		if fallbackMember, _, ok := strings.Cut(fallbackResult, " "); ok {
			return fallbackMember + " " + status
		}
		return status
	}
	if member != "" {
		return member + " " + status
	}
	return status
}

// corpusPaths and corpusHosts are the paths and hosts of the requests. Each configuration receives every combination.
var (
	corpusPaths = []string{"/", "/a", "/a/", "/a/b", "/a/b.php", "/x.php", "/x.PHP", "/images/x.gif", "/images", "/images/",
		"/docs", "/docs/", "/docs/old/x", "/docs/x.php", "/x.gone", "/a/x.gone", "/x.broken", "/a/b.broken", "/x.busy", "/old/x.gone", "/old/x?k=v", "/api/v1/x", "/api", "//a//b", "/a/../images/x.gif", "/%61", "/a%2Fb",
		"/a/./b", "/../x", "/%zz", "/x.jpg?q=1", "/shop/cart", "/shop/cart/", "/static/app.js", "/login"}
	corpusHosts = []string{"shop.example", "www.shop.example", "api.other.example", "unknown"}
)

// TestCorpus imports each nginx configuration of the corpus into a router and sends it the same requests over loopback.
// Each request must reach the pool and have the status that the model of nginx computes from the original configuration.
func TestCorpus(t *testing.T) {
	names, err := filepath.Glob("testdata/corpus/*.conf")
	if err != nil || len(names) < 40 {
		t.Fatalf("found %d configurations, want at least 40; error %v", len(names), err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			addresses := string(text)
			for i, pool := range []string{"red", "green", "blue", "grey"} {
				m := startMember(t, pool)
				if strings.Contains(addresses, "scgi_pass "+pool) {
					m = startSCGIMember(t, pool)
				}
				m.SetStatusFunc(func(params map[string]string) int { return memberStatus(params["SCRIPT_NAME"]) })
				addresses = strings.ReplaceAll(addresses, fmt.Sprintf("127.0.0.1:900%d", i+1), m.Addr())
			}
			dir := t.TempDir()
			path := filepath.Join(dir, "nginx.conf")
			if err := os.WriteFile(path, []byte(addresses), 0o600); err != nil {
				t.Fatal(err)
			}
			list, err := nginx.Parse(nginx.FSReader{FS: os.DirFS("/")}, path)
			if err != nil {
				t.Fatal(err)
			}
			routes, _, err := nginx.Import(list)
			if err != nil {
				t.Fatal(err)
			}
			for i := range routes.Servers { // the fake gateway does not send SERVER_ADDR and SERVER_PORT
				for l := range routes.Servers[i].Listen {
					routes.Servers[i].Listen[l].Addr = netip.MustParseAddrPort("0.0.0.0:0")
				}
			}
			config := readNginxConfig(list)
			_, g := startRouter(t, routes)
			for _, host := range corpusHosts {
				for _, path := range corpusPaths {
					r := fake.Request{Method: "GET", Path: path, Headers: map[string]string{"Host": host}}
					g.Write(r.Encode(1))
					a := g.WaitResponse(1)
					got := strings.TrimSpace(a.Header.Get("X-Member") + " " + fmt.Sprint(a.Status))
					if want := config.expectedResult(host, path); got != want {
						t.Errorf("%s%s: got %s, the nginx model expects %s", host, path, got, want)
					}
				}
			}
		})
	}
}
