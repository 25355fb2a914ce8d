package simnet

import (
	"fmt"
	"iter"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// roundCost is how long a process works on what one wait told it, so that what comes meanwhile waits for the next.
const roundCost = 20 * time.Microsecond

// file is what stands behind a descriptor: exactly one of these.
type file struct {
	socket *socket
	epoll  *epoll
	event  *uint64
	gram   *netip.AddrPort
}

// epoll is what a process waits for.
type epoll struct {
	want  map[int]uint32
	order []int // in the order of registering
}

// Process is one program: a coroutine that runs until it waits. It implements loop.System.
type Process struct {
	world  *World
	name   string
	at     netip.Addr
	limit  int
	files  map[int]*file
	resume func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool

	waiting, planned, dead, ended bool
	free                          time.Duration
	paused                        time.Duration
	err                           error
}

// killed ends the coroutine of a process that was killed.
type killed struct{}

// Start starts a program on a machine that may have so many descriptors open.
func (w *World) Start(name string, at netip.Addr, limit int, main func(p *Process) error) *Process {
	p := &Process{world: w, name: name, at: at, limit: limit, files: map[int]*file{}}
	p.resume, p.stop = iter.Pull(func(yield func(struct{}) bool) {
		defer func() {
			p.ended, p.waiting = true, false
			p.release()
			if r := recover(); r != nil {
				if _, ok := r.(killed); !ok {
					panic(fmt.Sprintf("simos: %s at %v: %v", name, w.now, r))
				}
			}
		}()
		p.yield = yield
		p.err = main(p)
	})
	w.After(0, func() { p.run() })
	return p
}

// run has the program go on until it waits.
func (p *Process) run() {
	if p.ended || p.dead {
		return
	}
	if wait := p.paused - p.world.now; wait > 0 {
		p.planned = true
		p.world.After(wait, p.run)
		return
	}
	p.planned = false
	p.resume()
}

// wake has a waiting program go on, as soon as it is free to.
func (p *Process) wake() {
	if !p.waiting || p.planned || p.dead {
		return
	}
	p.planned = true
	p.world.After(max(p.free, p.paused)-p.world.now, p.run)
}

// release gives up all that the program had open.
func (p *Process) release() {
	for _, fd := range p.open() {
		if s := p.files[fd].socket; s != nil {
			s.close()
		}
	}
	p.files = map[int]*file{}
}

// open are the descriptors that are open, in order.
func (p *Process) open() []int {
	list := make([]int, 0, len(p.files))
	for fd := range p.files {
		list = append(list, fd)
	}
	slices.Sort(list)
	return list
}

// Kill ends the program at once.
func (p *Process) Kill() {
	if p.ended || p.dead {
		return
	}
	p.world.Count.Kills++
	p.dead = true
	p.release()
	p.stop()
}

// Pause has the program stand still for a while, as on a machine that gives it no processor.
func (p *Process) Pause(length time.Duration) {
	p.world.Count.Pauses++
	p.paused = max(p.paused, p.world.now+length)
}

// Ended tells whether the program has ended, and how.
func (p *Process) Ended() (ended bool, err error) { return p.ended || p.dead, p.err }

// Files is how many descriptors are open.
func (p *Process) Files() int { return len(p.files) }

// add opens the lowest descriptor there is.
func (p *Process) add(f *file) (int, error) {
	switch {
	case p.dead:
		return -1, unix.EBADF
	case len(p.files) >= p.limit:
		p.world.Count.OutOfFiles++
		return -1, unix.EMFILE
	}
	fd := 3
	for p.files[fd] != nil {
		fd++
	}
	p.files[fd] = f
	return fd, nil
}

// socketOf is the socket behind a descriptor.
func (p *Process) socketOf(fd int) (*socket, error) {
	if f := p.files[fd]; f != nil && f.socket != nil {
		return f.socket, nil
	}
	return nil, unix.EBADF
}

// Now implements loop.System.
func (p *Process) Now() time.Time { return p.world.Now() }

// EpollCreate implements loop.System.
func (p *Process) EpollCreate() (int, error) {
	return p.add(&file{epoll: &epoll{want: map[int]uint32{}}})
}

// EpollCtl implements loop.System.
func (p *Process) EpollCtl(fd, op, of int, events uint32) error {
	f := p.files[fd]
	if f == nil || f.epoll == nil || p.files[of] == nil {
		return unix.EBADF
	}
	_, there := f.epoll.want[of]
	switch {
	case op == unix.EPOLL_CTL_ADD && there:
		return unix.EEXIST
	case op == unix.EPOLL_CTL_MOD && !there:
		return unix.ENOENT
	case op == unix.EPOLL_CTL_ADD:
		f.epoll.order = append(f.epoll.order, of)
	}
	f.epoll.want[of] = events
	return nil
}

// look is what is ready.
func (p *Process) look(e *epoll, events []unix.EpollEvent) (n int) {
	for _, fd := range e.order {
		f := p.files[fd]
		var is uint32
		switch {
		case f.event != nil && *f.event > 0:
			is = unix.EPOLLIN
		case f.socket != nil:
			is = f.socket.events()
		}
		if is &= e.want[fd] | unix.EPOLLERR | unix.EPOLLHUP; is != 0 && n < len(events) {
			events[n] = unix.EpollEvent{Events: is, Fd: int32(fd)}
			n++
		}
	}
	return n
}

// EpollWait implements loop.System.
func (p *Process) EpollWait(fd int, events []unix.EpollEvent, ms int) (int, error) {
	f := p.files[fd]
	if f == nil || f.epoll == nil {
		return -1, unix.EBADF
	}
	p.world.Count.Rounds++
	p.free = p.world.now + roundCost
	wait := time.Duration(ms) * time.Millisecond
	if ms == 0 || p.world.now >= p.paused && p.look(f.epoll, events) > 0 {
		wait = roundCost // even a round that waits for nothing takes its time
	}
	p.rest(wait)
	return p.look(f.epoll, events), nil
}

// rest waits until something is ready, for so long at the most; a negative time is for ever.
func (p *Process) rest(most time.Duration) {
	p.waiting = true
	cancel := func() {}
	if most >= 0 {
		cancel = p.world.After(max(most, p.paused-p.world.now), func() {
			if !p.planned {
				p.run()
			}
		})
	}
	if !p.yield(struct{}{}) {
		panic(killed{})
	}
	cancel()
	p.waiting = false
}

// Eventfd implements loop.System.
func (p *Process) Eventfd() (int, error) { return p.add(&file{event: new(uint64)}) }

// Stream implements loop.System.
func (p *Process) Stream(netip.AddrPort) (int, error) {
	p.world.ports++
	return p.add(&file{socket: &socket{world: p.world, process: p, local: netip.AddrPortFrom(p.at, p.world.ports)}})
}

// Datagram implements loop.System.
func (p *Process) Datagram(netip.AddrPort) (int, error) { return p.add(&file{gram: &netip.AddrPort{}}) }

// Bind implements loop.System.
func (p *Process) Bind(fd int, at netip.AddrPort) error {
	s, err := p.socketOf(fd)
	if err != nil {
		return err
	}
	if p.world.bound[at] != nil {
		return unix.EADDRINUSE
	}
	s.local = at
	return nil
}

// Listen implements loop.System.
func (p *Process) Listen(fd, backlog int) error {
	s, err := p.socketOf(fd)
	if err != nil {
		return err
	}
	s.listening, s.most = true, backlog
	p.world.bound[s.local] = s
	return nil
}

// Accept implements loop.System.
func (p *Process) Accept(fd int) (int, error) {
	s, err := p.socketOf(fd)
	if err != nil {
		return -1, err
	}
	if len(s.backlog) == 0 {
		return -1, unix.EAGAIN
	}
	c, err := p.add(&file{socket: s.backlog[0]})
	if err != nil {
		return -1, err
	}
	s.backlog = s.backlog[1:]
	return c, nil
}

// Connect implements loop.System.
func (p *Process) Connect(fd int, to netip.AddrPort) error {
	f := p.files[fd]
	switch {
	case f == nil:
		return unix.EBADF
	case f.gram != nil:
		*f.gram = to
		return nil
	}
	f.socket.connect(to)
	return unix.EINPROGRESS
}

// Connected implements loop.System.
func (p *Process) Connected(fd int) error {
	s, err := p.socketOf(fd)
	if err != nil {
		return err
	}
	err, s.err = s.err, nil
	return err
}

// Address implements loop.System.
func (p *Process) Address(fd int) (netip.AddrPort, error) {
	s, err := p.socketOf(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return s.local, nil
}

// Read implements loop.System.
func (p *Process) Read(fd int, b []byte) (int, error) {
	f := p.files[fd]
	switch {
	case f == nil:
		return -1, unix.EBADF
	case f.event != nil:
		if *f.event == 0 {
			return -1, unix.EAGAIN
		}
		*f.event = 0
		return 8, nil
	}
	return f.socket.read(b)
}

// Peek implements loop.System.
func (p *Process) Peek(fd int, b []byte) (int, error) {
	s, err := p.socketOf(fd)
	switch {
	case err != nil:
		return -1, err
	case len(s.in) > 0:
		return copy(b, s.in), nil
	case s.err != nil:
		return -1, s.err
	case s.eof:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// Write implements loop.System.
func (p *Process) Write(fd int, b []byte) (int, error) {
	f := p.files[fd]
	switch {
	case f == nil:
		return -1, unix.EBADF
	case f.event != nil:
		*f.event++
		p.wake()
		return 8, nil
	case f.gram != nil:
		p.world.datagram(p.at, *f.gram, b)
		return len(b), nil
	}
	return f.socket.write(b)
}

// datagram has a datagram come, be lost, or come twice.
func (w *World) datagram(from netip.Addr, to netip.AddrPort, b []byte) {
	b = append([]byte(nil), b...)
	times := 1
	switch {
	case !w.passes(from, to.Addr()), w.rng.Float64() < w.Net.Lost:
		w.Count.DatagramsLost++
		return
	case w.rng.Float64() < w.Net.Doubled:
		w.Count.DatagramsDoubled++
		times = 2
	}
	for range times {
		w.After(w.delay(), func() {
			if heard := w.heard[to]; heard != nil {
				heard(b)
			}
		})
	}
}

// ShutdownWrite implements loop.System.
func (p *Process) ShutdownWrite(fd int) error {
	s, err := p.socketOf(fd)
	switch {
	case err != nil:
		return err
	case s.err != nil || !s.connected:
		return unix.ENOTCONN
	}
	s.shutdown()
	return nil
}

// Close implements loop.System.
func (p *Process) Close(fd int) error {
	f := p.files[fd]
	if f == nil {
		return unix.EBADF
	}
	delete(p.files, fd)
	for _, other := range p.files {
		if e := other.epoll; e != nil {
			if _, there := e.want[fd]; there {
				delete(e.want, fd)
				e.order = slices.DeleteFunc(e.order, func(n int) bool { return n == fd })
			}
		}
	}
	if f.socket != nil {
		f.socket.close()
	}
	return nil
}
