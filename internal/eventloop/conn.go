package eventloop

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// ConnHandler takes what happens on a connection.
type ConnHandler interface {
	// ConnectResult says that a dialled connection stands.
	Connected(c *Conn)
	// Data hands over bytes, which are valid during the call only.
	Data(c *Conn, p []byte)
	// Closed says that the connection ended without Close; nothing follows it.
	Closed(c *Conn, err error)
}

var (
	errLingerTimeout  = errors.New("loop: the peer went on after the end")
	errOutputOverflow = errors.New("loop: too much waits for peers that do not read")
)

// OnConn is one non-blocking stream connection.
type Conn struct {
	loop       *Loop
	fd         int
	handler    ConnHandler
	events     uint32
	connecting bool
	answered   bool // the outcome of the call is known
	closed     bool
	dirty      bool
	closing    bool // end once all is sent
	lingering  bool // ended by this side: what the peer still sends is thrown away
	left       int  // bytes of out that the last write did not take
	linger     *Timer
	from, to   int // what this round read, in the loop's arena
	err        error
	out        []byte
	active     time.Time
}

// Dial starts a connection; its handler hears of the outcome in a later round.
func (l *Loop) Dial(to netip.AddrPort, h ConnHandler) (*Conn, error) {
	fd, err := l.system.NewStreamSocket(to)
	if err != nil {
		return nil, fmt.Errorf("loop: dial %v: %w", to, err)
	}
	if err := l.system.Connect(fd, to); err != nil && err != unix.EINPROGRESS {
		l.system.Close(fd)
		return nil, fmt.Errorf("loop: dial %v: %w", to, err)
	}
	c, err := l.newConn(fd, unix.EPOLLIN|unix.EPOLLOUT, h)
	if err == nil {
		c.connecting = true
	}
	return c, err
}

// newConn registers a connected or connecting socket, and closes it if that fails.
func (l *Loop) newConn(fd int, events uint32, h ConnHandler) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, handler: h, events: events, active: l.now}
	if err := l.add(fd, events, c); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return c, nil
}

// gather implements source.
func (c *Conn) gather(events uint32) {
	if c.connecting {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		c.err, c.answered = c.loop.system.ConnectResult(c.fd), true
		return
	}
	switch {
	case events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP) == 0:
	case c.lingering:
		c.discard()
	default:
		c.read()
	}
	if events&unix.EPOLLOUT != 0 {
		c.touch()
	}
}

// read takes what is there into the loop's arena. Where that is full the rest waits for the next round.
func (c *Conn) read() {
	l := c.loop
	start := len(l.arena)
	if cap(l.arena)-start < readSize {
		l.full = true
		return
	}
	n, err := l.system.Read(c.fd, l.arena[start:start+readSize])
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		c.err = err
	case n == 0:
		c.err = io.EOF
	default:
		l.arena = l.arena[:start+n]
		c.from, c.to = start, start+n
	}
}

// discard throws away what the peer still sends, so that closing the socket does not reset the connection and
// take with it the answer that the peer has not read yet.
func (c *Conn) discard() {
	for range lingerReads {
		n, err := c.loop.system.Read(c.fd, c.loop.waste[:])
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			return
		case err != nil:
			c.err = err
			return
		case n == 0:
			c.err = io.EOF
			return
		}
	}
}

// report implements source.
func (c *Conn) report() {
	from, to, err := c.from, c.to, c.err
	c.from, c.to = 0, 0
	switch {
	case c.closed:
		return
	case c.connecting && !c.answered:
		return
	case c.connecting && err == nil:
		c.connecting = false
		c.rewatch()
		c.handler.Connected(c)
		return
	case to > from:
		c.active = c.loop.now
		c.handler.Data(c, c.loop.arena[from:to])
	}
	if err != nil && !c.closed {
		c.Close()
		c.handler.Closed(c, err)
	}
}

// Write queues bytes, which go out at the end of the round.
func (c *Conn) Write(p []byte) {
	if !c.closed && !c.lingering {
		if c.out == nil {
			c.out = c.loop.buffer()
		}
		c.out = append(c.out, p...)
		c.touch()
	}
}

// touch has the connection flushed at the end of the round.
func (c *Conn) touch() {
	if !c.dirty && !c.closed {
		c.dirty = true
		c.loop.dirty = append(c.loop.dirty, c)
	}
}

// flush sends what is queued.
func (c *Conn) flush() {
	c.dirty = false
	if c.closed || c.connecting || c.lingering {
		return
	}
	if len(c.out) > 0 {
		n, err := c.loop.system.Write(c.fd, c.out)
		if err != nil && err != unix.EAGAIN && err != unix.EINTR {
			c.fail(err)
			return
		}
		if n > 0 {
			c.active = c.loop.now
			c.out = c.out[:copy(c.out, c.out[n:])]
		}
	}
	c.keep(len(c.out))
	switch {
	case len(c.out) > 0 && c.loop.unsentBytes > c.loop.maxUnsentBytes && len(c.out) > c.loop.maxUnsentBytes/untakenParts:
		c.fail(errOutputOverflow)
		return
	case len(c.out) > 0:
	case c.closing:
		c.release()
		c.startLinger()
		return
	default:
		c.release() // idle connections are many and must hold no buffers
	}
	c.rewatch()
}

// fail reports the end of the connection in the next round: its owner has settled this one.
func (c *Conn) fail(err error) {
	c.err = err
	c.loop.failed = append(c.loop.failed, c)
}

// keep notes how much of the output the peer has not taken.
func (c *Conn) keep(left int) {
	c.loop.unsentBytes += left - c.left
	c.left = left
}

// release hands the empty output buffer back.
func (c *Conn) release() {
	c.loop.reuse(c.out)
	c.out = nil
}

// startLinger ends this side of the connection and waits a while for the end of the other.
func (c *Conn) startLinger() {
	if err := c.loop.system.ShutdownWrite(c.fd); err != nil {
		c.fail(err)
		return
	}
	c.lingering = true
	c.rewatch()
	c.linger = c.loop.AfterFunc(lingerMost, func() {
		if !c.closed {
			c.Close()
			c.handler.Closed(c, errLingerTimeout)
		}
	})
}

// rewatch registers the connection for what it waits for: a peer that does not take its answers is not read.
func (c *Conn) rewatch() {
	var events uint32
	if len(c.out) < highWatermark && !c.closing || c.lingering {
		events |= unix.EPOLLIN
	}
	if len(c.out) > 0 {
		events |= unix.EPOLLOUT
	}
	if events != c.events {
		c.events = events
		c.loop.watch(c.fd, events)
	}
}

// IsIdle tells whether nothing came or went for the time and nothing waits in the socket.
func (c *Conn) IsIdle(idle time.Duration) bool {
	return !c.closed && len(c.out) == 0 && c.loop.now.Sub(c.active) >= idle && !c.HasPendingInput()
}

// HasPendingInput tells whether something waits in the socket: bytes, or word of the connection's end.
func (c *Conn) HasPendingInput() bool {
	_, err := c.loop.system.Peek(c.fd, c.loop.one[:1])
	return err != unix.EAGAIN
}

// IsWriteStalled tells whether there is something to be sent and the peer took none of it for the time.
func (c *Conn) IsWriteStalled(since time.Duration) bool {
	return len(c.out) > 0 && c.loop.now.Sub(c.active) >= since
}

// UnsentBytes is how many bytes wait to be sent.
func (c *Conn) UnsentBytes() int { return len(c.out) }

// CloseAfterFlush ends the connection once all that is queued is sent. What still comes is thrown away until the peer
// ends it too, or for a short time; then its handler is told.
func (c *Conn) CloseAfterFlush() {
	c.closing = true
	c.touch()
}

// IsClosing tells whether CloseAfterFlush was called.
func (c *Conn) IsClosing() bool { return c.closing }

// LastActivity is when something last came or went.
func (c *Conn) LastActivity() time.Time { return c.active }

// Close closes the connection now, without a word to its handler.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.loop.CancelTimer(c.linger)
		c.keep(0)
		c.out = nil
		c.loop.drop(c.fd)
	}
}
