package eventloop

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/servertest"
)

// echoHandler sends received bytes back, unless onData is replaced.
type echoHandler struct {
	connected, closed chan error
	onData            func(c *Conn, p []byte)
}

func newEchoHandler() *echoHandler {
	// The channels have room for all connections of a test, so that the loop never blocks on a test that has ended.
	return &echoHandler{connected: make(chan error, 256), closed: make(chan error, 256), onData: func(c *Conn, p []byte) { c.Write(p) }}
}

func (e *echoHandler) Connected(*Conn)           { e.connected <- nil }
func (e *echoHandler) Data(c *Conn, p []byte)    { e.onData(c, p) }
func (e *echoHandler) Closed(_ *Conn, err error) { e.closed <- err }

// serve runs a loop with a listener and stops it at the end of the test.
func serve(t *testing.T, h ConnHandler, endRound func()) (*Loop, string) {
	t.Helper()
	l, err := New(Kernel{}, testTick, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), AcceptOptions{
		OnConn: func(*Conn) ConnHandler { return h }, OnError: func(err error) { t.Error(err) }})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := ln.Addr()
	if err != nil {
		t.Fatal(err)
	}
	runErr := make(chan error, 1)
	go func() {
		runErr <- l.Run(func() bool { endRound(); return false })
	}()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-runErr; err != nil {
			t.Error(err)
		}
		ln.Close()
		l.Close()
	})
	return l, addr.String()
}

// TestEcho sends more than any buffer holds in both directions. A peer that does not read for a while must not lose bytes,
// and the output queued for it must stay bounded.
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
	// The connection is closed at the peer's end of stream, so only bytes that were read before it are certain to come back.
	if !bytes.HasPrefix(sent, got) || len(got) < len(sent)-highWatermark-readSize-8<<20 {
		t.Errorf("%d bytes came back, %d were sent", len(got), len(sent))
	}
	if err := <-e.closed; !errors.Is(err, io.EOF) {
		t.Errorf("closed with error %v, want EOF", err)
	}
	if unsent > highWatermark+readSize {
		t.Errorf("%d bytes were queued for the peer, above the limit", unsent)
	}
}

// TestRoundIsBatched checks that a round reports all ready connections, then calls endRound once, and sends the output of
// the round.
func TestRoundIsBatched(t *testing.T) {
	events, eventCounts := 0, make(chan int, 1000)
	e := newEchoHandler()
	e.onData = func(c *Conn, p []byte) {
		for range p {
			events++
			c.Write([]byte("x"))
		}
	}
	l, addr := serve(t, e, func() {
		if events > 0 {
			eventCounts <- events
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
	// Once each of the three connections has received an answer, the loop has accepted all of them.
	for _, c := range conns {
		io.WriteString(c, "a")
		io.ReadFull(c, make([]byte, 1))
		<-eventCounts
	}
	l.Post(func() { <-block })
	for _, c := range conns {
		io.WriteString(c, "abc")
	}
	block <- true
	total := 0
	for total < 9 {
		total += <-eventCounts
	}
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(servertest.WaitTimeout))
		if _, err := io.ReadFull(c, make([]byte, 3)); err != nil {
			t.Error(err)
		}
	}
}

// TestDial checks that Dial connects and that a refused connection is reported.
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

// TestIdleAndCloseAfterFlush checks that a connection with unread input is not idle, and that CloseAfterFlush sends the
// queued output before it closes the connection.
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
		// The loop is in the middle of a round, so the byte stays in the socket.
		io.WriteString(c, "b")
		for end := time.Now().Add(servertest.WaitTimeout); conn.IsIdle(0) && time.Now().Before(end); {
		}
		idle <- conn.IsIdle(0)
	})
	if <-idle {
		t.Error("the connection is idle with an unread byte in the socket")
	}
	<-got
	l.Post(func() { idle <- conn.IsIdle(0) })
	if !<-idle {
		t.Error("the connection is not idle without input in the socket")
	}
	l.Post(func() { idle <- conn.IsIdle(time.Hour) })
	if <-idle {
		t.Error("the connection is idle before the duration has passed")
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

// dial connects to a loop and closes the connection at the end of the test.
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

// TestLinger closes a connection while its peer is sending far more than the buffers hold. The response must still arrive,
// and the connection of a peer that never stops sending must be closed after the linger timeout.
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
		t.Errorf("closed with error %v, want EOF", err)
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
		t.Errorf("the connection of a peer that never stops sending was closed with %v", err)
	}
}

// TestStopReading checks that after StopReading no input reaches the handler, that output still arrives before the
// connection is closed, and that a reset by the peer is reported.
func TestStopReading(t *testing.T) {
	e := newEchoHandler()
	conns, input := make(chan *Conn, 2), make(chan string, 100)
	e.onData = func(c *Conn, p []byte) {
		input <- string(p)
		c.StopReading()
		conns <- c
	}
	l, addr := serve(t, e, func() {})
	stopped := func() (net.Conn, *Conn) {
		c := dial(t, addr)
		io.WriteString(c, "first")
		conn := <-conns
		if got := <-input; got != "first" {
			t.Errorf("the handler got %q, want first", got)
		}
		return c, conn
	}
	c, conn := stopped()
	io.WriteString(c, "second")
	rounds := make(chan bool)
	for range 3 { // the loop would read the socket in one of these rounds
		l.Post(func() { rounds <- true })
		<-rounds
	}
	l.Post(func() {
		conn.Write([]byte("late answer"))
		conn.CloseAfterFlush()
	})
	if rest, err := io.ReadAll(c); string(rest) != "late answer" || err != nil {
		t.Errorf("read %q, %v", rest, err)
	}
	c.Close()
	<-e.closed
	reset, _ := stopped()
	reset.(*net.TCPConn).SetLinger(0) // Close resets the connection
	reset.Close()
	if err := <-e.closed; !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("closed with error %v, want ECONNRESET", err)
	}
	if len(input) > 0 {
		t.Errorf("the handler got %q after StopReading", <-input)
	}
}

// TestFloodIsFair has more connections that always send than one round can read. A connection that is opened later must
// still be read, and the input of a round must not outgrow the arena.
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
		t.Error("a connection was not read while many others always send")
	}
	size := make(chan int)
	l.Post(func() { size <- cap(l.input.arena) })
	if got := <-size; got != arenaSize {
		t.Errorf("the capacity of the arena grew to %d bytes", got)
	}
}

// TestUnreadOutputIsBounded sends to many peers that do not read. The output queued for all of them must stay bounded, and
// the connection of a peer that reads must not be closed.
func TestUnreadOutputIsBounded(t *testing.T) {
	e := newEchoHandler()
	e.onData = func(c *Conn, p []byte) { c.Write(make([]byte, 1000*len(p))) }
	l, addr := serve(t, e, func() {})
	for range 16 { // the loop writes 8 MB to each, far more than its socket accepts
		c := dial(t, addr)
		if _, err := c.Write(make([]byte, 8<<10)); err != nil {
			t.Fatal(err)
		}
	}
	for range 8 {
		if err := <-e.closed; !errors.Is(err, errOutputOverflow) {
			t.Errorf("closed with error %v, want %v", err, errOutputOverflow)
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
	l.Post(func() { unsent <- l.output.unsent.Bytes() })
	if got := <-unsent; got > l.output.maxUnsentBytes+8<<20 {
		t.Errorf("%d bytes queued for peers that do not read", got)
	}
}

// writeUnsent writes to a connection whose peer does not read, until the condition holds. It must be called on the loop.
func writeUnsent(c *Conn, until func() bool) {
	for !until() {
		c.Write(make([]byte, 100<<10))
		c.flush()
	}
}

// TestUnreadOutputOfOthers guards against the end of a connection, and the loss of its open requests, because other peers
// leave their output unread: the connection with the most unsent output must be closed.
func TestUnreadOutputOfOthers(t *testing.T) {
	e := newEchoHandler()
	conns := make(chan *Conn, 2)
	e.onData = func(c *Conn, _ []byte) { conns <- c }
	l, addr := serve(t, e, func() {})
	var peers [2]net.Conn
	var accepted [2]*Conn
	for i := range peers {
		peers[i] = dial(t, addr)
		io.WriteString(peers[i], "x")
		accepted[i] = <-conns
	}
	large, small := accepted[0], accepted[1]
	failed := make(chan []source)
	l.Post(func() {
		writeUnsent(large, func() bool { return large.UnsentBytes() > l.output.maxUnsentBytes*8/10 })
		writeUnsent(small, func() bool { return len(l.output.failed) > 0 })
		failed <- l.output.failed
	})
	if got := <-failed; len(got) != 1 || got[0] != large {
		t.Errorf("%d connections failed, the one with the most unsent output among them: %t; want that one only", len(got), got[0] == large)
	}
	if err := <-e.closed; !errors.Is(err, errOutputOverflow) {
		t.Errorf("closed with error %v, want %v", err, errOutputOverflow)
	}
	l.Post(func() {
		small.Write([]byte("end"))
		small.CloseAfterFlush()
	})
	if got, err := io.ReadAll(peers[1]); err != nil || !bytes.HasSuffix(got, []byte("end")) {
		t.Errorf("read %d bytes on the other connection, error %v; want all and the end of the stream", len(got), err)
	}
}

// TestUnreadOutputToBackend guards against the end of a connection to a backend, and the loss of the runs on it, because of
// the limit on the output that accepted connections leave unread.
func TestUnreadOutputToBackend(t *testing.T) {
	e := newEchoHandler()
	l, _ := serve(t, e, func() {})
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	dialled := make(chan *Conn)
	l.Post(func() {
		c, err := l.Dial(netip.MustParseAddrPort(backend.Addr().String()), e)
		if err != nil {
			t.Error(err)
		}
		dialled <- c
	})
	conn := <-dialled
	<-e.connected
	failed := make(chan int)
	l.Post(func() {
		writeUnsent(conn, func() bool { return conn.UnsentBytes() > 2*l.output.maxUnsentBytes || len(l.output.failed) > 0 })
		failed <- len(l.output.failed)
	})
	if got := <-failed; got != 0 {
		t.Error("the connection to the backend failed")
	}
}
