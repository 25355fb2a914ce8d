package routeconfig

import (
	"encoding/json"
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

// TestParseErrors checks that each invalid configuration is reported with its file and the expected text. Many of the
// texts have the line, the column and the expected form.
func TestParseErrors(t *testing.T) {
	const good = "(class c) (pool p (member 10.0.0.1:1)) "
	for text, want := range map[string]string{
		"(poool p)":                  "f:1:1: found (poool ...), want capacity, class, pool, server",
		"(pool)":                     "f:1:1: (pool ...) ends early, want the name of a pool",
		"(pool p)":                   "f:1:1: pool p has no members",
		"(pool p (member 10.0.0.1))": "f:1:9: member \"10.0.0.1\": want an IP address and a port",
		"(pool p (member 10.0.0.1:1) (member 10.0.0.1:1))":                                                "pool p has the member 10.0.0.1:1 twice",
		"(pool p (member 10.0.0.1:1 (weight 0)))":                                                         "found 0 in (weight ...), want an integer from 1 to",
		"(pool p (member 10.0.0.1:1 (fail-timeout 3)))":                                                   "found 3 in (fail-timeout ...), want a time with its unit",
		"(pool p (member 10.0.0.1:1 (backup yes)))":                                                       "found yes, want nothing in (backup)",
		"(pool p (member 10.0.0.1:1 (backup)))":                                                           "pool p has only backups",
		"(pool p (method best) (member 10.0.0.1:1))":                                                      "found best in (method ...), want round-robin, least-conn",
		"(pool p (method hash) (member 10.0.0.1:1))":                                                      "(key ...) is required with the methods hash and hash-consistent",
		"(pool p (method hash) (key colour) (member 10.0.0.1:1))":                                         "key \"colour\", want uri, path, query, host, client or header:NAME",
		"(pool p (next sometimes) (member 10.0.0.1:1))":                                                   "found sometimes, want error, timeout",
		"(pool p (keepalive 1) (keepalive 2) (member 10.0.0.1:1))":                                        "(keepalive ...) is given twice, first at f:1:9",
		"(class c) (class c)":                                                                             "f:1:11: class c is defined twice, first at f:1:1",
		good + "\n(pool p (member 10.0.0.1:1))":                                                           "f:2:1: pool p is defined twice, first at f:1:11",
		"(class c (effect keyed))":                                                                        "class c has (effect keyed) and no (window ...)",
		"(class c (aim 9s))":                                                                              "the deadline 5s is shorter than the aim 9s",
		"(class c (effect odd))":                                                                          "found odd in (effect ...), want safe, keyed, unsafe, by-method",
		"(server)":                                                                                        "f:1:1: server has no (listen ...), want at least one",
		"(server (listen here))":                                                                          "found here in (listen ...), want an IP address and a port",
		"(server (listen 1.2.3.4:5 often))":                                                               "found often, want default or nothing",
		"(server (listen 1.2.3.4:5) (location near /))":                                                   "found near in (location ...), want prefix, prefix-only, exact",
		"(server (listen 1.2.3.4:5) (location prefix / (pool q)))":                                        "location / has the pool q, which is not defined",
		good + "(server (listen 1.2.3.4:5) (location prefix / (pool p)))":                                 "location / has the class \"\", which is not defined",
		good + "(server (listen 1.2.3.4:5) (location prefix / (pool p) (class c) (return 200)))":          "has both (pool ...) and (return ...)",
		good + "(server (listen 1.2.3.4:5) (location prefix / (pool p) (class c) (fallback x 500)))":      "location / has the fallback @x, which is not defined in its server",
		"(server (listen 1.2.3.4:5) (location named x) (location prefix / (fallback x)))":                 "(fallback x) has no statuses",
		"(server (listen 1.2.3.4:5) (location named x) (location prefix / (fallback x 404 (status no))))": "found no in (status ...), want own, same",
		"(server (listen 1.2.3.4:5) (location prefix / (rewrite a $2)))":                                  "a has no group 2",
		"(server (listen 1.2.3.4:5) (rewrite ( /x))":                                                      "f:1",
		"(server (listen 1.2.3.4:5) (rewrite \"(a\" /x))":                                                 "invalid RE2 regex",
		"(server (listen 1.2.3.4:5) (rewrite a /x often))":                                                "unknown rewrite flag \"often\"",
		"(server (listen 1.2.3.4:5) (location named x (rewrite a /x)))":                                   "can't have rewrites",
		"(server (listen 1.2.3.4:5) (location prefix / (return 99)))":                                     "found 99 in (return ...), want a status",
		"(server (listen 1.2.3.4:5) (location regex \"(?=a)\" (return 200)))":                             "invalid RE2 regex",
		"(server (listen 1.2.3.4:5) (location prefix /a) (location prefix /a))":                           "is defined twice, first at f:1:28",
	} {
		_, err := Parse("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("%s: error %v, want one that begins with f: and contains %q", text, err, want)
		}
	}
}

// TestIncludes checks that the files of a glob are read in order, and that patterns are relative to the including file.
// An include cycle is reported by its chain and a missing file by its error, both with the position of the include.
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
	c, err := Load(main)
	if err != nil || len(c.Pools) != 2 || c.Pools[0].Name != "a" || len(c.Classes) != 1 {
		t.Errorf("error %v, configuration %+v, want the pools a and b and one class", err, c)
	}
	write("more.sexp", "\n(include pools/../main.sexp)")
	if _, err := Load(main); err == nil || !strings.Contains(err.Error(), "more.sexp:2:1: include cycle: ") {
		t.Errorf("include cycle: error %v, want one at more.sexp:2:1", err)
	}
	write("more.sexp", "(include nowhere.sexp)")
	if _, err := Load(main); err == nil || !strings.Contains(err.Error(), "more.sexp:1:1: ") {
		t.Errorf("missing file: error %v, want one at more.sexp:1:1", err)
	}
}

// TestJSON compares the JSON of a configuration with the output of `config show --json` from before the fields were
// renamed. Other programs read its keys.
func TestJSON(t *testing.T) {
	text, err := os.ReadFile("testdata/full.sexp")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/full.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse("full.sexp", text)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(c)
	if err != nil || string(got)+"\n" != string(want) {
		t.Errorf("error %v, JSON %s, want %s", err, got, want)
	}
}

// drawWord draws a word. Some of the words need quotes in a configuration.
func drawWord(t *rapid.T, label string) string {
	words := []string{"a", "stock", "with space", "quo\"te", "semi;colon", "back\\slash", "(paren)", "ä"}
	return rapid.SampledFrom(words).Draw(t, label)
}

// drawDuration draws a duration of 1 ms to 100 s.
func drawDuration(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.IntRange(1, 100_000).Draw(t, label)) * time.Millisecond
}

// drawConfig draws a configuration with one class, one pool and one server.
func drawConfig(t *rapid.T) *Config {
	class := drawClass(t)
	pool := drawPool(t)
	return &Config{
		Capacity: rapid.SampledFrom([]int{1, DefaultCapacity, 500}).Draw(t, "capacity"),
		Classes:  []Class{class},
		Pools:    []Pool{pool},
		Servers:  []Server{drawServer(t, pool.Name, class.Name)},
	}
}

// drawClass draws a class.
func drawClass(t *rapid.T) Class {
	effects := []Effect{EffectSafe, EffectNonIdempotent, EffectByMethod, EffectIdempotentByKey}
	c := Class{
		Name:             drawWord(t, "class"),
		LatencyObjective: drawDuration(t, "aim"),
		Effect:           rapid.SampledFrom(effects).Draw(t, "effect"),
		Weight:           float64(rapid.IntRange(0, 7).Draw(t, "worth")) / 4,
	}
	c.Deadline = c.LatencyObjective + drawDuration(t, "deadline")
	if c.Effect == EffectIdempotentByKey {
		c.KeyWindow = drawDuration(t, "window")
	}
	return c
}

// drawPool draws a pool.
func drawPool(t *rapid.T) Pool {
	drawn := defaultPool()
	drawn.Name = drawWord(t, "pool")
	drawn.BalancingPolicy = pool.BalancingPolicy(rapid.IntRange(0, int(pool.RandomTwo)).Draw(t, "method"))
	if drawn.BalancingPolicy == pool.Hash || drawn.BalancingPolicy == pool.HashConsistent {
		drawn.HashKey = rapid.SampledFrom(append([]string{"header:X-Shop"}, hashKeys...)).Draw(t, "key")
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "members") {
		m := pool.DefaultMember(fmt.Sprintf("10.0.0.%d:90", i))
		m.Weight = 1 + rapid.IntRange(0, 9).Draw(t, "weight")
		m.MaxConns = rapid.IntRange(0, 9).Draw(t, "conns")
		m.MaxFails = rapid.IntRange(0, 3).Draw(t, "fails")
		m.FailTimeout = drawDuration(t, "timeout")
		m.SlowStart = drawDuration(t, "slow")
		m.Down = rapid.Bool().Draw(t, "down")
		allowsBackup := drawn.BalancingPolicy == pool.RoundRobin || drawn.BalancingPolicy == pool.LeastConn
		m.Backup = i > 0 && allowsBackup && rapid.Bool().Draw(t, "backup")
		drawn.Members = append(drawn.Members, m)
	}
	drawn.RetryOn = pool.RetryCondition(rapid.IntRange(0, int(pool.NonIdempotent)*2-1).Draw(t, "next"))
	drawn.MaxAttempts = rapid.IntRange(0, 5).Draw(t, "tries")
	drawn.MaxIdleConns = rapid.IntRange(0, 5).Draw(t, "keepalive")
	drawn.ReadTimeout = drawDuration(t, "read")
	drawn.RetryRatio = float64(rapid.IntRange(0, 8).Draw(t, "share")) / 8
	drawn.EjectionLatencyFactor = float64(rapid.IntRange(0, 9).Draw(t, "factor"))
	return drawn
}

// drawServer draws a server with a location that has the pool and the class, and a named location.
func drawServer(t *rapid.T, poolName, className string) Server {
	location := &Location{
		Kind:            route.Kind(rapid.IntRange(0, int(route.RegexIgnoreCase)).Draw(t, "kind")),
		Pattern:         "/" + rapid.SampledFrom([]string{"", "a", "a/", "b c"}).Draw(t, "pattern"),
		Pool:            poolName,
		Class:           className,
		Params:          []Param{{drawWord(t, "name"), drawWord(t, "value")}},
		InterceptErrors: true,
	}
	named := &Location{
		Kind:            route.Named,
		Pattern:         "fall",
		ReturnStatus:    503,
		ReturnText:      drawWord(t, "text"),
		InterceptErrors: true,
	}
	server := Server{
		Listen:       []Listen{{Addr: netip.MustParseAddrPort("10.1.1.1:80"), Default: rapid.Bool().Draw(t, "default")}},
		Names:        []string{"a.example", "*.b"},
		MergeSlashes: rapid.Bool().Draw(t, "merge"),
		Locations:    []*Location{location, named},
	}
	if rapid.Bool().Draw(t, "falls") {
		for range rapid.IntRange(1, 3).Draw(t, "fallbacks") {
			status := rapid.SampledFrom([]int{OwnStatus, KeepStatus, 200}).Draw(t, "as")
			location.Fallbacks = append(location.Fallbacks, Fallback{"fall", []int{500, 502}, status})
		}
		location.InterceptErrors = rapid.Bool().Draw(t, "intercept")
	}
	if rapid.Bool().Draw(t, "rewrites") {
		flag := route.RewriteFlag(rapid.IntRange(0, 4).Draw(t, "flag"))
		location.Rewrites = []Rewrite{{Pattern: "^/(.*)$", Replacement: "/x/$1", Flag: flag}}
		server.Rewrites = []Rewrite{{Pattern: "a b", Replacement: drawWord(t, "to"), Flag: route.FlagLast}}
	}
	return server
}

// clearPositions removes the positions from a configuration, since they depend on the text that was parsed.
func clearPositions(c *Config) {
	for i := range c.Classes {
		c.Classes[i].Pos = sexp.Pos{}
	}
	for i := range c.Pools {
		c.Pools[i].Pos = sexp.Pos{}
	}
	for i := range c.Servers {
		c.Servers[i].Pos = sexp.Pos{}
		clearRewritePositions(c.Servers[i].Rewrites)
		for _, l := range c.Servers[i].Locations {
			l.Pos = sexp.Pos{}
			clearRewritePositions(l.Rewrites)
		}
	}
}

// clearRewritePositions removes the positions of rewrites.
func clearRewritePositions(rewrites []Rewrite) {
	for i := range rewrites {
		rewrites[i].Pos = sexp.Pos{}
	}
}

// TestCanonicalForm checks that formatting a configuration and parsing the text gives the same configuration, and that
// formatting that again gives the same text.
func TestCanonicalForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		text := c.Format()
		parsed, err := Parse("f", []byte(text))
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if again := parsed.Format(); again != text {
			t.Fatalf("formatted again, the text differs:\n%s\n%s", text, again)
		}
		clearPositions(parsed)
		if !reflect.DeepEqual(parsed, c) {
			t.Fatalf("the parsed configuration differs:\n%+v\n%+v\n%s", c, parsed, text)
		}
	})
}

// FuzzParse checks that Parse does not panic, and that formatting and parsing a valid configuration does not change its
// canonical form.
func FuzzParse(f *testing.F) {
	f.Add("(class c) (pool p (member 10.0.0.1:1)) (server (listen 1.2.3.4:5) (location prefix / (pool p) (class c)))")
	f.Add("(capacity 3) (pool p (method hash) (key uri) (member [::1]:1 (weight 3)))")
	f.Add("(server (listen 1.2.3.4:5) (location regex \"(\" (return 200)))")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		parsed, err := Parse("f", []byte(c.Format()))
		if err != nil || parsed.Format() != c.Format() {
			t.Errorf("error %v: parsing and formatting changes the canonical form of %q:\n%s", err, text, c.Format())
		}
	})
}
