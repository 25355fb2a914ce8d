package interpreter

import (
	"errors"
	"net/netip"
	"time"

	"tillerusher/internal/eventloop"
)

// minRedialInterval is the least time between two tries to connect: a link that stood is made anew at once, since no run
// starts without it, and one that fails again and again is left alone for a while.
const minRedialInterval = 50 * time.Millisecond

// Client keeps a Link connected.
type Client struct {
	*Link
	loop    *eventloop.Loop
	to      netip.AddrPort
	conn    *eventloop.Conn
	ticker  *eventloop.Timer
	redial  *eventloop.Timer
	dialled time.Time
	stands  bool // the connection is made
	told    bool // the present trouble was reported
	stopped bool
}

// Dial starts connecting and goes on until Close.
func Dial(l *eventloop.Loop, to netip.AddrPort, h Handler) *Client {
	d := &Client{Link: NewLink(h), loop: l, to: to}
	d.dial()
	d.tick()
	return d
}

// dial tries one connection.
func (d *Client) dial() {
	if d.stopped {
		return
	}
	d.dialled, d.stands = d.loop.Now(), false
	conn, err := d.loop.Dial(d.to, d)
	if err != nil {
		d.Closed(nil, err)
		return
	}
	d.conn = conn
}

// Redirect goes on at another address. The connection to the old one ends now, so that it gets nothing new; runs,
// their commands and the numbers of notices go on, as after any lost link.
func (d *Client) Redirect(to netip.AddrPort) {
	if d.stopped || to == d.to {
		return
	}
	d.to, d.told = to, false
	d.hangUp()
	d.dial()
}

// hangUp gives up the connection there is, or the wait for the next.
func (d *Client) hangUp() {
	d.loop.CancelTimer(d.redial)
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
	d.Disconnected()
}

// tick gives up old questions now and then.
func (d *Client) tick() {
	if d.stopped {
		return
	}
	d.Tick(d.loop.Now())
	if d.conn != nil && !d.stands && d.loop.Now().Sub(d.dialled) >= QueryTimeout {
		d.conn.Close()
		d.Closed(d.conn, errors.New("no answer to the call"))
	}
	d.ticker = d.loop.AfterFunc(QueryTimeout/10, d.tick)
}

// Connected implements loop.ConnHandler.
func (d *Client) Connected(c *eventloop.Conn) {
	d.told, d.stands = false, true
	d.Link.Connected(c.Write, d.loop.Now())
}

// Data implements loop.ConnHandler.
func (d *Client) Data(c *eventloop.Conn, p []byte) {
	if err := d.Feed(p); err != nil {
		c.Close()
		d.Closed(c, err)
	}
}

// Closed implements loop.ConnHandler.
func (d *Client) Closed(_ *eventloop.Conn, err error) {
	d.conn = nil
	d.Disconnected()
	if !d.told {
		d.told = true
		d.handler.ReportError("interpreter link lost", err)
	}
	d.redial = d.loop.AfterFunc(minRedialInterval-d.loop.Now().Sub(d.dialled), d.dial)
}

// Close ends the link for good.
func (d *Client) Close() {
	d.stopped = true
	d.loop.CancelTimer(d.ticker)
	d.hangUp()
}
