package route

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"tillerusher/internal/route/routemodel"
)

// TestMatchOrder checks which location wins if several match a path, which paths are invalid, and the lookup of named
// locations.
func TestMatchOrder(t *testing.T) {
	list := []*Location{
		{Kind: Regex, Pattern: `\.gif$`, Value: "gif above"},
		{Kind: PrefixNoRegex, Pattern: "/images/", Value: "images"},
		{Kind: Regex, Pattern: `\.(gif|jpg)$`, Value: "gif below"},
		{Kind: Prefix, Pattern: "/docs/", Value: "docs", RedirectTrailingSlash: true, Locations: []*Location{
			{Kind: Regex, Pattern: `\.php$`, Value: "docs php"}, {Kind: Prefix, Pattern: "/docs/old/", Value: "docs old"}}},
		{Kind: Exact, Pattern: "/", Value: "root"},
		{Kind: Prefix, Pattern: "/", Value: "all"},
		{Kind: RegexIgnoreCase, Pattern: `^/ADMIN`, Value: "admin"},
		{Kind: Named, Pattern: "fallback", Value: "fallback"},
	}
	table, err := New([]*Server{{Listen: []Listen{{Addr: netip.MustParseAddrPort("0.0.0.0:80")}}, MergeSlashes: true, Locations: list}})
	if err != nil {
		t.Fatal(err)
	}
	s, _ := table.FindServer(netip.MustParseAddrPort("127.0.0.1:80"), "any")
	for path, want := range map[string]string{"/": "root", "/x": "all", "/x.gif": "gif above", "/images/x.gif": "images",
		"/x.jpg": "gif below", "/docs/x.php": "docs php", "/docs/x.gif": "gif above", "/docs/old/x": "docs old",
		"/docs": "301 docs", "/docs/old/x.jpg": "gif below", "/admin/x": "admin", "//images//../images/x.gif?q#f": "images",
		"/%69mages/x.gif": "images", "/images%2Fx.gif": "images"} {
		m, steps, err := s.Explain(path, "")
		if err != nil {
			t.Errorf("path %s: %v", path, err)
			continue
		}
		got := m.Location.Value.(string)
		if m.RedirectTrailingSlash {
			got = "301 " + got
		}
		if got != want || len(steps) == 0 {
			t.Errorf("path %s: location %s by the steps %v, want %s and at least one step", path, got, steps, want)
		}
	}
	for _, path := range []string{"", "x", "/..", "/a/../../b", "/%", "/%4", "/%zz", "/%00"} {
		if _, err := s.Resolve(path, ""); err != ErrInvalidPath {
			t.Errorf("path %q: error %v, want ErrInvalidPath", path, err)
		}
	}
	if s.NamedLocation("fallback").Value != "fallback" || s.NamedLocation("x") != nil {
		t.Error("named location \"fallback\" is not found, or an undefined one is")
	}
}

// TestConfigErrors checks that invalid servers and locations are reported as a *ConfigError, with the source where the
// definition has one.
func TestConfigErrors(t *testing.T) {
	location := func(kind Kind, pattern string, inner ...*Location) *Location {
		return &Location{Kind: kind, Pattern: pattern, Locations: inner, Source: "f:" + pattern}
	}
	listen := []Listen{{Addr: netip.MustParseAddrPort("127.0.0.1:80"), Default: true}}
	for want, servers := range map[string][]*Server{
		"is defined twice, first at f:/a":              {{Locations: []*Location{location(Prefix, "/a"), location(PrefixNoRegex, "/a")}}},
		"f:(?=a): location ~ (?=a): invalid RE2 regex": {{Locations: []*Location{location(Regex, "(?=a)")}}},
		"is outside location /b":                       {{Locations: []*Location{location(Prefix, "/b", location(Prefix, "/a"))}}},
		"can't be nested in location = /a":             {{Locations: []*Location{location(Exact, "/a", location(Prefix, "/a/b"))}}},
		"location @x must be directly in a server":     {{Locations: []*Location{location(Prefix, "/", location(Named, "x"))}}},
		"location /a is outside location ~ b":          {{Locations: []*Location{location(Regex, "b", location(Prefix, "/a"))}}},
		"location has no pattern":                      {{Locations: []*Location{location(Prefix, "")}}},
		"duplicate default server for 127.0.0.1:80":    {{Listen: listen}, {Listen: listen}},
		"server name \"a*b\"":                          {{Listen: listen, Names: []string{"a*b"}}},
		"server name \"~(\": invalid RE2 regex":        {{Listen: listen, Names: []string{"~("}}},
	} {
		_, err := New(servers)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
		var configError *ConfigError
		if !errors.As(err, &configError) {
			t.Errorf("error %v is not a *ConfigError", err)
		}
	}
}

// FuzzNormalizePath checks that NormalizePath does not panic, and that the model returns the same for each path that it
// accepts.
func FuzzNormalizePath(f *testing.F) {
	for _, raw := range []string{"/", "/a/../b", "//a//", "/%2e%2e/", "/.", "/a/.."} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		path, err := NormalizePath(raw, true)
		if err != nil {
			return
		}
		if want, ok := routemodel.NormalizePath(raw, true); !ok || want != path {
			t.Errorf("path %q normalized: %q, want %q, valid %t", raw, path, want, ok)
		}
	})
}

// BenchmarkResolve measures the lookup of a path among 10, 1,000 and 100,000 prefix locations.
func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var list []*Location
			for i := range n {
				list = append(list, &Location{Kind: Prefix, Pattern: fmt.Sprintf("/shop/%d/items/", i), Value: i})
			}
			table, err := New([]*Server{{Listen: []Listen{{Addr: netip.MustParseAddrPort("127.0.0.1:80")}}, MergeSlashes: true, Locations: list}})
			if err != nil {
				b.Fatal(err)
			}
			s, _ := table.FindServer(netip.MustParseAddrPort("127.0.0.1:80"), "")
			path := fmt.Sprintf("/shop/%d/items/4711", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if m, err := s.Resolve(path, ""); err != nil || m.Location == nil {
					b.Fatal("the path is invalid or matches no location")
				}
			}
		})
	}
}
