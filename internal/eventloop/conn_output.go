package eventloop

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errLingerTimeout  = errors.New("eventloop: peer did not close the connection before the linger timeout")
	errOutputOverflow = errors.New("eventloop: too many bytes unsent to peers that do not read, most of them to this one")
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
	if c.isClosed || c.state != stateEstablished || c.pendingErr != nil {
		return
	}
	if err := c.send(); err != nil {
		c.fail(err)
		return
	}
	c.accountUnsent(len(c.out.unsent))
	if len(c.out.unsent) > 0 {
		c.updateEvents()
		c.loop.output.limitUnsent()
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

// limitUnsent has connections fail while the unsent output of all accepted connections exceeds its limit, those with the
// most unsent output first.
func (o *outputState) limitUnsent() {
	for o.unsent.Bytes() > o.maxUnsentBytes {
		largest := o.unsent.Largest().Owner
		largest.accountUnsent(0)
		largest.fail(errOutputOverflow)
	}
}

// accountUnsent updates the loop's total for a connection that now has unsentBytes of unsent output.
func (c *Conn) accountUnsent(unsentBytes int) {
	if !c.isDialled {
		c.loop.output.unsent.Add(&c.out.account, unsentBytes-c.out.account.Bytes())
	}
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
