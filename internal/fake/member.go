package fake

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Behavior is how a member treats requests.
type Behavior uint8

// The moods.
const (
	Healthy    Behavior = iota // it answers with its name and the request's path
	Silent                     // it takes requests and never answers
	Truncated                  // it sends half of an answer and ends the connection
	Duplicated                 // it answers twice
	Failing                    // it answers with status 500
	Overloaded                 // it says by the protocol that it turned the request away
	Closing                    // it ends connections as soon as a request is there
	Malformed                  // it sends what is no answer
	NotReading                 // it takes connections and reads nothing
)

// Member is a responder on loopback, of the kind that pools have. It speaks FastCGI or SCGI.
type Member struct {
	Name string
	scgi bool

	mu       sync.Mutex
	mood     Behavior
	delay    time.Duration
	seen     []map[string]string // parameters of the requests, in order
	heard    func(params map[string]string)
	status   func(params map[string]string) int
	listener net.Listener
	conns    map[net.Conn]bool
	addr     string
	stopped  chan struct{}
}

// NewMember starts a member.
func NewMember(name string) (*Member, error) {
	m := &Member{Name: name, conns: map[net.Conn]bool{}}
	return m, m.Start()
}

// narrow has both sides of a listener's connections keep little for a peer that does not read: by small segments, which
// kernels measure their buffers by, and a small window.
func narrow(_, _ string, c syscall.RawConn) error {
	var err error
	if other := c.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 536),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10))
	}); other != nil {
		return other
	}
	return err
}

// NewSCGIMember starts a member that speaks SCGI.
func NewSCGIMember(name string) (*Member, error) {
	m := &Member{Name: name, scgi: true, conns: map[net.Conn]bool{}}
	return m, m.Start()
}

// MarkUp has it listen, at the address that it had before.
func (m *Member) Start() error {
	addr := m.Addr()
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	lc := net.ListenConfig{}
	m.mu.Lock()
	if m.mood == NotReading {
		lc.Control = narrow
	}
	m.mu.Unlock()
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener, m.addr, m.stopped = l, l.Addr().String(), make(chan struct{})
	m.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[c] = true
			m.mu.Unlock()
			go m.serve(c)
		}
	}()
	return nil
}

// Stop ends it with all its connections.
func (m *Member) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener.Close()
	select {
	case <-m.stopped:
	default:
		close(m.stopped)
	}
	for c := range m.conns {
		c.Close()
	}
}

// Addr is where it listens.
func (m *Member) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addr
}

// SetBehavior changes its mood and how long it takes for an answer.
func (m *Member) SetBehavior(mood Behavior, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mood, m.delay = mood, delay
}

// OnRequest has each request that is not turned away told to heard before it is answered.
func (m *Member) OnRequest(heard func(params map[string]string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = heard
}

// SetStatusFunc has status say with which status a sound member answers a request.
func (m *Member) SetStatusFunc(status func(params map[string]string) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = status
}

// ReceivedParams is the parameters of all requests that came whole.
func (m *Member) ReceivedParams() []map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]map[string]string(nil), m.seen...)
}

// serve reads requests from a connection, one at a time.
func (m *Member) serve(c net.Conn) {
	defer func() {
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
		c.Close()
	}()
	for {
		m.mu.Lock()
		deaf, stopped := m.mood == NotReading, m.stopped
		m.mu.Unlock()
		if deaf {
			<-stopped
			return
		}
		id, params, body, err := m.read(c)
		if err != nil {
			return
		}
		m.mu.Lock()
		m.seen = append(m.seen, params)
		mood, delay, heard, code := m.mood, m.delay, m.heard, 200
		if m.status != nil {
			code = m.status(params)
		}
		m.mu.Unlock()
		if heard != nil && (mood != Overloaded || m.scgi) {
			heard(params)
		}
		time.Sleep(delay)
		if m.scgi {
			m.answerSCGI(c, mood, code, params, body)
			return // the end of the connection ends the answer
		}
		if !m.answer(c, id, mood, code, params, body) {
			return
		}
	}
}

// read reads one request.
func (m *Member) read(c io.Reader) (id uint16, params map[string]string, body []byte, err error) {
	if m.scgi {
		params, body, err = readSCGI(c)
		return 1, params, body, err
	}
	return readRequest(c)
}

// answerSCGI treats one request of a connection; what the protocol has no word for is a status.
func (m *Member) answerSCGI(c net.Conn, mood Behavior, code int, params map[string]string, body []byte) {
	text := fmt.Sprintf("%s %s %s", m.Name, params["SCRIPT_NAME"], body)
	whole := fmt.Appendf(nil, "Status: %d\r\nContent-Length: %d\r\nX-Member: %s\r\n\r\n%s", code, len(text), m.Name, text)
	switch mood {
	case Silent:
		io.Copy(io.Discard, c)
	case Truncated:
		c.Write(whole[:len(whole)-len(text)/2-1])
	case Duplicated:
		c.Write(append(whole, whole...))
	case Failing:
		c.Write([]byte("Status: 500\r\n\r\n"))
	case Overloaded:
		c.Write([]byte("Status: 503\r\n\r\n"))
	case Closing:
	case Malformed:
		c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	default:
		c.Write(whole)
	}
}

// answer treats one request; it returns false where the connection is to end.
func (m *Member) answer(c net.Conn, id uint16, mood Behavior, code int, params map[string]string, body []byte) bool {
	text := fmt.Sprintf("Status: %d\r\nX-Member: %s\r\n\r\n%s %s %s", code, m.Name, m.Name, params["SCRIPT_NAME"], body)
	var whole []byte
	for part := range slices.Chunk([]byte(text), 60000) {
		whole = append(whole, EncodeRecord(Stdout, id, part, 5)...)
	}
	whole = append(whole, EncodeRecord(EndRequest, id, make([]byte, 8), 0)...)
	switch mood {
	case Silent:
		io.Copy(io.Discard, c) // until the other side gives up
		return false
	case Truncated:
		c.Write(whole[:len(whole)/2])
		return false
	case Duplicated:
		c.Write(append(whole, whole...))
		return true
	case Failing:
		c.Write(append(EncodeRecord(Stdout, id, []byte("Status: 500\r\n\r\n"), 0), EncodeRecord(EndRequest, id, make([]byte, 8), 0)...))
		return true
	case Overloaded:
		c.Write(EncodeRecord(EndRequest, id, []byte{0, 0, 0, 0, 2, 0, 0, 0}, 0))
		return true
	case Closing:
		return false
	case Malformed:
		c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
		return false
	}
	c.Write(whole)
	return true
}

// readRequest reads one request from a front.
func readRequest(c io.Reader) (id uint16, params map[string]string, body []byte, err error) {
	var list []byte
	for {
		var head [8]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return 0, nil, nil, err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(head[4:]))+int(head[6]))
		if _, err := io.ReadFull(c, content); err != nil {
			return 0, nil, nil, err
		}
		content = content[:binary.BigEndian.Uint16(head[4:])]
		switch head[1] {
		case Params:
			list = append(list, content...)
		case Stdin:
			body = append(body, content...)
			if len(content) == 0 {
				return binary.BigEndian.Uint16(head[2:]), parsePairs(list), body, nil
			}
		}
	}
}

// parsePairs reads a list of names and values.
func parsePairs(p []byte) map[string]string {
	pairs := map[string]string{}
	for len(p) > 1 {
		var n [2]int
		for i := range n {
			if n[i] = int(p[0]); n[i] < 128 {
				p = p[1:]
				continue
			}
			n[i] = int(binary.BigEndian.Uint32(p) & 0x7fffffff)
			p = p[4:]
		}
		pairs[string(p[:n[0]])] = string(p[n[0] : n[0]+n[1]])
		p = p[n[0]+n[1]:]
	}
	return pairs
}
