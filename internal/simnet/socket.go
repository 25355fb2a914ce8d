package simnet

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveWindow is how many bytes may be on their way to a reader that takes none.
	receiveWindow = 64 << 10
	// retransmitInterval is how often a segment is tried that can't pass.
	retransmitInterval = 200 * time.Millisecond
	// connectTimeout is how long a call waits for a machine that does not answer.
	connectTimeout = 3 * time.Second
)

// segment is what one write sent: bytes, or the end of the stream.
type segment struct {
	bytes []byte
	fin   bool
}

// socket is one end of a stream, or a listener.
type socket struct {
	sim     *Simulation
	process *Process // nil is an actor's
	handler StreamHandler
	local   netip.AddrPort
	remote  netip.AddrPort
	peer    *socket

	isListening bool
	accept      func(*Stream) StreamHandler // of an actor that listens
	backlog     []*socket
	maxBacklog  int

	isConnecting, isConnected, isClosed bool
	received                            []byte
	hasReceivedEOF                      bool  // the peer sent its end
	hasSentFIN                          bool  // this side sent its end
	err                                 error // the connection broke
	unreadByPeer                        int   // bytes that the peer has not read
	inFlight                            []segment
	isDelivering                        bool
	isNotified                          bool // the actor heard that it is connected
	readsPaused                         bool // the actor does not read
	readSize                            int  // bytes that an actor reads at a time, 0 is all
}

// send puts a segment on its way, behind those before it.
func (s *socket) send(g segment) {
	s.inFlight = append(s.inFlight, g)
	if !s.isDelivering {
		s.isDelivering = true
		s.sim.After(s.sim.segmentDelay(), s.deliverNext)
	}
}

// deliverNext has the first segment on its way come to the peer.
func (s *socket) deliverNext() {
	w := s.sim
	if !w.isReachable(s.local.Addr(), s.remote.Addr()) {
		w.Stats.PartitionsHeld++
		w.After(retransmitInterval, s.deliverNext)
		return
	}
	g := s.inFlight[0]
	s.inFlight = s.inFlight[1:]
	if s.isDelivering = len(s.inFlight) > 0; s.isDelivering {
		w.After(w.segmentDelay(), s.deliverNext)
	}
	w.Stats.Segments++
	p := s.peer
	if p.isClosed {
		if !g.fin {
			s.fail(unix.ECONNRESET) // there is nobody to take it
		}
		return
	}
	if g.fin {
		p.hasReceivedEOF = true
	} else {
		p.received = append(p.received, g.bytes...)
	}
	p.notify()
}

// fail has the connection break at this end.
func (s *socket) fail(err error) {
	if s.isClosed || s.err != nil {
		return
	}
	s.err = err
	s.sim.Stats.Resets++
	s.notify()
}

// notify has the owner look, now that there is something to see.
func (s *socket) notify() {
	if s.process != nil {
		s.process.wake()
		return
	}
	if s.handler != nil {
		s.dispatch()
	}
}

// read takes what came.
func (s *socket) read(p []byte) (int, error) {
	switch {
	case len(s.received) > 0:
		n := s.sim.partialLength(min(len(p), len(s.received)), &s.sim.Stats.PartialReads)
		copy(p, s.received[:n])
		s.consume(n)
		return n, nil
	case s.err != nil:
		err := s.err
		s.err, s.hasReceivedEOF = nil, true // an error is told once
		return -1, err
	case s.hasReceivedEOF:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// consume forgets what was read, which makes room at the peer.
func (s *socket) consume(n int) {
	if s.received = s.received[n:]; len(s.received) == 0 {
		s.received = nil
	}
	s.peer.unreadByPeer -= n
	if !s.peer.isClosed && s.peer.unreadByPeer+n >= receiveWindow {
		s.peer.notify()
	}
}

// write sends what there is room for.
func (s *socket) write(p []byte) (int, error) {
	switch {
	case s.err != nil:
		err := s.err
		s.err, s.hasReceivedEOF = nil, true
		return -1, err
	case s.hasSentFIN, s.peer == nil:
		return -1, unix.EPIPE
	case s.unreadByPeer >= receiveWindow:
		return -1, unix.EAGAIN
	}
	n := s.sim.partialLength(min(len(p), receiveWindow-s.unreadByPeer), &s.sim.Stats.PartialWrites)
	s.unreadByPeer += n
	s.send(segment{bytes: append([]byte(nil), p[:n]...)})
	return n, nil
}

// shutdown ends what this side sends.
func (s *socket) shutdown() {
	if !s.hasSentFIN && s.isConnected && !s.isClosed {
		s.hasSentFIN = true
		s.send(segment{fin: true})
	}
}

// close gives up this end. What came and was not read is lost with it, and the peer hears of that by a reset.
func (s *socket) close() {
	if s.isClosed {
		return
	}
	switch {
	case s.isListening:
		if s.sim.listeners[s.local] == s {
			delete(s.sim.listeners, s.local)
		}
		for _, c := range s.backlog {
			c.reset()
		}
	case s.isConnected && len(s.received) > 0:
		s.reset()
	default:
		s.shutdown()
	}
	s.isClosed = true
}

// reset breaks the connection at once, on both ends.
func (s *socket) reset() {
	s.isClosed = true
	if p := s.peer; p != nil {
		s.sim.After(s.sim.segmentDelay(), func() { p.fail(unix.ECONNRESET) })
	}
}

// eventQueue is what epoll tells of the socket.
func (s *socket) readiness() (e uint32) {
	if s.isListening {
		if len(s.backlog) > 0 {
			e |= unix.EPOLLIN
		}
		return e
	}
	if s.err != nil {
		e |= unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLIN | unix.EPOLLOUT
	}
	if s.isConnecting || !s.isConnected {
		return e
	}
	if len(s.received) > 0 || s.hasReceivedEOF {
		e |= unix.EPOLLIN
	}
	if s.unreadByPeer < receiveWindow && !s.hasSentFIN {
		e |= unix.EPOLLOUT
	}
	if s.hasReceivedEOF && s.hasSentFIN {
		e |= unix.EPOLLHUP
	}
	return e
}

// connect calls an address; the outcome is told later.
func (s *socket) connect(to netip.AddrPort) {
	w := s.sim
	s.isConnecting, s.remote = true, to
	var call func()
	tried := time.Duration(0)
	call = func() {
		if s.isClosed {
			return
		}
		l := w.listeners[to]
		switch {
		case !w.isReachable(s.local.Addr(), to.Addr()) || l != nil && len(l.backlog) >= l.maxBacklog:
			if tried += time.Second; tried > connectTimeout {
				s.fail(unix.ETIMEDOUT)
				return
			}
			w.After(time.Second, call)
		case l == nil:
			w.Stats.Refused++
			w.After(w.segmentDelay(), func() { s.fail(unix.ECONNREFUSED) })
		default:
			w.Stats.Connections++
			far := &socket{sim: w, process: l.process, local: to, remote: s.local, peer: s, isConnected: true}
			s.peer = far
			w.After(w.segmentDelay(), func() {
				if s.isConnecting = false; s.isClosed {
					far.fail(unix.ECONNRESET) // nobody waits for it any more
					return
				}
				s.isConnected = true
				s.notify()
			})
			if l.accept != nil {
				far.handler = l.accept(&Stream{far})
				return
			}
			l.backlog = append(l.backlog, far)
			l.notify()
		}
	}
	w.After(w.segmentDelay(), call)
}

// StreamHandler is called with what happens on its end of a stream.
type StreamHandler interface {
	Connected()
	// Data hands over bytes, which are valid during the call only.
	Data(p []byte)
	// Closed says that the peer ended the stream (io.EOF), or that it broke; nothing follows it.
	Closed(err error)
}

// Stream is an actor's end of a stream.
type Stream struct{ socket *socket }

// Dial calls an address from a machine.
func (w *Simulation) Dial(from netip.Addr, to netip.AddrPort, a StreamHandler) *Stream {
	w.lastPort++
	s := &socket{sim: w, handler: a, local: netip.AddrPortFrom(from, w.lastPort)}
	s.connect(to)
	return &Stream{s}
}

// Listen has an actor made for each stream that comes.
func (w *Simulation) Listen(at netip.AddrPort, accept func(*Stream) StreamHandler) {
	w.listeners[at] = &socket{sim: w, local: at, isListening: true, maxBacklog: 1 << 20, accept: accept}
}

// HandleDatagrams has datagrams to an address handed over.
func (w *Simulation) HandleDatagrams(at netip.AddrPort, heard func(p []byte)) {
	w.datagramHandlers[at] = heard
}

// dispatch hands over to the actor what there is.
func (s *socket) dispatch() {
	if s.isClosed || s.readsPaused {
		return
	}
	if s.isConnected && !s.isNotified {
		s.isNotified = true
		s.handler.Connected()
	}
	for len(s.received) > 0 && !s.isClosed && !s.readsPaused {
		n := len(s.received)
		if s.readSize > 0 {
			n = min(n, s.readSize)
		}
		p := append([]byte(nil), s.received[:n]...)
		s.consume(n)
		s.handler.Data(p)
		if s.readSize > 0 {
			break
		}
	}
	if len(s.received) > 0 || s.isClosed {
		return
	}
	if err := s.err; err != nil || s.hasReceivedEOF {
		if err == nil {
			err = io.EOF
		}
		s.close()
		s.handler.Closed(err)
	}
}

// Write sends bytes. What the window has no room for is sent as the peer reads: actors have room for all.
func (t *Stream) Write(p []byte) (int, error) {
	s := t.socket
	if s.isClosed || s.hasSentFIN {
		return 0, unix.EPIPE
	}
	if s.peer != nil {
		s.unreadByPeer += len(p)
		s.send(segment{bytes: append([]byte(nil), p...)})
	}
	return len(p), nil
}

// Close ends the stream.
func (t *Stream) Close() error {
	t.socket.close()
	return nil
}

// Reset breaks the stream.
func (t *Stream) Reset() { t.socket.reset() }

// ThrottleReads has the actor read so many bytes at a time, once every while.
func (t *Stream) ThrottleReads(bytes int, every time.Duration) {
	t.socket.readSize, t.socket.readsPaused = bytes, true
	var next func()
	next = func() {
		if t.socket.isClosed {
			return
		}
		t.socket.readsPaused = false
		t.socket.dispatch()
		t.socket.readsPaused = true
		t.socket.sim.After(every, next)
	}
	t.socket.sim.After(every, next)
}
