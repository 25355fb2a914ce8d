package route

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"tillerusher/internal/route/routemodel"
)

// The pieces of random rewrites.
var (
	rewriteRegexes = []string{"^/a(.*)$", "^(.*)/b/(.*)$", `\.php$`, "^/old/(.*)", "b", "^/(a|b)?(/.*)?$"}
	rewriteTargets = []string{"/b", "/a/$1", "/x?q=$1", "/x?", "$1/$1", "http://h/$1", "/b$1?a=1?", "/$1/a", "https://h/"}
	rewriteFlags   = map[string]RewriteFlag{"": FlagNone, "last": FlagLast, "break": FlagBreak, "redirect": FlagRedirect, "permanent": FlagPermanent}
)

// drawRewrites makes up a few rewrites, for the table and for the model.
func drawRewrites(t *rapid.T) (ours []*Rewrite, theirs []routemodel.Rewrite) {
	for range rapid.IntRange(0, 2).Draw(t, "rewrites") {
		w := routemodel.Rewrite{Regex: rapid.SampledFrom(rewriteRegexes).Draw(t, "from"),
			Replacement: rapid.SampledFrom(rewriteTargets).Draw(t, "to"), Flag: rapid.SampledFrom([]string{"", "last", "break",
				"redirect", "permanent"}).Draw(t, "flag")}
		r := &Rewrite{Pattern: w.Regex, Replacement: w.Replacement, Flag: rewriteFlags[w.Flag], Source: "r"}
		if r.compile() != nil {
			continue // its target has groups that the regex has not
		}
		ours, theirs = append(ours, r), append(theirs, w)
	}
	return ours, theirs
}

// TestResolveModel compares rewrites with the model on random configurations, paths and queries.
func TestResolveModel(t *testing.T) {
	pairs, sent, round := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		count := 0
		list := drawLocations(t, "", false, 1, &count)
		s := &Server{Listen: []Listen{{Addr: netip.MustParseAddrPort("127.0.0.1:80")}}, MergeSlashes: true, Locations: build(list), Source: "s"}
		var server []routemodel.Rewrite
		s.Rewrites, server = drawRewrites(t)
		of := map[string][]routemodel.Rewrite{}
		var each func(list []*Location)
		each = func(list []*Location) {
			for _, l := range list {
				l.Rewrites, of[l.Value.(string)] = drawRewrites(t)
				each(l.Locations)
			}
		}
		each(s.Locations)
		if _, err := New([]*Server{s}); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			pairs++
			raw := "/"
			for range rapid.IntRange(0, 5).Draw(t, "length") {
				raw += rapid.SampledFrom([]string{"a", "b", "/", "/b/", ".php", "old/", "%20", "%3F", "x"}).Draw(t, "piece")
			}
			query := rapid.SampledFrom([]string{"", "k=v"}).Draw(t, "query")
			o, err := s.Resolve(raw, query)
			path, ok := routemodel.NormalizePath(raw, true)
			if ok != (err == nil) {
				t.Fatalf("%s: %v", raw, err)
			}
			if !ok {
				continue
			}
			got := routemodel.Result{Path: o.Path, Query: o.Query, StoppedByBreak: o.StoppedByBreak}
			switch {
			case o.RedirectURL != "":
				got = routemodel.Result{Target: fmt.Sprint(o.Status, " ", o.RedirectURL)}
				sent++
			case o.Status != 0:
				got.Target = fmt.Sprint(o.Status)
				round++
			case o.Location != nil:
				got.Target = o.Location.Value.(string)
				if o.RedirectTrailingSlash {
					got.Target = "301 " + got.Target
				}
			}
			if want := routemodel.Resolve(server, of, list, path, query); got != want {
				t.Fatalf("%s?%s: %+v, the manual says %+v\nserver %+v\nlocations %+v\nrewrites %+v", raw, query, got, want, server, list, of)
			}
		}
	})
	t.Logf("%d pairs, %d sent away, %d in rounds", pairs, sent, round)
}

// TestRewriteNamesNoOtherHost has no group turn a path into the name of another host.
func TestRewriteNamesNoOtherHost(t *testing.T) {
	s := &Server{Listen: []Listen{{}}, Rewrites: []*Rewrite{{Pattern: "^(.*)/$", Replacement: "$1", Flag: FlagPermanent}}}
	if _, err := New([]*Server{s}); err != nil {
		t.Fatal(err)
	}
	if o, err := s.Resolve("//evil.example/", ""); err != nil || o.RedirectURL != "/evil.example" {
		t.Errorf("sent to %q, %v", o.RedirectURL, err)
	}
}
