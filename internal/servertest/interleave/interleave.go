// Package crossing has a test do something between two system calls of a loop: a byte comes after the look into a
// socket and before its close, a call after the last accept. The order is the test's own, and no sleep's.
package interleave

import (
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"

	"tillerusher/internal/eventloop"
)

// Syscall is a system call that a test may come before.
type Syscall string

// The calls.
const (
	Accept   Syscall = "accept"
	Read     Syscall = "read"
	Peek     Syscall = "peek"
	Write    Syscall = "write"
	Shutdown Syscall = "shutdown"
	Close    Syscall = "close"
)

// System is a loop's system that tells a test of calls before they are made.
type System struct {
	eventloop.System
	mu     sync.Mutex
	before func(call Syscall, fd int) (done bool)
}

// New is the machine's own system, with nothing in between yet.
func New() *System { return &System{System: eventloop.Kernel{}} }

// BeforeCall has a function called before each call until it returns true, on the goroutine that makes the call.
func (s *System) BeforeCall(do func(call Syscall, fd int) (done bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = do
}

// tell tells the test of a call.
func (s *System) tell(call Syscall, fd int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.before != nil && s.before(call, fd) {
		s.before = nil
	}
}

// Accept implements loop.System.
func (s *System) Accept(fd int) (int, error) {
	s.tell(Accept, fd)
	return s.System.Accept(fd)
}

// Read implements loop.System.
func (s *System) Read(fd int, p []byte) (int, error) {
	s.tell(Read, fd)
	return s.System.Read(fd, p)
}

// Peek implements loop.System.
func (s *System) Peek(fd int, p []byte) (int, error) {
	s.tell(Peek, fd)
	return s.System.Peek(fd, p)
}

// Write implements loop.System.
func (s *System) Write(fd int, p []byte) (int, error) {
	s.tell(Write, fd)
	return s.System.Write(fd, p)
}

// ShutdownWrite implements loop.System.
func (s *System) ShutdownWrite(fd int) error {
	s.tell(Shutdown, fd)
	return s.System.ShutdownWrite(fd)
}

// Close implements loop.System.
func (s *System) Close(fd int) error {
	s.tell(Close, fd)
	return s.System.Close(fd)
}

// IsPeer tells whether a descriptor of this process is the other end of a connection.
func IsPeer(fd int, of net.Conn) bool {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return false
	}
	at, ok := sa.(*unix.SockaddrInet4)
	return ok && netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)) == of.LocalAddr().(*net.TCPAddr).AddrPort()
}
