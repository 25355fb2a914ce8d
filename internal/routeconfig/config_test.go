package routeconfig

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tillerusher/internal/pool"
	"tillerusher/internal/route"
	"tillerusher/internal/sexp"
)

// TestBroken has each broken sample told with its place and what was expected.
func TestBroken(t *testing.T) {
	const good = "(class c) (pool p (member 10.0.0.1:1)) "
	for text, want := range map[string]string{
		"(poool p)":                  "f:1:1: found (poool ...), want capacity, class, pool, server",
		"(pool)":                     "f:1:1: (pool ...) ends early, want the name of a pool",
		"(pool p)":                   "f:1:1: pool p has no members",
		"(pool p (member 10.0.0.1))": "f:1:9: member \"10.0.0.1\": want an IP address and a port",
		"(pool p (member 10.0.0.1:1) (member 10.0.0.1:1))":                                                "pool p has the member 10.0.0.1:1 twice",
		"(pool p (member 10.0.0.1:1 (weight 0)))":                                                         "found 0 in (weight ...), want a whole number of 1 to",
		"(pool p (member 10.0.0.1:1 (fail-timeout 3)))":                                                   "found 3 in (fail-timeout ...), want a time with its unit",
		"(pool p (member 10.0.0.1:1 (backup yes)))":                                                       "found yes, want nothing in (backup)",
		"(pool p (member 10.0.0.1:1 (backup)))":                                                           "pool p has only backups",
		"(pool p (method best) (member 10.0.0.1:1))":                                                      "found best in (method ...), want round-robin, least-conn",
		"(pool p (method hash) (member 10.0.0.1:1))":                                                      "(key ...) goes with the methods hash and hash-consistent",
		"(pool p (method hash) (key colour) (member 10.0.0.1:1))":                                         "key \"colour\", want uri, path, query, host, client or header:NAME",
		"(pool p (next sometimes) (member 10.0.0.1:1))":                                                   "found sometimes, want error, timeout",
		"(pool p (keepalive 1) (keepalive 2) (member 10.0.0.1:1))":                                        "(keepalive ...) is given twice, first at f:1:9",
		"(class c) (class c)":                                                                             "f:1:11: class c is defined twice, first at f:1:1",
		good + "\n(pool p (member 10.0.0.1:1))":                                                           "f:2:1: pool p is defined twice, first at f:1:11",
		"(class c (effect keyed))":                                                                        "class c is keyed and has no (window ...)",
		"(class c (aim 9s))":                                                                              "the deadline 5s is shorter than the aim 9s",
		"(class c (effect odd))":                                                                          "found odd in (effect ...), want safe, keyed, unsafe, by-method",
		"(server)":                                                                                        "f:1:1: a server without (listen ...)",
		"(server (listen here))":                                                                          "found here in (listen ...), want an IP address and a port",
		"(server (listen 1.2.3.4:5 often))":                                                               "found often, want default or nothing",
		"(server (listen 1.2.3.4:5) (location near /))":                                                   "found near in (location ...), want prefix, prefix-only, exact",
		"(server (listen 1.2.3.4:5) (location prefix / (pool q)))":                                        "location / goes to the pool q, which is not defined",
		good + "(server (listen 1.2.3.4:5) (location prefix / (pool p)))":                                 "location / has the class \"\", which is not defined",
		good + "(server (listen 1.2.3.4:5) (location prefix / (pool p) (class c) (return 200)))":          "has both (pool ...) and (return ...)",
		good + "(server (listen 1.2.3.4:5) (location prefix / (pool p) (class c) (fallback x 500)))":      "falls back to @x, which its server does not have",
		"(server (listen 1.2.3.4:5) (location named x) (location prefix / (fallback x)))":                 "(fallback x) has no statuses",
		"(server (listen 1.2.3.4:5) (location named x) (location prefix / (fallback x 404 (status no))))": "found no in (status ...), want own, same",
		"(server (listen 1.2.3.4:5) (location prefix / (rewrite a $2)))":                                  "a has no group 2",
		"(server (listen 1.2.3.4:5) (rewrite ( /x))":                                                      "f:1",
		"(server (listen 1.2.3.4:5) (rewrite \"(a\" /x))":                                                 "not a regex of RE2",
		"(server (listen 1.2.3.4:5) (rewrite a /x often))":                                                "no flag is called \"often\"",
		"(server (listen 1.2.3.4:5) (location named x (rewrite a /x)))":                                   "can't rewrite",
		"(server (listen 1.2.3.4:5) (location prefix / (return 99)))":                                     "found 99 in (return ...), want a status",
		"(server (listen 1.2.3.4:5) (location regex \"(?=a)\" (return 200)))":                             "not a regex of RE2",
		"(server (listen 1.2.3.4:5) (location prefix /a) (location prefix /a))":                           "is defined twice, first at f:1:28",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
}

// TestIncludes reads globs in order, relative to the file that they stand in, and names a cycle by its chain.
func TestIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	main := write("main.sexp", "(include \"pools/*.sexp\") (include more.sexp)")
	write("pools/b.sexp", "(pool b (member 10.0.0.2:1))")
	write("pools/a.sexp", "(pool a (member 10.0.0.1:1))")
	write("more.sexp", "(class c)")
	d, err := Load(main)
	if err != nil || len(d.Pools) != 2 || d.Pools[0].Name != "a" || len(d.Classes) != 1 {
		t.Errorf("%v, %+v", err, d)
	}
	write("more.sexp", "\n(include pools/../main.sexp)")
	if _, err := Load(main); err == nil || !strings.Contains(err.Error(), "more.sexp:2:1: the includes go round: ") {
		t.Errorf("a cycle: %v", err)
	}
	write("more.sexp", "(include nowhere.sexp)")
	if _, err := Load(main); err == nil || !strings.Contains(err.Error(), "more.sexp:1:1: ") {
		t.Errorf("a missing file: %v", err)
	}
}

// draw makes up a description.
func draw(t *rapid.T) *Config {
	word := func(what string) string {
		return rapid.SampledFrom([]string{"a", "stock", "with space", "quo\"te", "semi;colon", "back\\slash", "(paren)", "ä"}).Draw(t, what)
	}
	spans := func(what string) time.Duration {
		return time.Duration(rapid.IntRange(1, 100_000).Draw(t, what)) * time.Millisecond
	}
	d := &Config{Capacity: rapid.SampledFrom([]int{1, DefaultCapacity, 500}).Draw(t, "capacity")}
	c := Class{Name: word("class"), LatencyObjective: spans("aim"), Effect: rapid.SampledFrom([]string{EffectSafe, EffectNonIdempotent, EffectByMethod, EffectIdempotentByKey}).Draw(t, "effect"),
		Weight: float64(rapid.IntRange(0, 7).Draw(t, "worth")) / 4}
	c.Deadline = c.LatencyObjective + spans("deadline")
	if c.Effect == EffectIdempotentByKey {
		c.KeyWindow = spans("window")
	}
	d.Classes = []Class{c}
	p := defaultPool()
	p.Name = word("pool")
	p.BalancingPolicy = pool.BalancingPolicy(rapid.IntRange(0, int(pool.RandomTwo)).Draw(t, "method"))
	if p.BalancingPolicy == pool.Hash || p.BalancingPolicy == pool.HashConsistent {
		p.HashKey = rapid.SampledFrom(append([]string{"header:X-Shop"}, hashKeys...)).Draw(t, "key")
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "members") {
		m := pool.DefaultMember(fmt.Sprintf("10.0.0.%d:90", i))
		m.Weight, m.MaxConns, m.MaxFails = 1+rapid.IntRange(0, 9).Draw(t, "weight"), rapid.IntRange(0, 9).Draw(t, "conns"), rapid.IntRange(0, 3).Draw(t, "fails")
		m.FailTimeout, m.SlowStart, m.Down = spans("timeout"), spans("slow"), rapid.Bool().Draw(t, "down")
		m.Backup = i > 0 && (p.BalancingPolicy == pool.RoundRobin || p.BalancingPolicy == pool.LeastConn) && rapid.Bool().Draw(t, "backup")
		p.Members = append(p.Members, m)
	}
	p.RetryOn = pool.RetryCondition(rapid.IntRange(0, int(pool.NonIdempotent)*2-1).Draw(t, "next"))
	p.MaxAttempts, p.MaxIdleConns, p.ReadTimeout = rapid.IntRange(0, 5).Draw(t, "tries"), rapid.IntRange(0, 5).Draw(t, "keepalive"), spans("read")
	p.RetryRatio, p.EjectionLatencyFactor = float64(rapid.IntRange(0, 8).Draw(t, "share"))/8, float64(rapid.IntRange(0, 9).Draw(t, "factor"))
	d.Pools = []Pool{p}
	l := &Location{Kind: route.Kind(rapid.IntRange(0, int(route.RegexIgnoreCase)).Draw(t, "kind")), Pattern: "/" + rapid.SampledFrom([]string{"", "a", "a/", "b c"}).Draw(t, "pattern"),
		Pool: p.Name, Class: c.Name, Params: []Param{{word("name"), word("value")}}, InterceptErrors: true}
	s := Server{Listen: []Listen{{Default: rapid.Bool().Draw(t, "default")}}, Names: []string{"a.example", "*.b"}, MergeSlashes: rapid.Bool().Draw(t, "merge"),
		Locations: []*Location{l, {Kind: route.Named, Pattern: "fall", ReturnStatus: 503, ReturnText: word("text"), InterceptErrors: true}}}
	if rapid.Bool().Draw(t, "falls") {
		for range rapid.IntRange(1, 3).Draw(t, "fallbacks") {
			l.Fallbacks = append(l.Fallbacks, Fallback{"fall", []int{500, 502}, rapid.SampledFrom([]int{0, KeepStatus, 200}).Draw(t, "as")})
		}
		l.InterceptErrors = rapid.Bool().Draw(t, "intercept")
	}
	if rapid.Bool().Draw(t, "rewrites") {
		l.Rewrites = []Rewrite{{Pattern: "^/(.*)$", Replacement: "/x/$1", Flag: route.RewriteFlag(rapid.IntRange(0, 4).Draw(t, "flag"))}}
		s.Rewrites = []Rewrite{{Pattern: "a b", Replacement: word("to"), Flag: route.FlagLast}}
	}
	s.Listen[0].Addr = netip.MustParseAddrPort("10.1.1.1:80")
	d.Servers = []Server{s}
	return d
}

// places takes the places off a description, which another text has elsewhere.
func places(d *Config) {
	for i := range d.Classes {
		d.Classes[i].Pos = sexp.Pos{}
	}
	for i := range d.Pools {
		d.Pools[i].Pos = sexp.Pos{}
	}
	for i := range d.Servers {
		d.Servers[i].Pos = sexp.Pos{}
		for w := range d.Servers[i].Rewrites {
			d.Servers[i].Rewrites[w].Pos = sexp.Pos{}
		}
		for _, l := range d.Servers[i].Locations {
			l.Pos = sexp.Pos{}
			for w := range l.Rewrites {
				l.Rewrites[w].Pos = sexp.Pos{}
			}
		}
	}
}

// TestCanonical writes descriptions and reads them again: they are the same, and so is their text.
func TestCanonical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t)
		text := d.Format()
		back, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if again := back.Format(); again != text {
			t.Fatalf("the text is another:\n%s\n%s", text, again)
		}
		places(back)
		if !reflect.DeepEqual(back, d) {
			t.Fatalf("the description is another:\n%+v\n%+v\n%s", d, back, text)
		}
	})
}

// FuzzParse reads any text without a panic, and what it reads has one canonical form.
func FuzzParse(f *testing.F) {
	f.Add("(class c) (pool p (member 10.0.0.1:1)) (server (listen 1.2.3.4:5) (location prefix / (pool p) (class c)))")
	f.Add("(capacity 3) (pool p (method hash) (key uri) (member [::1]:1 (weight 3)))")
	f.Add("(server (listen 1.2.3.4:5) (location regex \"(\" (return 200)))")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		back, err := Parse("f", []byte(d.Format()))
		if err != nil || back.Format() != d.Format() {
			t.Errorf("%v: the canonical form of %q is not one:\n%s", err, text, d.Format())
		}
	})
}
