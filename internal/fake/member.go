package fake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Behavior is how a member treats requests.
type Behavior uint8

// The behaviors of members.
const (
	Healthy    Behavior = iota // it answers with its name and the request's path
	Silent                     // it takes requests and never answers
	Truncated                  // it sends half of a response and closes the connection
	Duplicated                 // it answers twice
	Failing                    // it answers with status 500
	Overloaded                 // it rejects requests with the protocol's status for overload
	Closing                    // it closes the connection as soon as it has read a request
	Malformed                  // it sends bytes that are no response
	NotReading                 // it accepts connections and reads nothing
)

// Member is a server of a pool, on loopback. It speaks FastCGI or SCGI and treats each request by its behavior. It is
// safe for concurrent use.
type Member struct {
	Name   string
	isSCGI bool

	mu        sync.Mutex // guards all that follows
	behavior  Behavior
	delay     time.Duration
	received  []map[string]string // parameters of the requests, in order
	onRequest func(params map[string]string)
	statusOf  func(params map[string]string) int // nil: 200
	listener  net.Listener
	conns     map[net.Conn]bool
	addr      string
	stopped   chan struct{} // closed by Stop
}

// NewMember starts a member that speaks FastCGI.
func NewMember(name string) (*Member, error) {
	m := &Member{Name: name, conns: map[net.Conn]bool{}}
	return m, m.Start()
}

// NewSCGIMember starts a member that speaks SCGI.
func NewSCGIMember(name string) (*Member, error) {
	m := &Member{Name: name, isSCGI: true, conns: map[net.Conn]bool{}}
	return m, m.Start()
}

const (
	smallSegment       = 536 // bytes; the TCP default of RFC 1122
	smallReceiveBuffer = 4 << 10
)

// limitBuffers has both sides of a listener's connections buffer little for a peer that does not read: by small segments,
// which kernels measure their buffers by, and a small window.
func limitBuffers(_, _ string, conn syscall.RawConn) error {
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, smallSegment),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Start listens, at the address that the member had before if there is one.
func (m *Member) Start() error {
	addr := m.Addr()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	config := net.ListenConfig{}
	m.mu.Lock()
	if m.behavior == NotReading {
		config.Control = limitBuffers
	}
	m.mu.Unlock()
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener, m.addr, m.stopped = listener, listener.Addr().String(), make(chan struct{})
	m.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = true
			m.mu.Unlock()
			go m.serve(conn)
		}
	}()
	return nil
}

// Stop closes the listener and all connections.
func (m *Member) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
	select {
	case <-m.stopped:
	default:
		close(m.stopped)
	}
	for conn := range m.conns {
		conn.Close()
	}
}

// Addr returns the address at which the member listens, or listened before Stop.
func (m *Member) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addr
}

// SetBehavior sets how requests are treated from now on, and how long each waits for that.
func (m *Member) SetBehavior(behavior Behavior, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behavior, m.delay = behavior, delay
}

// OnRequest has the function called with each request that is not rejected, before it is answered.
func (m *Member) OnRequest(received func(params map[string]string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onRequest = received
}

// SetStatusFunc has a healthy member answer with the status that the function returns.
func (m *Member) SetStatusFunc(statusOf func(params map[string]string) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statusOf = statusOf
}

// ReceivedParams returns the parameters of all requests that were read completely.
func (m *Member) ReceivedParams() []map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.received)
}

// memberRequest is a request as a member reads it.
type memberRequest struct {
	id     uint16 // of FastCGI
	params map[string]string
	body   []byte
}

// serve reads requests from a connection and answers them, one at a time.
func (m *Member) serve(conn net.Conn) {
	defer func() {
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
		conn.Close()
	}()
	for {
		m.mu.Lock()
		isNotReading, stopped := m.behavior == NotReading, m.stopped
		m.mu.Unlock()
		if isNotReading {
			<-stopped
			return
		}
		request, err := m.read(conn)
		if err != nil || !m.handle(conn, request) {
			return
		}
	}
}

// read reads one request.
func (m *Member) read(r io.Reader) (memberRequest, error) {
	if m.isSCGI {
		return readSCGI(r)
	}
	return readFastCGI(r)
}

// handle answers one request, and reports whether the connection is kept.
func (m *Member) handle(conn net.Conn, request memberRequest) bool {
	m.mu.Lock()
	m.received = append(m.received, request.params)
	behavior, delay, onRequest := m.behavior, m.delay, m.onRequest
	status := http.StatusOK
	if m.statusOf != nil {
		status = m.statusOf(request.params)
	}
	m.mu.Unlock()
	if onRequest != nil && (behavior != Overloaded || m.isSCGI) {
		onRequest(request.params)
	}
	time.Sleep(delay)
	if m.isSCGI {
		m.answerSCGI(conn, behavior, status, request)
		return false // the end of the connection ends the response
	}
	return m.answerFastCGI(conn, behavior, status, request)
}
