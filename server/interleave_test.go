package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
	"tillerusher/internal/servertest/interleave"
)

// Each test here has one thing come between two others, in an order of its own making: docs/design/crossings.md has
// the list, and what is ruled out by reading.

// waitCleanEnd waits for the end of a connection, and fails where it was reset instead, or carried anything more.
func waitCleanEnd(t *testing.T, g *servertest.Gateway) {
	t.Helper()
	if a, err := g.TryResponse(0); !errors.Is(err, io.EOF) {
		t.Errorf("%+v, %v instead of a clean end", a, err)
	}
}

// beforeEnd calls a function just before the server ends its side of a connection, by whatever system call.
func beforeEnd(system *interleave.System, of net.Conn, do func()) <-chan bool {
	done := make(chan bool)
	system.BeforeCall(func(call interleave.Syscall, fd int) bool {
		if call != interleave.Shutdown && call != interleave.Close || !interleave.IsPeer(fd, of) {
			return false
		}
		do()
		close(done)
		return true
	})
	return done
}

// waitRound waits until the server has read all that was written to it before.
func waitRound(s *Server) {
	for range 2 { // what is posted may be called in the round that began before
		onLoop(s, func() {})
	}
}

// TestCrossIdleClose has a request, or half of one, arrive at the very moment at which an idle connection is closed:
// the gateway reads the answer that it had not read yet, then a clean end and no reset, and the request is not run.
func TestCrossIdleClose(t *testing.T) {
	whole := fake.NewLookup("crosses").Encode(2)
	for what, late := range map[string][]byte{"a request": whole, "half a request": whole[:30], "a byte": whole[:1]} {
		t.Run(what, func(t *testing.T) {
			system := interleave.New()
			s, it := startServerOn(t, system, testSite(t))
			g := servertest.Dial(t, s.cfg.Listen.String())
			done := beforeEnd(system, g.Conn(), func() { g.Write(late) })
			g.Write(fake.NewLookup("answered").Encode(1))
			it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("x"))
			servertest.WaitFor(t, "the module's own setting", func() (set bool) {
				onLoop(s, func() { set = s.conns.idleTimeout > 0 })
				return set
			})
			onLoop(s, func() { actions{s}.CloseIdleConnections(20 * time.Millisecond) })
			<-done
			waitRound(s)
			if a := g.WaitResponse(1); a.Status != 200 {
				t.Errorf("answer before the end: %+v", a)
			}
			waitCleanEnd(t, g)
			if runs := it.StartedRuns(); len(runs) != 1 {
				t.Errorf("what came after the end was run: %v", runs)
			}
		})
	}
}

// TestCrossSlowWriter has the first bytes of a request arrive as idle connections are closed: it arrives whole and is
// answered.
func TestCrossSlowWriter(t *testing.T) {
	s, it := startServer(t)
	it.FinishImmediately()
	for cut := 1; cut < 24; cut++ {
		g := servertest.Dial(t, s.cfg.Listen.String())
		checkHealth(g, false)
		whole := fake.NewLookup("slowly").Encode(2)
		g.Write(whole[:cut])
		waitRound(s)
		onLoop(s, func() {
			idle := s.conns.idleTimeout
			s.conns.idleTimeout = time.Nanosecond
			s.conns.closeIdle()
			s.conns.idleTimeout = idle
		})
		g.Write(whole[cut:])
		if a, err := g.TryResponse(2); err != nil || a.Status != 200 && a.Status != 503 {
			t.Fatalf("%d bytes before, the rest after: %+v, %v", cut, a, err)
		}
	}
}

// TestCrossUnfinished has the rest of a request arrive as the connection is closed because it took too long.
func TestCrossUnfinished(t *testing.T) {
	system := interleave.New()
	s, it := startServerOn(t, system, testSite(t))
	g := servertest.Dial(t, s.cfg.Listen.String())
	whole := fake.NewLookup("late").Encode(1)
	done := beforeEnd(system, g.Conn(), func() { g.Write(whole[30:]) })
	g.Write(whole[:30])
	waitRound(s)
	onLoop(s, func() {
		for c := range s.conns.all() {
			if !c.incompleteSince.IsZero() {
				c.incompleteSince = c.incompleteSince.Add(-requestTimeout)
			}
		}
		s.conns.closeIdle()
	})
	<-done
	waitCleanEnd(t, g)
	if runs := it.StartedRuns(); len(runs) != 0 {
		t.Errorf("what came after the end was run: %v", runs)
	}
}

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

// TestCrossRoom has a gateway's first request lie unread as a connection is evicted for a new one: silent ones go
// before it.
func TestCrossRoom(t *testing.T) {
	system := interleave.New()
	s, it := startServerOn(t, system, testSite(t))
	most := s.cfg.Limits.Sockets - reservedSockets
	g := servertest.Dial(t, s.cfg.Listen.String())
	for range most - 1 {
		servertest.Dial(t, s.cfg.Listen.String())
	}
	servertest.WaitFor(t, "all to be let in", func() (in bool) {
		onLoop(s, func() { in = s.conns.len() == most })
		return in
	})
	onLoop(s, func() {
		g.Write(fake.NewLookup("just came").Encode(1))
		if !s.conns.evict() {
			t.Error("no room was made")
		}
	})
	it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("x"))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer %+v", a)
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

// isListener tells whether a descriptor is a listening socket.
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
	onLoop(s, func() { s.clock.origin = s.clock.origin.Add(-time.Second) }) // a second goes by
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
// flight and its end lies unread on the old link: the end is read on the new one, answered once, and the server ends.
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

// TestCrossLink has the link replaced while the end of a run lies unread on it, while a command is written but not
// read, and while the gauges are asked for: each run begins once, ends once and is answered once.
func TestCrossLink(t *testing.T) {
	s, it := startServer(t)
	g := servertest.Dial(t, s.cfg.Listen.String())
	move := func(with func()) {
		t.Helper()
		moved := it.AddListener()
		cfg := *s.cfg
		cfg.Interpreter = netip.MustParseAddrPort(moved)
		onLoop(s, func() {
			with()
			s.reload(&cfg)
		})
	}
	g.Write(fake.NewReserve(1, "x").Encode(1))
	id := it.WaitRuns(1)[0].ID
	move(func() { it.EndRun(id, "OK", []byte("one")) })
	if a := g.WaitResponse(1); a.Status != 200 || string(a.Body) != "one" {
		t.Errorf("end unread on the old link: %+v", a)
	}
	// The command goes out at the end of the round in which the request is read, so the link goes in the next.
	g.Write(fake.NewReserve(2, "y").Encode(2))
	waitRound(s)
	move(func() {})
	it.EndRun(it.WaitRuns(2)[1].ID, "OK", []byte("two"))
	if a := g.WaitResponse(2); a.Status != 200 || string(a.Body) != "two" {
		t.Errorf("command on the old link: %+v", a)
	}
	asked := make(chan bool, 1)
	move(func() { s.backend.QueryGauges(s.loop.Now(), func(_ []float64, ok bool) { asked <- ok }) })
	if <-asked {
		t.Error("a question on a link that went was answered as if it had come through")
	}
	g.Write(fake.NewReserve(2, "y").Encode(3))
	if a := g.WaitResponse(3); a.Status != 200 || string(a.Body) != "two" {
		t.Errorf("repeat on the new link: %+v", a)
	}
	if runs := it.StartedRuns(); len(runs) != 2 {
		t.Errorf("runs %v", runs)
	}
}

// TestCrossLinkDown has a request with an idempotency key reach its deadline while the link is down, so that the
// interpreter never heard of its run: a retry is run once the link is up, as the first attempt never ran.
func TestCrossLinkDown(t *testing.T) {
	site := testSite(t)
	site.Admission.Classes[1].Deadline = 300 * time.Millisecond
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	it.RejectLinks(true)
	it.CutLink()
	servertest.WaitFor(t, "the link to be lost", func() (lost bool) {
		onLoop(s, func() { lost = !s.backend.IsReady() })
		return lost
	})
	g.Write(fake.NewReserve(1, "x").Encode(1))
	if a := g.WaitResponse(1); a.Status != 500 {
		t.Errorf("due with the link down: %+v", a)
	}
	it.RejectLinks(false)
	servertest.WaitFor(t, "a new link", func() (stands bool) {
		onLoop(s, func() { stands = s.backend.IsReady() })
		return stands
	})
	g.Write(fake.NewReserve(1, "x").WithHeader("Attempt-Again", "1").Encode(2))
	runs := it.WaitRuns(1)
	it.EndRun(runs[0].ID, "OK", []byte("result"))
	if a := g.WaitResponse(2); len(runs) != 1 || a.Status != 200 && a.Status != 500 { // 500 where the machine is slow
		t.Errorf("a retry: %+v, runs %v", a, runs)
	}
}

// TestCrossReset has callers reset their connection right after it was accepted, before and after it is first read,
// with nothing, half a request or a whole one sent: the server goes on, and holds nothing of them.
func TestCrossReset(t *testing.T) {
	whole := fake.NewLookup("gone").Encode(1)
	for what, sent := range map[string][]byte{"nothing": nil, "half a request": whole[:30], "a request": whole} {
		t.Run(what, func(t *testing.T) {
			system := interleave.New()
			s, it := startServerOn(t, system, testSite(t))
			reset := func(c net.Conn) {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			done := make(chan bool)
			var g *servertest.Gateway
			onLoop(s, func() { // one that is reset while it waits to be accepted
				early := servertest.Dial(t, s.cfg.Listen.String())
				early.Write(sent)
				reset(early.Conn())
				g = servertest.Dial(t, s.cfg.Listen.String())
				g.Write(sent)
				system.BeforeCall(func(call interleave.Syscall, fd int) bool { // and one between the accept and the read
					if call != interleave.Read || !interleave.IsPeer(fd, g.Conn()) {
						return false
					}
					reset(g.Conn())
					close(done)
					return true
				})
			})
			if len(sent) == 0 { // nothing to be read would come
				onLoop(s, func() { g.Write([]byte{1}) })
			}
			<-done
			servertest.WaitFor(t, "the connections to be forgotten", func() (gone bool) {
				onLoop(s, func() { gone = s.conns.len() <= 1 && len(s.attempts.byID) == 0 })
				for _, r := range it.StartedRuns() {
					it.EndRun(r.ID, "STOPPED", nil)
				}
				return gone
			})
			next := servertest.Dial(t, s.cfg.Listen.String())
			if got := checkHealth(next, false); got != 200 {
				t.Errorf("the next caller: %d", got)
			}
		})
	}
}

// TestCrossRepeat has a retry of a request with an idempotency key read in one round with the end of the first attempt,
// whichever epoll reports first, and with its failure, and then once more: it is answered from the only run.
func TestCrossRepeat(t *testing.T) {
	for _, end := range []string{"OK", "ERROR"} {
		t.Run(end, func(t *testing.T) {
			s, it := startServer(t)
			first, second := servertest.Dial(t, s.cfg.Listen.String()), servertest.Dial(t, s.cfg.Listen.String())
			checkHealth(second, false)
			for n := range 20 { // the order in which epoll tells of them differs from round to round
				first.Write(fake.NewReserve(n, "x").Encode(1))
				id := it.WaitRuns(n + 1)[n].ID
				onLoop(s, func() {
					if n%2 == 0 {
						second.Write(fake.NewReserve(n, "x").WithHeader("Attempt-Again", "1").Encode(2))
						it.EndRun(id, end, []byte("result"))
					} else {
						it.EndRun(id, end, []byte("result"))
						second.Write(fake.NewReserve(n, "x").WithHeader("Attempt-Again", "1").Encode(2))
					}
				})
				want := map[string]int{"OK": 200, "ERROR": 500}[end]
				for g, id := range map[*servertest.Gateway]uint16{first: 1, second: 2} {
					if a := g.WaitResponse(id); a.Status != want || end == "OK" && string(a.Body) != "result" {
						t.Errorf("request %d, attempt %d: %+v", n, id, a)
					}
				}
			}
			if runs := it.StartedRuns(); len(runs) != 20 {
				t.Errorf("%d runs of 20 requests", len(runs))
			}
		})
	}
}

// TestCrossWindow has retries arrive at the end of the window, by their Received-At: up to the 50 ms that time limits
// on sockets are longer none is run.
func TestCrossWindow(t *testing.T) {
	site := testSite(t)
	window := 700 * time.Millisecond
	site.Admission.Classes[1].KeyWindow = window
	s, it := startServerAt(t, site)
	g := servertest.Dial(t, s.cfg.Listen.String())
	received := time.Now().Truncate(time.Millisecond)
	encodeAttempt := func(n int, after time.Duration) []byte {
		return fake.NewReserve(1, "x").WithHeader("Received-At", strconv.FormatInt(received.Add(after).UnixMilli(), 10)).Encode(uint16(n))
	}
	g.Write(encodeAttempt(1, 0))
	it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("result"))
	for n, after := range []time.Duration{0, window - time.Millisecond, window, window + time.Millisecond, window + 50*time.Millisecond} {
		g.Write(encodeAttempt(n+2, after))
		if a := g.WaitResponse(uint16(n + 2)); a.Status != 200 || string(a.Body) != "result" {
			t.Errorf("%v after the first: %+v", after, a)
		}
	}
	if runs := it.StartedRuns(); len(runs) != 1 {
		t.Errorf("runs %v", runs)
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

// TestCrossFullBuffer has a gateway that reads nothing be sent more than buffers hold as the server starts to drain:
// once it reads, all answers come whole, and then the end. One that never reads doesn't keep the server, which the end
// of the test waits for.
func TestCrossFullBuffer(t *testing.T) {
	for _, reads := range []bool{true, false} {
		t.Run(fmt.Sprintf("reads %t", reads), func(t *testing.T) {
			s, it := startServer(t)
			it.FinishImmediately()
			g := servertest.Dial(t, s.cfg.Listen.String())
			g.Conn().(*net.TCPConn).SetReadBuffer(4 << 10)
			body := bytes.Repeat([]byte("x"), 2000)
			sent := 0
			servertest.WaitFor(t, "a full buffer", func() (full bool) {
				for range MaxOpenRequests / 2 {
					sent++
					g.Write(fake.NewLookup(string(body)).Encode(uint16(sent)))
				}
				waitRound(s)
				onLoop(s, func() {
					for c := range s.conns.all() {
						full = full || c.conn.UnsentBytes() > 0
					}
				})
				return full
			})
			onLoop(s, func() {
				s.drain()
				s.stopListening()
			})
			if !reads {
				return
			}
			answers := 0
			a, err := g.TryResponse(0)
			for ; err == nil; a, err = g.TryResponse(0) {
				if a.Status != 200 && a.Status != 503 {
					t.Errorf("answer %+v", a)
				}
				answers++
			}
			if !errors.Is(err, io.EOF) || answers != sent {
				t.Errorf("%d answers to %d requests, then %v", answers, sent, err)
			}
		})
	}
}
