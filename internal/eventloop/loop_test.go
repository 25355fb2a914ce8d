package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"tillerusher/internal/servertest"
)

// echoHandler sends back what it reads, unless onData is replaced.
type echoHandler struct {
	connected, closed chan error
	onData            func(c *Conn, p []byte)
}

func newEchoHandler() *echoHandler {
	// Room for all connections of a test: the loop must not wait for a test that has ended.
	return &echoHandler{connected: make(chan error, 256), closed: make(chan error, 256), onData: func(c *Conn, p []byte) { c.Write(p) }}
}

func (e *echoHandler) Connected(*Conn)           { e.connected <- nil }
func (e *echoHandler) Data(c *Conn, p []byte)    { e.onData(c, p) }
func (e *echoHandler) Closed(_ *Conn, err error) { e.closed <- err }

// serve runs a loop that listens, and ends it with the test.
func serve(t *testing.T, h ConnHandler, settle func()) (*Loop, string) {
	t.Helper()
	l, err := New(Kernel{}, testTick, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), AcceptCallbacks{
		OnConn: func(*Conn) ConnHandler { return h }, OnError: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := ln.Addr()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		ended <- l.Run(func() bool { settle(); return false })
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		ln.Close()
		l.Close()
	})
	return l, addr.String()
}

// TestEcho sends more than any buffer holds both ways: a peer that does not read for a while loses nothing, and
// what is queued for it stays bounded.
func TestEcho(t *testing.T) {
	unsent := 0
	e := newEchoHandler()
	e.onData = func(c *Conn, p []byte) {
		c.Write(p)
		unsent = max(unsent, c.UnsentBytes())
	}
	_, addr := serve(t, e, func() {})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go func() {
		c.Write(sent)
		c.(*net.TCPConn).CloseWrite()
	}()
	got := make([]byte, 0, len(sent))
	buf := make([]byte, 1<<16)
	c.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
	for len(got) < len(sent) {
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if err != nil {
			break
		}
	}
	// The peer's end of stream closes the connection: only what was read before it is certain to come back.
	if !bytes.HasPrefix(sent, got) || len(got) < len(sent)-highWatermark-readSize-8<<20 {
		t.Errorf("%d bytes came back of %d", len(got), len(sent))
	}
	if err := <-e.closed; !errors.Is(err, io.EOF) {
		t.Errorf("closed with %v", err)
	}
	if unsent > highWatermark+readSize {
		t.Errorf("%d bytes waited to be sent", unsent)
	}
}

// TestRoundIsBatched reports all that is ready before it calls settle once, and sends all of a round together.
func TestRoundIsBatched(t *testing.T) {
	events, settled := 0, make(chan int, 1000)
	e := newEchoHandler()
	e.onData = func(c *Conn, p []byte) {
		for range p {
			events++
			c.Write([]byte("x"))
		}
	}
	l, addr := serve(t, e, func() {
		if events > 0 {
			settled <- events
			events = 0
		}
	})
	block := make(chan bool)
	l.Post(func() { <-block })
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	block <- true
	// All three connections are in the loop once each has got an answer.
	for _, c := range conns {
		io.WriteString(c, "a")
		io.ReadFull(c, make([]byte, 1))
		<-settled
	}
	l.Post(func() { <-block })
	for _, c := range conns {
		io.WriteString(c, "abc")
	}
	block <- true
	total := 0
	for total < 9 {
		total += <-settled
	}
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
		if _, err := io.ReadFull(c, make([]byte, 3)); err != nil {
			t.Error(err)
		}
	}
}

// TestDial connects, and reports a connection that is refused.
func TestDial(t *testing.T) {
	e := newEchoHandler()
	l, addr := serve(t, newEchoHandler(), func() {})
	l.Post(func() {
		c, err := l.Dial(netip.MustParseAddrPort(addr), e)
		if err != nil {
			t.Error(err)
			return
		}
		c.Write([]byte("early")) // sent once the connection is established
	})
	if err := <-e.connected; err != nil {
		t.Error(err)
	}
	refused := newEchoHandler()
	unusedAddr := netip.MustParseAddrPort(servertest.FreeAddr(t))
	l.Post(func() {
		if _, err := l.Dial(unusedAddr, refused); err != nil {
			t.Error(err)
		}
	})
	if err := <-refused.closed; err == nil {
		t.Error("a connection to an unused address ended without an error")
	}
}

// TestIdleAndCloseAfterFlush finds a connection idle only when nothing waits to be read, and sends before it closes.
func TestIdleAndCloseAfterFlush(t *testing.T) {
	var conn *Conn
	e := newEchoHandler()
	got := make(chan string, 10)
	e.onData = func(c *Conn, p []byte) { conn = c; got <- string(p) }
	l, addr := serve(t, e, func() {})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "a")
	<-got
	idle := make(chan bool)
	l.Post(func() {
		// Written while the loop is in this round: it waits in the socket.
		io.WriteString(c, "b")
		for end := time.Now().Add(servertest.WaitTimeout); conn.IsIdle(0) && time.Now().Before(end); {
		}
		idle <- conn.IsIdle(0)
	})
	if <-idle {
		t.Error("idle with a byte in the socket")
	}
	<-got
	l.Post(func() { idle <- conn.IsIdle(0) })
	if !<-idle {
		t.Error("not idle with nothing in the socket")
	}
	l.Post(func() { idle <- conn.IsIdle(time.Hour) })
	if <-idle {
		t.Error("idle before the time")
	}
	l.Post(func() {
		conn.Write([]byte("bye"))
		conn.CloseAfterFlush()
	})
	c.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
	if rest, err := io.ReadAll(c); string(rest) != "bye" || err != nil {
		t.Errorf("read %q, %v", rest, err)
	}
	<-e.closed
}

// dial connects to a loop and ends the connection with the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(servertest.WaitTimeout))
	return c
}

// TestLinger ends a connection whose peer is in the middle of sending far more than buffers hold: the response still
// arrives, and the connection of a peer that never stops is closed.
func TestLinger(t *testing.T) {
	e := newEchoHandler()
	e.onData = func(c *Conn, p []byte) {
		c.Write([]byte("too much"))
		c.CloseAfterFlush()
	}
	_, addr := serve(t, e, func() {})
	c := dial(t, addr)
	if _, err := c.Write(make([]byte, 16<<20)); err != nil {
		t.Errorf("sending: %v", err)
	}
	if rest, err := io.ReadAll(c); string(rest) != "too much" || err != nil {
		t.Errorf("read %q, %v", rest, err)
	}
	c.Close()
	if err := <-e.closed; !errors.Is(err, io.EOF) {
		t.Errorf("closed with %v", err)
	}
	endless := dial(t, addr)
	go func() {
		for {
			if _, err := endless.Write(make([]byte, 1<<10)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	if err := <-e.closed; !errors.Is(err, errLingerTimeout) {
		t.Errorf("an endless peer was closed with %v", err)
	}
}

// TestFloodIsFair has more senders at full speed than one round can read: one that connects later is still read,
// and what a round reads stays within the arena.
func TestFloodIsFair(t *testing.T) {
	e := newEchoHandler()
	answered := make(chan bool, 1)
	e.onData = func(c *Conn, p []byte) {
		if len(p) == 1 && p[0] == 'a' {
			answered <- true
		}
	}
	l, addr := serve(t, e, func() {})
	stop := make(chan bool)
	defer close(stop)
	for range 2 * arenaSize / readSize {
		c := dial(t, addr)
		go func() {
			for b := make([]byte, 1<<20); ; {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := c.Write(b); err != nil {
					return
				}
			}
		}()
	}
	late := dial(t, addr)
	io.WriteString(late, "a")
	select {
	case <-answered:
	case <-time.After(servertest.WaitTimeout):
		t.Error("a connection was not read beside many that never pause")
	}
	size := make(chan int)
	l.Post(func() { size <- cap(l.input.arena) })
	if got := <-size; got != arenaSize {
		t.Errorf("the arena grew to %d", got)
	}
}

// TestUnreadOutputIsBounded sends to many peers that do not read: what is queued for all of them stays bounded, and the
// connection of one that reads is not closed for it.
func TestUnreadOutputIsBounded(t *testing.T) {
	e := newEchoHandler()
	e.onData = func(c *Conn, p []byte) { c.Write(make([]byte, 1000*len(p))) }
	l, addr := serve(t, e, func() {})
	for range 16 { // 8 MB are sent to each, far more than its socket takes
		c := dial(t, addr)
		if _, err := c.Write(make([]byte, 8<<10)); err != nil {
			t.Fatal(err)
		}
	}
	for range 8 {
		if err := <-e.closed; !errors.Is(err, errOutputOverflow) {
			t.Errorf("closed with %v", err)
		}
	}
	reader := dial(t, addr)
	for range 100 {
		io.WriteString(reader, "abcd")
		if _, err := io.ReadFull(reader, make([]byte, 4000)); err != nil {
			t.Fatal(err)
		}
	}
	unsent := make(chan int)
	l.Post(func() { unsent <- l.output.unsentBytes })
	if got := <-unsent; got > l.output.maxUnsentBytes+8<<20 {
		t.Errorf("%d bytes queued for peers that do not read", got)
	}
}
