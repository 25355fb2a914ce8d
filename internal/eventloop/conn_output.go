package eventloop

import (
	"errors"
	"io"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errLingerTimeout  = errors.New("eventloop: the peer did not close the connection in time")
	errOutputOverflow = errors.New("eventloop: too many bytes unsent to peers that do not read")
)

// Write queues bytes, which are sent at the end of the round.
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

// markDirty has the connection flushed at the end of the round.
func (c *Conn) markDirty() {
	if !c.out.isDirty && !c.isClosed {
		c.out.isDirty = true
		c.loop.output.dirty = append(c.loop.output.dirty, c)
	}
}

// flush sends the queued bytes, as far as the socket takes them.
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

// send writes as much of the queued bytes as the socket takes.
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

// exceedsOutputShare reports whether the memory for output is used up and the connection holds a large share of it.
func (c *Conn) exceedsOutputShare() bool {
	out := &c.loop.output
	return out.unsentBytes > out.maxUnsentBytes && len(c.out.unsent) > out.maxUnsentBytes/unsentShareDivisor
}

// accountUnsent updates the loop's total by what the peer has not taken.
func (c *Conn) accountUnsent(unsentBytes int) {
	c.loop.output.unsentBytes += unsentBytes - c.out.accounted
	c.out.accounted = unsentBytes
}

// releaseBuffer hands the empty output buffer back.
func (c *Conn) releaseBuffer() {
	c.loop.output.releaseBuffer(c.out.unsent)
	c.out.unsent = nil
}

// startLinger ends this side of the connection and waits for the peer's end, for lingerTimeout at most. A socket that is
// closed with input unread resets the connection, and the peer loses the response that it has not read yet.
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

// discard reads and drops what the peer still sends while the connection lingers.
func (c *Conn) discard() {
	for range lingerReads {
		n, err := c.loop.system.Read(c.fd, c.loop.input.discarded[:])
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

// IsWriteStalled reports whether something is to be sent and the peer took none of it for the time.
func (c *Conn) IsWriteStalled(timeout time.Duration) bool {
	return len(c.out.unsent) > 0 && c.loop.now.Sub(c.lastActivity) >= timeout
}

// UnsentBytes returns how many bytes wait to be sent.
func (c *Conn) UnsentBytes() int { return len(c.out.unsent) }

// CloseAfterFlush ends the connection once all that is queued is sent. What the peer still sends is discarded until it
// ends the connection, too, for lingerTimeout at most; then the handler's Closed is called.
func (c *Conn) CloseAfterFlush() {
	c.out.closeAfter = true
	c.markDirty()
}

// IsClosing reports whether CloseAfterFlush was called.
func (c *Conn) IsClosing() bool { return c.out.closeAfter }
