package simnet

import (
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// handlerBacklog is the maximum backlog of a handler's listener. Handlers accept immediately, so no connect finds it full.
const handlerBacklog = 1 << 20

// StreamHandler handles the events at its end of a stream.
type StreamHandler interface {
	// Connected is called when the stream is established.
	Connected()
	// Data is called with received bytes, which are valid only during the call.
	Data(p []byte)
	// Closed is called when the peer has ended the stream (io.EOF) or the stream has failed. It is the last call.
	Closed(err error)
}

// Stream is the end of a stream that belongs to a handler.
type Stream struct{ socket *socket }

// Dial starts to connect from a machine to an address, and returns the stream. h handles its events.
func (s *Simulation) Dial(from netip.Addr, to netip.AddrPort, h StreamHandler) *Stream {
	local := netip.AddrPortFrom(from, s.ephemeralPort())
	sk := &socket{sim: s, handler: h, local: local}
	sk.connect(to)
	return &Stream{sk}
}

// ephemeralPort returns the next ephemeral port. Ports start at 1, and all machines share them.
func (s *Simulation) ephemeralPort() uint16 {
	s.lastPort++
	return s.lastPort
}

// Listen accepts all streams at an address. accept is called with each stream and returns its handler.
func (s *Simulation) Listen(at netip.AddrPort, accept func(*Stream) StreamHandler) {
	s.listeners[at] = &socket{sim: s, local: at, isListening: true, maxBacklog: handlerBacklog, accept: accept}
}

// Write sends bytes. A handler's send buffer is unlimited, so the peer's receive window does not limit Write.
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

// Close closes this end of the stream.
func (st *Stream) Close() error {
	st.socket.close()
	return nil
}

// Reset breaks the stream, as RST does. Closed is not called at this end.
func (st *Stream) Reset() { st.socket.reset() }

// ThrottleReads limits the handler from now on to one read of at most this number of bytes per interval.
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

// dispatch calls the handler for every event that it was not called for yet, unless its reads are paused.
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

// dispatchData passes received bytes to the handler until the stream is closed or reads are paused. If readSize is set, it
// passes only one chunk.
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
