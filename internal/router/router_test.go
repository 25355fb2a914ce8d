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

// TestRoute has requests reach the members in turn, with their parameters, and the routes' own answers sent.
func TestRoute(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, twoMembers, a, b))
	got := ""
	for i := range 4 {
		g.Write(newRequest(fmt.Sprint("/p", i), "").Encode(1))
		ans := g.WaitResponse(1)
		if ans.Status != 200 || !strings.Contains(string(ans.Body), fmt.Sprint(" /p", i)) {
			t.Errorf("answer %+v", ans)
		}
		got += ans.Header.Get("X-Member")
	}
	if got != "abab" {
		t.Errorf("members %s", got)
	}
	if received := a.ReceivedParams(); len(received) != 2 || received[0]["ROUTED"] != "yes" || received[0]["REQUEST_METHOD"] != "GET" || received[0]["HTTP_HOST"] != "x" {
		t.Errorf("the member saw %v", received)
	}
	for path, want := range map[string]int{"/hello": 200, "/docs": 301, "/../x": 400} {
		g.Write(newRequest(path, "").Encode(1))
		if ans := g.WaitResponse(1); ans.Status != want {
			t.Errorf("%s: %+v", path, ans)
		}
	}
}

// TestRouteFailures has reads retried at the other member whatever the first does, and writes never once they may have
// run.
func TestRouteFailures(t *testing.T) {
	t.Run("fastcgi", func(t *testing.T) { testRouteFailures(t, startMember, "") })
	t.Run("scgi", func(t *testing.T) { testRouteFailures(t, startSCGIMember, "(protocol scgi)") })
}

// testRouteFailures plays TestRouteFailures with members of a protocol.
func testRouteFailures(t *testing.T, start func(testing.TB, string) *fake.Member, protocol string) {
	routes := strings.Replace(twoMembers, "(keepalive", protocol+" (keepalive", 1)
	for _, behavior := range []fake.Behavior{fake.Silent, fake.Truncated, fake.Failing, fake.Closing, fake.Overloaded,
		fake.Duplicated, fake.Malformed} {
		if behavior == fake.Duplicated && protocol == "" {
			continue // the first answer is complete, and its connection is not used again
		}
		a, b := start(t, "a"), start(t, "b")
		with := strings.NewReplacer("(keepalive", "(eject (errors 0)) (keepalive", "http_500", "http_500 http_503 invalid_header")
		_, g := startRouter(t, parseRoutes(t, with.Replace(routes), a, b))
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
		t.Errorf("a write that may have run: %+v", ans)
	}
	if n := len(a.ReceivedParams()) + len(b.ReceivedParams()); n != 1 {
		t.Errorf("a write reached members %d times", n)
	}
}

// TestRouteSCGI has complete requests reach SCGI members, on a connection each.
func TestRouteSCGI(t *testing.T) {
	a, b := startSCGIMember(t, "a"), startSCGIMember(t, "b")
	r, g := startRouter(t, parseRoutes(t, strings.Replace(twoMembers, "(keepalive", "(protocol scgi) (keepalive", 1), a, b))
	for i := range 4 {
		body := strings.Repeat("x", i*i*3000)
		g.Write(newRequest(fmt.Sprint("/p", i), body).Encode(1))
		ans := g.WaitResponse(1)
		if want := fmt.Sprintf("%s /p%d %s", ans.Header.Get("X-Member"), i, body); ans.Status != 200 || string(ans.Body) != want {
			t.Errorf("answer %d of %d bytes", ans.Status, len(ans.Body))
		}
	}
	if received := a.ReceivedParams(); len(received) != 2 || received[0]["ROUTED"] != "yes" || received[0]["REQUEST_METHOD"] != "GET" || received[0]["HTTP_HOST"] != "x" {
		t.Errorf("the member saw %v", received)
	}
	stats, _ := r.Stats()
	for _, c := range stats.Counters {
		if want := map[string]uint64{"dials": 4, "reused_connections": 0}; c.Name != "" && want[c.Name] != c.Value && (c.Name == "dials" || c.Name == "reused_connections") {
			t.Errorf("%s is %d", c.Name, c.Value)
		}
	}
}

// TestReloadProtocol has a reload change a pool's protocol while connections of the old one are idle.
func TestReloadProtocol(t *testing.T) {
	a, b := startMember(t, "a"), startSCGIMember(t, "b")
	r, g := startRouter(t, parseRoutes(t, strings.Replace(twoMembers, "(member @B)", "", 1), a))
	ask := func() string {
		g.Write(newRequest("/x", "").Encode(1))
		return g.WaitResponse(1).Header.Get("X-Member")
	}
	before := ask()
	r.Reload(parseRoutes(t, strings.NewReplacer("(member @A)", "", "(keepalive", "(protocol scgi) (keepalive").Replace(twoMembers), a, b))
	servertest.WaitFor(t, "the new routes", func() bool { return ask() == "b" })
	if before != "a" {
		t.Errorf("before the reload: %s", before)
	}
}

// TestSendTimeout has an attempt at a member that reads nothing end after the send timeout, not the longer read
// timeout.
func TestSendTimeout(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	a.SetBehavior(fake.NotReading, 0)
	a.Stop() // its listener was made before the behavior was set
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(twoMembers, "(read 300ms)", "(read 1h) (send 100ms)", 1)
	r, g := startRouter(t, parseRoutes(t, strings.ReplaceAll(text, "3s", "1h"), a, b))
	for range 2 { // one of them goes to a first
		r := fake.Request{Method: "GET", Path: "/r", Body: make([]byte, 800<<10), Headers: map[string]string{"Host": "x"}}
		g.Write(r.Encode(1))
		if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "b" {
			t.Errorf("answer %d of %s", ans.Status, ans.Header.Get("X-Member"))
		}
	}
	if timeouts := counter(t, r, "member_timeouts"); timeouts != 1 {
		t.Errorf("%d attempts timed out, want one", timeouts)
	}
}

// TestMemberAnswers503 has a member's 503 forwarded for a read, and turned into a failure for a request that must not
// run twice: gateways take a 503 to mean that nothing ran.
func TestMemberAnswers503(t *testing.T) {
	a, b := startSCGIMember(t, "a"), startSCGIMember(t, "b")
	a.SetBehavior(fake.Overloaded, 0)
	b.SetBehavior(fake.Overloaded, 0)
	_, g := startRouter(t, parseRoutes(t, strings.Replace(twoMembers, "(keepalive", "(protocol scgi) (keepalive", 1), a, b))
	for body, want := range map[string]int{"": 503, "a write": 502} {
		g.Write(newRequest("/x", body).Encode(1))
		if ans := g.WaitResponse(1); ans.Status != want {
			t.Errorf("body %q: %+v, want %d", body, ans, want)
		}
	}
}

// TestRouteFallback has named locations take over for statuses, once, with the status that is configured, and never run
// a request again that must not run twice.
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
	expect := func(what string, r fake.Request, want string) {
		t.Helper()
		if got := ask(r); got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	a.SetBehavior(fake.Failing, 0)
	expect("a read whose member fails", newRequest("/x", ""), "200 b")
	expect("a write whose member failed", newRequest("/x", "w"), "500")
	expect("an error that is not intercepted", newRequest("/kept", ""), "500")
	expect("the status that led to it", newRequest("/same", ""), "500 b")
	expect("a return", newRequest("/gone", ""), "299 b")
	expect("a return with a text", newRequest("/told", ""), "410")
	b.SetBehavior(fake.Failing, 0)
	expect("a fallback that fails too", newRequest("/x", ""), "500")
	b.SetBehavior(fake.Healthy, 0)
	a.SetBehavior(fake.Truncated, 0)
	expect("a write that may have run", newRequest("/x", "w"), "500")
	expect("a booking that may have run", newRequest("/book", "w").WithHeader("Once-Key", "k1"), "502")
	a.Stop()
	expect("a write that no member has seen", newRequest("/x", "w"), "200 b")
	expect("a booking that no member has seen", newRequest("/book", "w").WithHeader("Once-Key", "k2"), "502")
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	a.SetBehavior(fake.Healthy, 0)
	expect("the same again, which has not run", newRequest("/book", "w").WithHeader("Once-Key", "k2"), "200 a")
	expect("the one that may have run", newRequest("/book", "w").WithHeader("Once-Key", "k1"), "502")
}

// TestRouteRewrite has members get the rewritten path, and callers a permanent redirect.
func TestRouteRewrite(t *testing.T) {
	a := startMember(t, "a")
	_, g := startRouter(t, parseRoutes(t, `(class web)
(pool app (member @A))
(server (listen 0.0.0.0:0) (rewrite "^/old/(.*)" /new/$1?from=old)
  (location prefix /new/ (pool app) (class web))
  (location prefix /away/ (rewrite "^/away/(.*)" /there/$1 permanent)))`, a))
	g.Write(newRequest("/old/x", "").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 200 {
		t.Errorf("answer %+v", ans)
	}
	if received := a.ReceivedParams(); len(received) != 1 || received[0]["SCRIPT_NAME"] != "/new/x" {
		t.Errorf("the member saw %v", received)
	}
	g.Write(newRequest("/away/a%20b", "").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 301 || ans.Header.Get("Location") != "/there/a%20b" {
		t.Errorf("answer %+v", ans)
	}
}

// TestMembersDown has a dead member skipped, and requests answered when all are dead.
func TestMembersDown(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, twoMembers, a, b))
	a.Stop()
	for i := range 3 {
		g.Write(newRequest("/w", fmt.Sprint("body", i)).Encode(1))
		if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "b" {
			t.Errorf("answer %+v", ans)
		}
	}
	b.Stop()
	g.Write(newRequest("/x", "").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 500 && ans.Status != 503 {
		t.Errorf("without any member: %+v", ans)
	}
}

// TestRouteKeyed has a retry answered by the run of the first attempt.
func TestRouteKeyed(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	_, g := startRouter(t, parseRoutes(t, twoMembers, a, b))
	a.SetBehavior(fake.Healthy, 50*time.Millisecond)
	r := newRequest("/book", "x").WithHeader("Once-Key", "k1")
	g.Write(r.Encode(1), r.Encode(2))
	first, second := g.WaitResponse(1), g.WaitResponse(2)
	if first.Status != 200 || second.Status != 200 || string(first.Body) != string(second.Body) {
		t.Errorf("answers %+v, %+v", first, second)
	}
	if n := len(a.ReceivedParams()) + len(b.ReceivedParams()); n != 1 {
		t.Errorf("it ran %d times", n)
	}
	g.Write(newRequest("/book", "x").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 400 {
		t.Errorf("without its key: %+v", ans)
	}
}

// TestCrossMemberEnd has a member end its idle connections, as one that restarts does, between the poll that reported a
// request that must not run twice and the read of it, so that the end of the connection is not known yet: the request
// is sent on a new connection, and does not fail as one that may have run.
func TestCrossMemberEnd(t *testing.T) {
	a := startMember(t, "a")
	system := interleave.New()
	_, g := startRouterOn(t, system, parseRoutes(t, strings.Replace(twoMembers, "(member @B)", "", 1), a))
	g.Write(newRequest("/book", "x").WithHeader("Once-Key", "k1").Encode(1))
	if ans := g.WaitResponse(1); ans.Status != 200 {
		t.Fatalf("answer %+v", ans)
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
		t.Errorf("answer %+v", ans)
	}
}

// TestReload has members come and go while requests are open: those that left finish what they have.
func TestReload(t *testing.T) {
	a, b := startMember(t, "a"), startMember(t, "b")
	r, g := startRouter(t, parseRoutes(t, strings.Replace(twoMembers, "(member @B)", "", 1), a, b))
	a.SetBehavior(fake.Healthy, 200*time.Millisecond)
	g.Write(newRequest("/open", "").Encode(1))
	servertest.WaitFor(t, "the request at the member", func() bool { return len(a.ReceivedParams()) == 1 })
	r.Reload(parseRoutes(t, strings.Replace(twoMembers, "(member @A)", "", 1), a, b))
	servertest.WaitFor(t, "the new routes", func() bool { return counter(t, r, "reloads") == 1 })
	g.Write(newRequest("/new", "").Encode(2))
	if ans := g.WaitResponse(2); ans.Header.Get("X-Member") != "b" {
		t.Errorf("after the reload: %+v", ans)
	}
	if ans := g.WaitResponse(1); ans.Status != 200 || ans.Header.Get("X-Member") != "a" {
		t.Errorf("open at the reload: %+v", ans)
	}
}
