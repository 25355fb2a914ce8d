package forward

import (
	"errors"
	"io"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/pool"
)

// maxAnswer bounds a member's answer.
const maxAnswer = 1 << 20

// conn is a connection to a member: it has a job, or it is idle.
type conn struct {
	link     *Forwarder
	target   *target
	protocol *protocol // the target's, when the connection was made
	addr     string
	conn     *eventloop.Conn
	job      *pendingRequest
	sent     bool   // any of the job may have reached the member
	number   uint16 // of the last request
	response response
	timer    *eventloop.Timer
	ended    bool
}

// take gives the connection a job.
func (c *conn) take(w *pendingRequest) {
	c.job, w.conn = w, c
	c.sent = false
	if c.number++; c.number == 0 { // 0 is the connection's own
		c.number++
	}
	c.response = c.protocol.response(c.number)
}

// limit ends the connection unless the timer is cancelled before.
func (c *conn) limit(after time.Duration) {
	c.link.loop.CancelTimer(c.timer)
	c.timer = c.link.loop.AfterFunc(after, c.late)
}

// late ends a connection on which the member took too long.
func (c *conn) late() {
	c.link.Stats.Timeouts++
	c.fail(pool.Timeout)
}

// watch ends the connection once the member takes nothing of the request, or sends nothing of its answer, for as long as
// the pool says: nginx's send and read time limits, between two operations. What comes and goes sets no timer anew; the
// timer looks when that was last.
func (c *conn) watch() {
	limit := c.target.cfg.ReadTimeout
	if c.conn.UnsentBytes() > 0 {
		limit = c.target.cfg.SendTimeout
	}
	rested := c.link.loop.Now().Sub(c.conn.LastActivity())
	if rested >= limit {
		c.late()
		return
	}
	c.timer = c.link.loop.AfterFunc(limit-rested, c.watch)
}

// send writes the job.
func (c *conn) send() {
	c.sent = true
	c.conn.Write(c.protocol.request(nil, c.number, c.job.Params, c.job.Body))
	c.link.loop.CancelTimer(c.timer)
	c.timer = c.link.loop.AfterFunc(min(c.target.cfg.SendTimeout, c.target.cfg.ReadTimeout), c.watch)
}

// Connected implements loop.ConnHandler.
func (c *conn) Connected(*eventloop.Conn) {
	if c.job == nil {
		c.close()
		return
	}
	c.send()
}

// Data implements loop.ConnHandler.
func (c *conn) Data(_ *eventloop.Conn, p []byte) {
	if c.job == nil {
		c.drop() // an answer to nothing, or a second one
		return
	}
	whole, err := c.response.Feed(p)
	switch {
	case err != nil:
		c.link.Stats.InvalidResponses++
		c.fail(pool.InvalidHeader)
	case whole:
		c.answered()
	}
}

// statusConditions are the statuses of answers for which a request may go on to another member.
var statusConditions = map[int]pool.RetryCondition{500: pool.HTTP500, 503: pool.HTTP503, 403: pool.HTTP403, 404: pool.HTTP404,
	429: pool.HTTP429}

// answered ends a try whose answer is whole.
func (c *conn) answered() {
	w, l := c.job, c.link
	if c.response.Overloaded() {
		l.Stats.Rejected++
		c.fail(pool.Rejection)
		return
	}
	a, err := c.response.Response()
	if err != nil {
		l.Stats.InvalidResponses++
		c.fail(pool.InvalidHeader)
		return
	}
	c.release()
	if condition := statusConditions[a.Status]; condition&w.target.cfg.RetryOn != 0 {
		l.failed(w, c.addr, pool.Failure{Condition: condition, Sent: true, NonIdempotent: w.NonIdempotent}, &a)
		return
	}
	l.done(w, c.addr, pool.Succeeded)
	l.end(w, Responded, a)
}

// release makes the connection idle, or closes it where enough are kept.
func (c *conn) release() {
	c.job = nil
	c.link.loop.CancelTimer(c.timer)
	if c.ended || c.protocol != c.target.protocol || !c.protocol.keeps || c.target.kept >= c.target.cfg.MaxIdleConns || c.link.pools[c.target.cfg.Name] != c.target {
		c.close()
		return
	}
	c.target.idle[c.addr] = append(c.target.idle[c.addr], c)
	c.target.kept++
}

// fail ends the connection and the try on it.
func (c *conn) fail(condition pool.RetryCondition) {
	w, sent := c.job, c.sent
	c.job = nil
	c.close()
	if w != nil {
		c.link.failed(w, c.addr, pool.Failure{Condition: condition, Sent: sent, NonIdempotent: w.NonIdempotent}, nil)
	}
}

// Closed implements loop.ConnHandler.
func (c *conn) Closed(_ *eventloop.Conn, err error) {
	c.ended = true
	switch {
	case c.job == nil:
		c.forget()
		return
	case c.sent && errors.Is(err, io.EOF) && c.response.CompleteAtEOF():
		c.answered()
		return
	}
	c.link.Stats.Errors++
	c.fail(pool.ConnectionError)
}

// drop closes an idle connection.
func (c *conn) drop() {
	c.forget()
	c.close()
}

// forget takes an idle connection out of the list.
func (c *conn) forget() {
	list := c.target.idle[c.addr]
	for i := range list {
		if list[i] == c {
			c.target.idle[c.addr] = append(list[:i], list[i+1:]...)
			c.target.kept--
			return
		}
	}
}

// close ends the connection.
func (c *conn) close() {
	c.link.loop.CancelTimer(c.timer)
	if !c.ended {
		c.ended = true
		c.conn.Close()
	}
}
