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

// Behavior is the way in which a member handles requests.
type Behavior uint8

// The behaviors of members.
const (
	Healthy    Behavior = iota // it answers with its name and the request's path and body
	Silent                     // it reads requests and never answers them
	Truncated                  // it sends half of a response, in SCGI half of the body, and closes the connection
	Duplicated                 // it sends each response twice
	Failing                    // it answers with HTTP status 500
	Overloaded                 // it rejects requests as overloaded: by FastCGI's protocol status, or in SCGI by HTTP status 503
	Closing                    // it closes the connection as soon as it has read a request
	Malformed                  // it sends bytes that are not a valid response
	NotReading                 // it accepts connections and reads nothing
)

// Member is a member of a pool, on loopback. It speaks FastCGI or SCGI and handles each request according to its behavior.
// It is safe for concurrent use.
type Member struct {
	Name   string
	isSCGI bool

	mu        sync.Mutex // guards the fields below
	behavior  Behavior
	delay     time.Duration       // before each answer
	received  []map[string]string // parameters of the requests, in order
	onRequest func(params map[string]string)
	statusOf  func(params map[string]string) int // HTTP status of a response; nil is always 200
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
	smallSegment       = 536     // bytes; the TCP default of RFC 1122
	smallReceiveBuffer = 4 << 10 // bytes
)

// limitBuffers makes both sides of a listener's connections buffer little data for a peer that does not read. It sets a small
// segment size, since kernels size their buffers by the segment, and a small receive buffer, which keeps the window small.
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

// Start starts listening, at the previous address if the member has listened before. If the behavior is NotReading at that
// time, connections get small buffers.
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

// SetBehavior sets the behavior for later requests, and the delay before each of them is answered.
func (m *Member) SetBehavior(behavior Behavior, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behavior, m.delay = behavior, delay
}

// OnRequest sets the function that is called with the parameters of each request before it is answered. Requests that are
// rejected by FastCGI's protocol status are left out.
func (m *Member) OnRequest(received func(params map[string]string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onRequest = received
}

// SetStatusFunc sets the function that returns the HTTP status of a healthy member's responses. The member is locked during
// the call, so statusOf must not call its methods.
func (m *Member) SetStatusFunc(statusOf func(params map[string]string) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statusOf = statusOf
}

// ReceivedParams returns the parameters of all requests that were read completely, in order.
func (m *Member) ReceivedParams() []map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.received)
}

// memberRequest is a request that a member has read.
type memberRequest struct {
	id     uint16 // FastCGI request ID
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

// read reads one request in the member's protocol.
func (m *Member) read(r io.Reader) (memberRequest, error) {
	if m.isSCGI {
		return readSCGI(r)
	}
	return readFastCGI(r)
}

// handle answers one request and reports whether the connection is to be kept open.
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
		return false // an SCGI response ends with its connection
	}
	return m.answerFastCGI(conn, behavior, status, request)
}
