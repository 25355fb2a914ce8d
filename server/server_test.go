package server

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
	"tillerusher/internal/eventloop"
	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
	"tillerusher/internal/settings"
)

// testSite returns the settings of the tests' site, except that it has many more cores. The module detects stalls only
// after a number of finished runs for each core, so a test on a slow machine never gets there. The module's tests cover
// stalls.
func testSite(t *testing.T) *settings.Site {
	t.Helper()
	site, err := settings.Parse([]byte(fake.SiteSettings))
	if err != nil {
		t.Fatal(err)
	}
	site.Admission.Cores = 10_000
	return site
}

// startServer starts a server with an interpreter, and waits until it is healthy. It drains at the end of the test.
func startServer(t *testing.T) (*Server, *servertest.Interpreter) {
	t.Helper()
	return startServerAt(t, testSite(t))
}

// startServerAt is like startServer, for the given site.
func startServerAt(t *testing.T, site *settings.Site) (*Server, *servertest.Interpreter) {
	t.Helper()
	return startServerOn(t, eventloop.Kernel{}, site)
}

// startServerOn is like startServerAt, on another system than the machine's.
func startServerOn(t *testing.T, system eventloop.System, site *settings.Site) (*Server, *servertest.Interpreter) {
	t.Helper()
	it := servertest.NewInterpreter(t)
	s := startServerWith(t, system, site, it)
	g := servertest.Dial(t, s.cfg.Listen.String())
	defer g.Close()
	servertest.WaitFor(t, "a healthy server", func() bool { return checkHealth(g, false) == 200 })
	return s, it
}

// startServerWith starts a server with an interpreter that may be down, and does not wait until the server is healthy.
func startServerWith(t *testing.T, system eventloop.System, site *settings.Site, it *servertest.Interpreter) *Server {
	t.Helper()
	return startServerWithMemory(t, system, site, it, 64)
}

// startServerWithMemory is like startServerWith, for a server with the given memory limit.
func startServerWithMemory(t *testing.T, system eventloop.System, site *settings.Site, it *servertest.Interpreter, memoryMB int) *Server {
	t.Helper()
	cfg := &config.Config{Name: "n3", Listen: netip.MustParseAddrPort(servertest.FreeAddr(t)),
		Interpreter: netip.MustParseAddrPort(it.Addr()), LoadReports: netip.MustParseAddrPort("127.0.0.1:9"),
		StopTimeout: time.Second, Limits: config.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: 64}, Settings: site}
	s, err := NewOnSystem(system, cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	runUntilTestEnd(t, s)
	return s
}

// runUntilTestEnd runs a server until the test ends, and then drains it.
func runUntilTestEnd(t testing.TB, s *Server) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	t.Cleanup(func() {
		s.Drain()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// checkHealth returns the status of a health check.
func checkHealth(g *servertest.Gateway, full bool) int {
	g.Write(fake.NewHealthCheck(full).Encode(1))
	return g.WaitResponse(1).Status
}

// onLoop calls a function on the loop's goroutine, and waits until it has returned.
func onLoop(s *Server, fn func()) {
	done := make(chan bool)
	s.loop.Post(func() {
		fn()
		close(done)
	})
	<-done
}

// TestDeepHealthCheck checks that a deep check asks the backend if the module does not fix the answer. It succeeds only
// if the backend did work, and does not wait for ever.
func TestDeepHealthCheck(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	onLoop(s, func() { s.health.isFixed = false })
	if got := checkHealth(g, true); got != 200 {
		t.Errorf("deep check with a working backend: %d, want 200", got)
	}
	it.IgnoreQueries()
	if got := checkHealth(g, true); got != 503 {
		t.Errorf("deep check with a backend that does not answer: %d, want 503", got)
	}
	if got := checkHealth(g, false); got != 200 {
		t.Errorf("shallow check: %d, want 200", got)
	}
	onLoop(s, func() { actions{s}.SetHealth(false, true) })
	if got := checkHealth(g, false); got != 503 {
		t.Errorf("check of a server that the module set unhealthy: %d, want 503", got)
	}
}

// TestCloseIdle checks that connections that are idle for the timeout of the module are closed, and none with an open
// request.
func TestCloseIdle(t *testing.T) {
	s, it := startServer(t)
	idle, busy := servertest.Dial(t, s.cfg.Listen.String()), servertest.Dial(t, s.cfg.Listen.String())
	checkHealth(idle, false)
	busy.Write(fake.NewLookup("").Encode(1))
	run := it.WaitRuns(1)[0].ID
	servertest.WaitFor(t, "the module's idle timeout", func() (set bool) {
		onLoop(s, func() { set = s.conns.idleTimeout > 0 })
		return set
	})
	onLoop(s, func() { actions{s}.CloseIdleConnections(20 * time.Millisecond) })
	idle.WaitClosed()
	it.EndRun(run, "OK", []byte("x"))
	if a := busy.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer on the connection with an open request: %+v, want status 200", a)
	}
	busy.WaitClosed()
	onLoop(s, func() {
		if s.conns.counters.idleClosed < 2 {
			t.Errorf("%d connections were closed as idle, want at least 2", s.conns.counters.idleClosed)
		}
	})
}

// TestLoadReportInterval assumes that a quarter of the reports is lost. The chance that all reports within endpointExpiry
// are lost, which removes a server from the endpoint list, must be at most one in a million.
func TestLoadReportInterval(t *testing.T) {
	if chance := math.Pow(0.25, math.Floor(float64(endpointExpiry)/float64(loadReportInterval))); chance > 1e-6 {
		t.Errorf("all reports within the endpoint expiry are lost with probability %v, want at most 1e-6", chance)
	}
}
