package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	listenBacklog = 512
	maxAccepts    = 64 // connections accepted in one round
	// acceptPause is how long a listener pauses when no connection can be accepted, nor rejected for want of descriptors.
	acceptPause = 50 * time.Millisecond
)

// AcceptCallbacks are called for new connections.
type AcceptCallbacks struct {
	// OnConn returns the handler of a new connection, or nil to reject it.
	OnConn func(c *Conn) ConnHandler
	// OnError is called with the error of a connection that could not be accepted.
	OnError func(err error)
}

// Listener accepts connections.
type Listener struct {
	loop      *Loop
	fd        int
	spareFD   int // closed to accept and reject a connection when descriptors run out; -1 while there is none
	callbacks AcceptCallbacks
	accepted  []int   // descriptors of this round
	errs      []error // of this round
	isClosed  bool
	isPaused  bool
}

// Listen accepts connections at the address.
func (l *Loop) Listen(at netip.AddrPort, callbacks AcceptCallbacks) (*Listener, error) {
	fd, err := l.system.NewStreamSocket(at)
	if err != nil {
		return nil, fmt.Errorf("listen at %v: %w", at, err)
	}
	if err = l.system.Bind(fd, at); err == nil {
		err = l.system.Listen(fd, listenBacklog)
	}
	if err != nil {
		l.system.Close(fd)
		return nil, fmt.Errorf("listen at %v: %w", at, err)
	}
	ln := &Listener{loop: l, fd: fd, callbacks: callbacks, spareFD: openSpare(l.system)}
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return ln, nil
}

// Addr returns the address that is listened at.
func (ln *Listener) Addr() (netip.AddrPort, error) {
	at, err := ln.loop.system.LocalAddr(ln.fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listener: %w", err)
	}
	return at, nil
}

// openSpare opens a descriptor that is held in reserve, or returns -1.
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
		ln.pause() // otherwise the listener would stay ready and the loop spin
	}
}

// accept takes connections until none waits, and reports whether it could.
func (ln *Listener) accept() bool {
	for range maxAccepts {
		fd, err := ln.loop.system.Accept(ln.fd)
		switch {
		case err == nil:
			ln.accepted = append(ln.accepted, fd)
		case err == unix.EAGAIN:
			return true
		case err == unix.EMFILE || err == unix.ENFILE:
			ln.errs = append(ln.errs, err)
			if !ln.rejectOne() {
				return false
			}
		case err == unix.EINTR || err == unix.ECONNABORTED:
			// It concerns this call or this connection alone.
		default: // likely to recur immediately
			ln.errs = append(ln.errs, err)
			return false
		}
	}
	return true
}

// rejectOne closes the spare descriptor to accept one connection and close it, so that the peer need not wait for
// a timeout. It reports whether there is a spare descriptor again.
func (ln *Listener) rejectOne() bool {
	if ln.spareFD < 0 {
		return false
	}
	ln.loop.system.Close(ln.spareFD)
	fd, err := ln.loop.system.Accept(ln.fd)
	if err == nil {
		ln.loop.system.Close(fd)
	}
	ln.spareFD = openSpare(ln.loop.system)
	return ln.spareFD >= 0
}

// pause stops accepting for acceptPause.
func (ln *Listener) pause() {
	if ln.isPaused {
		return
	}
	ln.isPaused = true
	ln.loop.modify(ln.fd, 0)
	ln.loop.AfterFunc(acceptPause, ln.resume)
}

// resume ends a pause.
func (ln *Listener) resume() {
	ln.isPaused = false
	if ln.isClosed {
		return
	}
	if ln.spareFD < 0 {
		ln.spareFD = openSpare(ln.loop.system)
	}
	ln.loop.modify(ln.fd, unix.EPOLLIN)
}

// report implements source.
func (ln *Listener) report() {
	accepted, errs := ln.accepted, ln.errs
	ln.accepted, ln.errs = nil, nil
	for _, err := range errs {
		ln.callbacks.OnError(err)
	}
	for _, fd := range accepted {
		ln.open(fd)
	}
}

// open makes a connection of an accepted descriptor.
func (ln *Listener) open(fd int) {
	c, err := ln.loop.newConn(fd, unix.EPOLLIN, stateEstablished, nil)
	if err != nil {
		ln.callbacks.OnError(err)
		return
	}
	c.handler = ln.callbacks.OnConn(c)
	if c.handler == nil {
		c.Close()
	}
}

// Close accepts what waits and then stops listening.
func (ln *Listener) Close() {
	if ln.isClosed {
		return
	}
	ln.accept()
	ln.isClosed = true
	ln.loop.unregister(ln.fd)
	if ln.spareFD >= 0 {
		ln.loop.system.Close(ln.spareFD)
	}
	ln.report()
}
