package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	backlog    = 512
	acceptMost = 64 // connections accepted in one round
	// acceptPause is how long a listener rests when no descriptor is left even for turning callers away.
	acceptPause = 50 * time.Millisecond
)

// AcceptCallbacks tells of new connections.
type AcceptCallbacks struct {
	// OnConn names the handler of a new connection, or nil to turn it away.
	OnConn func(c *Conn) ConnHandler
	// OnError hears of connections that could not be accepted.
	OnError func(err error)
}

// Listener accepts connections.
type Listener struct {
	loop    *Loop
	fd      int
	spare   int // given up to accept and close when descriptors run out, or -1
	on      AcceptCallbacks
	fds     []int // accepted in this round
	errs    []error
	closed  bool
	resting bool
}

// Listen accepts connections at the address.
func (l *Loop) Listen(at netip.AddrPort, on AcceptCallbacks) (*Listener, error) {
	fd, err := l.system.NewStreamSocket(at)
	if err != nil {
		return nil, fmt.Errorf("listen at %v: %w", at, err)
	}
	if err = l.system.Bind(fd, at); err == nil {
		err = l.system.Listen(fd, backlog)
	}
	if err != nil {
		l.system.Close(fd)
		return nil, fmt.Errorf("listen at %v: %w", at, err)
	}
	ln := &Listener{loop: l, fd: fd, on: on, spare: openSpare(l.system)}
	if err := l.add(fd, unix.EPOLLIN, ln); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return ln, nil
}

// Addr is the address that is listened at.
func (ln *Listener) Addr() (netip.AddrPort, error) {
	at, err := ln.loop.system.LocalAddr(ln.fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listener: %w", err)
	}
	return at, nil
}

// openSpare holds a descriptor back.
func openSpare(system System) int {
	fd, err := system.Eventfd()
	if err != nil {
		return -1
	}
	return fd
}

// gather implements source.
func (ln *Listener) gather(uint32) {
	if !ln.accept() {
		ln.rest() // left alone, the listener would stay ready and turn the loop into a spin
	}
}

// accept takes connections until none waits, and tells whether it could.
func (ln *Listener) accept() bool {
	for range acceptMost {
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
			ln.fds = append(ln.fds, fd)
		case err == unix.EAGAIN:
			return true
		case err == unix.EMFILE || err == unix.ENFILE:
			ln.errs = append(ln.errs, err)
			if !ln.shed() {
				return false
			}
		case err == unix.EINTR || err == unix.ECONNABORTED:
		default: // as likely to come again at once
			ln.errs = append(ln.errs, err)
			return false
		}
	}
	return true
}

// shed gives up the spare descriptor to accept one connection and close it, so that its caller hears at once.
func (ln *Listener) shed() bool {
	if ln.spare < 0 {
		return false
	}
	ln.loop.system.Close(ln.spare)
	fd, err := ln.loop.system.Accept(ln.fd)
	if err == nil {
		ln.loop.system.Close(fd)
	}
	ln.spare = openSpare(ln.loop.system)
	return ln.spare >= 0
}

// rest stops accepting for a moment.
func (ln *Listener) rest() {
	if ln.resting {
		return
	}
	ln.resting = true
	ln.loop.watch(ln.fd, 0)
	ln.loop.AfterFunc(acceptPause, func() {
		ln.resting = false
		if !ln.closed {
			if ln.spare < 0 {
				ln.spare = openSpare(ln.loop.system)
			}
			ln.loop.watch(ln.fd, unix.EPOLLIN)
		}
	})
}

// report implements source.
func (ln *Listener) report() {
	fds, errs := ln.fds, ln.errs
	ln.fds, ln.errs = nil, nil
	for _, err := range errs {
		ln.on.OnError(err)
	}
	for _, fd := range fds {
		c, err := ln.loop.newConn(fd, unix.EPOLLIN, nil)
		if err != nil {
			ln.on.OnError(err)
			continue
		}
		if c.handler = ln.on.OnConn(c); c.handler == nil {
			c.Close()
		}
	}
}

// Close accepts what waits and then stops listening.
func (ln *Listener) Close() {
	if ln.closed {
		return
	}
	ln.accept()
	ln.closed = true
	ln.loop.drop(ln.fd)
	if ln.spare >= 0 {
		ln.loop.system.Close(ln.spare)
	}
	ln.report()
}
