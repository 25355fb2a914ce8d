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

// TestCrossExit sends a request as a draining server ends its connections: when the last one is idle, when the stop
// timeout is over, and when the interpreter is not up yet.
func TestCrossExit(t *testing.T) {
	for name, end := range map[string]func(s *Server){"idle": (*Server).drain, "stop timeout": (*Server).stopNow,
		"not yet up": (*Server).drain} {
		t.Run(name, func(t *testing.T) {
			system := interleave.New()
			it := servertest.NewInterpreter(t)
			if name == "not yet up" {
				it.MarkDown()
			}
			s := startServerWith(t, system, testSite(t), it)
			g := servertest.Dial(t, s.cfg.Listen.String())
			servertest.WaitFor(t, "a healthy server", func() bool { return name == "not yet up" || checkHealth(g, false) == 200 })
			checkHealth(g, false)
			done := beforeEnd(system, g.Conn(), func() { g.Write(fake.NewLookup("crosses").Encode(2)) })
			s.loop.Post(func() { end(s) })
			<-done
			waitCleanEnd(t, g)
			if runs := it.StartedRuns(); len(runs) != 0 {
				t.Errorf("runs %v, want none after the end", runs)
			}
		})
	}
}

// TestCrossListener has a caller connect and send a request just before the last accept: it is answered. A caller that
// connects after that, as the listener closes, is not accepted, and its request is not run.
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
		t.Errorf("caller before the last accept: %+v, want status 200", a)
	}
	if a, err := after.TryResponse(1); err == nil {
		t.Errorf("a caller that was not accepted was answered: %+v", a)
	}
	for _, r := range it.StartedRuns() {
		if string(r.Body) == "too late" {
			t.Error("a request of a caller that was not accepted was run")
		}
	}
}

// isListener reports whether a descriptor is a listening socket.
func isListener(fd int) bool {
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	return err == nil && listens == 1
}

// TestCrossDrain sends requests around the drain notice. A request sent in the round of the notice is run, as is one that
// arrives within the grace period. A later one is rejected immediately.
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
			t.Errorf("request %d: %+v, want status 200", id+1, a)
		}
	}
	onLoop(s, func() { s.clock.origin = s.clock.origin.Add(-time.Second) }) // one second passes
	g.Write(received(fake.NewLookup("after the grace"), 0).Encode(3))
	if a := g.WaitResponse(3); a.Status != 503 || a.Header.Get("Back-Off-Ms") == "" {
		t.Errorf("after the grace period: %+v, want a rejection", a)
	}
	if runs := it.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v, want 2", runs)
	}
	waitCleanEnd(t, g)
}

// TestCrossReloadDrain reloads the configuration and drains in one round, in either order, while a run is in flight and
// the notice of its end is unread on the old link. The notice is read on the new link, the request is answered once,
// and the server stops.
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
				t.Errorf("answer %+v, want status 200 and body result", a)
			}
			waitCleanEnd(t, g)
			if runs := it.StartedRuns(); len(runs) != 1 || it.LinkAddr() != moved {
				t.Errorf("runs %v, link to %s; want 1 run and the new link", runs, it.LinkAddr())
			}
		})
	}
}

// TestCrossDrainRepeat sends a retry after the drain notice while the first attempt runs, and another after the end of
// the run. Both get its result, and nothing runs again.
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
			t.Errorf("attempt %d: %+v, want the result", retry+1, a)
		}
	}
	g.Write(fake.NewReserve(1, "x").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "result" {
		t.Errorf("attempt after the end of the run: %+v, want the result", a)
	}
	if runs := it.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v, want 1", runs)
	}
}
