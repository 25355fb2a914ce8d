package simnet

import (
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// eventfdSize is the number of bytes that a read or write of an eventfd transfers; see eventfd(2).
const eventfdSize = 8

// descriptor is the object that a descriptor number refers to. Exactly one field is set.
type descriptor struct {
	socket       *socket
	epoll        *epoll
	eventCounter *uint64         // counter of an eventfd
	datagramPeer *netip.AddrPort // destination of a datagram socket
}

// epoll is the interest list of an epoll instance.
type epoll struct {
	interest map[int]uint32 // events by descriptor
	order    []int          // descriptors in the order of their registration, in which pollReady reports them
}

// socketFor returns the stream socket of a descriptor, or EBADF if there is none.
func (p *Process) socketFor(fd int) (*socket, error) {
	if desc := p.descriptors[fd]; desc != nil && desc.socket != nil {
		return desc.socket, nil
	}
	return nil, unix.EBADF
}

// Now implements eventloop.System.
func (p *Process) Now() time.Time { return p.sim.Now() }

// EpollCreate implements eventloop.System.
func (p *Process) EpollCreate() (int, error) {
	return p.allocate(&descriptor{epoll: &epoll{interest: map[int]uint32{}}})
}

// EpollCtl implements eventloop.System.
func (p *Process) EpollCtl(epollFD, op, fd int, events uint32) error {
	desc := p.descriptors[epollFD]
	if desc == nil || desc.epoll == nil || p.descriptors[fd] == nil {
		return unix.EBADF
	}
	_, isRegistered := desc.epoll.interest[fd]
	switch {
	case op == unix.EPOLL_CTL_ADD && isRegistered:
		return unix.EEXIST
	case op == unix.EPOLL_CTL_MOD && !isRegistered:
		return unix.ENOENT
	case op == unix.EPOLL_CTL_ADD:
		desc.epoll.order = append(desc.epoll.order, fd)
	}
	desc.epoll.interest[fd] = events
	return nil
}

// pollReady writes the ready descriptors to events and returns their number.
func (p *Process) pollReady(ep *epoll, events []unix.EpollEvent) (n int) {
	for _, fd := range ep.order {
		desc := p.descriptors[fd]
		var ready uint32
		switch {
		case desc.eventCounter != nil && *desc.eventCounter > 0:
			ready = unix.EPOLLIN
		case desc.socket != nil:
			ready = desc.socket.readiness()
		}
		// epoll reports errors and hangups even if they are not registered.
		ready &= ep.interest[fd] | unix.EPOLLERR | unix.EPOLLHUP
		if ready != 0 && n < len(events) {
			events[n] = unix.EpollEvent{Events: ready, Fd: int32(fd)}
			n++
		}
	}
	return n
}

// EpollWait implements eventloop.System.
func (p *Process) EpollWait(fd int, events []unix.EpollEvent, timeoutMs int) (int, error) {
	desc := p.descriptors[fd]
	if desc == nil || desc.epoll == nil {
		return -1, unix.EBADF
	}
	p.sim.Stats.Rounds++
	p.busyUntil = p.sim.now + iterationCost
	timeout := time.Duration(timeoutMs) * time.Millisecond
	if timeoutMs == 0 || p.sim.now >= p.pausedUntil && p.pollReady(desc.epoll, events) > 0 {
		timeout = iterationCost // an iteration takes this time even if it does not wait for events
	}
	p.wait(timeout)
	return p.pollReady(desc.epoll, events), nil
}

// Eventfd implements eventloop.System.
func (p *Process) Eventfd() (int, error) {
	return p.allocate(&descriptor{eventCounter: new(uint64)})
}

// NewStreamSocket implements eventloop.System.
func (p *Process) NewStreamSocket(netip.AddrPort) (int, error) {
	local := netip.AddrPortFrom(p.addr, p.sim.ephemeralPort())
	return p.allocate(&descriptor{socket: &socket{sim: p.sim, process: p, local: local}})
}

// NewDatagramSocket implements eventloop.System.
func (p *Process) NewDatagramSocket(netip.AddrPort) (int, error) {
	return p.allocate(&descriptor{datagramPeer: &netip.AddrPort{}})
}

// Bind implements eventloop.System.
func (p *Process) Bind(fd int, at netip.AddrPort) error {
	sk, err := p.socketFor(fd)
	if err != nil {
		return err
	}
	if p.sim.listeners[at] != nil {
		return unix.EADDRINUSE
	}
	sk.local = at
	return nil
}

// Listen implements eventloop.System.
func (p *Process) Listen(fd, backlog int) error {
	sk, err := p.socketFor(fd)
	if err != nil {
		return err
	}
	sk.isListening = true
	sk.maxBacklog = backlog
	p.sim.listeners[sk.local] = sk
	return nil
}

// Accept implements eventloop.System.
func (p *Process) Accept(fd int) (int, error) {
	sk, err := p.socketFor(fd)
	if err != nil {
		return -1, err
	}
	if len(sk.backlog) == 0 {
		return -1, unix.EAGAIN
	}
	conn, err := p.allocate(&descriptor{socket: sk.backlog[0]})
	if err != nil {
		return -1, err
	}
	sk.backlog = sk.backlog[1:]
	return conn, nil
}

// Connect implements eventloop.System.
func (p *Process) Connect(fd int, to netip.AddrPort) error {
	desc := p.descriptors[fd]
	switch {
	case desc == nil:
		return unix.EBADF
	case desc.datagramPeer != nil:
		*desc.datagramPeer = to
		return nil
	}
	desc.socket.connect(to)
	return unix.EINPROGRESS
}

// ConnectResult implements eventloop.System.
func (p *Process) ConnectResult(fd int) error {
	sk, err := p.socketFor(fd)
	if err != nil {
		return err
	}
	err, sk.err = sk.err, nil // reading SO_ERROR clears it
	return err
}

// LocalAddr implements eventloop.System.
func (p *Process) LocalAddr(fd int) (netip.AddrPort, error) {
	sk, err := p.socketFor(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return sk.local, nil
}

// Read implements eventloop.System.
func (p *Process) Read(fd int, buf []byte) (int, error) {
	desc := p.descriptors[fd]
	switch {
	case desc == nil:
		return -1, unix.EBADF
	case desc.eventCounter != nil:
		if *desc.eventCounter == 0 {
			return -1, unix.EAGAIN
		}
		*desc.eventCounter = 0
		return eventfdSize, nil
	}
	return desc.socket.read(buf)
}

// Peek implements eventloop.System.
func (p *Process) Peek(fd int, buf []byte) (int, error) {
	sk, err := p.socketFor(fd)
	switch {
	case err != nil:
		return -1, err
	case len(sk.received) > 0:
		return copy(buf, sk.received), nil
	case sk.err != nil:
		return -1, sk.err
	case sk.hasReceivedEOF:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// Write implements eventloop.System.
func (p *Process) Write(fd int, buf []byte) (int, error) {
	desc := p.descriptors[fd]
	switch {
	case desc == nil:
		return -1, unix.EBADF
	case desc.eventCounter != nil:
		*desc.eventCounter++
		p.wake()
		return eventfdSize, nil
	case desc.datagramPeer != nil:
		p.sim.sendDatagram(p.addr, *desc.datagramPeer, buf)
		return len(buf), nil
	}
	return desc.socket.write(buf)
}

// ShutdownWrite implements eventloop.System.
func (p *Process) ShutdownWrite(fd int) error {
	sk, err := p.socketFor(fd)
	switch {
	case err != nil:
		return err
	case sk.err != nil || !sk.isConnected:
		return unix.ENOTCONN
	}
	sk.shutdown()
	return nil
}

// Close implements eventloop.System.
func (p *Process) Close(fd int) error {
	desc := p.descriptors[fd]
	if desc == nil {
		return unix.EBADF
	}
	delete(p.descriptors, fd)
	for _, other := range p.descriptors {
		if other.epoll != nil {
			other.epoll.remove(fd)
		}
	}
	if desc.socket != nil {
		desc.socket.close()
	}
	return nil
}

// remove removes a closed descriptor from the interest list.
func (e *epoll) remove(fd int) {
	if _, isRegistered := e.interest[fd]; !isRegistered {
		return
	}
	delete(e.interest, fd)
	e.order = slices.DeleteFunc(e.order, func(n int) bool { return n == fd })
}
