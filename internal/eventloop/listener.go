package eventloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	listenBacklog = 512
	maxAccepts    = 64 // maximum number of accept attempts in one round
	// maxAcceptsWhileFull is maxAccepts after a round that could not read all connections. It is half the number of
	// connections that such a round reads at least, so that connections are not accepted faster than they are read.
	maxAcceptsWhileFull = arenaSize / readSize / 2
	// acceptPause is how long a listener pauses when no connection can be accepted, or when descriptors have run out and no
	// connection can be rejected either.
	acceptPause = 50 * time.Millisecond
)

// AcceptOptions configures how a Listener accepts connections, and holds the functions that it calls for them.
type AcceptOptions struct {
	// OnConn returns the handler of a new connection, or nil to reject it.
	OnConn func(c *Conn) ConnHandler
	// OnError is called with the error if a connection could not be accepted.
	OnError func(err error)
	// MaxPerRound is the maximum number of connections that are accepted in one round; 0 means that only the loop's own
	// limits apply.
	MaxPerRound int
}

// Listener accepts stream connections.
type Listener struct {
	loop     *Loop
	fd       int
	spareFD  int // reserve descriptor, closed to accept and reject a connection when descriptors run out; -1 if there is none
	options  AcceptOptions
	accepted []int   // descriptors accepted in this round
	errs     []error // errors of this round
	isClosed bool
	isPaused bool
}

// Listen starts accepting connections on the address.
func (l *Loop) Listen(addr netip.AddrPort, options AcceptOptions) (*Listener, error) {
	fd, err := l.system.NewStreamSocket(addr)
	if err != nil {
		return nil, fmt.Errorf("listen at %v: %w", addr, err)
	}
	if err = l.system.Bind(fd, addr); err == nil {
		err = l.system.Listen(fd, listenBacklog)
	}
	if err != nil {
		l.system.Close(fd)
		return nil, fmt.Errorf("listen at %v: %w", addr, err)
	}
	ln := &Listener{loop: l, fd: fd, options: options, spareFD: openSpareFD(l.system)}
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return ln, nil
}

// Addr returns the address on which the listener accepts connections.
func (ln *Listener) Addr() (netip.AddrPort, error) {
	addr, err := ln.loop.system.LocalAddr(ln.fd)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("eventloop: address of listener: %w", err)
	}
	return addr, nil
}

// openSpareFD opens a reserve descriptor. It returns -1 if that fails.
func openSpareFD(system System) int {
	fd, err := system.Eventfd()
	if err != nil {
		return -1
	}
	return fd
}

// gather implements source.
func (ln *Listener) gather(uint32) {
	if !ln.accept(ln.maxAttempts()) {
		ln.pause() // the descriptor stays ready, so the loop would spin otherwise
	}
}

// maxAttempts returns the maximum number of accept attempts in this round.
func (ln *Listener) maxAttempts() int {
	limit := maxAccepts
	if ln.loop.input.wasArenaFull {
		limit = maxAcceptsWhileFull
	}
	if ln.options.MaxPerRound > 0 {
		limit = min(limit, ln.options.MaxPerRound)
	}
	return limit
}

// accept accepts waiting connections, in at most the given number of attempts. It reports whether the listener can continue
// without a pause.
func (ln *Listener) accept(attempts int) bool {
	for range attempts {
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
			// The error concerns only this call or this connection.
		default: // the error is likely to recur immediately
			ln.errs = append(ln.errs, err)
			return false
		}
	}
	return true
}

// rejectOne closes the spare descriptor to accept one connection and close it, so that the peer does not have to wait for
// a timeout. It reports whether it could open a spare descriptor again.
func (ln *Listener) rejectOne() bool {
	if ln.spareFD < 0 {
		return false
	}
	ln.loop.system.Close(ln.spareFD)
	fd, err := ln.loop.system.Accept(ln.fd)
	if err == nil {
		ln.loop.system.Close(fd)
	}
	ln.spareFD = openSpareFD(ln.loop.system)
	return ln.spareFD >= 0
}

// pause stops accepting connections for the duration acceptPause.
func (ln *Listener) pause() {
	if ln.isPaused {
		return
	}
	ln.isPaused = true
	ln.loop.modify(ln.fd, 0)
	ln.loop.AfterFunc(acceptPause, ln.resume)
}

// resume starts accepting connections again after a pause.
func (ln *Listener) resume() {
	ln.isPaused = false
	if ln.isClosed {
		return
	}
	if ln.spareFD < 0 {
		ln.spareFD = openSpareFD(ln.loop.system)
	}
	ln.loop.modify(ln.fd, unix.EPOLLIN)
}

// report implements source.
func (ln *Listener) report() {
	accepted, errs := ln.accepted, ln.errs
	ln.accepted, ln.errs = nil, nil
	for _, err := range errs {
		ln.options.OnError(err)
	}
	for _, fd := range accepted {
		ln.open(fd)
	}
}

// open creates the Conn of an accepted descriptor and asks OnConn for its handler.
func (ln *Listener) open(fd int) {
	c, err := ln.loop.newConn(fd, unix.EPOLLIN, stateEstablished, nil)
	if err != nil {
		ln.options.OnError(err)
		return
	}
	c.handler = ln.options.OnConn(c)
	if c.handler == nil {
		c.Close()
	}
}

// Close accepts waiting connections, in at most listenBacklog attempts, and stops listening. It calls the callbacks for the
// accepted connections and the errors before it returns.
func (ln *Listener) Close() {
	if ln.isClosed {
		return
	}
	ln.accept(listenBacklog)
	ln.isClosed = true
	ln.loop.unregister(ln.fd)
	if ln.spareFD >= 0 {
		ln.loop.system.Close(ln.spareFD)
	}
	ln.report()
}
