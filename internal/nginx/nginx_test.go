package nginx

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"tillerusher/internal/routeconfig"
	"tillerusher/internal/sexp"
)

// newFiles returns files in memory. The arguments are alternately the name and the text of a file.
func newFiles(namesAndTexts ...string) FSReader {
	files := fstest.MapFS{}
	for i := 0; i < len(namesAndTexts); i += 2 {
		files[namesAndTexts[i]] = &fstest.MapFile{Data: []byte(namesAndTexts[i+1])}
	}
	return FSReader{files}
}

// importText parses and imports a configuration that consists of one file.
func importText(t testing.TB, text string) (*routeconfig.Config, []Diagnostic, error) {
	t.Helper()
	directives, err := Parse(newFiles("nginx.conf", text), "nginx.conf")
	if err != nil {
		return nil, nil, err
	}
	return Import(directives)
}

// TestErrors checks that the error for each invalid configuration is one line with the position, the value that was
// found and the value that was expected.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"http {":    "nginx.conf:1:6: found the end of the file, want the \"}\" that closes this block",
		"}":         "nginx.conf:1:1: found \"}\", want a directive",
		"a":         "nginx.conf:1:2: found the end of the file, want an argument, \";\" or \"{\" in directive a",
		"a 'b":      "nginx.conf:1:3: found the end of the file, want the closing ' of this word",
		"a \"b\"c;": "nginx.conf:1:6: found 'c' after a quoted word",
		"a ${b;":    "nginx.conf:1:3: found ${ without the } that closes the variable",
		"upstream a { server 10.0.0.1; }\nupstream a {":                      "nginx.conf:2:12: found the end of the file",
		"upstream a { server 10.0.0.1; }\n\nupstream a { server 10.0.0.2; }": "nginx.conf:3:1: upstream a is defined twice, first at nginx.conf:1:1",
		"upstream a { server 10.0.0.1 weight=x; }":                           "nginx.conf:1:30: found \"weight=x\", want weight=NUMBER",
		"upstream a { server 10.0.0.1 wieght=2; }":                           "want weight, max_conns",
		"upstream a { server h.example; }":                                   "upstream a has no servers that can be imported",
		"server { location / { fastcgi_pass nowhere; } }":                    "nginx.conf:1:23: upstream nowhere is not defined",
		"server { location ! / { } }":                                        "found \"!\" in location, want =, ~, ~* or ^~",
		"server { location / { fastcgi_next_upstream bad; } }":               "nginx.conf:1:45: found \"bad\" in fastcgi_next_upstream",
		"server { location / { fastcgi_read_timeout 3x; } }":                 "found \"3x\" in fastcgi_read_timeout, want a time such as",
		"server { location / { return 999; } }":                              "found \"999\" in return, want a status of 100 to 599",
		"include a b;":                                                       "include has 2 arguments, want one and no block",
		"include nowhere.conf;":                                              "nginx.conf:1:1: include nowhere.conf",
	} {
		_, _, err := importText(t, text)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

// TestIncludes checks that the files of a glob are read in the order of their names and that an include cycle is
// reported with its chain of files.
func TestIncludes(t *testing.T) {
	files := newFiles("etc/nginx.conf", "http { include conf.d/*.conf; include more; }",
		"etc/conf.d/b.conf", "upstream b { server 10.0.0.2; }", "etc/conf.d/a.conf", "upstream a { server 10.0.0.1; }",
		"etc/more", "server { listen 81; location / { fastcgi_pass a; } include deep/x; }",
		"etc/deep/x", "location /x { fastcgi_pass b; }")
	directives, err := Parse(files, "etc/nginx.conf")
	if err != nil {
		t.Fatal(err)
	}
	names := []string{}
	for _, d := range directives[0].Block {
		names = append(names, d.String())
	}
	if !slices.Equal(names, []string{"upstream a {...}", "upstream b {...}", "server {...}"}) {
		t.Errorf("http block has the directives %q, want upstreams a and b and a server", names)
	}
	if c, _, err := Import(directives); err != nil || len(c.Pools) != 2 || len(c.Servers[0].Locations) != 2 ||
		c.Servers[0].Locations[1].Pos.File != "etc/deep/x" {
		t.Errorf("error %v, configuration %+v, want 2 pools and 2 locations, the second from etc/deep/x", err, c)
	}
	_, err = Parse(newFiles("a", "include b;", "b", "\n  include c;", "c", "include a;"), "a")
	var cycle *sexp.Error
	if !errors.As(err, &cycle) || cycle.Pos.File != "c" || cycle.Message != "include cycle: a -> b -> c -> a" {
		t.Errorf("include cycle: error %v, want one in file c that lists the chain", err)
	}
}

// TestWords checks that quotes, escapes, variables and comments are read as nginx reads them.
func TestWords(t *testing.T) {
	directives, err := Parse(newFiles("f", "a \"b c\" 'd\\'e' f\\;g ${h}i $j \"\" # k;\n \"l;\" m\\n;"), "f")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"b c", "d'e", "f\\;g", "${h}i", "$j", "", "l;", "m\n"}
	if got := directives[0].ArgTexts(); !slices.Equal(got, want) || directives[0].Args[6].Pos.Line != 2 {
		t.Errorf("arguments %q, want %q, the seventh on line 2", got, want)
	}
}

// TestDurations checks the parsing of times in nginx's format.
func TestDurations(t *testing.T) {
	for text, want := range map[string]time.Duration{"30": 30 * time.Second, "250ms": 250 * time.Millisecond,
		"1m30s": 90 * time.Second, "1h": time.Hour, "2d": 48 * time.Hour} {
		if got, err := ParseDuration(text); err != nil || got != want {
			t.Errorf("%s: duration %v, error %v, want %v", text, got, err, want)
		}
	}
}

// TestImport checks that the supported directives are imported and that each other directive is reported with its
// severity. The imported configuration must be in canonical form: parsing and formatting it again changes nothing.
func TestImport(t *testing.T) {
	c, diagnostics, err := importText(t, `worker_processes 4;
http {
  fastcgi_read_timeout 5s;
  fastcgi_param A 1;
  upstream stock { least_conn; server 10.0.0.1:9000 weight=3 max_fails=2 fail_timeout=5s; server 10.0.0.2:9000 backup; keepalive 8; zone z 64k; }
  upstream fit { hash $request_uri consistent; server 10.0.1.1:9000; server 10.0.1.2:9000 down; }
  server {
    listen 8080 default_server;
    server_name a.example *.b.example;
    location / { fastcgi_pass stock; }
    location = /x { return 404 gone; }
    location ^~ /fit/ { fastcgi_param B $args; fastcgi_param C 2; fastcgi_next_upstream error http_503; fastcgi_pass fit;
      location ~ \.php$ { fastcgi_pass stock; } }
    location ~* "\.(gif|jpg)$" { fastcgi_intercept_errors on; error_page 404 502 @fall; fastcgi_pass stock; }
    location @fall { scgi_pass 127.0.0.1:4000; }
    location /if { if ($x) { return 403; } fastcgi_pass $pool; }
    access_log off;
    frobnicate on;
  }
}`)
	if err != nil {
		t.Fatal(err)
	}
	text := c.Format()
	for _, want := range []string{"(pool stock\n  (method least-conn)\n  (member 10.0.0.1:9000 (weight 3) (max-fails 2) (fail-timeout 5s))\n  (member 10.0.0.2:9000 (backup))\n  (keepalive 8)\n  (read 5s))",
		"(method hash-consistent)\n  (key uri)", "(next error http_503)", "(listen 0.0.0.0:8080 default)",
		"(name a.example *.b.example)", "(location prefix-only /fit/", "(location regex \\.php$",
		"(return 404 gone)", "(fallback fall 404 502 (status same))", "(protocol scgi)", "(location named fall", "(param A 1)", "(param C 2)"} {
		if !strings.Contains(text, want) {
			t.Errorf("imported configuration lacks %q:\n%s", want, text)
		}
	}
	got := map[string]Severity{}
	for _, d := range diagnostics {
		got[strings.Fields(d.Directive)[0]+fmt.Sprint(d.Pos.Line)] = d.Severity
	}
	for directive, severity := range map[string]Severity{"worker_processes1": Harmless, "zone5": Harmless, "fastcgi_param12": Harmless,
		"if16": Unsafe, "fastcgi_pass16": Unsafe, "access_log17": Harmless, "frobnicate18": ChangesBehavior} {
		if s, ok := got[directive]; directive != "fastcgi_param12" && (!ok || s != severity) {
			t.Errorf("%s: severity %v, reported %t, want severity %v", directive, s, ok, severity)
		}
	}
	if _, isReported := got["fastcgi_param12"]; !isReported {
		t.Error("fastcgi_param with variables in line 12 is not reported")
	}
	again, err := routeconfig.Parse("again", []byte(text))
	if err != nil {
		t.Fatalf("imported configuration is invalid: %v\n%s", err, text)
	}
	if again.Format() != text {
		t.Errorf("imported configuration is not canonical:\n%s\nafter parsing and formatting:\n%s", text, again.Format())
	}
}

// TestUnsupportedIsReported checks that each unsupported directive is reported once, with its position.
func TestUnsupportedIsReported(t *testing.T) {
	for name := range unsupported {
		text := fmt.Sprintf("upstream u { server 10.0.0.1; } server { location / { %s x; fastcgi_pass u; } }", name)
		_, diagnostics, err := importText(t, text)
		if err != nil || len(diagnostics) != 1 || diagnostics[0].Pos.Column != 55 {
			t.Errorf("%s: diagnostics %v, error %v, want one diagnostic at column 55", name, diagnostics, err)
		}
	}
}

// TestRewrites checks the import of rewrite, try_files, error_page and parameters: rewrites are imported if their
// replacements have no variables except groups of the regex, and the others are reported.
func TestRewrites(t *testing.T) {
	for line, want := range map[string]string{
		"rewrite ^/a/(.*)$ /b/$1 last;":             "(rewrite \"^/a/(.*)$\" /b/$1 last)",
		"rewrite ^/a /b;":                           "(rewrite ^/a /b)",
		"rewrite ^/a https://x.example/ permanent;": "(rewrite ^/a https://x.example/ permanent)",
		"rewrite ^ /$host;":                         "unsafe: the path is not changed: its target is made of variables",
		"rewrite (?=a) /b;":                         "unsafe: the path is not changed: its regex is not one of RE2",
		"return 404; rewrite ^/a /b;":               "harmless: a return stands before it",
		"try_files $uri @f;":                        "changes behaviour: no files are looked for: all requests go to @f",
		"try_files $uri @g;":                        "unsafe: its server has no location @g",
		"try_files $uri =404;":                      "(return 404)",
		"try_files $uri /index.php?$args;":          "unsafe: no files are looked for",
		"try_files $uri =404; fastcgi_pass u;":      "changes behaviour: no files are looked for: all requests go to the pool",
		"error_page 404 = @f; fastcgi_pass u;":      "(fallback f 404)\n    (intercept no)",
		"error_page 404 500 =200 @f; return 404;":   "(fallback f 404 500 (status 200))",
		"error_page 404 @nowhere; fastcgi_pass u;":  "changes behaviour: error_page leads to @nowhere, which this server does not have",
		"error_page 404 /404.html;":                 "changes behaviour: only named locations take over",
		"error_page = @f;":                          "error_page has no status, want at least one of 300 to 599",
		"rewrite ^/a(b) /$2;":                       "found $2 in rewrite ^/a(b), whose regex has 1 groups",
		"rewrite ^/a /b often;":                     "want rewrite REGEX TARGET with last, break",
		"rewrite a;":                                "want rewrite REGEX TARGET",
		"scgi_read_timeout 3s; fastcgi_pass u;":     "(pool u\n  (member 10.0.0.1:80))",
		"scgi_param A 1; scgi_pass u;":              "(param A 1)",
		"fastcgi_param A 1; scgi_pass u;":           "(class imported))\n  (location named f",
	} {
		c, diagnostics, err := importText(t, "upstream u { server 10.0.0.1; } server { location / { "+line+" } location @f { fastcgi_pass u; } }")
		got := ""
		if err != nil {
			got = err.Error()
		} else {
			got = c.Format()
			for _, d := range diagnostics {
				got += d.String() + "\n"
			}
			if _, err := routeconfig.Parse("again", []byte(c.Format())); err != nil {
				t.Errorf("%s: imported configuration is invalid: %v\n%s", line, err, got)
			}
		}
		if !strings.Contains(got, want) {
			t.Errorf("%s: result lacks %q:\n%s", line, want, got)
		}
	}
	c, diagnostics, err := importText(t, "server { location @f { rewrite ^ /x; } }")
	if err != nil || len(diagnostics) != 1 || diagnostics[0].Severity != Unsafe || len(c.Servers[0].Locations[0].Rewrites) != 0 {
		t.Errorf("rewrite in a named location: diagnostics %v, error %v, want one unsafe diagnostic and no rewrite", diagnostics, err)
	}
}

// FuzzImport checks that the import of any text does not panic, and that the imported configuration is valid or is
// rejected with an error that has a position.
func FuzzImport(f *testing.F) {
	f.Add("http { upstream a { server 10.0.0.1; } server { location / { fastcgi_pass a; } } }")
	f.Add("include *; a 'b")
	f.Add("location")
	f.Fuzz(func(t *testing.T, text string) {
		c, _, err := importText(t, text)
		if err != nil || c == nil {
			return
		}
		if _, err := routeconfig.Parse("again", []byte(c.Format())); err != nil {
			// The importer leaves some checks to the parser of route configurations, such as for regexes that RE2
			// rejects.
			if !strings.Contains(err.Error(), ":") {
				t.Errorf("error %v, want one with a position", err)
			}
		}
	})
}

// TestOperatorsPage checks that the operators' page docs/nginx.md has a row for each unsupported directive.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/nginx.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, u := range unsupported {
		if row := fmt.Sprintf("| `%s` | %v | %s |", name, u.severity, u.reason); !strings.Contains(string(page), row) {
			t.Errorf("docs/nginx.md has no row %s", row)
		}
	}
}
