package eventloop

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

//go:generate go tool stringer -type=connState

// ConnHandler receives the events of a connection.
type ConnHandler interface {
	// Connected is called when a dialled connection is established.
	Connected(c *Conn)
	// Data passes received bytes, which are valid during the call only.
	Data(c *Conn, p []byte)
	// Closed is called when the connection ended without Close; no other call follows.
	Closed(c *Conn, err error)
}

// Conn is one non-blocking stream connection.
type Conn struct {
	loop         *Loop
	fd           int
	handler      ConnHandler
	events       uint32 // that the descriptor is registered for
	state        connState
	isClosed     bool
	lastActivity time.Time
	pendingErr   error // reported by the next call of report
	in           connInput
	out          connOutput
}

// connInput is what a round read from a connection: a part of the loop's arena.
type connInput struct{ start, end int }

// connOutput is what a connection has to send.
type connOutput struct {
	unsent     []byte // nil while there is nothing, as idle connections are many and must hold no buffers
	accounted  int    // bytes of unsent that are counted in the loop's total
	isDirty    bool   // the loop flushes the connection at the end of the round
	closeAfter bool   // end the connection once all is sent
	linger     *Timer
}

// connState is the state of a connection.
type connState uint8

// The states of a connection, in order.
const (
	stateConnecting   connState = iota // dialled, the outcome is not known
	stateConnectEnded                  // the outcome is known and not reported
	stateEstablished
	// stateLingering is the state of a connection that this side has ended: what the peer still sends is discarded.
	stateLingering
)

// Dial starts a connection; the outcome is reported to its handler in a later round.
func (l *Loop) Dial(to netip.AddrPort, h ConnHandler) (*Conn, error) {
	fd, err := l.system.NewStreamSocket(to)
	if err != nil {
		return nil, fmt.Errorf("eventloop: dial %v: %w", to, err)
	}
	if err := l.system.Connect(fd, to); err != nil && err != unix.EINPROGRESS {
		l.system.Close(fd)
		return nil, fmt.Errorf("eventloop: dial %v: %w", to, err)
	}
	return l.newConn(fd, unix.EPOLLIN|unix.EPOLLOUT, stateConnecting, h)
}

// newConn registers a connected or connecting socket, and closes it if that fails.
func (l *Loop) newConn(fd int, events uint32, state connState, h ConnHandler) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, handler: h, events: events, state: state, lastActivity: l.now}
	if err := l.register(fd, events, c); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return c, nil
}

// isConnecting reports whether the handler's Connected has not been called.
func (c *Conn) isConnecting() bool { return c.state < stateEstablished }

// gather implements source.
func (c *Conn) gather(events uint32) {
	if c.isConnecting() {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
			c.pendingErr, c.state = c.loop.system.ConnectResult(c.fd), stateConnectEnded
		}
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		if c.state == stateLingering {
			c.discard()
		} else {
			c.read()
		}
	}
	if events&unix.EPOLLOUT != 0 {
		c.markDirty()
	}
}

// read reads into the loop's arena. Where that is full, the socket is read in the next round.
func (c *Conn) read() {
	in := &c.loop.input
	start := len(in.arena)
	if cap(in.arena)-start < readSize {
		in.isArenaFull = true
		return
	}
	n, err := c.loop.system.Read(c.fd, in.arena[start:start+readSize])
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err != nil:
		c.pendingErr = err
	case n == 0:
		c.pendingErr = io.EOF
	default:
		in.arena = in.arena[:start+n]
		c.in = connInput{start: start, end: start + n}
	}
}

// report implements source.
func (c *Conn) report() {
	in, err := c.in, c.pendingErr
	c.in = connInput{}
	switch {
	case c.isClosed, c.state == stateConnecting:
		return
	case c.state == stateConnectEnded && err == nil:
		c.state = stateEstablished
		c.updateEvents()
		c.handler.Connected(c)
		return
	case in.end > in.start:
		c.lastActivity = c.loop.now
		c.handler.Data(c, c.loop.input.arena[in.start:in.end])
	}
	if err != nil && !c.isClosed {
		c.Close()
		c.handler.Closed(c, err)
	}
}

// fail reports the end of the connection in the next round: this one's reports are over.
func (c *Conn) fail(err error) {
	c.pendingErr = err
	c.loop.output.failed = append(c.loop.output.failed, c)
}

// updateEvents registers the connection for the events it waits for. A peer that does not take its responses is not read.
func (c *Conn) updateEvents() {
	var events uint32
	if len(c.out.unsent) < highWatermark && !c.out.closeAfter || c.state == stateLingering {
		events |= unix.EPOLLIN
	}
	if len(c.out.unsent) > 0 {
		events |= unix.EPOLLOUT
	}
	if events != c.events {
		c.events = events
		c.loop.modify(c.fd, events)
	}
}

// IsIdle reports whether nothing was read or written for so long, and neither input nor output is pending.
func (c *Conn) IsIdle(idle time.Duration) bool {
	return !c.isClosed && len(c.out.unsent) == 0 && c.loop.now.Sub(c.lastActivity) >= idle && !c.HasPendingInput()
}

// HasPendingInput reports whether the socket has something to read: bytes, or the connection's end.
func (c *Conn) HasPendingInput() bool {
	_, err := c.loop.system.Peek(c.fd, c.loop.input.peeked[:])
	return err != unix.EAGAIN
}

// LastActivity returns the time of the last read or write.
func (c *Conn) LastActivity() time.Time { return c.lastActivity }

// Close closes the connection immediately, without a call of its handler.
func (c *Conn) Close() {
	if !c.isClosed {
		c.isClosed = true
		c.loop.CancelTimer(c.out.linger)
		c.accountUnsent(0)
		c.out.unsent = nil
		c.loop.unregister(c.fd)
	}
}
