package interpreter

import (
	"net/netip"
	"time"

	"tillerusher/internal/eventloop"
)

const (
	// minRedialInterval is the minimum time from the start of a connection attempt to the next attempt after a loss. A
	// connection that lasted longer is redialled immediately, since no run starts without one. The interval prevents a busy
	// loop when connections fail repeatedly.
	minRedialInterval = 50 * time.Millisecond
	// connectTimeout is the maximum duration of a connection attempt.
	connectTimeout = QueryTimeout
	// tickInterval is the time between two checks for overdue queries and an overdue connection attempt.
	tickInterval = QueryTimeout / 10
)

// Client keeps a Link connected: it dials, and redials after each loss of the connection.
type Client struct {
	*Link
	loop        *eventloop.Loop
	addr        netip.AddrPort
	conn        *eventloop.Conn // nil while there is no connection or connection attempt
	tickTimer   *eventloop.Timer
	redialTimer *eventloop.Timer
	dialledAt   time.Time
	isConnected bool
	isReported  bool // the current loss of the connection has been reported
	isClosed    bool
}

// Dial returns a client that starts connecting to addr. The client reconnects after each loss until Close is called.
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

// Redirect closes the connection immediately, so that nothing new is sent on it, and connects to addr from now on. Runs,
// their commands and the notice numbers are kept, as after the loss of a connection. An unchanged address has no effect.
func (c *Client) Redirect(addr netip.AddrPort) {
	if c.isClosed || addr == c.addr {
		return
	}
	c.addr, c.isReported = addr, false
	c.disconnect()
	c.dial()
}

// disconnect closes the connection, if there is one, and cancels a scheduled redial.
func (c *Client) disconnect() {
	c.loop.CancelTimer(c.redialTimer)
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	c.Disconnected()
}

// tick fails overdue queries and a connection attempt that exceeds connectTimeout. It runs every tickInterval.
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

// Closed implements eventloop.ConnHandler. It reports a loss once, and not again for each failed attempt to reconnect.
func (c *Client) Closed(_ *eventloop.Conn, err error) {
	c.conn = nil
	c.Disconnected()
	if !c.isReported {
		c.isReported = true
		c.handler.ReportError("interpreter link lost", err)
	}
	c.redialTimer = c.loop.AfterFunc(minRedialInterval-c.loop.Now().Sub(c.dialledAt), c.dial)
}

// Close closes the connection. The client does not connect again.
func (c *Client) Close() {
	c.isClosed = true
	c.loop.CancelTimer(c.tickTimer)
	c.disconnect()
}
