package scenario

import (
	"io"
	"time"

	"tillerusher/internal/fake"
	"tillerusher/internal/simnet"
)

const (
	// maxRequestsPerConn is how many requests a gateway has in flight on one connection. Their FastCGI ids are 1 to it.
	maxRequestsPerConn = 32
	// redialDelay is how long a gateway waits before it replaces a connection that ended.
	redialDelay = 100 * time.Millisecond
	// maxReadDelay is how long after it was sent a request has surely been read by a server that runs.
	maxReadDelay = 100 * time.Millisecond
	// slowReadSize and slowReadInterval are how a gateway reads slowly.
	slowReadSize     = 1
	slowReadInterval = time.Second
)

// conn is a gateway's connection to a server. It is dialed again whenever it ends.
type conn struct {
	gateway     *gateway
	node        *node
	stream      *simnet.Stream
	reader      fake.ResponseReader
	isConnected bool
	readsSlowly bool // so slowly that the time of an answer says nothing about the server
	inFlight    map[uint16]*attempt
	freeIDs     []uint16 // the last one is taken next
}

// dial connects, and forgets everything of the last connection.
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

// canSend reports whether a request can be sent now.
func (c *conn) canSend() bool { return c.isConnected && !c.readsSlowly && len(c.freeIDs) > 0 }

// send writes an attempt and returns its FastCGI id.
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
	run := c.gateway.runner
	answers, err := c.reader.Feed(data)
	if err != nil {
		run.recordViolation("%s sent what is no record: %v", c.node.name(), err)
		c.stream.Reset()
		c.Closed(err)
		return
	}
	for _, answer := range answers {
		attempt := c.inFlight[answer.ID]
		if attempt == nil {
			run.recordViolation("%s answered request %d, which is not open", c.node.name(), answer.ID)
			continue
		}
		delete(c.inFlight, answer.ID)
		c.freeIDs = append(c.freeIDs, answer.ID)
		arrivedAt := run.sim.Now()
		if c.readsSlowly {
			arrivedAt = startTime // before any deadline
		}
		c.gateway.handleAnswer(attempt, answer, arrivedAt)
	}
}

// Closed implements simnet.StreamHandler.
func (c *conn) Closed(err error) {
	c.isConnected = false
	run := c.gateway.runner
	for id := uint16(1); id <= maxRequestsPerConn; id++ {
		attempt := c.inFlight[id]
		if attempt == nil {
			continue
		}
		if err == io.EOF && c.isDroppedByServer(attempt) {
			openFor := run.sim.Elapsed() - attempt.sentAt
			run.recordViolation("%s ended a connection with try %s open, which it had for %v", c.node.name(), attempt.id, openFor)
		}
		c.gateway.handleLoss(attempt)
	}
	clear(c.inFlight)
	if !run.isFinished {
		run.sim.After(redialDelay, c.dial)
	}
}

// isDroppedByServer reports whether a server that runs ended a connection without answering an attempt that it has surely read.
func (c *conn) isDroppedByServer(attempt *attempt) bool {
	n := c.node
	now := c.gateway.runner.sim.Elapsed()
	isRunning := !n.isKilled && attempt.incarnation == n.incarnation
	return isRunning && !c.readsSlowly && now-attempt.sentAt > maxReadDelay && now-n.pausedUntil > maxReadDelay
}

// startSlowReads throttles the connection from now on. Its attempts count as lost: their callers do not wait any longer.
func (c *conn) startSlowReads() {
	c.readsSlowly = true
	for id := uint16(1); id <= maxRequestsPerConn; id++ {
		if attempt := c.inFlight[id]; attempt != nil {
			c.gateway.runner.checker.RecordLost(attempt.id)
		}
	}
	c.stream.ThrottleReads(slowReadSize, slowReadInterval)
}

// reset breaks the connection.
func (c *conn) reset() {
	c.stream.Reset()
	c.Closed(errReset)
}
