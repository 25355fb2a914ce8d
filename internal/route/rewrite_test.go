package route

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/route/routemodel"
)

// The elements of random rewrites.
var (
	rewriteRegexes = []string{"^/a(.*)$", "^(.*)/b/(.*)$", `\.php$`, "^/old/(.*)", "b", "^/(a|b)?(/.*)?$"}
	rewriteTargets = []string{"/b", "/a/$1", "/x?q=$1", "/x?", "$1/$1", "http://h/$1", "/b$1?a=1?", "/$1/a", "https://h/"}
	rewriteFlags   = map[string]RewriteFlag{"": FlagNone, "last": FlagLast, "break": FlagBreak, "redirect": FlagRedirect, "permanent": FlagPermanent}
)

// drawRewrites draws up to two rewrites and returns them for the table and for the model.
func drawRewrites(t *rapid.T) (rewrites []*Rewrite, modelRewrites []routemodel.Rewrite) {
	for range rapid.IntRange(0, 2).Draw(t, "rewrites") {
		w := routemodel.Rewrite{Regex: rapid.SampledFrom(rewriteRegexes).Draw(t, "from"),
			Replacement: rapid.SampledFrom(rewriteTargets).Draw(t, "to"), Flag: rapid.SampledFrom([]string{"", "last", "break",
				"redirect", "permanent"}).Draw(t, "flag")}
		r := &Rewrite{Pattern: w.Regex, Replacement: w.Replacement, Flag: rewriteFlags[w.Flag], Source: "r"}
		if r.compile() != nil {
			continue // its replacement refers to a group that the regex doesn't have
		}
		rewrites, modelRewrites = append(rewrites, r), append(modelRewrites, w)
	}
	return rewrites, modelRewrites
}

// TestResolveModel compares rewrites with the model on random configurations, paths and queries.
func TestResolveModel(t *testing.T) {
	pairs, redirects, cycles := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		count := 0
		list := drawLocations(t, "", false, 1, &count)
		server := &Server{Listen: []Listen{{Addr: netip.MustParseAddrPort("127.0.0.1:80")}}, MergeSlashes: true, Locations: buildLocations(list), Source: "s"}
		var serverRewrites []routemodel.Rewrite
		server.Rewrites, serverRewrites = drawRewrites(t)
		rewritesOf := map[string][]routemodel.Rewrite{}
		var addRewrites func(list []*Location)
		addRewrites = func(list []*Location) {
			for _, l := range list {
				l.Rewrites, rewritesOf[l.Value.(string)] = drawRewrites(t)
				addRewrites(l.Locations)
			}
		}
		addRewrites(server.Locations)
		if _, err := New([]*Server{server}); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			pairs++
			raw := "/"
			for range rapid.IntRange(0, 5).Draw(t, "length") {
				raw += rapid.SampledFrom([]string{"a", "b", "/", "/b/", ".php", "old/", "%20", "%3F", "x"}).Draw(t, "piece")
			}
			query := rapid.SampledFrom([]string{"", "k=v"}).Draw(t, "query")
			r, err := server.Resolve(raw, query)
			path, ok := routemodel.NormalizePath(raw, true)
			if ok != (err == nil) {
				t.Fatalf("path %s: error %v, want an error only if the model rejects the path", raw, err)
			}
			if !ok {
				continue
			}
			got := routemodel.Result{Path: r.Path, Query: r.Query, StoppedByBreak: r.StoppedByBreak}
			switch {
			case r.RedirectURL != "":
				got = routemodel.Result{Target: fmt.Sprint(r.Status, " ", r.RedirectURL)}
				redirects++
			case r.Status != 0:
				got.Target = fmt.Sprint(r.Status)
				cycles++
			case r.Location != nil:
				got.Target = r.Location.Value.(string)
				if r.RedirectTrailingSlash {
					got.Target = "301 " + got.Target
				}
			}
			if want := routemodel.Resolve(serverRewrites, rewritesOf, list, path, query); got != want {
				t.Fatalf("%s?%s: %+v, want %+v\nserver rewrites %+v\nlocations %+v\nlocation rewrites %+v", raw, query, got, want,
					serverRewrites, list, rewritesOf)
			}
		}
	})
	t.Logf("%d pairs of configuration and request, %d redirects, %d rewrite cycles", pairs, redirects, cycles)
}

// TestRewriteKeepsHost checks that a redirect to a group of the path stays on the host. A client takes a URL that
// begins with two slashes for one of another host.
func TestRewriteKeepsHost(t *testing.T) {
	s := &Server{Listen: []Listen{{}}, Rewrites: []*Rewrite{{Pattern: "^(.*)/$", Replacement: "$1", Flag: FlagPermanent}}}
	if _, err := New([]*Server{s}); err != nil {
		t.Fatal(err)
	}
	if r, err := s.Resolve("//evil.example/", ""); err != nil || r.RedirectURL != "/evil.example" {
		t.Errorf("redirect to %q, error %v, want a redirect to /evil.example", r.RedirectURL, err)
	}
}
