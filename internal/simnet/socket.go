package simnet

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveWindow is the maximum number of sent bytes that the peer has not read yet.
	receiveWindow = 64 << 10
	// retransmitInterval is the time between two attempts to deliver a segment during a partition.
	retransmitInterval = 200 * time.Millisecond
	// connectRetryInterval is the time between two attempts to connect to an address that does not respond.
	connectRetryInterval = time.Second
	// connectTimeout is the time after which a connect to such an address fails with ETIMEDOUT.
	connectTimeout = 3 * time.Second
)

// segment carries the bytes of one write, or the end of the stream (FIN).
type segment struct {
	bytes []byte
	isFIN bool
}

// socket is one end of a stream, or a listener. Its owner is either a process or a handler.
type socket struct {
	sim     *Simulation
	process *Process // nil if a handler owns the socket
	handler StreamHandler
	local   netip.AddrPort
	remote  netip.AddrPort
	peer    *socket

	isConnecting bool
	isConnected  bool
	isClosed     bool
	err          error // why the connection failed; reported to the owner once

	// State of a listener.
	isListening bool
	accept      func(*Stream) StreamHandler // nil if a process listens
	backlog     []*socket
	maxBacklog  int

	// Receiving.
	received       []byte // bytes that the owner has not read yet
	hasReceivedEOF bool

	// Sending.
	inFlight     []segment
	isDelivering bool // the event queue has an event that delivers the first segment in flight
	hasSentFIN   bool
	unreadByPeer int // number of sent bytes that the peer has not read

	// State of a handler's socket.
	isNotified  bool // the handler's Connected was called
	readsPaused bool
	readSize    int // maximum number of bytes that the handler reads at a time; 0 means no limit
}

// send queues a segment for delivery behind the segments in flight.
func (sk *socket) send(g segment) {
	sk.inFlight = append(sk.inFlight, g)
	if !sk.isDelivering {
		sk.isDelivering = true
		sk.sim.After(sk.sim.segmentDelay(), sk.deliverNext)
	}
}

// deliverNext delivers the first segment in flight to the peer. During a partition, it tries again after
// retransmitInterval.
func (sk *socket) deliverNext() {
	sim := sk.sim
	if !sim.isReachable(sk.local.Addr(), sk.remote.Addr()) {
		sim.Stats.PartitionsHeld++
		sim.After(retransmitInterval, sk.deliverNext)
		return
	}
	first := sk.inFlight[0]
	sk.inFlight = sk.inFlight[1:]
	sk.isDelivering = len(sk.inFlight) > 0
	if sk.isDelivering {
		sim.After(sim.segmentDelay(), sk.deliverNext)
	}
	sim.Stats.Segments++
	peer := sk.peer
	switch {
	case peer.isClosed && first.isFIN:
		return
	case peer.isClosed:
		sk.fail(unix.ECONNRESET) // a closed socket responds to data with RST
		return
	case first.isFIN:
		peer.hasReceivedEOF = true
	default:
		peer.received = append(peer.received, first.bytes...)
	}
	peer.notify()
}

// fail breaks this end of the connection with an error, and notifies the owner.
func (sk *socket) fail(err error) {
	if sk.isClosed || sk.err != nil {
		return
	}
	sk.err = err
	sk.sim.Stats.Resets++
	sk.notify()
}

// notify informs the owner that the socket's state has changed.
func (sk *socket) notify() {
	if sk.process != nil {
		sk.process.wake()
		return
	}
	if sk.handler != nil {
		sk.dispatch()
	}
}

// read moves received bytes to buf. With NetworkConfig.PartialIO, it may move fewer than it could.
func (sk *socket) read(buf []byte) (int, error) {
	switch {
	case len(sk.received) > 0:
		n := sk.sim.partialLength(min(len(buf), len(sk.received)), &sk.sim.Stats.PartialReads)
		copy(buf, sk.received[:n])
		sk.consume(n)
		return n, nil
	case sk.err != nil:
		return -1, sk.takeError()
	case sk.hasReceivedEOF:
		return 0, nil
	}
	return -1, unix.EAGAIN
}

// takeError returns the error that broke the connection and clears it. After the error, reads report the end of the stream.
func (sk *socket) takeError() error {
	err := sk.err
	sk.err = nil
	sk.hasReceivedEOF = true
	return err
}

// consume removes n bytes that were read, and notifies the peer if the receive window was full.
func (sk *socket) consume(n int) {
	sk.received = sk.received[n:]
	if len(sk.received) == 0 {
		sk.received = nil
	}
	sk.peer.unreadByPeer -= n
	wasFull := sk.peer.unreadByPeer+n >= receiveWindow
	if !sk.peer.isClosed && wasFull {
		sk.peer.notify()
	}
}

// write sends as many bytes as fit into the peer's receive window. With NetworkConfig.PartialIO, it may send fewer.
func (sk *socket) write(buf []byte) (int, error) {
	switch {
	case sk.err != nil:
		return -1, sk.takeError()
	case sk.hasSentFIN, sk.peer == nil:
		return -1, unix.EPIPE
	case sk.unreadByPeer >= receiveWindow:
		return -1, unix.EAGAIN
	}
	n := sk.sim.partialLength(min(len(buf), receiveWindow-sk.unreadByPeer), &sk.sim.Stats.PartialWrites)
	sk.unreadByPeer += n
	sk.send(segment{bytes: append([]byte(nil), buf[:n]...)})
	return n, nil
}

// shutdown closes the sending direction of the connection.
func (sk *socket) shutdown() {
	if !sk.hasSentFIN && sk.isConnected && !sk.isClosed {
		sk.hasSentFIN = true
		sk.send(segment{isFIN: true})
	}
}

// close closes this end of the connection. If it has received bytes that were not read, the connection is reset; see
// RFC 2525, section 2.17. Closing a listener resets the connections in its backlog.
func (sk *socket) close() {
	if sk.isClosed {
		return
	}
	switch {
	case sk.isListening:
		if sk.sim.listeners[sk.local] == sk {
			delete(sk.sim.listeners, sk.local)
		}
		for _, pending := range sk.backlog {
			pending.reset()
		}
	case sk.isConnected && len(sk.received) > 0:
		sk.reset()
	default:
		sk.shutdown()
	}
	sk.isClosed = true
}

// reset breaks the connection: this end immediately, the peer's end after the delay of a segment.
func (sk *socket) reset() {
	sk.isClosed = true
	if peer := sk.peer; peer != nil {
		sk.sim.After(sk.sim.segmentDelay(), func() { peer.fail(unix.ECONNRESET) })
	}
}

// readiness returns the events that epoll reports for the socket if they were registered.
func (sk *socket) readiness() (events uint32) {
	if sk.isListening {
		if len(sk.backlog) > 0 {
			events |= unix.EPOLLIN
		}
		return events
	}
	if sk.err != nil {
		events |= unix.EPOLLERR | unix.EPOLLHUP | unix.EPOLLIN | unix.EPOLLOUT
	}
	if sk.isConnecting || !sk.isConnected {
		return events
	}
	if len(sk.received) > 0 || sk.hasReceivedEOF {
		events |= unix.EPOLLIN
	}
	if sk.unreadByPeer < receiveWindow && !sk.hasSentFIN {
		events |= unix.EPOLLOUT
	}
	if sk.hasReceivedEOF && sk.hasSentFIN {
		events |= unix.EPOLLHUP
	}
	return events
}

// connect starts to connect to an address. The owner learns of the outcome later: a process through readiness, a handler
// through dispatch.
func (sk *socket) connect(to netip.AddrPort) {
	sk.isConnecting = true
	sk.remote = to
	waited := time.Duration(0)
	var attempt func()
	attempt = func() {
		if sk.isClosed {
			return
		}
		listener := sk.sim.listeners[to]
		isUnreachable := !sk.sim.isReachable(sk.local.Addr(), to.Addr())
		switch {
		case isUnreachable || listener != nil && len(listener.backlog) >= listener.maxBacklog:
			waited += connectRetryInterval
			if waited > connectTimeout {
				sk.fail(unix.ETIMEDOUT)
				return
			}
			sk.sim.After(connectRetryInterval, attempt)
		case listener == nil:
			sk.sim.Stats.Refused++
			sk.sim.After(sk.sim.segmentDelay(), func() { sk.fail(unix.ECONNREFUSED) })
		default:
			sk.establish(listener)
		}
	}
	sk.sim.After(sk.sim.segmentDelay(), attempt)
}

// establish creates the listener's end of the connection immediately, and connects this end after the delay of a segment.
func (sk *socket) establish(listener *socket) {
	sim := sk.sim
	sim.Stats.Connections++
	peer := &socket{sim: sim, process: listener.process, local: sk.remote, remote: sk.local, peer: sk, isConnected: true}
	sk.peer = peer
	sim.After(sim.segmentDelay(), func() {
		sk.isConnecting = false
		if sk.isClosed {
			peer.fail(unix.ECONNRESET) // this end was closed before it was connected
			return
		}
		sk.isConnected = true
		sk.notify()
	})
	if listener.accept != nil {
		peer.handler = listener.accept(&Stream{peer})
		return
	}
	listener.backlog = append(listener.backlog, peer)
	listener.notify()
}
