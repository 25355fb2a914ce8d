package interpreter

import (
	"errors"
	"net/netip"
	"time"

	"tillerusher/internal/eventloop"
)

// redial is the least time between two tries to connect: a link that stood is made anew at once, since no run
// starts without it, and one that fails again and again is left alone for a while.
const redial = 50 * time.Millisecond

// Dialer keeps a Link connected.
type Dialer struct {
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
func Dial(l *eventloop.Loop, to netip.AddrPort, h Handler) *Dialer {
	d := &Dialer{Link: NewLink(h), loop: l, to: to}
	d.dial()
	d.tick()
	return d
}

// dial tries one connection.
func (d *Dialer) dial() {
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

// Move goes on at another address. The connection to the old one ends now, so that it gets nothing new; runs,
// their commands and the numbers of notices go on, as after any lost link.
func (d *Dialer) Move(to netip.AddrPort) {
	if d.stopped || to == d.to {
		return
	}
	d.to, d.told = to, false
	d.hangUp()
	d.dial()
}

// hangUp gives up the connection there is, or the wait for the next.
func (d *Dialer) hangUp() {
	d.loop.Cancel(d.redial)
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
	d.Lost()
}

// tick gives up old questions now and then.
func (d *Dialer) tick() {
	if d.stopped {
		return
	}
	d.Tick(d.loop.Now())
	if d.conn != nil && !d.stands && d.loop.Now().Sub(d.dialled) >= Timeout {
		d.conn.Close()
		d.Closed(d.conn, errors.New("no answer to the call"))
	}
	d.ticker = d.loop.After(Timeout/10, d.tick)
}

// Connected implements loop.ConnHandler.
func (d *Dialer) Connected(c *eventloop.Conn) {
	d.told, d.stands = false, true
	d.Link.Connected(c.Write, d.loop.Now())
}

// Data implements loop.ConnHandler.
func (d *Dialer) Data(c *eventloop.Conn, p []byte) {
	if err := d.Feed(p); err != nil {
		c.Close()
		d.Closed(c, err)
	}
}

// Closed implements loop.ConnHandler.
func (d *Dialer) Closed(_ *eventloop.Conn, err error) {
	d.conn = nil
	d.Lost()
	if !d.told {
		d.told = true
		d.handler.Trouble("interpreter link lost", err)
	}
	d.redial = d.loop.After(redial-d.loop.Now().Sub(d.dialled), d.dial)
}

// Close ends the link for good.
func (d *Dialer) Close() {
	d.stopped = true
	d.loop.Cancel(d.ticker)
	d.hangUp()
}
