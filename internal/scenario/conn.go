package scenario

import (
	"io"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

const (
	// maxRequestsPerConn is the maximum number of requests that a gateway has in flight on one connection. Their FastCGI
	// request IDs are 1 to maxRequestsPerConn.
	maxRequestsPerConn = 32
	// redialDelay is the time that a gateway waits before it replaces a connection that ended.
	redialDelay = 100 * time.Millisecond
	// maxReadDelay is the time after which a running server has certainly read a request that was sent to it.
	maxReadDelay = 100 * time.Millisecond
	// slowReadSize is the number of bytes that a slow gateway reads in each slowReadInterval.
	slowReadSize     = 1
	slowReadInterval = time.Second
)

// conn is a gateway's connection to a server. The gateway dials again when it ends.
type conn struct {
	gateway     *gateway
	node        *node
	stream      *simnet.Stream
	reader      fake.ResponseReader
	isConnected bool
	readsSlowly bool                // so slowly that an answer's time of arrival does not show when the server sent it
	inFlight    map[uint16]*attempt // by FastCGI request ID
	freeIDs     []uint16            // free FastCGI request IDs; send uses the last one
}

// dial starts to connect and resets the state of the previous connection.
func (c *conn) dial() {
	c.reader = fake.ResponseReader{}
	c.readsSlowly = false
	c.inFlight = map[uint16]*attempt{}
	c.freeIDs = nil
	for id := uint16(maxRequestsPerConn); id > 0; id-- {
		c.freeIDs = append(c.freeIDs, id)
	}
	c.stream = c.gateway.runner.sim.Dial(c.gateway.addr, c.node.addr(), c)
}

// canSend reports whether send may be called.
func (c *conn) canSend() bool { return c.isConnected && !c.readsSlowly && len(c.freeIDs) > 0 }

// send writes an attempt and returns its FastCGI request ID. The caller has checked canSend.
func (c *conn) send(attempt *attempt) (id uint16) {
	last := len(c.freeIDs) - 1
	id = c.freeIDs[last]
	c.freeIDs = c.freeIDs[:last]
	c.inFlight[id] = attempt
	req := attempt.request
	message := fake.NewAttempt(attempt.id, req.key, c.gateway.runner.sim.Now(), req.body)
	message.Headers["Account"] = req.tenant
	if req.attempts > 1 {
		message.Headers["Attempt-Again"] = "1"
	}
	c.stream.Write(message.Encode(id))
	return id
}

// Connected implements simnet.StreamHandler.
func (c *conn) Connected() { c.isConnected = true }

// Data implements simnet.StreamHandler.
func (c *conn) Data(data []byte) {
	r := c.gateway.runner
	answers, err := c.reader.Feed(data)
	if err != nil {
		r.recordViolation("%s sent what is no record: %v", c.node.name(), err)
		c.stream.Reset()
		c.Closed(err)
		return
	}
	for _, answer := range answers {
		attempt := c.inFlight[answer.ID]
		if attempt == nil {
			r.recordViolation("%s answered request %d, which is not open", c.node.name(), answer.ID)
			continue
		}
		delete(c.inFlight, answer.ID)
		c.freeIDs = append(c.freeIDs, answer.ID)
		arrivedAt := r.sim.Now()
		if c.readsSlowly {
			arrivedAt = startTime // before any deadline
		}
		c.gateway.handleAnswer(attempt, answer, arrivedAt)
	}
}

// Closed implements simnet.StreamHandler.
func (c *conn) Closed(err error) {
	c.isConnected = false
	r := c.gateway.runner
	for id := uint16(1); id <= maxRequestsPerConn; id++ {
		attempt := c.inFlight[id]
		if attempt == nil {
			continue
		}
		if err == io.EOF && c.isDroppedByServer(attempt) {
			openFor := r.sim.Elapsed() - attempt.sentAt
			r.recordViolation("%s ended a connection with try %s open, which it had for %v", c.node.name(), attempt.id, openFor)
		}
		c.gateway.handleLoss(attempt)
	}
	clear(c.inFlight)
	if !r.isFinished {
		r.sim.After(redialDelay, c.dial)
	}
}

// isDroppedByServer reports whether a running server ended the connection without an answer to an attempt that it has
// certainly read.
func (c *conn) isDroppedByServer(attempt *attempt) bool {
	n := c.node
	now := c.gateway.runner.sim.Elapsed()
	isRunning := !n.isKilled && attempt.incarnation == n.incarnation
	return isRunning && !c.readsSlowly && now-attempt.sentAt > maxReadDelay && now-n.pausedUntil > maxReadDelay
}

// startSlowReads throttles the reads from the connection until the connection ends. The checker records the attempts on it
// as lost, because their callers no longer wait for answers.
func (c *conn) startSlowReads() {
	c.readsSlowly = true
	for id := uint16(1); id <= maxRequestsPerConn; id++ {
		if attempt := c.inFlight[id]; attempt != nil {
			c.gateway.runner.checker.RecordLost(attempt.id)
		}
	}
	c.stream.ThrottleReads(slowReadSize, slowReadInterval)
}

// reset resets the connection.
func (c *conn) reset() {
	c.stream.Reset()
	c.Closed(errReset)
}
