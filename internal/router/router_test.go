package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
	"tillerusher/internal/servertest/interleave"
)

// TestRoute checks that requests go to the members in turn with their parameters, and that locations without a pool send
// their own responses.
func TestRoute(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, twoMemberRoutes, a, b))
	got := ""
	for i := range 4 {
		g.Write(newRequest(fmt.Sprint("/p", i), "").Encode(1))
		ans := g.WaitResponse(1)
		if ans.Status != 200 || !strings.Contains(string(ans.Body), fmt.Sprint(" /p", i)) {
			t.Errorf("response %+v", ans)
		}
		got += ans.Header.Get("X-Member")
	}
	if got != "abab" {
		t.Errorf("requests went to members %s, want abab", got)
	}
	if received := a.ReceivedParams(); len(received) != 2 || received[0]["ROUTED"] != "yes" || received[0]["REQUEST_METHOD"] != "GET" || received[0]["HTTP_HOST"] != "x" {
		t.Errorf("the member received %v", received)
	}
	for path, want := range map[string]int{"/hello": 200, "/docs": 301, "/../x": 400} {
		g.Write(newRequest(path, "").Encode(1))
		if ans := g.WaitResponse(1); ans.Status != want {
			t.Errorf("%s: %+v, want status %d", path, ans, want)
		}
	}
}

// TestRouteFailures checks that a read is retried at the other member for every kind of failure, and that a write is never
// retried once it may have run.
func TestRouteFailures(t *testing.T) {
	t.Run("fastcgi", func(t *testing.T) { testRouteFailures(t, startMember, "") })
	t.Run("scgi", func(t *testing.T) { testRouteFailures(t, startSCGIMember, "(protocol scgi)") })
}

// testRouteFailures runs TestRouteFailures with members of one protocol.
func testRouteFailures(t *testing.T, start func(testing.TB, string) *fake.Member, protocol string) {
	routes := strings.Replace(twoMemberRoutes, "(keepalive", protocol+" (keepalive", 1)
	for _, behavior := range []fake.Behavior{fake.Silent, fake.Truncated, fake.Failing, fake.Closing, fake.Overloaded,
		fake.Duplicated, fake.Malformed} {
		if behavior == fake.Duplicated && protocol == "" {
			continue // the first response is complete, and its connection is not used again
		}
		a, b := start(t, "a"), start(t, "b")
		replacer := strings.NewReplacer("(keepalive", "(eject (errors 0)) (keepalive", "http_500", "http_500 http_503 invalid_header")
		_, g := startRouter(t, parseRoutes(t, replacer.Replace(routes), a, b))
		a.SetBehavior(behavior, 0)
		for i := range 3 {
			g.Write(newRequest(fmt.Sprint("/r", i), "").Encode(1))
			if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "b" {
				t.Errorf("behavior %d, read %d: %+v", behavior, i, ans)
			}
		}
	}
	a, b := start(t, "a"), start(t, "b")
	_, g := startRouter(t, parseRoutes(t, routes, a, b))
	a.SetBehavior(fake.Truncated, 0)
	b.SetBehavior(fake.Truncated, 0)
	g.Write(newRequest("/w", "body").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 500 {
		t.Errorf("a write that may have run: %+v, want status 500", ans)
	}
	if n := len(a.ReceivedParams()) + len(b.ReceivedParams()); n != 1 {
		t.Errorf("a write reached members %d times, want 1", n)
	}
}

// TestRouteSCGI checks that complete requests reach SCGI members, each on a new connection.
func TestRouteSCGI(t *testing.T) {
	a, b := startSCGIMember(t, "a"), startSCGIMember(t, "b")
	r, g := startRouter(t, parseRoutes(t, strings.Replace(twoMemberRoutes, "(keepalive", "(protocol scgi) (keepalive", 1), a, b))
	for i := range 4 {
		body := strings.Repeat("x", i*i*3000)
		g.Write(newRequest(fmt.Sprint("/p", i), body).Encode(1))
		ans := g.WaitResponse(1)
		if want := fmt.Sprintf("%s /p%d %s", ans.Header.Get("X-Member"), i, body); ans.Status != 200 || string(ans.Body) != want {
			t.Errorf("request %d: status %d with %d bytes, want 200 with %d", i, ans.Status, len(ans.Body), len(want))
		}
	}
	if received := a.ReceivedParams(); len(received) != 2 || received[0]["ROUTED"] != "yes" || received[0]["REQUEST_METHOD"] != "GET" || received[0]["HTTP_HOST"] != "x" {
		t.Errorf("the member received %v", received)
	}
	stats, _ := r.Stats()
	for _, c := range stats.Counters {
		if want := map[string]uint64{"dials": 4, "reused_connections": 0}; c.Name != "" && want[c.Name] != c.Value && (c.Name == "dials" || c.Name == "reused_connections") {
			t.Errorf("%s is %d, want %d", c.Name, c.Value, want[c.Name])
		}
	}
}

// TestReloadProtocol checks a reload that changes a pool's protocol while connections with the old protocol are idle.
func TestReloadProtocol(t *testing.T) {
	a, b := startMember(t, "a"), startSCGIMember(t, "b")
	r, g := startRouter(t, parseRoutes(t, strings.Replace(twoMemberRoutes, "(member @B)", "", 1), a))
	ask := func() string {
		g.Write(newRequest("/x", "").Encode(1))
		return g.WaitResponse(1).Header.Get("X-Member")
	}
	before := ask()
	r.Reload(parseRoutes(t, strings.NewReplacer("(member @A)", "", "(keepalive", "(protocol scgi) (keepalive").Replace(twoMemberRoutes), a, b))
	servertest.WaitFor(t, "the new routes to be in force", func() bool { return ask() == "b" })
	if before != "a" {
		t.Errorf("before the reload: member %q, want a", before)
	}
}

// TestSendTimeout checks that an attempt at a member that reads nothing ends after the send timeout, not after the longer
// read timeout.
func TestSendTimeout(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	a.SetBehavior(fake.NotReading, 0)
	a.Stop() // its listener was made before the behavior was set
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(twoMemberRoutes, "(read 300ms)", "(read 1h) (send 100ms)", 1)
	r, g := startRouter(t, parseRoutes(t, strings.ReplaceAll(text, "3s", "1h"), a, b))
	for range 2 { // one of the two goes to member a first
		r := fake.Request{Method: "GET", Path: "/r", Body: make([]byte, 800<<10), Headers: map[string]string{"Host": "x"}}
		g.Write(r.Encode(1))
		if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "b" {
			t.Errorf("status %d from member %q, want 200 from b", ans.Status, ans.Header.Get("X-Member"))
		}
	}
	if timeouts := counter(t, r, "member_timeouts"); timeouts != 1 {
		t.Errorf("%d attempts timed out, want 1", timeouts)
	}
}

// TestMemberAnswers503 checks that a member's 503 is forwarded for a read and changed to 502 for a request that must not
// run twice. Gateways interpret 503 as proof that nothing ran.
func TestMemberAnswers503(t *testing.T) {
	a, b := startSCGIMember(t, "a"), startSCGIMember(t, "b")
	a.SetBehavior(fake.Overloaded, 0)
	b.SetBehavior(fake.Overloaded, 0)
	_, g := startRouter(t, parseRoutes(t, strings.Replace(twoMemberRoutes, "(keepalive", "(protocol scgi) (keepalive", 1), a, b))
	for body, want := range map[string]int{"": 503, "a write": 502} {
		g.Write(newRequest("/x", body).Encode(1))
		if ans := g.WaitResponse(1); ans.Status != want {
			t.Errorf("body %q: %+v, want %d", body, ans, want)
		}
	}
}

// TestRouteFallback checks that a named location replaces a location for the configured statuses, at most once per request
// and with the configured response status. A request that must not run twice and may have run is not sent to the fallback.
func TestRouteFallback(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, `(capacity 8)
(class web (aim 1s) (deadline 3s) (effect by-method))
(class book (aim 1s) (deadline 3s) (effect keyed) (window 10s))
(pool first (member @A (max-fails 0)) (read 100ms) (connect 100ms))
(pool second (member @B))
(server (listen 0.0.0.0:0)
  (location prefix / (pool first) (class web) (fallback other 500 502 504))
  (location prefix /book (pool first) (class book) (fallback sorry 502 504 (status 502)))
  (location prefix /kept (pool first) (class web) (fallback other 500 (status same)) (intercept no))
  (location prefix /same (pool first) (class web) (fallback other 500 502 (status same)))
  (location prefix /gone (return 410) (fallback other 410 (status 299)))
  (location prefix /told (return 410 "text") (fallback other 410))
  (location named other (pool second) (class web) (fallback other 500 502))
  (location named sorry (return 503)))`, a, b))
	ask := func(r fake.Request) string {
		g.Write(r.Encode(1))
		ans := g.WaitResponse(1)
		return strings.TrimSpace(fmt.Sprint(ans.Status, " ", ans.Header.Get("X-Member")))
	}
	expect := func(description string, r fake.Request, want string) {
		t.Helper()
		if got := ask(r); got != want {
			t.Errorf("%s: got %s, want %s", description, got, want)
		}
	}
	a.SetBehavior(fake.Failing, 0)
	expect("a read whose member fails", newRequest("/x", ""), "200 b")
	expect("a write whose member failed", newRequest("/x", "w"), "500")
	expect("an error that is not intercepted", newRequest("/kept", ""), "500")
	expect("a fallback that keeps the status of the error", newRequest("/same", ""), "500 b")
	expect("a return without a text", newRequest("/gone", ""), "299 b")
	expect("a return with a text", newRequest("/told", ""), "410")
	b.SetBehavior(fake.Failing, 0)
	expect("a fallback that fails too", newRequest("/x", ""), "500")
	b.SetBehavior(fake.Healthy, 0)
	a.SetBehavior(fake.Truncated, 0)
	expect("a write that may have run", newRequest("/x", "w"), "500")
	expect("a booking that may have run", newRequest("/book", "w").WithHeader("Once-Key", "k1"), "502")
	a.Stop()
	expect("a write that no member received", newRequest("/x", "w"), "200 b")
	expect("a booking that no member received", newRequest("/book", "w").WithHeader("Once-Key", "k2"), "502")
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	a.SetBehavior(fake.Healthy, 0)
	expect("a retry of the booking that has not run", newRequest("/book", "w").WithHeader("Once-Key", "k2"), "200 a")
	expect("a retry of the booking that may have run", newRequest("/book", "w").WithHeader("Once-Key", "k1"), "502")
}

// TestRouteRewrite checks that members receive the rewritten path, and that clients receive a permanent redirect.
func TestRouteRewrite(t *testing.T) {
	a := startMember(t, "a")
	_, g := startRouter(t, parseRoutes(t, `(class web)
(pool app (member @A))
(server (listen 0.0.0.0:0) (rewrite "^/old/(.*)" /new/$1?from=old)
  (location prefix /new/ (pool app) (class web))
  (location prefix /away/ (rewrite "^/away/(.*)" /there/$1 permanent)))`, a))
	g.Write(newRequest("/old/x", "").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 200 {
		t.Errorf("response %+v", ans)
	}
	if received := a.ReceivedParams(); len(received) != 1 || received[0]["SCRIPT_NAME"] != "/new/x" {
		t.Errorf("the member received %v", received)
	}
	g.Write(newRequest("/away/a%20b", "").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 301 || ans.Header.Get("Location") != "/there/a%20b" {
		t.Errorf("response %+v", ans)
	}
}

// TestMembersDown checks that requests avoid a stopped member, and get a response when all members are stopped.
func TestMembersDown(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, twoMemberRoutes, a, b))
	a.Stop()
	for i := range 3 {
		g.Write(newRequest("/w", fmt.Sprint("body", i)).Encode(1))
		if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "b" {
			t.Errorf("response %+v", ans)
		}
	}
	b.Stop()
	g.Write(newRequest("/x", "").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 500 && ans.Status != 503 {
		t.Errorf("all members stopped: %+v, want status 500 or 503", ans)
	}
}

// TestRouteKeyed checks that a retry with the same idempotency key receives the result of the first attempt's run.
func TestRouteKeyed(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, twoMemberRoutes, a, b))
	a.SetBehavior(fake.Healthy, 50*time.Millisecond)
	r := newRequest("/book", "x").WithHeader("Once-Key", "k1")
	g.Write(r.Encode(1), r.Encode(2))
	first, second := g.WaitResponse(1), g.WaitResponse(2)
	if first.Status != 200 || second.Status != 200 || string(first.Body) != string(second.Body) {
		t.Errorf("responses %+v and %+v, want two equal ones with status 200", first, second)
	}
	if n := len(a.ReceivedParams()) + len(b.ReceivedParams()); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
	g.Write(newRequest("/book", "x").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 400 {
		t.Errorf("without a key: %+v, want status 400", ans)
	}
}

// TestCrossMemberEnd restarts a member, which closes its idle connections, after the poll that reports a request that must
// not run twice and before the read of that request. The event loop has not seen the close yet. The router must send the
// request on a new connection; on the closed one it would fail as a request that may have run.
func TestCrossMemberEnd(t *testing.T) {
	a := startMember(t, "a")
	system := interleave.New()
	_, g := startRouterOn(t, system, parseRoutes(t, strings.Replace(twoMemberRoutes, "(member @B)", "", 1), a))
	g.Write(newRequest("/book", "x").WithHeader("Once-Key", "k1").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 200 {
		t.Fatalf("response %+v", ans)
	}
	system.BeforeCall(func(call interleave.Syscall, fd int) bool {
		if call != interleave.Read || !interleave.IsPeer(fd, g.Conn()) {
			return false
		}
		a.Stop()
		if err := a.Start(); err != nil {
			t.Error(err)
		}
		return true
	})
	g.Write(newRequest("/book", "y").WithHeader("Once-Key", "k2").Encode(2))
	if ans := g.WaitResponse(2); ans.Status != 200 {
		t.Errorf("response %+v", ans)
	}
}

// TestReload checks that a reload replaces a member while a request is open, and that the removed member finishes its open
// request.
func TestReload(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	r, g := startRouter(t, parseRoutes(t, strings.Replace(twoMemberRoutes, "(member @B)", "", 1), a, b))
	a.SetBehavior(fake.Healthy, 200*time.Millisecond)
	g.Write(newRequest("/open", "").Encode(1))
	servertest.WaitFor(t, "the request to reach the member", func() bool { return len(a.ReceivedParams()) == 1 })
	r.Reload(parseRoutes(t, strings.Replace(twoMemberRoutes, "(member @A)", "", 1), a, b))
	servertest.WaitFor(t, "the new routes to be in force", func() bool { return counter(t, r, "reloads") == 1 })
	g.Write(newRequest("/new", "").Encode(2))
	if ans := g.WaitResponse(2); ans.Header.Get("X-Member") != "b" {
		t.Errorf("a request after the reload: %+v, want member b", ans)
	}
	if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "a" {
		t.Errorf("a request that was open at the reload: %+v, want 200 from member a", ans)
	}
}
