package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/servertest"
	"tillerusher/internal/servertest/interleave"
)

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

// TestCrossSlowWriter has the first bytes of a request arrive as idle connections are closed: it arrives completely and
// is answered.
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

// TestCrossRoom has a gateway's first request wait unread as a connection is evicted for a new one: silent ones are
// evicted before it.
func TestCrossRoom(t *testing.T) {
	system := interleave.New()
	s, it := startServerOn(t, system, testSite(t))
	maxConns := s.cfg.Limits.Sockets - reservedSockets
	g := servertest.Dial(t, s.cfg.Listen.String())
	for range maxConns - 1 {
		servertest.Dial(t, s.cfg.Listen.String())
	}
	servertest.WaitFor(t, "all to be let in", func() (in bool) {
		onLoop(s, func() { in = s.conns.len() == maxConns })
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

// TestCrossReset has callers reset their connection right after it was accepted, before and after it is first read,
// with nothing, half a request or a complete one sent: the server goes on, and keeps nothing of them.
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

// TestCrossFullBuffer has a gateway that reads nothing be sent more than buffers hold as the server starts to drain:
// once it reads, all answers arrive completely, and then the end. One that never reads doesn't keep the server from
// ending, which the end of the test waits for.
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
				var open int
				onLoop(s, func() { open = len(s.attempts.byID) })
				if open > 0 {
					return false // more than MaxOpenRequests at once would be rejected on a slow machine
				}
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
