package forward

import (
	"errors"
	"io"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/pool"
)

// conn is a connection to a member: it has a request, or it is idle.
type conn struct {
	forwarder *Forwarder
	target    *targetPool
	protocol  *protocol // the target's when the connection was made
	addr      string
	socket    *eventloop.Conn
	request   *pendingRequest // nil while the connection is idle
	isSent    bool            // some of the request may have reached the member
	requestID uint16          // of the last request
	parser    responseParser
	timer     *eventloop.Timer
	isClosed  bool
}

// assign binds a request to the connection.
func (c *conn) assign(req *pendingRequest) {
	c.request, req.conn = req, c
	c.isSent = false
	c.requestID++
	if c.requestID == 0 { // 0 is the ID of FastCGI's management records
		c.requestID++
	}
	c.parser = c.protocol.newParser(c.requestID)
}

// startTimeout fails the connection after the timeout, unless the timer is cancelled before.
func (c *conn) startTimeout(timeout time.Duration) {
	c.forwarder.loop.CancelTimer(c.timer)
	c.timer = c.forwarder.loop.AfterFunc(timeout, c.timedOut)
}

// timedOut fails a connection on which the member took too long.
func (c *conn) timedOut() {
	c.forwarder.Stats.Timeouts++
	c.fail(pool.Timeout)
}

// checkActivity fails the connection once the member has read none of the request, or sent none of its response, for the
// pool's send or read timeout, which like nginx's are between two operations. Activity does not reset
// the timer, which compares the time of the last one when it fires.
func (c *conn) checkActivity() {
	timeout := c.target.config.ReadTimeout
	if c.socket.UnsentBytes() > 0 {
		timeout = c.target.config.SendTimeout
	}
	idle := c.forwarder.loop.Now().Sub(c.socket.LastActivity())
	if idle >= timeout {
		c.timedOut()
		return
	}
	c.timer = c.forwarder.loop.AfterFunc(timeout-idle, c.checkActivity)
}

// send writes the request.
func (c *conn) send() {
	c.isSent = true
	c.socket.Write(c.protocol.appendRequest(nil, c.requestID, c.request.Params, c.request.Body))
	c.forwarder.loop.CancelTimer(c.timer)
	timeout := min(c.target.config.SendTimeout, c.target.config.ReadTimeout)
	c.timer = c.forwarder.loop.AfterFunc(timeout, c.checkActivity)
}

// Connected implements eventloop.ConnHandler.
func (c *conn) Connected(*eventloop.Conn) {
	if c.request == nil {
		c.close()
		return
	}
	c.send()
}

// Data implements eventloop.ConnHandler.
func (c *conn) Data(_ *eventloop.Conn, data []byte) {
	if c.request == nil {
		c.closeIdle() // a response to nothing, or a second one
		return
	}
	complete, err := c.parser.Feed(data)
	switch {
	case err != nil:
		c.forwarder.Stats.InvalidResponses++
		c.fail(pool.InvalidHeader)
	case complete:
		c.responded()
	}
}

// retryConditions are the conditions of responses after which a request may be retried, by their status.
var retryConditions = map[int]pool.RetryCondition{
	500: pool.HTTP500,
	503: pool.HTTP503,
	403: pool.HTTP403,
	404: pool.HTTP404,
	429: pool.HTTP429,
}

// responded ends an attempt whose response is complete.
func (c *conn) responded() {
	req, forwarder := c.request, c.forwarder
	if c.parser.Overloaded() {
		forwarder.Stats.Rejected++
		c.fail(pool.Rejection)
		return
	}
	response, err := c.parser.Response()
	if err != nil {
		forwarder.Stats.InvalidResponses++
		c.fail(pool.InvalidHeader)
		return
	}
	c.release()
	condition := retryConditions[response.Status]
	if condition&req.target.config.RetryOn != 0 {
		failure := pool.Failure{Condition: condition, Sent: true, NonIdempotent: req.NonIdempotent}
		forwarder.attemptFailed(req, c.addr, failure, &response)
		return
	}
	forwarder.attemptEnded(req, c.addr, pool.Succeeded)
	forwarder.finish(req, Responded, response)
}

// release makes the connection idle, or closes it where it can't be reused or MaxIdleConns are idle.
func (c *conn) release() {
	c.request = nil
	c.forwarder.loop.CancelTimer(c.timer)
	if !c.canBeReused() || c.target.idleCount >= c.target.config.MaxIdleConns {
		c.close()
		return
	}
	c.target.idle[c.addr] = append(c.target.idle[c.addr], c)
	c.target.idleCount++
}

// canBeReused reports whether another request may be sent on the connection: it is open, and a reload has neither changed
// the pool's protocol nor removed the pool.
func (c *conn) canBeReused() bool {
	return !c.isClosed && c.protocol.keepsConns && c.protocol == c.target.protocol &&
		c.forwarder.pools[c.target.config.Name] == c.target
}

// fail closes the connection and ends the attempt on it.
func (c *conn) fail(condition pool.RetryCondition) {
	req, isSent := c.request, c.isSent
	c.request = nil
	c.close()
	if req != nil {
		failure := pool.Failure{Condition: condition, Sent: isSent, NonIdempotent: req.NonIdempotent}
		c.forwarder.attemptFailed(req, c.addr, failure, nil)
	}
}

// Closed implements eventloop.ConnHandler.
func (c *conn) Closed(_ *eventloop.Conn, err error) {
	c.isClosed = true
	switch {
	case c.request == nil:
		c.removeIdle()
		return
	case c.isSent && errors.Is(err, io.EOF) && c.parser.CompleteAtEOF():
		c.responded()
		return
	}
	c.forwarder.Stats.Errors++
	c.fail(pool.ConnectionError)
}

// closeIdle closes an idle connection.
func (c *conn) closeIdle() {
	c.removeIdle()
	c.close()
}

// removeIdle takes a connection out of the idle ones.
func (c *conn) removeIdle() {
	conns := c.target.idle[c.addr]
	for i := range conns {
		if conns[i] == c {
			c.target.idle[c.addr] = append(conns[:i], conns[i+1:]...)
			c.target.idleCount--
			return
		}
	}
}

// close closes the connection.
func (c *conn) close() {
	c.forwarder.loop.CancelTimer(c.timer)
	if !c.isClosed {
		c.isClosed = true
		c.socket.Close()
	}
}
