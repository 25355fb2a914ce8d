package interpreter

import (
	"net/netip"
	"time"

	"tillerusher/internal/eventloop"
)

const (
	// minRedialInterval is the least time between two connection attempts. A connection that had been up for longer is
	// dialled again immediately, since no run starts without it; one that fails again and again is not dialled in a busy loop.
	minRedialInterval = 50 * time.Millisecond
	// connectTimeout is how long a connection attempt may take.
	connectTimeout = QueryTimeout
	// tickInterval is the time between two checks for overdue queries.
	tickInterval = QueryTimeout / 10
)

// Client keeps a Link connected.
type Client struct {
	*Link
	loop        *eventloop.Loop
	addr        netip.AddrPort
	conn        *eventloop.Conn // nil while waiting to dial again
	tickTimer   *eventloop.Timer
	redialTimer *eventloop.Timer
	dialledAt   time.Time
	isConnected bool
	isReported  bool // the current loss of the connection was reported
	isClosed    bool
}

// Dial starts connecting. The client reconnects after each loss until Close.
func Dial(l *eventloop.Loop, addr netip.AddrPort, h Handler) *Client {
	c := &Client{Link: NewLink(h), loop: l, addr: addr}
	c.dial()
	c.tick()
	return c
}

// dial starts one connection attempt.
func (c *Client) dial() {
	if c.isClosed {
		return
	}
	c.dialledAt, c.isConnected = c.loop.Now(), false
	conn, err := c.loop.Dial(c.addr, c)
	if err != nil {
		c.Closed(nil, err)
		return
	}
	c.conn = conn
}

// Redirect connects to another address from now on. The old connection is closed immediately, so that nothing new is sent
// on it; runs, their commands and the notice numbers are kept, as after any lost connection.
func (c *Client) Redirect(addr netip.AddrPort) {
	if c.isClosed || addr == c.addr {
		return
	}
	c.addr, c.isReported = addr, false
	c.disconnect()
	c.dial()
}

// disconnect closes the connection, if there is one, and cancels the next attempt.
func (c *Client) disconnect() {
	c.loop.CancelTimer(c.redialTimer)
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	c.Disconnected()
}

// tick expires overdue queries and a connection attempt that takes too long.
func (c *Client) tick() {
	if c.isClosed {
		return
	}
	c.Tick(c.loop.Now())
	if c.conn != nil && !c.isConnected && c.loop.Now().Sub(c.dialledAt) >= connectTimeout {
		c.conn.Close()
		c.Closed(c.conn, errConnectTimeout)
	}
	c.tickTimer = c.loop.AfterFunc(tickInterval, c.tick)
}

// Connected implements eventloop.ConnHandler.
func (c *Client) Connected(conn *eventloop.Conn) {
	c.isReported, c.isConnected = false, true
	c.Link.Connected(conn.Write, c.loop.Now())
}

// Data implements eventloop.ConnHandler.
func (c *Client) Data(conn *eventloop.Conn, p []byte) {
	if err := c.Feed(p); err != nil {
		conn.Close()
		c.Closed(conn, err)
	}
}

// Closed implements eventloop.ConnHandler. A loss is reported once, not for each attempt that fails after it.
func (c *Client) Closed(_ *eventloop.Conn, err error) {
	c.conn = nil
	c.Disconnected()
	if !c.isReported {
		c.isReported = true
		c.handler.ReportError("interpreter link lost", err)
	}
	c.redialTimer = c.loop.AfterFunc(minRedialInterval-c.loop.Now().Sub(c.dialledAt), c.dial)
}

// Close ends the link for good.
func (c *Client) Close() {
	c.isClosed = true
	c.loop.CancelTimer(c.tickTimer)
	c.disconnect()
}
