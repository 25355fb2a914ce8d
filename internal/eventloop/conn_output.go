package eventloop

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errLingerTimeout  = errors.New("eventloop: peer did not close the connection before the linger timeout")
	errOutputOverflow = errors.New("eventloop: too many bytes unsent to peers that do not read")
)

// Write queues a copy of p, which is sent at the end of the round or once the connection is established. On a closed or
// lingering connection it does nothing.
func (c *Conn) Write(p []byte) {
	if c.isClosed || c.state == stateLingering {
		return
	}
	if c.out.unsent == nil {
		c.out.unsent = c.loop.output.takeBuffer()
	}
	c.out.unsent = append(c.out.unsent, p...)
	c.markDirty()
}

// markDirty schedules a flush of the connection at the end of the round.
func (c *Conn) markDirty() {
	if !c.out.isDirty && !c.isClosed {
		c.out.isDirty = true
		c.loop.output.dirty = append(c.loop.output.dirty, c)
	}
}

// flush sends the queued bytes that the socket accepts and updates the state of the connection.
func (c *Conn) flush() {
	c.out.isDirty = false
	if c.isClosed || c.state != stateEstablished {
		return
	}
	if err := c.send(); err != nil {
		c.fail(err)
		return
	}
	c.accountUnsent(len(c.out.unsent))
	if len(c.out.unsent) > 0 {
		if c.exceedsOutputShare() {
			c.fail(errOutputOverflow)
			return
		}
		c.updateEvents()
		return
	}
	c.releaseBuffer()
	if c.out.closeAfter {
		c.startLinger()
		return
	}
	c.updateEvents()
}

// send passes the queued bytes to one write call and removes those that the socket accepted.
func (c *Conn) send() error {
	if len(c.out.unsent) == 0 {
		return nil
	}
	n, err := c.loop.system.Write(c.fd, c.out.unsent)
	if err != nil && err != unix.EAGAIN && err != unix.EINTR {
		return err
	}
	if n > 0 {
		c.lastActivity = c.loop.now
		rest := copy(c.out.unsent, c.out.unsent[n:])
		c.out.unsent = c.out.unsent[:rest]
	}
	return nil
}

// exceedsOutputShare reports whether the unsent output of all connections exceeds its limit and this connection holds more
// than 1/unsentShareDivisor of the limit.
func (c *Conn) exceedsOutputShare() bool {
	out := &c.loop.output
	return out.unsentBytes > out.maxUnsentBytes && len(c.out.unsent) > out.maxUnsentBytes/unsentShareDivisor
}

// accountUnsent updates the loop's total for a connection that now has unsentBytes of unsent output.
func (c *Conn) accountUnsent(unsentBytes int) {
	c.loop.output.unsentBytes += unsentBytes - c.out.accounted
	c.out.accounted = unsentBytes
}

// releaseBuffer returns the empty output buffer to the loop.
func (c *Conn) releaseBuffer() {
	c.loop.output.releaseBuffer(c.out.unsent)
	c.out.unsent = nil
}

// startLinger shuts down the sending direction and waits for at most lingerTimeout until the peer closes the connection.
// Closing a socket with unread input would reset the connection, and the peer would lose a response that it has not
// read yet.
func (c *Conn) startLinger() {
	if err := c.loop.system.ShutdownWrite(c.fd); err != nil {
		c.fail(err)
		return
	}
	c.state = stateLingering
	c.updateEvents()
	c.out.linger = c.loop.AfterFunc(lingerTimeout, func() {
		if !c.isClosed {
			c.Close()
			c.handler.Closed(c, errLingerTimeout)
		}
	})
}

// discard reads and drops input that the handler does not get, with at most lingerReads reads.
func (c *Conn) discard() {
	for range lingerReads {
		n, err := c.loop.system.Read(c.fd, c.loop.input.discardBuf[:])
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			return
		case err != nil:
			c.pendingErr = err
			return
		case n == 0:
			c.pendingErr = io.EOF
			return
		}
	}
}

// IsWriteStalled reports whether output is queued and the connection has read and sent nothing for at least the timeout.
func (c *Conn) IsWriteStalled(timeout time.Duration) bool {
	return len(c.out.unsent) > 0 && c.loop.now.Sub(c.lastActivity) >= timeout
}

// UnsentBytes returns the number of queued output bytes.
func (c *Conn) UnsentBytes() int { return len(c.out.unsent) }

// CloseAfterFlush shuts down the sending direction once all queued output is sent. Input is then discarded until the peer
// closes the connection, for at most lingerTimeout, and the handler's Closed is called.
func (c *Conn) CloseAfterFlush() {
	c.out.closeAfter = true
	c.markDirty()
}

// IsClosing reports whether CloseAfterFlush has been called.
func (c *Conn) IsClosing() bool { return c.out.closeAfter }
