package server

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"tillerusher/internal/config"
	"tillerusher/internal/settings"
	"tillerusher/internal/testkit"
)

// testTold is what the test's settings say.
func testTold(t *testing.T) *settings.Told {
	t.Helper()
	told, err := settings.Parse([]byte(testkit.Settings))
	if err != nil {
		t.Fatal(err)
	}
	return told
}

// TestDeepCheck has a check do real work where the module does not have it answered from store: it is good
// only when the work was done, and not waited for without end.
func TestDeepCheck(t *testing.T) {
	it := testkit.NewInterpreter(t)
	cfg := &config.Config{Name: "n3", Listen: netip.MustParseAddrPort(testkit.FreeAddr(t)),
		Interpreter: netip.MustParseAddrPort(it.Addr()), Announce: netip.MustParseAddrPort("127.0.0.1:9"),
		Stop: time.Second, Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 64}, Settings: testTold(t)}
	s, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	defer func() {
		s.Drain()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	g := testkit.Dial(t, cfg.Listen.String())
	check := func(full bool) int {
		g.Write(testkit.Health(full).Records(1))
		return g.Answer(1).Status
	}
	testkit.Wait(t, "a healthy server", func() bool { return check(false) == 200 })
	set := make(chan bool)
	s.loop.Post(func() {
		s.fromStore = false
		close(set)
	})
	<-set
	if got := check(true); got != 200 {
		t.Errorf("deep check of a server that works: %d", got)
	}
	it.Mute()
	if got := check(true); got != 503 {
		t.Errorf("deep check of a server that does not work: %d", got)
	}
	if got := check(false); got != 200 {
		t.Errorf("shallow check: %d", got)
	}
}
