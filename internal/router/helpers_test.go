package router

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/fake"
	"tillerusher/internal/routeconfig"
	"tillerusher/internal/servertest"
)

// startMember starts a FastCGI member. The test's cleanup stops it.
func startMember(t testing.TB, name string) *fake.Member {
	t.Helper()
	m, err := fake.NewMember(name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	return m
}

// startSCGIMember starts an SCGI member. The test's cleanup stops it.
func startSCGIMember(t testing.TB, name string) *fake.Member {
	t.Helper()
	m, err := fake.NewSCGIMember(name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Stop)
	return m
}

// parseRoutes parses routes after it has replaced @A, @B and so on by the members' addresses.
func parseRoutes(t testing.TB, text string, members ...*fake.Member) *routeconfig.Config {
	t.Helper()
	for i, m := range members {
		text = strings.ReplaceAll(text, "@"+string(rune('A'+i)), m.Addr())
	}
	routes, err := routeconfig.Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return routes
}

// twoMemberRoutes are routes to two members, with a class whose effect depends on the method and a class with an
// idempotency key.
const twoMemberRoutes = `(capacity 8)
(class web (aim 1s) (deadline 3s) (effect by-method))
(class book (aim 1s) (deadline 3s) (effect keyed) (window 10s))
(pool app (member @A) (member @B) (keepalive 4) (next error timeout http_500) (read 300ms) (connect 300ms))
(server (listen 0.0.0.0:0)
  (location prefix / (pool app) (class web) (param ROUTED yes))
  (location prefix /book (pool app) (class book))
  (location exact /hello (return 200 "hi"))
  (location prefix /docs/ (pool app) (class web)))`

// startRouter starts a router and returns it with a connected gateway. The test's cleanup drains it.
func startRouter(t testing.TB, routes *routeconfig.Config) (*Router, *servertest.Gateway) {
	t.Helper()
	return startRouterOn(t, eventloop.Kernel{}, routes)
}

// startRouterOn is like startRouter, with an event loop on the given system.
func startRouterOn(t testing.TB, system eventloop.System, routes *routeconfig.Config) (*Router, *servertest.Gateway) {
	t.Helper()
	listen := netip.MustParseAddrPort(servertest.FreeAddr(t))
	cfg := &Config{Name: "r", Listen: listen, StopTimeout: time.Second, MemoryMB: 64, Sockets: 256, Routes: routes, Seed: 1}
	r, err := NewOnSystem(system, cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- r.Run() }()
	t.Cleanup(func() {
		r.Drain()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return r, servertest.Dial(t, listen.String())
}

// listenAddr returns the address that a router listens on.
func listenAddr(r *Router) string { return r.backend.listen.String() }

// onLoop calls a function on the goroutine of the router's event loop and waits for its return.
func onLoop(r *Router, step func()) {
	done := make(chan bool)
	r.Post(func() {
		step()
		close(done)
	})
	<-done
}

// counter returns the value of the counter with the given name in the log.
func counter(t testing.TB, r *Router, name string) (value uint64) {
	t.Helper()
	isFound := false
	onLoop(r, func() {
		for _, c := range r.Counters() {
			if c.Name == name {
				value, isFound = c.Value, true
			}
		}
	})
	if !isFound {
		t.Fatalf("counter %s not found", name)
	}
	return value
}

// newRequest returns a request without the platform's fields: a POST if it has a body, else a GET.
func newRequest(path, body string) fake.Request {
	r := fake.Request{Method: "GET", Path: path, Body: []byte(body), Headers: map[string]string{"Host": "x"}}
	if body != "" {
		r.Method = "POST"
	}
	return r
}
