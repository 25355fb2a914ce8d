// Package interleave lets a test run code between two system calls of an event loop. A test can thereby force an order of
// events without sleeping: for example, a byte arrives after the last check of a socket and before its close, or a
// connection arrives after the last accept.
package interleave

import (
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"

	"tillerusher/internal/eventloop"
)

// Syscall is a system call before which a System calls the test's function.
type Syscall string

// The intercepted system calls.
const (
	Accept   Syscall = "accept"
	Read     Syscall = "read"
	Peek     Syscall = "peek"
	Write    Syscall = "write"
	Shutdown Syscall = "shutdown"
	Close    Syscall = "close"
)

// System implements eventloop.System with the operating system's calls, and calls the test's function before the
// intercepted ones.
type System struct {
	eventloop.System
	mu         sync.Mutex // guards beforeCall and is held while it runs
	beforeCall func(call Syscall, fd int) (done bool)
}

// New returns a System that intercepts nothing until BeforeCall is called.
func New() *System { return &System{System: eventloop.Kernel{}} }

// BeforeCall replaces the function that is called before each intercepted system call. f is called on the goroutine that
// makes the system call, until it returns true. f must not call BeforeCall or an intercepted method of s, which would
// deadlock.
func (s *System) BeforeCall(f func(call Syscall, fd int) (done bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeCall = f
}

// intercept calls the test's function, if there is one, and removes it once it returns true.
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

// IsPeer reports whether fd, a descriptor of this process, is the other end of conn, a TCP connection over IPv4.
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
