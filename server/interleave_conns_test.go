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

// TestCrossIdleClose sends a request, or a part of one, at the moment at which an idle connection is closed. The gateway
// must read the answer that it had not read yet, then the end of the stream without a reset. The request is not run.
func TestCrossIdleClose(t *testing.T) {
	whole := fake.NewLookup("crosses").Encode(2)
	for name, late := range map[string][]byte{"a request": whole, "half a request": whole[:30], "a byte": whole[:1]} {
		t.Run(name, func(t *testing.T) {
			system := interleave.New()
			s, it := startServerOn(t, system, testSite(t))
			g := servertest.Dial(t, s.cfg.Listen.String())
			done := beforeEnd(system, g.Conn(), func() { g.Write(late) })
			g.Write(fake.NewLookup("answered").Encode(1))
			it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("x"))
			servertest.WaitFor(t, "the module's idle timeout", func() (set bool) {
				onLoop(s, func() { set = s.conns.idleTimeout > 0 })
				return set
			})
			onLoop(s, func() { actions{s}.CloseIdleConnections(20 * time.Millisecond) })
			<-done
			waitRound(s)
			if a := g.WaitResponse(1); a.Status != 200 {
				t.Errorf("answer before the end: %+v, want status 200", a)
			}
			waitCleanEnd(t, g)
			if runs := it.StartedRuns(); len(runs) != 1 {
				t.Errorf("runs %v, want none of the request after the end", runs)
			}
		})
	}
}

// TestCrossSlowWriter closes idle connections after the first bytes of a request have arrived. The request must be
// received completely and answered.
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
			t.Fatalf("%d bytes before the scan, the rest after it: %+v, error %v; want status 200 or 503", cut, a, err)
		}
	}
}

// TestCrossUnfinished sends the rest of a request at the moment at which the connection is closed because the request
// took too long.
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
		t.Errorf("runs %v, want none after the end", runs)
	}
}

// TestCrossRoom evicts a connection for a new one while the first request of a gateway is unread. Silent connections
// must be evicted before the gateway's connection.
func TestCrossRoom(t *testing.T) {
	system := interleave.New()
	s, it := startServerOn(t, system, testSite(t))
	maxConns := s.cfg.Limits.Sockets - reservedSockets
	g := servertest.Dial(t, s.cfg.Listen.String())
	for range maxConns - 1 {
		servertest.Dial(t, s.cfg.Listen.String())
	}
	servertest.WaitFor(t, "the accept of all connections", func() (in bool) {
		onLoop(s, func() { in = s.conns.len() == maxConns })
		return in
	})
	onLoop(s, func() {
		g.Write(fake.NewLookup("just came").Encode(1))
		if !s.conns.evict() {
			t.Error("no connection was evicted")
		}
	})
	it.EndRun(it.WaitRuns(1)[0].ID, "OK", []byte("x"))
	if a := g.WaitResponse(1); a.Status != 200 {
		t.Errorf("answer %+v, want status 200", a)
	}
}

// TestCrossReset has callers reset their connection before the server accepts it, and between the accept and the first
// read, after they sent nothing, half a request or a complete one. The server must continue and keep no state of them.
func TestCrossReset(t *testing.T) {
	whole := fake.NewLookup("gone").Encode(1)
	for name, sent := range map[string][]byte{"nothing": nil, "half a request": whole[:30], "a request": whole} {
		t.Run(name, func(t *testing.T) {
			system := interleave.New()
			s, it := startServerOn(t, system, testSite(t))
			reset := func(c net.Conn) {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			done := make(chan bool)
			var g *servertest.Gateway
			onLoop(s, func() { // the first is reset while it waits to be accepted
				early := servertest.Dial(t, s.cfg.Listen.String())
				early.Write(sent)
				reset(early.Conn())
				g = servertest.Dial(t, s.cfg.Listen.String())
				g.Write(sent)
				system.BeforeCall(func(call interleave.Syscall, fd int) bool { // the second between the accept and the read
					if call != interleave.Read || !interleave.IsPeer(fd, g.Conn()) {
						return false
					}
					reset(g.Conn())
					close(done)
					return true
				})
			})
			if len(sent) == 0 { // without a byte, the server would not read
				onLoop(s, func() { g.Write([]byte{1}) })
			}
			<-done
			servertest.WaitFor(t, "the removal of the connections", func() (gone bool) {
				onLoop(s, func() { gone = s.conns.len() <= 1 && len(s.attempts.byID) == 0 })
				for _, r := range it.StartedRuns() {
					it.EndRun(r.ID, "STOPPED", nil)
				}
				return gone
			})
			next := servertest.Dial(t, s.cfg.Listen.String())
			if got := checkHealth(next, false); got != 200 {
				t.Errorf("health check of the next caller: %d, want 200", got)
			}
		})
	}
}

// TestCrossFullBuffer drains a server that has more to send to a gateway than the buffers hold, because the gateway
// does not read. Once the gateway reads, all answers arrive completely, and then the end of the stream. A gateway that
// never reads must not keep the server from stopping, for which the end of the test waits.
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
					return false // on a slow machine, more than MaxOpenRequests would be open and be rejected
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
					t.Errorf("answer %+v, want status 200 or 503", a)
				}
				answers++
			}
			if !errors.Is(err, io.EOF) || answers != sent {
				t.Errorf("%d answers to %d requests, then error %v; want an answer to each, then EOF", answers, sent, err)
			}
		})
	}
}
