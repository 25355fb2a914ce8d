package eventloop

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"tillerusher/internal/usage"
)

//go:generate go tool stringer -type=connState

// ConnHandler receives the events of a connection.
type ConnHandler interface {
	// Connected is called when a dialled connection has been established.
	Connected(c *Conn)
	// Data is called with received bytes. p is valid only during the call.
	Data(c *Conn, p []byte)
	// Closed is called when the connection has ended for a reason other than Close. It is the last call for c.
	Closed(c *Conn, err error)
}

// Conn is one non-blocking stream connection.
type Conn struct {
	loop         *Loop
	fd           int
	handler      ConnHandler
	events       uint32 // epoll events that the descriptor is registered for
	state        connState
	isClosed     bool
	isReadEnded  bool // StopReading was called
	isDialled    bool // this side opened the connection
	lastActivity time.Time
	pendingErr   error // passed to the handler by the next call of report
	in           connInput
	out          connOutput
}

// connInput is the part of the loop's arena that holds the bytes read from a connection in the current round.
type connInput struct{ start, end int }

// connOutput is the output state of a connection.
type connOutput struct {
	unsent     []byte               // nil if nothing is queued: there are many idle connections, and they must not hold buffers
	account    usage.Account[*Conn] // bytes of this connection that are included in the loop's unsent output
	isDirty    bool                 // the connection is in the loop's list of connections to flush at the end of the round
	closeAfter bool                 // CloseAfterFlush was called: half-close the connection once unsent is empty
	linger     *Timer
}

// connState is the state of a connection.
type connState uint8

// The states of a connection, in the order in which it passes through them.
const (
	stateConnecting   connState = iota // dialled; the result of the connection attempt is not known
	stateConnectEnded                  // the result is known but the handler has not been called
	stateEstablished
	// stateLingering means that this side has shut down its sending direction. Input from the peer is discarded.
	stateLingering
)

// Dial starts connecting to an address. A later round calls h.Connected or, if the attempt fails, h.Closed.
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

// newConn registers a connected or connecting socket with the loop. It closes the socket if the registration fails.
func (l *Loop) newConn(fd int, events uint32, state connState, h ConnHandler) (*Conn, error) {
	c := &Conn{loop: l, fd: fd, handler: h, events: events, state: state, isDialled: state == stateConnecting, lastActivity: l.now}
	c.out.account.Owner = c
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
		if c.state == stateLingering || c.isReadEnded {
			c.discard()
		} else {
			c.read()
		}
	}
	if events&unix.EPOLLOUT != 0 {
		c.markDirty()
	}
}

// read reads up to readSize bytes into the loop's arena. If the arena has less space left, the socket is read in a later
// round.
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

// fail makes the next round close the connection and report err to the handler. It is called after the report calls of the
// current round.
func (c *Conn) fail(err error) {
	c.pendingErr = err
	c.loop.output.failed = append(c.loop.output.failed, c)
}

// StopReading stops passing input to the handler, for the rest of the connection. Output is still sent. Errors of the
// connection are reported as before, but the end of the peer's stream is not.
func (c *Conn) StopReading() {
	c.isReadEnded = true
	c.markDirty()
}

// updateEvents registers the connection for the events that it needs. It does not wait for input while the peer
// leaves at least highWatermark bytes of output unread, after StopReading, or after CloseAfterFlush until the connection
// lingers.
func (c *Conn) updateEvents() {
	var events uint32
	if len(c.out.unsent) < highWatermark && !c.isReadEnded && !c.out.closeAfter || c.state == stateLingering {
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

// IsIdle reports whether the connection is open, nothing was read or written for at least the idle duration, and neither
// input nor output is pending.
func (c *Conn) IsIdle(idle time.Duration) bool {
	return !c.isClosed && len(c.out.unsent) == 0 && c.loop.now.Sub(c.lastActivity) >= idle && !c.HasPendingInput()
}

// HasPendingInput reports whether a read of the socket would not block: it has unread bytes, an end of stream or an error.
func (c *Conn) HasPendingInput() bool {
	_, err := c.loop.system.Peek(c.fd, c.loop.input.peekBuf[:])
	return err != unix.EAGAIN
}

// LastActivity returns the time of the last read or write.
func (c *Conn) LastActivity() time.Time { return c.lastActivity }

// Close closes the connection immediately and discards its output. It does not call the handler.
func (c *Conn) Close() {
	if !c.isClosed {
		c.isClosed = true
		c.loop.CancelTimer(c.out.linger)
		c.accountUnsent(0)
		c.out.unsent = nil
		c.loop.unregister(c.fd)
	}
}
