package forward

import (
	"errors"
	"io"
	"time"

	"tillerusher/internal/eventloop"
	"tillerusher/internal/pool"
)

// conn is a connection to a member. It either has an assigned request or is idle.
type conn struct {
	forwarder *Forwarder
	target    *targetPool
	protocol  *protocol // of the target when the connection was opened
	addr      string
	socket    *eventloop.Conn
	request   *pendingRequest // nil while the connection is idle
	isSent    bool            // some of the request may have reached the member
	requestID uint16          // FastCGI request ID of the last request
	parser    responseParser
	timer     *eventloop.Timer
	isClosed  bool
}

// assign binds a request to the connection.
func (c *conn) assign(req *pendingRequest) {
	c.request, req.conn = req, c
	c.isSent = false
	c.requestID++
	if c.requestID == 0 { // FastCGI reserves ID 0 for management records
		c.requestID++
	}
	c.parser = c.protocol.newParser(c.requestID)
}

// startTimeout replaces the connection's timer with one that fails the connection after the timeout.
func (c *conn) startTimeout(timeout time.Duration) {
	c.forwarder.loop.CancelTimer(c.timer)
	c.timer = c.forwarder.loop.AfterFunc(timeout, c.timedOut)
}

// timedOut fails the connection after a timeout.
func (c *conn) timedOut() {
	c.forwarder.Stats.Timeouts++
	c.fail(pool.Timeout)
}

// checkActivity fails the connection if the member has read none of the request for the pool's send timeout, or sent none
// of its response for the read timeout. As in nginx these timeouts apply between two successive operations. Activity does
// not reset the timer; when the timer fires, checkActivity looks at the time of the last activity.
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

// send writes the assigned request and starts the timer that checks for activity.
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
		c.closeIdle() // an unsolicited or a second response
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

// retryConditionByStatus maps response statuses to the conditions under which a request may be retried.
var retryConditionByStatus = map[int]pool.RetryCondition{
	500: pool.HTTP500,
	503: pool.HTTP503,
	403: pool.HTTP403,
	404: pool.HTTP404,
	429: pool.HTTP429,
}

// responded handles a complete response and ends the attempt.
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
	condition := retryConditionByStatus[response.Status]
	if condition&req.target.config.RetryOn != 0 {
		failure := pool.Failure{Condition: condition, Sent: true, NonIdempotent: req.NonIdempotent}
		forwarder.attemptFailed(req, c.addr, failure, &response)
		return
	}
	forwarder.attemptEnded(req, c.addr, pool.Succeeded)
	forwarder.finish(req, Responded, response)
}

// release makes the connection idle. It closes the connection instead if it can't be reused or if the pool already has
// MaxIdleConns idle connections.
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

// canBeReused reports whether another request may be sent on the connection: it is open, its protocol allows reuse, and a
// reload has neither changed the pool's protocol nor removed the pool.
func (c *conn) canBeReused() bool {
	return !c.isClosed && c.protocol.reusesConns && c.protocol == c.target.protocol &&
		c.forwarder.pools[c.target.config.Name] == c.target
}

// fail closes the connection and fails the attempt on it, if any.
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

// removeIdle removes the connection from the pool's idle connections, if it is one.
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

// close cancels the connection's timer and closes the connection if it is open.
func (c *conn) close() {
	c.forwarder.loop.CancelTimer(c.timer)
	if !c.isClosed {
		c.isClosed = true
		c.socket.Close()
	}
}
