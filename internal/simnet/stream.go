package simnet

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// handlerBacklog is the backlog of a listening handler, which accepts at once: no connect ever finds it full.
const handlerBacklog = 1 << 20

// StreamHandler is called with what happens at its end of a stream.
type StreamHandler interface {
	Connected()
	// Data passes bytes, which are valid during the call only.
	Data(p []byte)
	// Closed says that the peer ended the stream (io.EOF) or that it broke. It is the last call.
	Closed(err error)
}

// Stream is a handler's end of a stream.
type Stream struct{ socket *socket }

// Dial connects a handler from a machine to an address.
func (s *Simulation) Dial(from netip.Addr, to netip.AddrPort, h StreamHandler) *Stream {
	local := netip.AddrPortFrom(from, s.ephemeralPort())
	sk := &socket{sim: s, handler: h, local: local}
	sk.connect(to)
	return &Stream{sk}
}

// ephemeralPort returns the next free port. They begin at 1 and are shared by all machines.
func (s *Simulation) ephemeralPort() uint16 {
	s.lastPort++
	return s.lastPort
}

// Listen accepts streams at an address; accept returns the handler of each.
func (s *Simulation) Listen(at netip.AddrPort, accept func(*Stream) StreamHandler) {
	s.listeners[at] = &socket{sim: s, local: at, isListening: true, maxBacklog: handlerBacklog, accept: accept}
}

// Write sends bytes. A handler's sending buffer is unlimited: the window never refuses its bytes.
func (st *Stream) Write(p []byte) (int, error) {
	sk := st.socket
	if sk.isClosed || sk.hasSentFIN {
		return 0, unix.EPIPE
	}
	if sk.peer != nil {
		sk.unreadByPeer += len(p)
		sk.send(segment{bytes: append([]byte(nil), p...)})
	}
	return len(p), nil
}

// Close ends the stream.
func (st *Stream) Close() error {
	st.socket.close()
	return nil
}

// Reset breaks the stream.
func (st *Stream) Reset() { st.socket.reset() }

// ThrottleReads limits the handler from now on to one read of so many bytes in each interval.
func (st *Stream) ThrottleReads(bytes int, interval time.Duration) {
	sk := st.socket
	sk.readSize = bytes
	sk.readsPaused = true
	var readOnce func()
	readOnce = func() {
		if sk.isClosed {
			return
		}
		sk.readsPaused = false
		sk.dispatch()
		sk.readsPaused = true
		sk.sim.After(interval, readOnce)
	}
	sk.sim.After(interval, readOnce)
}

// dispatch calls the handler with everything that it has not seen yet.
func (sk *socket) dispatch() {
	if sk.isClosed || sk.readsPaused {
		return
	}
	if sk.isConnected && !sk.isNotified {
		sk.isNotified = true
		sk.handler.Connected()
	}
	sk.dispatchData()
	if len(sk.received) > 0 || sk.isClosed {
		return
	}
	err := sk.err
	if err == nil && sk.hasReceivedEOF {
		err = io.EOF
	}
	if err != nil {
		sk.close()
		sk.handler.Closed(err)
	}
}

// dispatchData passes received bytes to the handler, until it closes the stream or pauses its reads.
func (sk *socket) dispatchData() {
	for len(sk.received) > 0 && !sk.isClosed && !sk.readsPaused {
		n := len(sk.received)
		if sk.readSize > 0 {
			n = min(n, sk.readSize)
		}
		chunk := append([]byte(nil), sk.received[:n]...)
		sk.consume(n)
		sk.handler.Data(chunk)
		if sk.readSize > 0 {
			break
		}
	}
}
