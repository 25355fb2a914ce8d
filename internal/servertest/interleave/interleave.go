// Package interleave lets a test act between two system calls of an event loop: a byte arrives after the last check of a
// socket and before its close, a connection after the last accept. The test decides the order; no sleep is involved.
package interleave

import (
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"

	"tillerusher/internal/eventloop"
)

// Syscall is a system call before which a test may act.
type Syscall string

// The system calls that are intercepted.
const (
	Accept   Syscall = "accept"
	Read     Syscall = "read"
	Peek     Syscall = "peek"
	Write    Syscall = "write"
	Shutdown Syscall = "shutdown"
	Close    Syscall = "close"
)

// System is the system of an event loop. It calls the test's function before system calls.
type System struct {
	eventloop.System
	mu         sync.Mutex
	beforeCall func(call Syscall, fd int) (done bool)
}

// New returns the operating system itself, with no function to call yet.
func New() *System { return &System{System: eventloop.Kernel{}} }

// BeforeCall has the function called before each system call until it returns true, on the goroutine that makes the call.
func (s *System) BeforeCall(f func(call Syscall, fd int) (done bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCall = f
}

// intercept calls the test's function.
func (s *System) intercept(call Syscall, fd int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beforeCall != nil && s.beforeCall(call, fd) {
		s.beforeCall = nil
	}
}

// Accept implements eventloop.System.
func (s *System) Accept(fd int) (int, error) {
	s.intercept(Accept, fd)
	return s.System.Accept(fd)
}

// Read implements eventloop.System.
func (s *System) Read(fd int, p []byte) (int, error) {
	s.intercept(Read, fd)
	return s.System.Read(fd, p)
}

// Peek implements eventloop.System.
func (s *System) Peek(fd int, p []byte) (int, error) {
	s.intercept(Peek, fd)
	return s.System.Peek(fd, p)
}

// Write implements eventloop.System.
func (s *System) Write(fd int, p []byte) (int, error) {
	s.intercept(Write, fd)
	return s.System.Write(fd, p)
}

// ShutdownWrite implements eventloop.System.
func (s *System) ShutdownWrite(fd int) error {
	s.intercept(Shutdown, fd)
	return s.System.ShutdownWrite(fd)
}

// Close implements eventloop.System.
func (s *System) Close(fd int) error {
	s.intercept(Close, fd)
	return s.System.Close(fd)
}

// IsPeer reports whether a descriptor of this process is the other end of the connection.
func IsPeer(fd int, conn net.Conn) bool {
	name, err := unix.Getpeername(fd)
	if err != nil {
		return false
	}
	addr, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return false
	}
	peer := netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), uint16(addr.Port))
	return peer == conn.LocalAddr().(*net.TCPAddr).AddrPort()
}
