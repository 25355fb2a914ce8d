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

// testSite returns the settings of the tests' site, but for the cores: so many first runs have to end before a time
// without an end is taken for a stall that a test on a slow machine never gets there. Stalls are covered by the
// module's tests.
func testSite(t *testing.T) *settings.Site {
	t.Helper()
	site, err := settings.Parse([]byte(fake.SiteSettings))
	if err != nil {
		t.Fatal(err)
	}
	site.Admission.Cores = 10_000
	return site
}

// startServer starts a server with an interpreter. It serves when it is returned, and drains with the test.
func startServer(t *testing.T) (*Server, *servertest.Interpreter) {
	t.Helper()
	return startServerAt(t, testSite(t))
}

// startServerAt is startServer at a site.
func startServerAt(t *testing.T, site *settings.Site) (*Server, *servertest.Interpreter) {
	t.Helper()
	return startServerOn(t, eventloop.Kernel{}, site)
}

// startServerOn is startServerAt with another system than the machine's.
func startServerOn(t *testing.T, system eventloop.System, site *settings.Site) (*Server, *servertest.Interpreter) {
	t.Helper()
	it := servertest.NewInterpreter(t)
	s := startServerWith(t, system, site, it)
	g := servertest.Dial(t, s.cfg.Listen.String())
	defer g.Close()
	servertest.WaitFor(t, "a healthy server", func() bool { return checkHealth(g, false) == 200 })
	return s, it
}

// startServerWith starts a server with an interpreter that need not be up.
func startServerWith(t *testing.T, system eventloop.System, site *settings.Site, it *servertest.Interpreter) *Server {
	t.Helper()
	cfg := &config.Config{Name: "n3", Listen: netip.MustParseAddrPort(servertest.FreeAddr(t)),
		Interpreter: netip.MustParseAddrPort(it.Addr()), LoadReports: netip.MustParseAddrPort("127.0.0.1:9"),
		StopTimeout: time.Second, Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64}, Settings: site}
	s, err := NewOnSystem(system, cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	runUntilTestEnd(t, s)
	return s
}

// runUntilTestEnd runs a server until the test ends, and drains it then.
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

// onLoop calls a function on the server's goroutine, and waits for it.
func onLoop(s *Server, step func()) {
	done := make(chan bool)
	s.loop.Post(func() {
		step()
		close(done)
	})
	<-done
}

// TestDeepHealthCheck has a deep check ask the backend where the module does not fix the answer: it succeeds only when
// the backend did work, and does not wait for ever.
func TestDeepHealthCheck(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	onLoop(s, func() { s.health.isFixed = false })
	if got := checkHealth(g, true); got != 200 {
		t.Errorf("deep check of a server that works: %d", got)
	}
	it.IgnoreQueries()
	if got := checkHealth(g, true); got != 503 {
		t.Errorf("deep check of a server that does not work: %d", got)
	}
	if got := checkHealth(g, false); got != 200 {
		t.Errorf("shallow check: %d", got)
	}
	onLoop(s, func() { actions{s}.SetHealth(false, true) })
	if got := checkHealth(g, false); got != 503 {
		t.Errorf("check of a server that the module calls bad: %d", got)
	}
}

// TestCloseIdle closes connections that are idle for the timeout the module sets, and none with an open request.
func TestCloseIdle(t *testing.T) {
	s, it := startServer(t)
	idle, busy := servertest.Dial(t, s.cfg.Listen.String()), servertest.Dial(t, s.cfg.Listen.String())
	checkHealth(idle, false)
	busy.Write(fake.NewLookup("").Encode(1))
	run := it.WaitRuns(1)[0].ID
	servertest.WaitFor(t, "the module's own setting", func() (set bool) {
		onLoop(s, func() { set = s.conns.idleTimeout > 0 })
		return set
	})
	onLoop(s, func() { actions{s}.CloseIdleConnections(20 * time.Millisecond) })
	idle.WaitClosed()
	it.EndRun(run, "OK", []byte("x"))
	if a := busy.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer on the connection with an open request: %+v", a)
	}
	busy.WaitClosed()
	onLoop(s, func() {
		if s.conns.counters.idleClosed < 2 {
			t.Errorf("%d connections were closed as idle", s.conns.counters.idleClosed)
		}
	})
}

// TestLoadReportInterval has a quarter of the reports be lost: that all are which are sent while a server stays on the
// endpoint list must happen less than once in a million times.
func TestLoadReportInterval(t *testing.T) {
	if chance := math.Pow(0.25, math.Floor(float64(endpointExpiry)/float64(loadReportInterval))); chance > 1e-6 {
		t.Errorf("all reports are lost with a chance of %v", chance)
	}
}
