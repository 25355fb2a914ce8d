package simnet

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// iterationCost is how long a process works on what one wait told it, so that what comes meanwhile waits for the next.
const iterationCost = 20 * time.Microsecond

// descriptor is what stands behind a descriptor: exactly one of these.
type descriptor struct {
	socket       *socket
	epoll        *epoll
	eventCounter *uint64
	datagramPeer *netip.AddrPort
}

// epoll is what a process waits for.
type epoll struct {
	interest map[int]uint32
	order    []int // received the order of registering
}

// Process is one program: a coroutine that runs until it waits. It implements loop.System.
type Process struct {
	sim            *Simulation
	name           string
	addr           netip.Addr
	maxDescriptors int
	descriptors    map[int]*descriptor
	resume         func() (struct{}, bool)
	stop           func()
	yield          func(struct{}) bool

	isWaiting, isScheduled, isKilled, hasExited bool
	busyUntil                                   time.Duration
	pausedUntil                                 time.Duration
	exitErr                                     error
}

// killSignal ends the coroutine of a process that was killed.
type killSignal struct{}

// Start starts a program on a machine that may have so many descriptors open.
func (w *Simulation) Start(name string, at netip.Addr, limit int, main func(p *Process) error) *Process {
	p := &Process{sim: w, name: name, addr: at, maxDescriptors: limit, descriptors: map[int]*descriptor{}}
	p.resume, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			p.hasExited, p.isWaiting = true, false
			p.closeAll()
			if r := recover(); r != nil {
				if _, ok := r.(killSignal); !ok {
					panic(fmt.Sprintf("simos: %s at %v: %v", name, w.now, r))
				}
			}
		}()
		p.yield = yield
		p.exitErr = main(p)
	})
	w.After(0, func() { p.step() })
	return p
}

// step has the program go on until it waits.
func (p *Process) step() {
	if p.hasExited || p.isKilled {
		return
	}
	if wait := p.pausedUntil - p.sim.now; wait > 0 {
		p.isScheduled = true
		p.sim.After(wait, p.step)
		return
	}
	p.isScheduled = false
	p.resume()
}

// wake has a waiting program go on, as soon as it is free to.
func (p *Process) wake() {
	if !p.isWaiting || p.isScheduled || p.isKilled {
		return
	}
	p.isScheduled = true
	p.sim.After(max(p.busyUntil, p.pausedUntil)-p.sim.now, p.step)
}

// closeAll gives up all that the program had open.
func (p *Process) closeAll() {
	for _, fd := range p.sortedDescriptors() {
		if s := p.descriptors[fd].socket; s != nil {
			s.close()
		}
	}
	p.descriptors = map[int]*descriptor{}
}

// sortedDescriptors are the descriptors that are open, in order.
func (p *Process) sortedDescriptors() []int {
	list := make([]int, 0, len(p.descriptors))
	for fd := range p.descriptors {
		list = append(list, fd)
	}
	slices.Sort(list)
	return list
}

// Kill ends the program at once.
func (p *Process) Kill() {
	if p.hasExited || p.isKilled {
		return
	}
	p.sim.Stats.Kills++
	p.isKilled = true
	p.closeAll()
	p.stop()
}

// Pause has the program stand still for a while, as on a machine that gives it no processor.
func (p *Process) Pause(length time.Duration) {
	p.sim.Stats.Pauses++
	p.pausedUntil = max(p.pausedUntil, p.sim.now+length)
}

// Exited tells whether the program has ended, and how.
func (p *Process) Exited() (ended bool, err error) { return p.hasExited || p.isKilled, p.exitErr }

// OpenDescriptors is how many descriptors are open.
func (p *Process) OpenDescriptors() int { return len(p.descriptors) }

// allocate opens the lowest descriptor there is.
func (p *Process) allocate(f *descriptor) (int, error) {
	switch {
	case p.isKilled:
		return -1, unix.EBADF
	case len(p.descriptors) >= p.maxDescriptors:
		p.sim.Stats.OutOfFiles++
		return -1, unix.EMFILE
	}
	fd := 3
	for p.descriptors[fd] != nil {
		fd++
	}
	p.descriptors[fd] = f
	return fd, nil
}

// socketFor is the socket behind a descriptor.
func (p *Process) socketFor(fd int) (*socket, error) {
	if f := p.descriptors[fd]; f != nil && f.socket != nil {
		return f.socket, nil
	}
	return nil, unix.EBADF
}

// Now implements loop.System.
func (p *Process) Now() time.Time { return p.sim.Now() }

// EpollCreate implements loop.System.
func (p *Process) EpollCreate() (int, error) {
	return p.allocate(&descriptor{epoll: &epoll{interest: map[int]uint32{}}})
}

// EpollCtl implements loop.System.
func (p *Process) EpollCtl(fd, op, of int, events uint32) error {
	f := p.descriptors[fd]
	if f == nil || f.epoll == nil || p.descriptors[of] == nil {
		return unix.EBADF
	}
	_, there := f.epoll.interest[of]
	switch {
	case op == unix.EPOLL_CTL_ADD && there:
		return unix.EEXIST
	case op == unix.EPOLL_CTL_MOD && !there:
		return unix.ENOENT
	case op == unix.EPOLL_CTL_ADD:
		f.epoll.order = append(f.epoll.order, of)
	}
	f.epoll.interest[of] = events
	return nil
}

// pollReady is what is ready.
func (p *Process) pollReady(e *epoll, events []unix.EpollEvent) (n int) {
	for _, fd := range e.order {
		f := p.descriptors[fd]
		var is uint32
		switch {
		case f.eventCounter != nil && *f.eventCounter > 0:
			is = unix.EPOLLIN
		case f.socket != nil:
			is = f.socket.readiness()
		}
		if is &= e.interest[fd] | unix.EPOLLERR | unix.EPOLLHUP; is != 0 && n < len(events) {
			events[n] = unix.EpollEvent{Events: is, Fd: int32(fd)}
			n++
		}
	}
	return n
}

// EpollWait implements loop.System.
func (p *Process) EpollWait(fd int, events []unix.EpollEvent, ms int) (int, error) {
	f := p.descriptors[fd]
	if f == nil || f.epoll == nil {
		return -1, unix.EBADF
	}
	p.sim.Stats.Rounds++
	p.busyUntil = p.sim.now + iterationCost
	wait := time.Duration(ms) * time.Millisecond
	if ms == 0 || p.sim.now >= p.pausedUntil && p.pollReady(f.epoll, events) > 0 {
		wait = iterationCost // even a round that waits for nothing takes its time
	}
	p.wait(wait)
	return p.pollReady(f.epoll, events), nil
}

// wait waits until something is ready, for so long at the most; a negative time is for ever.
func (p *Process) wait(timeout time.Duration) {
	p.isWaiting = true
	cancel := func() {}
	if timeout >= 0 {
		cancel = p.sim.After(max(timeout, p.pausedUntil-p.sim.now), func() {
			if !p.isScheduled {
				p.step()
			}
		})
	}
	if !p.yield(struct{}{}) {
		panic(killSignal{})
	}
	cancel()
	p.isWaiting = false
}

// Eventfd implements loop.System.
func (p *Process) Eventfd() (int, error) { return p.allocate(&descriptor{eventCounter: new(uint64)}) }

// Stream implements loop.System.
func (p *Process) NewStreamSocket(netip.AddrPort) (int, error) {
	p.sim.lastPort++
	return p.allocate(&descriptor{socket: &socket{sim: p.sim, process: p, local: netip.AddrPortFrom(p.addr, p.sim.lastPort)}})
}

// Datagram implements loop.System.
func (p *Process) NewDatagramSocket(netip.AddrPort) (int, error) {
	return p.allocate(&descriptor{datagramPeer: &netip.AddrPort{}})
}

// Bind implements loop.System.
func (p *Process) Bind(fd int, at netip.AddrPort) error {
	s, err := p.socketFor(fd)
	if err != nil {
		return err
	}
	if p.sim.listeners[at] != nil {
		return unix.EADDRINUSE
	}
	s.local = at
	return nil
}

// Listen implements loop.System.
func (p *Process) Listen(fd, backlog int) error {
	s, err := p.socketFor(fd)
	if err != nil {
		return err
	}
	s.isListening, s.maxBacklog = true, backlog
	p.sim.listeners[s.local] = s
	return nil
}

// Accept implements loop.System.
func (p *Process) Accept(fd int) (int, error) {
	s, err := p.socketFor(fd)
	if err != nil {
		return -1, err
	}
	if len(s.backlog) == 0 {
		return -1, unix.EAGAIN
	}
	c, err := p.allocate(&descriptor{socket: s.backlog[0]})
	if err != nil {
		return -1, err
	}
	s.backlog = s.backlog[1:]
	return c, nil
}

// Connect implements loop.System.
func (p *Process) Connect(fd int, to netip.AddrPort) error {
	f := p.descriptors[fd]
	switch {
	case f == nil:
		return unix.EBADF
	case f.datagramPeer != nil:
		*f.datagramPeer = to
		return nil
	}
	f.socket.connect(to)
	return unix.EINPROGRESS
}

// Connected implements loop.System.
func (p *Process) ConnectResult(fd int) error {
	s, err := p.socketFor(fd)
	if err != nil {
		return err
	}
	err, s.err = s.err, nil
	return err
}

// Address implements loop.System.
func (p *Process) LocalAddr(fd int) (netip.AddrPort, error) {
	s, err := p.socketFor(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return s.local, nil
}

// Read implements loop.System.
func (p *Process) Read(fd int, b []byte) (int, error) {
	f := p.descriptors[fd]
	switch {
	case f == nil:
		return -1, unix.EBADF
	case f.eventCounter != nil:
		if *f.eventCounter == 0 {
			return -1, unix.EAGAIN
		}
		*f.eventCounter = 0
		return 8, nil
	}
	return f.socket.read(b)
}

// Peek implements loop.System.
func (p *Process) Peek(fd int, b []byte) (int, error) {
	s, err := p.socketFor(fd)
	switch {
	case err != nil:
		return -1, err
	case len(s.received) > 0:
		return copy(b, s.received), nil
	case s.err != nil:
		return -1, s.err
	case s.hasReceivedEOF:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// Write implements loop.System.
func (p *Process) Write(fd int, b []byte) (int, error) {
	f := p.descriptors[fd]
	switch {
	case f == nil:
		return -1, unix.EBADF
	case f.eventCounter != nil:
		*f.eventCounter++
		p.wake()
		return 8, nil
	case f.datagramPeer != nil:
		p.sim.sendDatagram(p.addr, *f.datagramPeer, b)
		return len(b), nil
	}
	return f.socket.write(b)
}

// sendDatagram has a datagram come, be lost, or come twice.
func (w *Simulation) sendDatagram(from netip.Addr, to netip.AddrPort, b []byte) {
	b = append([]byte(nil), b...)
	times := 1
	switch {
	case !w.isReachable(from, to.Addr()), w.rng.Float64() < w.Network.DatagramLoss:
		w.Stats.DatagramsLost++
		return
	case w.rng.Float64() < w.Network.DatagramDuplication:
		w.Stats.DatagramsDoubled++
		times = 2
	}
	for range times {
		w.After(w.segmentDelay(), func() {
			if heard := w.datagramHandlers[to]; heard != nil {
				heard(b)
			}
		})
	}
}

// ShutdownWrite implements loop.System.
func (p *Process) ShutdownWrite(fd int) error {
	s, err := p.socketFor(fd)
	switch {
	case err != nil:
		return err
	case s.err != nil || !s.isConnected:
		return unix.ENOTCONN
	}
	s.shutdown()
	return nil
}

// Close implements loop.System.
func (p *Process) Close(fd int) error {
	f := p.descriptors[fd]
	if f == nil {
		return unix.EBADF
	}
	delete(p.descriptors, fd)
	for _, other := range p.descriptors {
		if e := other.epoll; e != nil {
			if _, there := e.interest[fd]; there {
				delete(e.interest, fd)
				e.order = slices.DeleteFunc(e.order, func(n int) bool { return n == fd })
			}
		}
	}
	if f.socket != nil {
		f.socket.close()
	}
	return nil
}
