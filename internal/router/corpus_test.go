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

// nginxConfig is a configuration's directives, read by a model of nginx's manual.
type nginxConfig struct {
	names   [][]string
	servers [][]routemodel.Location
	before  [][]routemodel.Rewrite // of the servers
	merge   []bool
	none    []*nginxLocation          // of the servers, for what none of their locations takes
	does    map[string]*nginxLocation // by location
}

// nginxLocation is what a location does, read from its directives and those around it.
type nginxLocation struct {
	pool      string // or ""
	status    string // of its return, or ""
	text      bool   // the return has a text of its own
	rewrites  []routemodel.Rewrite
	pages     [][]string // error_page
	intercept bool
	files     string // the last argument of try_files
	named     map[string]*nginxLocation
}

// blockContext is what a block inherits.
type blockContext struct {
	pages     [][]string
	intercept map[string]bool // by protocol
	named     map[string]*nginxLocation
}

// enter returns the context inside a block: what it sets, and what it inherits.
func (a blockContext) enter(block []*nginx.Directive) blockContext {
	own := blockContext{pages: nil, intercept: map[string]bool{}, named: a.named}
	for k, v := range a.intercept {
		own.intercept[k] = v
	}
	for _, c := range block {
		switch c.Name {
		case "error_page":
			own.pages = append(own.pages, c.ArgTexts())
		case "fastcgi_intercept_errors", "scgi_intercept_errors":
			own.intercept[strings.Split(c.Name, "_")[0]] = c.Arg(0) == "on"
		}
	}
	if own.pages == nil {
		own.pages = a.pages
	}
	return own
}

// readNginxConfig reads the directives of a configuration.
func readNginxConfig(list []*nginx.Directive) *nginxConfig {
	config := &nginxConfig{does: map[string]*nginxLocation{}}
	if len(list) > 0 && list[len(list)-1].Name == "http" {
		list = list[len(list)-1].Block
	}
	base := blockContext{}.enter(list)
	for _, d := range list {
		if d.Name != "server" {
			continue
		}
		names, merge, before := []string{}, true, []routemodel.Rewrite(nil)
		for _, c := range d.Block {
			switch c.Name {
			case "server_name":
				names = append(names, c.ArgTexts()...)
			case "merge_slashes":
				merge = c.Arg(0) != "off"
			case "rewrite":
				before = append(before, routemodel.Rewrite{Regex: c.Arg(0), Replacement: c.Arg(1), Flag: c.Arg(2)})
			}
		}
		config.names, config.merge, config.before = append(config.names, names), append(config.merge, merge), append(config.before, before)
		here := base.enter(d.Block)
		here.named = map[string]*nginxLocation{}
		config.servers = append(config.servers, config.locations(d.Block, here))
		config.none = append(config.none, &nginxLocation{pages: here.pages, named: here.named})
	}
	return config
}

// locations reads the location blocks of a block.
func (o *nginxConfig) locations(block []*nginx.Directive, outer blockContext) []routemodel.Location {
	var list []routemodel.Location
	for _, d := range block {
		if d.Name != "location" {
			continue
		}
		here := outer.enter(d.Block)
		l := routemodel.Location{Pattern: d.Arg(0), Name: fmt.Sprint(d.Pos), Locations: o.locations(d.Block, here)}
		if len(d.Args) == 2 {
			l.Modifier, l.Pattern = d.Arg(0), d.Arg(1)
		} else {
			for _, m := range []string{"~*", "~", "^~", "="} { // the space after a modifier is optional
				if l.Modifier == "" && strings.HasPrefix(l.Pattern, m) {
					l.Modifier, l.Pattern = m, l.Pattern[len(m):]
				}
			}
		}
		does := &nginxLocation{pages: here.pages, named: here.named}
		returned := false
		for _, c := range d.Block {
			switch c.Name {
			case "fastcgi_pass", "scgi_pass":
				l.PassesToPool = true
				does.pool, does.intercept = c.Arg(0), here.intercept[strings.Split(c.Name, "_")[0]]
			case "return":
				does.status, does.text, returned = c.Arg(0), len(c.Args) > 1, true
			case "rewrite":
				if !returned {
					does.rewrites = append(does.rewrites, routemodel.Rewrite{Regex: c.Arg(0), Replacement: c.Arg(1), Flag: c.Arg(2)})
				}
			case "try_files":
				does.files = c.Arg(len(c.Args) - 1)
			}
		}
		if strings.HasPrefix(d.Arg(0), "@") {
			here.named[d.Arg(0)] = does
			continue
		}
		o.does[l.Name] = does
		l.PassesToPool = l.PassesToPool && strings.HasSuffix(l.Pattern, "/")
		list = append(list, l)
	}
	return list
}

// memberStatus is the status with which members of the corpus answer for a path.
func memberStatus(path string) int {
	for suffix, status := range map[string]int{".gone": 404, ".broken": 500, ".busy": 503} {
		if strings.HasSuffix(path, suffix) {
			return status
		}
	}
	return 200
}

// expect is where a request belongs, with the status of its answer.
func (o *nginxConfig) expect(host, raw string) string {
	i := routemodel.FindServer(o.names, host)
	path, ok := routemodel.NormalizePath(raw, o.merge[i])
	if !ok {
		return "400"
	}
	rewrites := map[string][]routemodel.Rewrite{}
	for name, does := range o.does {
		rewrites[name] = does.rewrites
	}
	_, query, _ := strings.Cut(raw, "?")
	r := routemodel.Resolve(o.before[i], rewrites, o.servers[i], path, query)
	name, _, _ := strings.Cut(r.Target, " ")
	switch {
	case name == "":
		return o.none[i].expect(r.Path, false, true)
	case name == "301" || name == "302" || name == "500":
		return name
	}
	does := o.does[r.Target]
	if does.files != "" && does.pool == "" && does.status == "" { // there are no files
		if status, ok := strings.CutPrefix(does.files, "="); ok {
			return status
		}
		does = does.named[does.files]
	}
	return does.expect(r.Path, r.StoppedByBreak, true)
}

// expect is the member that answers a location's request, and the status.
func (d *nginxLocation) expect(path string, settled, mayFall bool) string {
	status, member, falls := "404", "", mayFall
	switch {
	case d.status != "" && !settled:
		status, falls = d.status, falls && !d.text
	case d.pool != "":
		status, member, falls = fmt.Sprint(memberStatus(path)), d.pool, falls && d.intercept
	}
	for _, page := range d.pages {
		target, codes := page[len(page)-1], page[:len(page)-1]
		if !falls || !slices.Contains(codes, status) {
			continue
		}
		after := d.named[target].expect(path, false, false)
		switch as := codes[len(codes)-1]; {
		case as == "=":
			return after
		case strings.HasPrefix(as, "="):
			status = as[1:]
		}
		if who, _, ok := strings.Cut(after, " "); ok {
			return who + " " + status
		}
		return status
	}
	if member != "" {
		return member + " " + status
	}
	return status
}

// corpusPaths and corpusHosts are the requests sent to each configuration.
var (
	corpusPaths = []string{"/", "/a", "/a/", "/a/b", "/a/b.php", "/x.php", "/x.PHP", "/images/x.gif", "/images", "/images/",
		"/docs", "/docs/", "/docs/old/x", "/docs/x.php", "/x.gone", "/a/x.gone", "/x.broken", "/a/b.broken", "/x.busy", "/old/x.gone", "/old/x?k=v", "/api/v1/x", "/api", "//a//b", "/a/../images/x.gif", "/%61", "/a%2Fb",
		"/a/./b", "/../x", "/%zz", "/x.jpg?q=1", "/shop/cart", "/shop/cart/", "/static/app.js", "/login"}
	corpusHosts = []string{"shop.example", "www.shop.example", "api.other.example", "unknown"}
)

// TestCorpus sends the same requests to a router with the imported form of each configuration of the corpus, over
// loopback: they must reach the pools that the original form says.
func TestCorpus(t *testing.T) {
	names, err := filepath.Glob("testdata/corpus/*.conf")
	if err != nil || len(names) < 40 {
		t.Fatalf("%d configurations, %v", len(names), err)
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
			for i := range routes.Servers { // the fake gateway does not send the address at which it was reached
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
					if want := config.expect(host, path); got != want {
						t.Errorf("%s%s: %s, the original reading says %s", host, path, got, want)
					}
				}
			}
		})
	}
}
