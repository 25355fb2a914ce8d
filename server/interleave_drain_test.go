package server

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
	"tillerusher/internal/servertest/interleave"
)

// TestCrossExit has a request arrive as a drained server ends its connections, by either way: after the last one was
// idle, and when the stop timeout is over.
func TestCrossExit(t *testing.T) {
	for what, end := range map[string]func(s *Server){"resting": (*Server).drain, "time up": (*Server).stopNow,
		"not yet up": (*Server).drain} {
		t.Run(what, func(t *testing.T) {
			system := interleave.New()
			it := servertest.NewInterpreter(t)
			if what == "not yet up" {
				it.MarkDown()
			}
			s := startServerWith(t, system, testSite(t), it)
			g := servertest.Dial(t, s.cfg.Listen.String())
			servertest.WaitFor(t, "the interpreter", func() bool { return what == "not yet up" || checkHealth(g, false) == 200 })
			checkHealth(g, false)
			done := beforeEnd(system, g.Conn(), func() { g.Write(fake.NewLookup("crosses").Encode(2)) })
			s.loop.Post(func() { end(s) })
			<-done
			waitCleanEnd(t, g)
			if runs := it.StartedRuns(); len(runs) != 0 {
				t.Errorf("what came after the end was run: %v", runs)
			}
		})
	}
}

// TestCrossListener has a caller connect with a request just before the last accept: it is answered. One that connects
// after that, as the listener closes, is not accepted, and nothing of it is run.
func TestCrossListener(t *testing.T) {
	system := interleave.New()
	s, it := startServerOn(t, system, testSite(t))
	it.FinishImmediately()
	var g, after *servertest.Gateway
	done := make(chan bool)
	onLoop(s, func() {
		s.drain()
		system.BeforeCall(func(call interleave.Syscall, fd int) bool {
			switch {
			case call == interleave.Accept && g == nil:
				g = servertest.Dial(t, s.cfg.Listen.String())
				g.Write(fake.NewLookup("in time").Encode(1))
			case call == interleave.Close && after == nil && isListener(fd):
				after = servertest.Dial(t, s.cfg.Listen.String())
				after.Write(fake.NewLookup("too late").Encode(1))
				close(done)
				return true
			}
			return false
		})
		s.stopListening()
	})
	<-done
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("a caller in time: %+v", a)
	}
	if a, err := after.TryResponse(1); err == nil {
		t.Errorf("a caller that was not let in was answered: %+v", a)
	}
	for _, r := range it.StartedRuns() {
		if string(r.Body) == "too late" {
			t.Error("a request of a caller that was not let in was run")
		}
	}
}

// isListener returns whether a descriptor is a listening socket.
func isListener(fd int) bool {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	return err == nil && listens == 1
}

// TestCrossDrain has requests read after the drain notice: those that arrived within the grace period are run, as are
// the notice and a request in one round, in either order; later ones are rejected at once.
func TestCrossDrain(t *testing.T) {
	site := testSite(t)
	site.Admission.DrainGracePeriod = 500 * time.Millisecond
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	onLoop(s, func() {
		g.Write(fake.NewLookup("with the notice").Encode(1))
		s.drain()
	})
	received := func(r fake.Request, late time.Duration) fake.Request {
		return r.WithHeader("Received-At", strconv.FormatInt(time.Now().Add(late).UnixMilli(), 10))
	}
	it.WaitRuns(1)
	g.Write(fake.NewLookup("within the grace").Encode(2))
	for _, r := range it.WaitRuns(2) {
		it.EndRun(r.ID, "OK", []byte("x"))
	}
	for id := range uint16(2) {
		if a := g.WaitResponse(id + 1); a.Status != 200 {
			t.Errorf("request %d: %+v", id+1, a)
		}
	}
	onLoop(s, func() { s.clock.origin = s.clock.origin.Add(-time.Second) }) // stored second passes
	g.Write(received(fake.NewLookup("after the grace"), 0).Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
		t.Errorf("after the grace: %+v", a)
	}
	if runs := it.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
	waitCleanEnd(t, g)
}

// TestCrossReloadDrain has a new configuration and the drain notice in one round, in either order, while a run is in
// flight and the notice of its end waits unread on the old link: the notice is read on the new one, the request is
// answered once, and the server ends.
func TestCrossReloadDrain(t *testing.T) {
	for _, first := range []string{"reload", "drain"} {
		t.Run(first, func(t *testing.T) {
			s, it := startServer(t)
			g := servertest.Dial(t, s.cfg.Listen.String())
			g.Write(fake.NewReserve(1, "x").Encode(1))
			id := it.WaitRuns(1)[0].ID
			moved := it.AddListener()
			cfg := *s.cfg
			cfg.Interpreter = netip.MustParseAddrPort(moved)
			cfg.StopTimeout *= 2
			onLoop(s, func() {
				it.EndRun(id, "OK", []byte("result"))
				if first == "reload" {
					s.reload(&cfg)
					s.drain()
				} else {
					s.drain()
					s.reload(&cfg)
				}
			})
			if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "result" {
				t.Errorf("answer %+v", a)
			}
			waitCleanEnd(t, g)
			if runs := it.StartedRuns(); len(runs) != 1 || it.LinkAddr() != moved {
				t.Errorf("runs %v on the link at %s", runs, it.LinkAddr())
			}
		})
	}
}

// TestCrossDrainRepeat has a retry arrive after the drain notice while the first attempt runs, and one after the end of
// it: both have its result, and nothing runs again.
func TestCrossDrainRepeat(t *testing.T) {
	site := testSite(t)
	site.Admission.DrainGracePeriod = 500 * time.Millisecond
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	g.Write(fake.NewReserve(1, "x").Encode(1))
	id := it.WaitRuns(1)[0].ID
	onLoop(s, func() {
		s.drain()
		g.Write(fake.NewReserve(1, "x").Encode(2))
	})
	waitRound(s)
	it.EndRun(id, "OK", []byte("result"))
	for retry := range uint16(2) {
		if a := g.WaitResponse(retry + 1); a.Status != 200 || string(a.Body) != "result" {
			t.Errorf("attempt %d: %+v", retry+1, a)
		}
	}
	g.Write(fake.NewReserve(1, "x").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "result" {
		t.Errorf("an attempt after the end: %+v", a)
	}
	if runs := it.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
	}
}
