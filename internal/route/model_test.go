package route

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/route/routemodel"
)

// The elements of random configurations and requests. There are only a few, so that requests match patterns often.
var (
	pathPieces  = []string{"/", "a", "b", "ab", ".", "..", "//", "%2e", "%2F", "%61", ".php", "A", "%00", "%zz", "?x", "#y"}
	textPieces  = []string{"/", "a", "b", "ab", "/a/", "/b/", ".php"}
	regexPieces = []string{`\.php$`, "^/a", "b", "^/$", "(a|b)/", "A", "/ab", "^/a/b"}
	hostNames   = []string{"a.x", "b.x", "x", "c.a.x", "a.y", "a.x.z", "q", "A.X", "a.x."}
	serverNames = []string{"a.x", "x", "*.x", "*.a.x", ".x", "a.*", "a.x.*", "b.*", "~^a", "~x$"}
)

// drawLocations draws the locations of one level and those nested in them. parent is the pattern of the enclosing
// location. count is the number of locations drawn so far, which is part of their names.
func drawLocations(t *rapid.T, parent string, inRegex bool, depth int, count *int) []routemodel.Location {
	var list []routemodel.Location
	drawn := map[string]bool{}
	for range rapid.IntRange(0, 5).Draw(t, "locations") {
		l := routemodel.Location{Modifier: rapid.SampledFrom([]string{"", "", "^~", "=", "~", "~*"}).Draw(t, "modifier")}
		if l.Modifier == "~" || l.Modifier == "~*" {
			l.Pattern = rapid.SampledFrom(regexPieces).Draw(t, "regex")
		} else {
			if inRegex {
				continue // nginx compares a prefix with the text of the enclosing regex, so hardly any prefix is valid here
			}
			l.Pattern = parent
			if l.Pattern == "" {
				l.Pattern = "/"
			}
			for range rapid.IntRange(0, 3).Draw(t, "pieces") {
				l.Pattern += rapid.SampledFrom(textPieces).Draw(t, "piece")
			}
			key := strings.TrimPrefix(l.Modifier, "^~") + l.Pattern
			if drawn[key] {
				continue
			}
			drawn[key] = true
		}
		*count++
		l.Name = fmt.Sprint("l", *count)
		l.PassesToPool = rapid.Bool().Draw(t, "pass")
		if depth > 0 && l.Modifier != "=" {
			isRegex := l.Modifier == "~" || l.Modifier == "~*"
			l.Locations = drawLocations(t, l.Pattern, isRegex, depth-1, count)
		}
		list = append(list, l)
	}
	return list
}

// buildLocations converts locations of the model to locations of a table.
func buildLocations(list []routemodel.Location) []*Location {
	kinds := map[string]Kind{"": Prefix, "^~": PrefixNoRegex, "=": Exact, "~": Regex, "~*": RegexIgnoreCase}
	var out []*Location
	for _, l := range list {
		kind := kinds[l.Modifier]
		out = append(out, &Location{Kind: kind, Pattern: l.Pattern, Value: l.Name, Locations: buildLocations(l.Locations), Source: l.Name,
			RedirectTrailingSlash: l.PassesToPool && strings.HasSuffix(l.Pattern, "/") && (kind == Prefix || kind == PrefixNoRegex)})
	}
	return out
}

// paths is the number of paths that TestModel looks up in each random configuration.
var paths = flag.Int("paths", 20, "number of paths that TestModel looks up in each configuration")

// TestModel compares the table with the model on random configurations, hosts and paths. With -rapid.checks=50000 it
// compares a million pairs of configuration and request; docs/design/routes.md has the findings.
func TestModel(t *testing.T) {
	pairs := 0
	rapid.Check(t, func(t *rapid.T) {
		count := 0
		list := drawLocations(t, "", false, 2, &count)
		merge := rapid.Bool().Draw(t, "merge")
		names := make([][]string, rapid.IntRange(1, 4).Draw(t, "servers"))
		var servers []*Server
		at := netip.MustParseAddrPort("127.0.0.1:80")
		for i := range names {
			for range rapid.IntRange(0, 3).Draw(t, "names") {
				names[i] = append(names[i], rapid.SampledFrom(serverNames).Draw(t, "name"))
			}
			servers = append(servers, &Server{Listen: []Listen{{Addr: at}}, Names: names[i], MergeSlashes: merge,
				Locations: buildLocations(list), Source: fmt.Sprint("s", i)})
		}
		table, err := New(servers)
		if err != nil {
			t.Fatal(err)
		}
		for range *paths {
			pairs++
			host := rapid.SampledFrom(hostNames).Draw(t, "host")
			s, why := table.FindServer(at, host)
			if want := routemodel.FindServer(names, host); s.Source != fmt.Sprint("s", want) {
				t.Fatalf("host %s: server %s by %s, want s%d of the names %q", host, s.Source, why, want, names)
			}
			raw := "/"
			for range rapid.IntRange(0, 6).Draw(t, "length") {
				raw += rapid.SampledFrom(pathPieces).Draw(t, "piece")
			}
			m, err := s.Resolve(raw, "")
			path, ok := routemodel.NormalizePath(raw, merge)
			if ok != (err == nil) || ok && path != m.Path {
				t.Fatalf("path %s normalized: %q, error %v; want %q, valid %t", raw, m.Path, err, path, ok)
			}
			if !ok {
				continue
			}
			got := ""
			if m.Location != nil {
				got = m.Location.Value.(string)
			}
			if m.RedirectTrailingSlash {
				got = "301 " + got
			}
			if want, _ := routemodel.FindLocation(list, path); got != want {
				t.Fatalf("path %s: location %q, want %q of %+v", path, got, want, list)
			}
		}
	})
	t.Logf("%d pairs of configuration and request", pairs)
}
