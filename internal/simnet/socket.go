package simnet

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// window is how many bytes may be on their way to a reader that takes none.
	window = 64 << 10
	// resend is how often a segment is tried that can't pass.
	resend = 200 * time.Millisecond
	// callPatience is how long a call waits for a machine that does not answer.
	callPatience = 3 * time.Second
)

// segment is what one write sent: bytes, or the end of the stream.
type segment struct {
	bytes []byte
	fin   bool
}

// socket is one end of a stream, or a listener.
type socket struct {
	world   *World
	process *Process // nil is an actor's
	actor   Actor
	local   netip.AddrPort
	remote  netip.AddrPort
	peer    *socket

	listening bool
	accepting func(*Stream) Actor // of an actor that listens
	backlog   []*socket
	most      int

	connecting, connected, closed bool
	in                            []byte
	eof                           bool  // the peer sent its end
	shut                          bool  // this side sent its end
	err                           error // the connection broke
	sent                          int   // bytes that the peer has not read
	flight                        []segment
	flying                        bool
	greeted                       bool // the actor heard that it is connected
	held                          bool // the actor does not read
	slow                          int  // bytes that an actor reads at a time, 0 is all
}

// send puts a segment on its way, behind those before it.
func (s *socket) send(g segment) {
	s.flight = append(s.flight, g)
	if !s.flying {
		s.flying = true
		s.world.After(s.world.delay(), s.arrive)
	}
}

// arrive has the first segment on its way come to the peer.
func (s *socket) arrive() {
	w := s.world
	if !w.passes(s.local.Addr(), s.remote.Addr()) {
		w.Count.PartitionsHeld++
		w.After(resend, s.arrive)
		return
	}
	g := s.flight[0]
	s.flight = s.flight[1:]
	if s.flying = len(s.flight) > 0; s.flying {
		w.After(w.delay(), s.arrive)
	}
	w.Count.Segments++
	p := s.peer
	if p.closed {
		if !g.fin {
			s.breaks(unix.ECONNRESET) // there is nobody to take it
		}
		return
	}
	if g.fin {
		p.eof = true
	} else {
		p.in = append(p.in, g.bytes...)
	}
	p.ready()
}

// breaks has the connection break at this end.
func (s *socket) breaks(err error) {
	if s.closed || s.err != nil {
		return
	}
	s.err = err
	s.world.Count.Resets++
	s.ready()
}

// ready has the owner look, now that there is something to see.
func (s *socket) ready() {
	if s.process != nil {
		s.process.wake()
		return
	}
	if s.actor != nil {
		s.serve()
	}
}

// read takes what came.
func (s *socket) read(p []byte) (int, error) {
	switch {
	case len(s.in) > 0:
		n := s.world.part(min(len(p), len(s.in)), &s.world.Count.PartialReads)
		copy(p, s.in[:n])
		s.took(n)
		return n, nil
	case s.err != nil:
		err := s.err
		s.err, s.eof = nil, true // an error is told once
		return -1, err
	case s.eof:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// took forgets what was read, which makes room at the peer.
func (s *socket) took(n int) {
	if s.in = s.in[n:]; len(s.in) == 0 {
		s.in = nil
	}
	s.peer.sent -= n
	if !s.peer.closed && s.peer.sent+n >= window {
		s.peer.ready()
	}
}

// write sends what there is room for.
func (s *socket) write(p []byte) (int, error) {
	switch {
	case s.err != nil:
		err := s.err
		s.err, s.eof = nil, true
		return -1, err
	case s.shut, s.peer == nil:
		return -1, unix.EPIPE
	case s.sent >= window:
		return -1, unix.EAGAIN
	}
	n := s.world.part(min(len(p), window-s.sent), &s.world.Count.PartialWrites)
	s.sent += n
	s.send(segment{bytes: append([]byte(nil), p[:n]...)})
	return n, nil
}

// shutdown ends what this side sends.
func (s *socket) shutdown() {
	if !s.shut && s.connected && !s.closed {
		s.shut = true
		s.send(segment{fin: true})
	}
}

// close gives up this end. What came and was not read is lost with it, and the peer hears of that by a reset.
func (s *socket) close() {
	if s.closed {
		return
	}
	switch {
	case s.listening:
		if s.world.bound[s.local] == s {
			delete(s.world.bound, s.local)
		}
		for _, c := range s.backlog {
			c.reset()
		}
	case s.connected && len(s.in) > 0:
		s.reset()
	default:
		s.shutdown()
	}
	s.closed = true
}

// reset breaks the connection at once, on both ends.
func (s *socket) reset() {
	s.closed = true
	if p := s.peer; p != nil {
		s.world.After(s.world.delay(), func() { p.breaks(unix.ECONNRESET) })
	}
}

// events is what epoll tells of the socket.
func (s *socket) events() (e uint32) {
	if s.listening {
		if len(s.backlog) > 0 {
			e |= unix.EPOLLIN
		}
		return e
	}
	if s.err != nil {
		e |= unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLIN | unix.EPOLLOUT
	}
	if s.connecting || !s.connected {
		return e
	}
	if len(s.in) > 0 || s.eof {
		e |= unix.EPOLLIN
	}
	if s.sent < window && !s.shut {
		e |= unix.EPOLLOUT
	}
	if s.eof && s.shut {
		e |= unix.EPOLLHUP
	}
	return e
}

// connect calls an address; the outcome is told later.
func (s *socket) connect(to netip.AddrPort) {
	w := s.world
	s.connecting, s.remote = true, to
	var call func()
	tried := time.Duration(0)
	call = func() {
		if s.closed {
			return
		}
		l := w.bound[to]
		switch {
		case !w.passes(s.local.Addr(), to.Addr()) || l != nil && len(l.backlog) >= l.most:
			if tried += time.Second; tried > callPatience {
				s.breaks(unix.ETIMEDOUT)
				return
			}
			w.After(time.Second, call)
		case l == nil:
			w.Count.Refused++
			w.After(w.delay(), func() { s.breaks(unix.ECONNREFUSED) })
		default:
			w.Count.Connections++
			far := &socket{world: w, process: l.process, local: to, remote: s.local, peer: s, connected: true}
			s.peer = far
			w.After(w.delay(), func() {
				if s.connecting = false; s.closed {
					far.breaks(unix.ECONNRESET) // nobody waits for it any more
					return
				}
				s.connected = true
				s.ready()
			})
			if l.accepting != nil {
				far.actor = l.accepting(&Stream{far})
				return
			}
			l.backlog = append(l.backlog, far)
			l.ready()
		}
	}
	w.After(w.delay(), call)
}

// Actor is called with what happens on its end of a stream.
type Actor interface {
	Connected()
	// Data hands over bytes, which are valid during the call only.
	Data(p []byte)
	// Closed says that the peer ended the stream (io.EOF), or that it broke; nothing follows it.
	Closed(err error)
}

// Stream is an actor's end of a stream.
type Stream struct{ s *socket }

// Dial calls an address from a machine.
func (w *World) Dial(from netip.Addr, to netip.AddrPort, a Actor) *Stream {
	w.ports++
	s := &socket{world: w, actor: a, local: netip.AddrPortFrom(from, w.ports)}
	s.connect(to)
	return &Stream{s}
}

// Listen has an actor made for each stream that comes.
func (w *World) Listen(at netip.AddrPort, accept func(*Stream) Actor) {
	w.bound[at] = &socket{world: w, local: at, listening: true, most: 1 << 20, accepting: accept}
}

// Hear has datagrams to an address handed over.
func (w *World) Hear(at netip.AddrPort, heard func(p []byte)) { w.heard[at] = heard }

// serve hands over to the actor what there is.
func (s *socket) serve() {
	if s.closed || s.held {
		return
	}
	if s.connected && !s.greeted {
		s.greeted = true
		s.actor.Connected()
	}
	for len(s.in) > 0 && !s.closed && !s.held {
		n := len(s.in)
		if s.slow > 0 {
			n = min(n, s.slow)
		}
		p := append([]byte(nil), s.in[:n]...)
		s.took(n)
		s.actor.Data(p)
		if s.slow > 0 {
			break
		}
	}
	if len(s.in) > 0 || s.closed {
		return
	}
	if err := s.err; err != nil || s.eof {
		if err == nil {
			err = io.EOF
		}
		s.close()
		s.actor.Closed(err)
	}
}

// Write sends bytes. What the window has no room for is sent as the peer reads: actors have room for all.
func (t *Stream) Write(p []byte) (int, error) {
	s := t.s
	if s.closed || s.shut {
		return 0, unix.EPIPE
	}
	if s.peer != nil {
		s.sent += len(p)
		s.send(segment{bytes: append([]byte(nil), p...)})
	}
	return len(p), nil
}

// Close ends the stream.
func (t *Stream) Close() error {
	t.s.close()
	return nil
}

// Reset breaks the stream.
func (t *Stream) Reset() { t.s.reset() }

// Trickle has the actor read so many bytes at a time, once every while.
func (t *Stream) Trickle(bytes int, every time.Duration) {
	t.s.slow, t.s.held = bytes, true
	var next func()
	next = func() {
		if t.s.closed {
			return
		}
		t.s.held = false
		t.s.serve()
		t.s.held = true
		t.s.world.After(every, next)
	}
	t.s.world.After(every, next)
}
